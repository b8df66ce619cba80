"""Tests of what is completed of actions that cost a deep service differently."""

import unittest

from tests.chain_cost_replay import KINDS, ChainCostReplay, oracle_shares

LOAD = 1.2


class ChainCostTest(unittest.TestCase):
    """Load of 1.2 times what the deep service can run, by actions of one rank."""

    @classmethod
    def setUpClass(cls):
        cls.shares = oracle_shares(LOAD)
        cls.by_throttle = [
            ChainCostReplay(n_hops, LOAD, 1).play(13.0) for n_hops in (13, 64)
        ]

    def test_oracle_completes_what_it_admits(self):
        """Guards the comparison: the bound can be reached in the replay."""
        completed = ChainCostReplay(13, LOAD, 1, self.shares).play(13.0)
        for n_calls in KINDS:
            self.assertAlmostEqual(
                completed.shares[n_calls], self.shares[n_calls], delta=0.03
            )

    def test_throttle_wastes_no_calls(self):
        """Guards against actions that fail after a part of their calls."""
        for completed in self.by_throttle:
            self.assertLess(completed.wasted, 0.01)

    def test_throttle_completes_most_of_what_the_oracle_does(self):
        """Guards the present figure, 0.93 of the oracle's 0.917 of all actions."""
        bound = sum(self.shares.values()) / len(KINDS)
        for completed in self.by_throttle:
            self.assertGreater(completed.all, 0.9 * bound)
            self.assertEqual(completed.shares[0], 1.0)
