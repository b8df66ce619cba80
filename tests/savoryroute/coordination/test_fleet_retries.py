"""Tests of the retry budget that the daemons of a fleet share."""

import random
import unittest

from savoryroute.coordination.fleet_retries import FleetRetryBudget


class FleetRetryBudgetTest(unittest.TestCase):
    def test_fleet_stays_within_the_budget_in_every_window(self):
        """Retries of all daemons in 10 s stay within ratio x requests + slack."""
        rng = random.Random(3)
        for n_daemons in (13, 91):
            budgets = [FleetRetryBudget(0.2, 50.0) for _ in range(n_daemons)]
            for budget in budgets:
                budget.set_daemons(n_daemons)
            windows = []
            for _second in range(60):
                n_requests = n_retries = 0
                for budget in budgets:
                    for _ in range(rng.randrange(8)):
                        budget.note_request("planner")
                        n_requests += 1
                        while budget.try_retry("planner"):
                            n_retries += 1
                windows.append((n_requests, n_retries))
            for start in range(len(windows) - 9):
                window = windows[start : start + 10]
                n_requests = sum(requests for requests, _ in window)
                n_retries = sum(retries for _, retries in window)
                slack = max(50.0, float(n_daemons))
                self.assertLessEqual(n_retries, 0.2 * n_requests + slack)

    def test_each_service_has_its_own_budget(self):
        budget = FleetRetryBudget(0.2, 50.0)
        budget.set_daemons(50)
        self.assertTrue(budget.try_retry("planner"))
        self.assertFalse(budget.try_retry("planner"))
        self.assertTrue(budget.try_retry("crews"))

    def test_requests_earn_retries(self):
        budget = FleetRetryBudget(0.2, 0.0)
        self.assertTrue(budget.try_retry("planner"))
        for _ in range(20):
            self.assertFalse(budget.try_retry("planner"))
            budget.note_request("planner")
        self.assertTrue(budget.try_retry("planner"))
