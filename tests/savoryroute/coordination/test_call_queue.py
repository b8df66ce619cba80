"""Tests of the call queue: single cases, and replays of bursts of load."""

import random
import unittest

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.first_hop import QUEUE_TIMEOUT_SHARE
from savoryroute.verdict import Reason
from tests.load_replay import QueueReplay, draw_calls


class CallQueueTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.started = []
        self.refused = []
        self.queue = CallQueue(2, lambda: self.now_s)

    def call(self, name, rank=1, deadline_s=5.0, queue_timeout_s=1.0):
        return QueuedCall(
            rank,
            "route",
            deadline_s,
            queue_timeout_s,
            lambda: self.started.append(name),
            lambda reason: self.refused.append((name, reason)),
        )

    def test_calls_start_while_slots_are_free(self):
        for name in "ab":
            self.assertIsNone(self.queue.offer(self.call(name)))
        self.assertEqual(self.started, ["a", "b"])
        self.assertEqual(self.queue.n_running, 2)

    def test_calls_start_by_rank_then_by_arrival(self):
        for name, rank in (("a", 1), ("b", 1), ("c", 2), ("d", 0), ("e", 2)):
            self.queue.offer(self.call(name, rank))
        for _ in range(4):
            self.queue.finish("route", 0.1)
        self.assertEqual(self.started, ["a", "b", "d", "c", "e"])

    def test_calls_of_a_rank_start_in_the_order_in_which_their_waits_end(self):
        for name, seconds in (("a", 1.0), ("b", 1.0), ("c", 1.0), ("d", 0.4)):
            self.queue.offer(self.call(name, queue_timeout_s=seconds))
        self.queue.offer(self.call("e", rank=2, queue_timeout_s=0.3))
        for _ in range(3):
            self.queue.finish("route", 0.1)
        self.assertEqual(self.started, ["a", "b", "d", "c", "e"])

    def test_call_with_too_long_expected_wait_is_refused_at_once(self):
        self.queue.finish("route", None)
        self.queue = CallQueue(1, lambda: self.now_s)
        self.queue.offer(self.call("a"))
        self.assertIs(
            self.queue.offer(self.call("b", queue_timeout_s=0.01)), Reason.OVERLOAD
        )
        self.assertEqual(self.queue.n_waiting, 0)

    def test_wait_ends_at_the_queue_timeout(self):
        for name in "abc":
            self.queue.offer(self.call(name, queue_timeout_s=0.5))
        self.now_s = 0.49
        self.queue.expire()
        self.assertEqual(self.refused, [])
        self.now_s = 0.5
        self.queue.expire()
        self.assertEqual(self.refused, [("c", Reason.OVERLOAD)])

    def test_call_that_cannot_end_in_time_does_not_start(self):
        for _ in range(50):
            self.queue.offer(self.call("warm"))
            self.queue.finish("route", 1.0)
        self.started.clear()
        for name in "ab":
            self.queue.offer(self.call(name))
        self.queue.offer(self.call("late", deadline_s=3.0, queue_timeout_s=9.0))
        self.now_s = 2.5
        self.queue.finish("route", 1.0)
        self.assertEqual(self.started, ["a", "b"])
        self.assertEqual(self.refused, [("late", Reason.DEADLINE)])

    def test_deadline_in_the_past_is_refused(self):
        self.now_s = 6.0
        self.assertIs(self.queue.offer(self.call("a")), Reason.DEADLINE)

    def test_withdrawn_call_does_not_start(self):
        calls = [self.call(name) for name in "abc"]
        for call in calls:
            self.queue.offer(call)
        self.assertTrue(self.queue.withdraw(calls[2]))
        self.assertFalse(self.queue.withdraw(calls[0]))
        self.queue.finish("route", 0.1)
        self.assertEqual(self.started, ["a", "b"])

    def test_clear_refuses_all_waiting_calls(self):
        for name in "abcd":
            self.queue.offer(self.call(name))
        self.queue.clear(Reason.LEAVING)
        self.assertEqual([name for name, _ in self.refused], ["c", "d"])


class BurstReplayTest(unittest.TestCase):
    """Replays of a burst of 1.8 times the capacity for 20 s."""

    SLOTS = 50

    def play(self, seed, queue_timeout_share=QUEUE_TIMEOUT_SHARE):
        rng = random.Random(seed)
        capacity_per_s = self.SLOTS / 0.12
        calls = draw_calls(rng, capacity_per_s * 1.3, 20.0, 0.12, 2, 1.5, 0.8)
        calls += draw_calls(rng, capacity_per_s * 0.5, 20.0, 0.12, 0, 1.5, 1.0)
        calls.sort(key=lambda call: call.at_s)
        replay = QueueReplay(self.SLOTS, queue_timeout_share)
        replay.play(calls)
        return calls, replay

    def test_served_calls_are_near_the_capacity(self):
        for seed in range(5):
            calls, _ = self.play(seed)
            n_served = sum(call.is_in_time for call in calls)
            n_possible = 20.0 * self.SLOTS / 0.12
            self.assertGreater(n_served, 0.95 * n_possible, seed)

    def test_high_priority_calls_meet_their_target_latency(self):
        for seed in range(5):
            calls, _ = self.play(seed)
            high_priority = [call for call in calls if call.rank == 0]
            n_served = sum(call.is_in_target for call in high_priority)
            self.assertGreater(n_served, 0.99 * len(high_priority), seed)

    def test_nothing_is_refused_while_a_slot_is_free(self):
        for seed in range(5):
            _, replay = self.play(seed)
            self.assertEqual(replay.n_refused_while_free, 0)

    def test_refusals_come_within_the_queue_timeout(self):
        for seed in range(5):
            calls, _ = self.play(seed)
            waits_s = [c.refused_s - c.at_s for c in calls if c.refused_s is not None]
            self.assertLessEqual(max(waits_s), 1.5 * QUEUE_TIMEOUT_SHARE + 1e-9)

    def test_queue_recovers_soon_after_a_slow_period(self):
        rng = random.Random(7)
        per_s = 0.7 * self.SLOTS / 0.12
        calls = draw_calls(rng, per_s, 5.0, 0.6, 2, 1.5, 0.8)
        calls += draw_calls(rng, per_s, 10.0, 0.12, 2, 1.5, 0.8, start_s=5.0)
        QueueReplay(self.SLOTS, QUEUE_TIMEOUT_SHARE).play(calls)
        after = [call for call in calls if call.at_s > 7.0]
        n_served = sum(call.is_in_target for call in after)
        self.assertGreater(n_served, 0.99 * len(after))
