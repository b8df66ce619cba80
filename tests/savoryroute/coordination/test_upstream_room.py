"""Tests of the room that an upstream reports for the actions of each rank."""

import unittest

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.upstream_room import UpstreamRoom

SLOTS = 20
WORK_S = 0.05
# At 20 slots 1.2 calls wait for the part of this time that is aimed at.
QUEUE_TIMEOUT_S = 0.02


class UpstreamRoomTest(unittest.TestCase):
    """Calls of 50 ms at 20 slots, so 400 a second fit."""

    def setUp(self):
        self.now_s = 0.0
        self.queue = CallQueue(SLOTS, lambda: self.now_s)
        self.room = UpstreamRoom(self.queue, lambda: self.now_s)

    def offer(self, offered_per_s, share, rank=2, seconds=3.0):
        """Offer the admitted share of the actions, without running their calls."""
        per_s = offered_per_s * share
        for _ in range(int(per_s * seconds)):
            self.now_s += 1.0 / per_s
            self.room.note_offer(rank, "call", QUEUE_TIMEOUT_S, share)

    def fill_queue(self, n_waiting, rank=0):
        for _ in range(SLOTS + n_waiting):
            call = QueuedCall(rank, "call", 1e9, 1e9, lambda: None, lambda reason: None)
            self.queue.offer(call)

    def test_room_does_not_depend_on_what_is_refused(self):
        """Guards against shares that fall because first hops refuse already."""
        self.fill_queue(0)
        for share in (1.0, 0.4, 0.1):
            self.offer(800.0, share)
            # The waiting calls that are aimed at add 0.6 slots to an empty queue.
            self.assertAlmostEqual(self.room.share_for(2), 20.6 / 40, delta=0.02)

    def test_nothing_is_refused_with_free_slots(self):
        """Guards against refusals at an upstream whose calls fail at once.

        Calls that fail hold their slots for less than the usual service time.
        """
        self.offer(8000.0, 1.0)
        self.assertEqual(self.room.share_for(2), 1.0)
        self.fill_queue(0)
        self.assertLess(self.room.share_for(2), 0.1)

    def test_ranks_get_what_better_ones_leave(self):
        self.fill_queue(0)
        for _ in range(1500):
            self.now_s += 1.0 / 500.0
            self.room.note_offer(0, "call", QUEUE_TIMEOUT_S, 1.0)
            self.room.note_offer(2, "call", QUEUE_TIMEOUT_S, 0.5)
            # All that was offered, as before a shortage.
            self.room.note_start(2)
            self.room.note_start(2)
        self.assertAlmostEqual(self.room.share_for(0), 20.6 / 25, delta=0.02)
        self.assertEqual(self.room.share_for(2), 0.0)
        self.assertEqual(self.room.share_for(3), 0.0)

    def test_waiting_calls_of_worse_ranks_do_not_count(self):
        self.offer(200.0, 1.0, rank=1)
        self.fill_queue(100, rank=2)
        self.assertGreater(self.room.share_for(1), 1.0)
        self.assertEqual(self.room.share_for(2), 0.0)

    def test_long_queue_leaves_no_room_whatever_is_offered(self):
        """Guards against calls that are missed as their actions failed before."""
        self.offer(100.0, 1.0, rank=0)
        self.assertGreater(self.room.share_for(0), 1.0)
        self.fill_queue(60)
        self.assertEqual(self.room.share_for(0), 0.0)

    def test_rate_limit_bounds_the_room(self):
        self.offer(400.0, 1.0)
        self.fill_queue(0)
        self.queue.rate_limit.set(100.0)
        self.assertLess(self.room.share_for(2), 0.6)

    def test_slots_that_a_rate_limit_leaves_unused_are_not_free(self):
        self.offer(400.0, 1.0)
        self.queue.rate_limit.set(10.0)
        self.fill_queue(0)
        self.assertLess(self.queue.n_running, SLOTS)
        self.assertLess(self.room.share_for(2), 0.2)

    def test_demand_is_forgotten_after_the_load(self):
        self.offer(4000.0, 0.1)
        self.now_s += 2.0
        self.assertGreater(self.room.share_for(2), 1.0)
