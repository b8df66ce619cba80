"""Tests of the least shares of ranks, with a replayed shortage."""

import unittest

from savoryroute.coordination.rank_shares import (
    RankDemand,
    ServedShare,
    grants_by_least_share,
)
from savoryroute.coordination.switches import ALL_ON, Switches
from tests.chain_replay import ActionKind, ChainReplay

# Slots of a service, and of its slow upstream that is left. A payment and a lookup make
# four calls; a check makes one, which waits for a short time only.
SLOTS = 39
SLOTS_LEFT = 13
PAYMENT, CHECK, LOOKUP = range(3)
KINDS = {
    PAYMENT: ActionKind(4, 0.035, 0.15, 1),
    CHECK: ActionKind(1, 0.057, 0.03, 1),
    LOOKUP: ActionKind(4, 0.035, 0.15, 1),
}
# 2.4 times what the upstream that is left can do.
PER_S = {PAYMENT: 45.0, CHECK: 36.0, LOOKUP: 157.0}
# Least share of the requests of the class that is asked for on a day with this load.
CLASS_FLOOR = 0.42


def replay_shortage(seed, start_s, end_s, switches=ALL_ON):
    """Return a replay in which two thirds of the slots are gone for a time."""
    replay = ChainReplay(seed, True, slots=SLOTS, kinds=KINDS, switches=switches)
    replay.time.at(start_s, lambda: setattr(replay.queue, "slots", SLOTS_LEFT))
    replay.time.at(end_s, lambda: setattr(replay.queue, "slots", SLOTS))
    replay.schedule(PER_S, 0.0, end_s + 2.0)
    replay.watch_slots(end_s)
    replay.time.run()
    return replay


class LastingShortageTest(unittest.TestCase):
    """Two of three upstreams of a service are gone for 30 s after 8 s.

    Guards against a lowest rank that bears the whole of a shortage. Shares are of the
    requests, of which each refused one comes back once.
    """

    @classmethod
    def setUpClass(cls):
        cls.replays = [replay_shortage(seed, 8.0, 38.0) for seed in range(5)]

    def test_lowest_rank_is_served_while_the_shortage_lasts(self):
        for replay in self.replays:
            self.assertGreater(replay.share(LOOKUP, 0.0, 38.0), CLASS_FLOOR)

    def test_lowest_rank_is_refused_by_priority_alone(self):
        off = Switches(frozenset({"least_shares"}))
        for seed in range(5):
            replay = replay_shortage(seed, 8.0, 38.0, off)
            self.assertLess(replay.share(LOOKUP, 0.0, 38.0), CLASS_FLOOR)

    def test_better_ranks_are_served_more_often(self):
        for replay in self.replays:
            lookups = replay.share(LOOKUP, 10.0, 38.0)
            self.assertGreater(replay.share(PAYMENT, 10.0, 38.0), lookups)
            self.assertGreater(replay.share(CHECK, 10.0, 38.0), lookups)

    def test_slots_are_busy_with_complete_actions(self):
        for replay in self.replays:
            self.assertGreater(replay.busy_share(10.0, 38.0), 0.95)
            self.assertLess(replay.wasted_share(), 0.03)

    def test_all_are_served_after_the_shortage(self):
        for replay in self.replays:
            for rank in KINDS:
                self.assertGreater(replay.share(rank, 38.5, 40.0), 0.95)


class ShortShortageTest(unittest.TestCase):
    def test_best_rank_is_served_in_a_short_shortage(self):
        """Guards against payments refused for lookups in each burst."""
        for seed in range(5):
            replay = replay_shortage(seed, 8.0, 12.0)
            self.assertGreater(replay.share(PAYMENT, 8.0, 12.0), 0.95)
            self.assertGreater(replay.share(CHECK, 8.0, 12.0), 0.8)


