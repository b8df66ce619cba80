import random
import unittest

from savoryroute.coordination.mesh_retry_after import SPREAD_S, mesh_retry_after_s


class MeshRetryAfterTest(unittest.TestCase):
    def test_return_is_spread_behind_the_wait(self):
        rng = random.Random(1)
        times = [mesh_retry_after_s(0.3, 5.0, rng) for _ in range(2000)]
        self.assertGreaterEqual(min(times), 0.3)
        self.assertLessEqual(max(times), 0.3 + SPREAD_S)
        fullest = max(
            sum(1 for t in times if start <= t < start + 0.1)
            for start in (0.3, 0.4, 0.5, 0.6, 0.7)
        )
        self.assertLess(fullest, 0.3 * len(times))

    def test_return_is_within_what_callers_heed(self):
        rng = random.Random(1)
        for time_left_s in (0.5, 1.0, 3.0):
            for _ in range(100):
                back_s = mesh_retry_after_s(10.0, time_left_s, rng)
                self.assertLessEqual(back_s, time_left_s / 3)
