"""Replays of a leaf service whose upstreams all shed half of what they get.

All calls of an action have to get through. Retries spread evenly complete hardly any
chain of four or eight calls, and refusing single calls unsent helps nobody.
"""

import unittest

from savoryroute.coordination.repeat_budget import WINDOW_S
from tests.shed_replay import RATIO, Leaf, Route, ShedReplay, oracle_worth

SMALL = [
    Route("chain", 0, 80.0, 4, 3.0),
    Route("single", 1, 65.0, 1, 2.0, is_direct=True),
    Route("less urgent chain", 2, 280.0, 4, 1.0),
]
LARGE = [
    Route("chain", 0, 204.0, 8, 3.0),
    Route("single", 1, 55.0, 1, 1.0, is_direct=True),
    Route("less urgent chain", 2, 568.0, 4, 1.0),
]
SHED_SHARE = 0.55
SEEDS = (1, 2)
# The oracle chooses the actions that it completes before their first call.
FRACTION_OF_ORACLE = 0.5


def n_repeats_of_chains(routes):
    """Return the repeats in a window that the chains' calls would allow."""
    per_s = sum(route.per_s * route.n_calls for route in routes if not route.is_direct)
    return RATIO * per_s * WINDOW_S


class ShedChainsTest(unittest.TestCase):
    """6 hosts and 3 upstreams of the leaf, as in a fleet of 13; 126 and 42, of 195.

    Once only the calls of callers allow repeats, and once the slack is larger, so that
    some chains can be completed.
    """

    @classmethod
    def setUpClass(cls):
        cls.small_leaf = Leaf(0.022, 13.0, 21.5, SHED_SHARE)
        cls.large_leaf = Leaf(0.092, 13.0, 21.0, SHED_SHARE)
        cls.slack = {"small": 47.0, "large": 213.0}
        cls.slack["small, more slack"] = 47.0 + n_repeats_of_chains(SMALL)
        cls.slack["large, more slack"] = 213.0 + n_repeats_of_chains(LARGE)
        cls.small = cls.replay(SMALL, cls.small_leaf, 6, 3, "small")
        cls.large = cls.replay(LARGE, cls.large_leaf, 126, 42, "large")
        cls.small_rich = cls.replay(SMALL, cls.small_leaf, 6, 3, "small, more slack")
        cls.large_rich = cls.replay(LARGE, cls.large_leaf, 126, 42, "large, more slack")
        cls.all = cls.small + cls.large + cls.small_rich + cls.large_rich

    @classmethod
    def replay(cls, routes, leaf, n_hosts, n_upstreams, name):
        slack = cls.slack[name]
        return [
            ShedReplay(routes, leaf, n_hosts, n_upstreams, slack, seed).play(26.0)
            for seed in SEEDS
        ]

    def test_half_of_what_an_oracle_serves_is_served(self):
        for replays, routes, leaf, name in (
            (self.small, SMALL, self.small_leaf, "small"),
            (self.large, LARGE, self.large_leaf, "large"),
            (self.small_rich, SMALL, self.small_leaf, "small, more slack"),
            (self.large_rich, LARGE, self.large_leaf, "large, more slack"),
        ):
            best = oracle_worth(routes, leaf, self.slack[name])
            for replay in replays:
                worth = replay.worth(leaf.from_s, leaf.to_s)
                self.assertGreater(worth, FRACTION_OF_ORACLE * best, name)

    def test_chains_of_the_highest_priority_are_served_first(self):
        for replay in self.small_rich:
            served = replay.share("chain", 13.0, 21.5)
            self.assertGreater(served, replay.share("single", 13.0, 21.5))
        for replay in self.large_rich:
            self.assertGreater(
                replay.share("chain", 13.0, 21.0),
                2.0 * replay.share("less urgent chain", 13.0, 21.0),
            )

    def test_single_calls_are_not_refused_unsent(self):
        """One that is sent gets through with the probability of one attempt."""
        for replay in self.all:
            self.assertGreater(
                replay.share("single", 13.0, 21.0), 0.9 * (1.0 - SHED_SHARE)
            )

    def test_all_is_served_again_when_the_fault_ends(self):
        for replay in self.all:
            self.assertGreater(replay.share("chain", 21.5, 25.0), 0.99)
            self.assertGreater(replay.share("single", 21.5, 25.0), 0.99)

    def test_fleet_stays_within_its_retry_budget(self):
        for replay in self.all:
            self.assertLessEqual(replay.excess_of_budget(), 0.0)
