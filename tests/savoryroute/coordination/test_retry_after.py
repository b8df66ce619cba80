"""Tests of the retry-after times of refusals."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.retry_after import (
    LONGEST_RETRY_AFTER_S,
    SHORTEST_RETRY_AFTER_S,
    spread_retry_after_s,
)

RATES = st.one_of(st.none(), st.floats(0.0, 1e5))


class RetryAfterTests(unittest.TestCase):
    @given(st.floats(0.0, 1e6), RATES, st.integers())
    def test_times_stay_in_bounds_and_spread(self, n_backlog, rate_per_s, seed):
        rng = random.Random(seed)
        times_s = [spread_retry_after_s(n_backlog, rate_per_s, rng) for _ in range(200)]
        self.assertGreaterEqual(min(times_s), SHORTEST_RETRY_AFTER_S)
        self.assertLessEqual(max(times_s), LONGEST_RETRY_AFTER_S)
        middle_s = sum(times_s) / len(times_s)
        width_s = middle_s / 10.0
        start_s = min(times_s)
        bins = [0] * 21
        for time_s in times_s:
            bins[int((time_s - start_s) / width_s)] += 1
        self.assertLess(max(bins), len(times_s) / 4)

    @given(st.floats(1.0, 1000.0), st.integers())
    def test_time_grows_with_the_backlog(self, rate_per_s, seed):
        short_s = spread_retry_after_s(rate_per_s, rate_per_s, random.Random(seed))
        long_s = spread_retry_after_s(rate_per_s * 8, rate_per_s, random.Random(seed))
        self.assertAlmostEqual(long_s, short_s * 8)
