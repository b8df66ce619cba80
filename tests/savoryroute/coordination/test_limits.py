"""Tests of the concurrency limits: cold start, decrease and recovery."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.limits import LIMITS, make_limit
from savoryroute.errors import RegistryError

SLOTS = 160
ADAPTIVE = ("gradient", "aimd")


def run_round_trips(limit, n_round_trips, latency_s=0.1, drop_every=0):
    """Use the whole limit for some round trips.

    Args:
        limit: The limit.
        n_round_trips: Number of round trips, each of ``limit.limit`` answers.
        latency_s: Latency of each answer in seconds.
        drop_every: Every answer of this number is a drop; 0 for none.
    """
    n_answers = 0
    for _ in range(n_round_trips):
        n_in_flight = limit.limit
        for _ in range(n_in_flight):
            n_answers += 1
            is_dropped = bool(drop_every) and n_answers % drop_every == 0
            limit.on_answer(latency_s, n_in_flight, is_dropped)


class LimitTests(unittest.TestCase):
    def limit(self, kind="gradient"):
        return make_limit(kind, 4, SLOTS, SLOTS)

    def warmed_up_limit(self, kind="gradient"):
        limit = self.limit(kind)
        run_round_trips(limit, 10)
        self.assertEqual(limit.limit, SLOTS)
        return limit

    def test_unknown_kind_and_invalid_bounds_raise(self):
        with self.assertRaises(RegistryError):
            make_limit("none", 1, 2, 2)
        for minimum, maximum in [(0, 5), (6, 5)]:
            with self.assertRaises(ValueError):
                make_limit("fixed", minimum, maximum, 5)

    def test_cold_start_doubles_per_round_trip(self):
        for kind in ADAPTIVE:
            limit = self.limit(kind)
            limits = [limit.limit]
            for _ in range(3):
                run_round_trips(limit, 1)
                limits.append(limit.limit)
            self.assertEqual(limits, [20, 40, 80, 160], kind)

    def test_limit_of_an_idle_upstream_does_not_grow(self):
        for kind in ADAPTIVE:
            limit = self.limit(kind)
            for _ in range(1000):
                limit.on_answer(0.1, 1, False)
            self.assertEqual(limit.limit, 20, kind)

    def test_limit_falls_to_the_minimum_on_failures_and_recovers(self):
        limit = self.warmed_up_limit()
        run_round_trips(limit, 8, latency_s=0.001, drop_every=1)
        self.assertEqual(limit.limit, 4)
        run_round_trips(limit, 25)
        self.assertEqual(limit.limit, SLOTS)

    def test_single_failures_hardly_lower_the_limit(self):
        limit = self.warmed_up_limit()
        run_round_trips(limit, 100, drop_every=50)
        self.assertGreater(limit.limit, 0.9 * SLOTS)

    def test_congestion_lowers_the_limit_to_half_until_it_ends(self):
        limit, lowest = self.warmed_up_limit(), SLOTS
        for _ in range(12):
            run_round_trips(limit, 1, latency_s=0.1 * limit.limit / 16)
            lowest = min(lowest, limit.limit)
        self.assertEqual(lowest, SLOTS // 2)
        run_round_trips(limit, 12)
        self.assertEqual(limit.limit, SLOTS)

    def test_latency_with_another_cause_lowers_the_limit_only_briefly(self):
        limit = self.warmed_up_limit()
        run_round_trips(limit, 1, latency_s=0.5)
        self.assertLess(limit.limit, SLOTS)
        run_round_trips(limit, 8, latency_s=0.5)
        self.assertEqual(limit.limit, SLOTS)
        run_round_trips(limit, 50, latency_s=0.5)
        self.assertEqual(limit.limit, SLOTS)

    def test_changing_mix_of_requests_does_not_lower_the_limit_below_half(self):
        limit, rng = self.warmed_up_limit(), random.Random(5)
        lowest = SLOTS
        for n_round in range(400):
            n_in_flight = limit.limit
            slow_share = 0.1 if n_round // 40 % 2 else 0.9
            for _ in range(n_in_flight):
                is_slow = rng.random() < slow_share
                limit.on_answer(1.0 if is_slow else 0.05, n_in_flight, False)
            lowest = min(lowest, limit.limit)
        self.assertGreaterEqual(lowest, SLOTS // 2)

    @given(
        st.sampled_from(sorted(map(str, LIMITS))),
        st.lists(
            st.tuples(st.floats(0.0, 100.0), st.integers(1, 200), st.booleans()),
            max_size=200,
        ),
    )
    def test_limit_stays_within_its_bounds(self, kind, answers):
        limit = self.limit(kind)
        for latency_s, n_in_flight, is_dropped in answers:
            limit.on_answer(latency_s, n_in_flight, is_dropped)
            self.assertTrue(4 <= limit.limit <= SLOTS)
