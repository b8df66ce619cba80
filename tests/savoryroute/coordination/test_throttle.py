"""Tests of throttling whole actions at the first hops, with replayed load."""

import random
import unittest

from savoryroute.coordination.throttle import ActionThrottle
from tests.chain_replay import CALL_S, CALLS, SLOTS, ChainReplay

CAPACITY_PER_S = SLOTS / CALL_S / CALLS
BURST = {2: 1.4 * CAPACITY_PER_S, 0: 0.4 * CAPACITY_PER_S}
CAPACITY_6_S = 6.0 * CAPACITY_PER_S
NORMAL_LOAD = {2: 0.5 * CAPACITY_PER_S, 0: 0.25 * CAPACITY_PER_S}


class BurstTest(unittest.TestCase):
    """A downstream service gets 1.8 times its capacity for 20 s."""

    @classmethod
    def setUpClass(cls):
        cls.replays = [ChainReplay(seed, True).play(BURST, 20.0) for seed in range(5)]

    def test_most_of_the_capacity_serves_complete_actions(self):
        for replay in self.replays:
            n_possible = 16.0 * CAPACITY_PER_S
            self.assertGreater(replay.n_served(4.0, 20.0), 0.85 * n_possible)

    def test_refusing_single_calls_serves_fewer_actions(self):
        for seed, replay in enumerate(self.replays):
            without = ChainReplay(seed, False, is_by_progress=False).play(BURST, 20.0)
            n_without = without.n_served(4.0, 20.0)
            self.assertGreater(replay.n_served(4.0, 20.0), 1.2 * n_without)

    def test_order_by_progress_wastes_no_calls_of_admitted_actions(self):
        """Guards against calls that are refused after earlier ones of their action.

        Without it actions that nothing throttles fail after most of their work.
        """
        for seed in range(5):
            replay = ChainReplay(seed, False).play(BURST, 20.0)
            self.assertLess(replay.wasted_share(), 0.03)
            self.assertGreater(replay.n_served(4.0, 20.0), 0.95 * 16 * CAPACITY_PER_S)

    def test_high_priority_actions_are_served(self):
        for replay in self.replays:
            self.assertGreater(replay.share(0, 4.0, 20.0), 0.95)


class RecoveryTest(unittest.TestCase):
    """The downstream service is six times slower for 6 s, then normal again."""

    def test_service_recovers_within_seconds(self):
        def slow(now_s):
            return 6.0 if 3.0 <= now_s < 9.0 else 1.0

        for seed in range(5):
            replay = ChainReplay(seed, True, slow).play(NORMAL_LOAD, 20.0)
            # Actions that begin later run into the slow period.
            self.assertGreater(replay.share(2, 0.0, 2.5), 0.98)
            self.assertGreater(replay.share(2, 13.0, 20.0), 0.97)
            self.assertGreater(replay.share(0, 11.0, 20.0), 0.98)


class EndOfBurstTest(unittest.TestCase):
    """A burst of 1.8 times the capacity for 8 s, at 13 to 195 first hops.

    Guards against first hops that search for the share to admit by trial and error,
    each by the few answers that it gets.
    """

    def test_slots_are_busy_while_actions_are_refused(self):
        for n_first_hops in (13, 57, 195):
            for seed in range(3):
                replay = ChainReplay(seed, True, n_first_hops=n_first_hops)
                replay.schedule(BURST, 0.0, 8.0)
                replay.schedule(NORMAL_LOAD, 8.0, 14.0)
                replay.watch_slots(14.0)
                replay.time.run()
                with self.subTest(n_first_hops=n_first_hops, seed=seed):
                    self.assertGreater(replay.busy_share(2.0, 8.0), 0.95)
                    self.assertLess(replay.wasted_share(), 0.03)
                    self.assertGreater(replay.n_served(2.0, 8.0), 0.95 * CAPACITY_6_S)
                    self.assertGreater(replay.share(2, 8.5, 14.0), 0.95)


class RouteStateTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.throttle = ActionThrottle(lambda: self.now_s, random.Random(1))

    def share_after(self, *rooms, gap_s=0.05):
        for room in rooms:
            self.throttle.admit("r", 2)
            self.now_s += gap_s
            self.throttle.note_end("r", [room], 2)
        return self.throttle.shares["r"]

    def test_nothing_is_refused_with_room_for_all(self):
        self.assertEqual(self.share_after(*[1.05, 1.2] * 10), 1.0)
        for _ in range(100):
            self.assertEqual(self.throttle.admit("r", 2), 1.0)

    def test_share_is_the_mean_room_of_full_and_free_upstreams(self):
        self.assertAlmostEqual(self.share_after(*[0.2, 0.8] * 30), 0.5, delta=0.07)

    def test_some_requests_are_always_admitted(self):
        self.assertGreater(self.share_after(*[0.0] * 100), 0.04)

    def test_share_grows_without_answers(self):
        share = self.share_after(*[0.1] * 30)
        self.now_s += 5.0
        self.assertGreater(self.throttle.shares["r"], 0.85)
        self.assertLess(share, 0.15)

    def test_unknown_room_changes_nothing(self):
        share = self.share_after(*[0.3] * 30)
        self.throttle.note_end("r", [], 2)
        self.assertEqual(self.throttle.shares["r"], share)
