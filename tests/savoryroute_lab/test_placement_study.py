"""The placement study sees what it is meant to see."""

import unittest

from savoryroute_lab.placement_study import WAYS, Study
from savoryroute_lab.placement_world import FAULTS


class TestPlacementStudy(unittest.TestCase):
    def n_twice(self, way, fault):
        bookings = Study(way, fault, 1, 1000).run()
        return sum(booking.n_runs > 1 for booking in bookings)

    def test_keys_with_a_home_never_run_twice(self):
        for fault in FAULTS:
            with self.subTest(fault=fault):
                self.assertEqual(self.n_twice("b_key", fault), 0)

    def test_the_study_shows_double_runs(self):
        self.assertGreater(self.n_twice("d_resend", "none"), 0)
        self.assertGreater(self.n_twice("a_hash", "partition"), 0)

    def test_all_bookings_are_served_without_a_fault(self):
        for way in WAYS:
            if WAYS.get(way).resends:
                bookings = Study(way, "none", 1, 200).run()
                self.assertTrue(all(booking.is_served() for booking in bookings))
