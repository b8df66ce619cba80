"""Tests of the retry budget that the daemons of a fleet share."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.fleet_retries import (
    RESERVED_BY_RANK,
    WINDOW_S,
    FleetRetryBudget,
)

RATIO = 0.2
TICK_S = 0.25


class Fleet:
    """Daemons that retry as often as they may, and the bound over any window."""

    def __init__(self, n_daemons, slack, seed):
        self.now_s = 0.0
        self.slack = slack
        self.rng = random.Random(seed)
        self.ticks = []
        self.budgets = [
            FleetRetryBudget(
                RATIO, slack, lambda: self.now_s, random.Random(seed * 10_000 + number)
            )
            for number in range(n_daemons)
        ]
        for budget in self.budgets:
            budget.set_daemons(n_daemons)

    def play(self, per_s, seconds, is_failing=True, repeated_share=0.0):
        """Make requests at a rate; retry each until the budget refuses."""
        for _ in range(int(seconds / TICK_S)):
            n_requests = n_retries = 0
            mean = per_s * TICK_S / len(self.budgets)
            for budget in self.budgets:
                n_here = int(mean) + (self.rng.random() < mean % 1.0)
                for _ in range(n_here):
                    if self.rng.random() < repeated_share:
                        budget.note_repeated_call("planner")
                        n_retries += 1
                        continue
                    budget.note_request("planner")
                    n_requests += 1
                    while is_failing and budget.try_retry("planner", 0, 3):
                        n_retries += 1
            self.ticks.append((n_requests, n_retries))
            self.now_s += TICK_S
        return self

    def excess(self):
        """Return by how much a window exceeds its bound, in the worst one.

        Requests count in the window, in the one before and half a window before.
        """
        n_window = int(WINDOW_S / TICK_S)
        worst = float("-inf")
        for end in range(1, len(self.ticks) + 1):

            def total(column, last):
                part = self.ticks[max(0, last - n_window) : max(0, last)]
                return sum(tick[column] for tick in part)

            shifts = (0, n_window // 2, n_window)
            n_requests = max(total(0, end - shift) for shift in shifts)
            worst = max(worst, total(1, end) - RATIO * n_requests - self.slack)
        return worst


class FleetBoundTest(unittest.TestCase):
    def test_fleet_stays_within_the_budget_at_any_size(self):
        for n_daemons in (13, 91, 195, 1089):
            for per_s in (0.5, 5.0, 2000.0):
                slack = 47.0 if n_daemons == 13 else 1.09 * n_daemons
                fleet = Fleet(n_daemons, slack, 3).play(per_s, 25.0)
                self.assertLessEqual(fleet.excess(), 0.0, (n_daemons, per_s))

    @settings(max_examples=20)
    @given(
        st.lists(
            st.tuples(st.sampled_from([0, 3, 40, 400]), st.integers(1, 12)),
            min_size=1,
            max_size=6,
        ),
        st.integers(0, 100),
    )
    def test_fleet_stays_within_the_budget_whatever_the_load(self, periods, seed):
        fleet = Fleet(13, 47.0, seed)
        for per_s, seconds in periods:
            fleet.play(per_s, float(seconds))
        self.assertLessEqual(fleet.excess(), 0.0)

    def test_calls_of_repeated_runs_are_taken_from_the_budget(self):
        fleet = Fleet(13, 47.0, 1).play(400.0, 30.0, repeated_share=0.1)
        self.assertLessEqual(fleet.excess(), 0.0)

    def test_most_of_the_allowed_retries_are_used_when_they_are_needed(self):
        fleet = Fleet(195, 213.0, 1).play(2000.0, 20.0, is_failing=False)
        n_before = len(fleet.ticks)
        fleet.play(700.0, 10.0)
        n_retries = sum(tick[1] for tick in fleet.ticks[n_before:])
        self.assertGreater(n_retries, 0.75 * RATIO * 2000.0 * 10.0)

    def test_saved_retries_of_idle_daemons_add_up_to_a_part_of_the_slack(self):
        for n_daemons in (13, 195, 1089):
            fleet = Fleet(n_daemons, 213.0, 2)
            n_retries = sum(
                budget.try_retry("planner", 0, 3) for budget in fleet.budgets
            )
            self.assertLess(n_retries, 0.5 * 213.0)


class ServiceBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.budget = FleetRetryBudget(RATIO, 0.0, lambda: self.now_s, random.Random(1))

    def earn(self, service="planner", n_requests=400):
        for _ in range(n_requests):
            self.budget.note_request(service)
            self.now_s += WINDOW_S / n_requests
        self.budget.note_request(service)

    def n_allowed(self, rank, n_done, service="planner"):
        n_allowed = 0
        while any(self.budget.try_retry(service, rank, n_done) for _ in range(20)):
            n_allowed += 1
        return n_allowed

    def test_each_service_has_its_own_budget(self):
        self.earn("planner")
        self.earn("crews")
        self.assertGreater(self.n_allowed(0, 3, "planner"), 5)
        self.assertEqual(self.n_allowed(0, 3, "planner"), 0)
        self.assertGreater(self.n_allowed(0, 3, "crews"), 5)

    def test_requests_earn_retries(self):
        self.assertEqual(self.n_allowed(0, 3), 0)
        self.earn()
        self.assertGreater(self.n_allowed(0, 3), 5)

    def test_debt_of_repeated_runs_is_paid_within_a_window(self):
        self.earn()
        for _ in range(1000):
            self.budget.note_repeated_call("planner")
        self.assertEqual(self.n_allowed(0, 3), 0)
        self.earn()
        self.earn()
        self.assertGreater(self.n_allowed(0, 3), 5)

    def test_lower_ranks_leave_retries_to_higher_ones(self):
        self.earn()
        highest = self.budget.balances["planner"]
        self.n_allowed(2, 9)
        left = self.budget.balances["planner"]
        self.assertGreaterEqual(left, RESERVED_BY_RANK[2] * highest - 1.0)
        self.assertGreater(self.n_allowed(1, 9), 0)
        self.assertGreater(self.n_allowed(0, 9), 0)

    def test_runs_without_progress_leave_retries_to_runs_with_progress(self):
        self.earn()
        self.n_allowed(0, 0)
        self.assertGreater(self.n_allowed(0, 3), 1)
