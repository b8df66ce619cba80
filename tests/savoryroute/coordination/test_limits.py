"""Limits start slowly, follow trouble, and come back."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.limits import LIMITS, make_limit
from savoryroute.errors import RegistryError

SLOTS = 160
LEARNING = ("gradient", "aimd")


def run_round_trips(limit, n_round_trips, latency_s=0.1, drop_every=0):
    """Keep the upstream full for some round trips."""
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

    def warm(self, kind="gradient"):
        limit = self.limit(kind)
        run_round_trips(limit, 10)
        self.assertEqual(limit.limit, SLOTS)
        return limit

    def test_unknown_kind_and_bad_bounds_are_refused(self):
        with self.assertRaises(RegistryError):
            make_limit("none", 1, 2, 2)
        for minimum, maximum in [(0, 5), (6, 5)]:
            with self.assertRaises(ValueError):
                make_limit("fixed", minimum, maximum, 5)

    def test_cold_start_doubles_per_round_trip(self):
        for kind in LEARNING:
            limit = self.limit(kind)
            seen = [limit.limit]
            for _ in range(3):
                run_round_trips(limit, 1)
                seen.append(limit.limit)
            self.assertEqual(seen, [20, 40, 80, 160], kind)

    def test_idle_upstream_does_not_grow(self):
        for kind in LEARNING:
            limit = self.limit(kind)
            for _ in range(1000):
                limit.on_answer(0.1, 1, False)
            self.assertEqual(limit.limit, 20, kind)

    def test_failing_upstream_gets_the_minimum_soon_and_comes_back(self):
        limit = self.warm()
        run_round_trips(limit, 8, latency_s=0.001, drop_every=1)
        self.assertEqual(limit.limit, 4)
        run_round_trips(limit, 25)
        self.assertEqual(limit.limit, SLOTS)

    def test_single_failures_cost_next_to_nothing(self):
        limit = self.warm()
        run_round_trips(limit, 100, drop_every=50)
        self.assertGreater(limit.limit, 0.9 * SLOTS)

    def test_own_congestion_lowers_to_half_and_its_end_restores(self):
        limit, lowest = self.warm(), SLOTS
        for _ in range(12):
            run_round_trips(limit, 1, latency_s=0.1 * limit.limit / 16)
            lowest = min(lowest, limit.limit)
        self.assertEqual(lowest, SLOTS // 2)
        run_round_trips(limit, 12)
        self.assertEqual(limit.limit, SLOTS)

    def test_slowness_of_other_cause_costs_few_round_trips(self):
        limit = self.warm()
        run_round_trips(limit, 1, latency_s=0.5)
        self.assertLess(limit.limit, SLOTS)
        run_round_trips(limit, 8, latency_s=0.5)
        self.assertEqual(limit.limit, SLOTS)
        run_round_trips(limit, 50, latency_s=0.5)
        self.assertEqual(limit.limit, SLOTS)

    def test_other_mix_of_requests_does_not_decay_to_the_minimum(self):
        limit, randomness = self.warm(), random.Random(5)
        lowest = SLOTS
        for n_round in range(400):
            n_in_flight = limit.limit
            slow_share = 0.1 if n_round // 40 % 2 else 0.9
            for _ in range(n_in_flight):
                is_slow = randomness.random() < slow_share
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
    def test_never_leaves_its_bounds(self, kind, answers):
        limit = self.limit(kind)
        for latency_s, n_in_flight, is_dropped in answers:
            limit.on_answer(latency_s, n_in_flight, is_dropped)
            self.assertTrue(4 <= limit.limit <= SLOTS)