class SameRankTest(unittest.TestCase):
    def test_calls_that_cannot_wait_for_long_get_the_share_of_their_rank(self):
        """Guards against bookings that are refused behind the longer waits of views.

        Both have the lowest rank. A view makes four calls, which wait for 150 ms; a
        booking makes one, which waits for 45 ms.
        """
        kinds = {
            "order": ActionKind(4, 0.03, 0.15, 1, rank=0),
            "view": ActionKind(4, 0.03, 0.15, 1, rank=2),
            "booking": ActionKind(1, 0.096, 0.045, 1, rank=2),
        }
        for seed in range(3):
            replay = ChainReplay(seed, True, slots=138, kinds=kinds)
            replay.time.at(6.0, lambda queue=replay.queue: setattr(queue, "slots", 46))
            replay.schedule({"order": 150.0, "view": 550.0, "booking": 54.0}, 0.0, 30.0)
            replay.time.run()
            views = replay.share("view", 10.0, 29.0)
            self.assertGreater(replay.share("booking", 10.0, 29.0), 0.75 * views)
            self.assertGreater(replay.share("order", 10.0, 29.0), views)


class GrantsByLeastShareTest(unittest.TestCase):
    def grants(self, offered, budget, served_shares):
        return grants_by_least_share(
            [
                RankDemand(slots, budget, share)
                for slots, share in zip(offered, served_shares, strict=True)
            ]
        )

    def test_priority_decides_while_all_were_served(self):
        grants = self.grants([8.0, 1.0, 30.0], 13.0, [1.0, 1.0, 1.0])
        self.assertEqual(grants, [None, None, None])

    def test_better_ranks_keep_equal_shares(self):
        payments, checks, lookups = self.grants([8.0, 2.0, 30.0], 12.0, [1.0, 1.0, 0.0])
        self.assertAlmostEqual(lookups, 0.9 * 12.0 * 30.0 / 40.0)
        self.assertAlmostEqual(payments / 8.0, checks / 2.0)
        self.assertAlmostEqual(payments + checks + lookups, 12.0)

    def test_largest_share_is_cut_first(self):
        payments, checks, lookups = self.grants([9.0, 6.0, 5.0], 12.0, [1.0, 1.0, 0.2])
        self.assertAlmostEqual(payments + checks + lookups, 12.0)
        self.assertAlmostEqual(checks, 3.0)
        self.assertLess(payments, 9.0)

    def test_shares_follow_the_order_of_the_ranks(self):
        offered = [20.0, 5.0, 30.0, 7.0]
        for budget in (1.0, 10.0, 30.0, 50.0, 70.0):
            grants = self.grants(offered, budget, [0.0, 0.0, 0.0, 0.0])
            left, shares = budget, []
            for slots, grant in zip(offered, grants, strict=True):
                grant = min(slots, left) if grant is None else grant
                shares.append(grant / slots)
                left -= grant
            with self.subTest(budget=budget):
                self.assertEqual(shares, sorted(shares, reverse=True))
                self.assertGreaterEqual(left, -1e-9)

    def test_nobody_gives_slots_that_nobody_lacks(self):
        grants = self.grants([8.0, 2.0, 30.0], 50.0, [0.0, 0.0, 0.0])
        self.assertEqual(grants, [None, None, None])

    def test_no_demand(self):
        self.assertEqual(grants_by_least_share([]), [])
        self.assertEqual(self.grants([0.0, 0.0], 5.0, [0.0, 0.0]), [None, None])


class ServedShareTest(unittest.TestCase):
    def test_served_share_of_a_refused_rank_falls_within_seconds(self):
        served = ServedShare(0.0)
        for number in range(1000):
            served.note_offer(1.0, number / 100)
            served.note_start(number / 100)
        self.assertAlmostEqual(served.value, 1.0)
        for number in range(1000, 3000):
            served.note_offer(1.0, number / 100)
        self.assertLess(served.value, 0.2)

    def test_nothing_was_offered(self):
        self.assertEqual(ServedShare(0.0).value, 0.0)
