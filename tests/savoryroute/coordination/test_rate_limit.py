"""Tests of the token bucket that holds the rate limit of an upstream."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.rate_limit import RateLimit
from savoryroute.coordination.upstream_room import UpstreamRoom

WINDOW_S = 4.0


class RateLimitTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.limit = RateLimit(lambda: self.now_s)

    def try_take(self):
        if not self.limit.allows_call:
            return False
        self.limit.take()
        return True

    def test_without_a_limit_all_calls_start(self):
        self.assertTrue(all(self.try_take() for _ in range(100)))
        self.assertEqual(self.limit.wait_s(50), 0.0)

    def test_lifted_limit_no_longer_holds(self):
        self.limit.set(1.0)
        self.assertFalse(self.try_take())
        self.limit.set(None)
        self.assertTrue(all(self.try_take() for _ in range(100)))

    def test_calls_are_started_now_and_then_at_a_limit_of_zero(self):
        self.limit.set(0.0)
        self.now_s += 2.0
        self.assertTrue(self.try_take())
        self.assertFalse(self.try_take())

    def test_wait_grows_with_the_calls_ahead(self):
        self.limit.set(10.0)
        self.assertAlmostEqual(self.limit.wait_s(0), 0.1)
        self.assertAlmostEqual(self.limit.wait_s(4), 0.5)
        self.now_s += 0.1
        self.assertAlmostEqual(self.limit.wait_s(0), 0.0)

    def test_a_limit_named_again_is_not_granted_again(self):
        self.limit.set(10.0)
        n_started = 0
        for _ in range(1000):
            self.now_s += 0.001
            self.limit.set(10.0)
            n_started += self.try_take()
        self.assertLessEqual(n_started, 10)

    @given(
        st.floats(0.0, 500.0),
        st.lists(st.floats(0.0, 1.5), min_size=1, max_size=200),
        st.integers(1, 400),
    )
    def test_no_window_gets_more_than_half_as_much_again_and_five(
        self, per_s, pauses, n_offered
    ):
        self.setUp()
        self.limit.set(per_s)
        started = []
        for pause_s in pauses:
            self.now_s += pause_s
            for _ in range(n_offered):
                if not self.try_take():
                    break
                started.append(self.now_s)
        for index, begin_s in enumerate(started):
            end = index
            while end < len(started) and started[end] <= begin_s + WINDOW_S:
                end += 1
            self.assertLessEqual(end - index, 1.5 * per_s * WINDOW_S + 5.0)
            if end == len(started):
                break


class LimitedQueueTest(unittest.TestCase):
    """Calls wait for the rate limit as they wait for a slot."""

    def setUp(self):
        self.now_s = 100.0
        self.queue = CallQueue(50, lambda: self.now_s)
        self.queue.rate_limit.set(10.0)
        self.started = []
        self.refused = []

    def offer(self, name, rank, queue_timeout_s=1.0):
        return self.queue.offer(
            QueuedCall(
                rank,
                "route",
                self.now_s + 5.0,
                queue_timeout_s,
                lambda: self.started.append(name),
                lambda reason: self.refused.append((name, reason)),
            )
        )

    def test_better_ranks_start_first(self):
        for name, rank in (("c", 2), ("b", 1), ("a", 0)):
            self.assertIsNone(self.offer(name, rank))
        for _ in range(3):
            self.now_s += 0.1001
            self.queue.start_waiting()
        self.assertEqual(self.started, ["a", "b", "c"])

    def test_calls_that_would_wait_too_long_are_refused_at_once(self):
        answers = [self.offer(number, 1, queue_timeout_s=0.45) for number in range(8)]
        self.assertEqual(answers.count(None), 4)

    def test_load_counts_the_slots_that_the_limit_leaves(self):
        self.assertEqual(self.queue.usable_slots, 1.0)
        room = UpstreamRoom(self.queue, lambda: self.now_s)
        # 4 slots for the quarter of a second for which offered work counts.
        for _ in range(4):
            room.note_offer(1, "x", 0.2, 0.2)
        self.assertAlmostEqual(room.offered_load, 4 * 5 * 0.05 / 0.25)
        self.queue.rate_limit.set(None)
        self.assertEqual(self.queue.usable_slots, 50)
        self.assertAlmostEqual(room.offered_load, 4 * 5 * 0.05 / 0.25 / 50)
