"""Tests of double runs and served bookings in the placement study."""

import unittest

from savoryroute_lab.placement_study import STRATEGIES, Study
from savoryroute_lab.placement_world import FAULTS


class TestPlacementStudy(unittest.TestCase):
    def count_run_twice(self, strategy, fault):
        bookings = Study(strategy, fault, 1, 1000).run()
        return sum(booking.n_runs > 1 for booking in bookings)

    def test_actions_with_a_key_owner_never_run_twice(self):
        for fault in FAULTS:
            with self.subTest(fault=fault):
                self.assertEqual(self.count_run_twice("b_key", fault), 0)

    def test_other_strategies_run_actions_twice(self):
        self.assertGreater(self.count_run_twice("d_resend", "none"), 0)
        self.assertGreater(self.count_run_twice("a_hash", "partition"), 0)

    def test_all_bookings_are_served_without_a_fault(self):
        for strategy in STRATEGIES:
            if STRATEGIES.get(strategy).retries:
                bookings = Study(strategy, "none", 1, 200).run()
                self.assertTrue(all(booking.is_served() for booking in bookings))
