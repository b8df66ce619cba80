"""Tests of the spread and the limit of retry-after times."""

import random
import unittest

from savoryroute.coordination.mesh_retry_after import SPREAD_S, mesh_retry_after_s


class MeshRetryAfterTest(unittest.TestCase):
    def test_times_are_spread_after_the_expected_wait(self):
        rng = random.Random(1)
        times = [mesh_retry_after_s(0.3, 5.0, rng) for _ in range(2000)]
        self.assertGreaterEqual(min(times), 0.3)
        self.assertLessEqual(max(times), 0.3 + SPREAD_S)
        fullest = max(
            sum(1 for t in times if start <= t < start + 0.1)
            for start in (0.3, 0.4, 0.5, 0.6, 0.7)
        )
        self.assertLess(fullest, 0.3 * len(times))

    def test_times_are_within_a_third_of_the_time_left(self):
        rng = random.Random(1)
        for time_left_s in (0.5, 1.0, 3.0):
            for _ in range(100):
                retry_after_s = mesh_retry_after_s(10.0, time_left_s, rng)
                self.assertLessEqual(retry_after_s, time_left_s / 3)
