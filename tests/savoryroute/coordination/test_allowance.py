"""Tests of the bound on the deliveries of one action."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.allowance import Allowance


class Chain:
    """Call graph of hops that retry, fan out and lose answers."""

    def __init__(self, rng, fan_out):
        self.rng, self.fan_out = rng, fan_out
        self.n_deliveries = 0

    def serve(self, n_lent, depth):
        """Run one hop; return the unused deliveries in its answer."""
        allowance = Allowance(n_lent)
        while allowance.spend():
            self.n_deliveries += 1
            self.call_downstream(allowance, depth)
            assert allowance.left + allowance.lent <= n_lent
            if self.rng.random() < 0.3:
                break
        return allowance.left

    def call_downstream(self, allowance, depth):
        """Lend to all downstream hops first, then take their answers in any order."""
        if depth == 0:
            return
        loans = [allowance.lend() for _ in range(self.rng.randint(0, self.fan_out))]
        self.rng.shuffle(loans)
        for n_lent in filter(None, loans):
            n_returned = self.serve(n_lent, depth - 1)
            if self.rng.random() < 0.7:
                allowance.give_back(n_returned)


class TestAllowance(unittest.TestCase):
    @given(st.integers(0, 100), st.integers(1, 10), st.integers(1, 4), st.randoms())
    def test_call_graph_stays_within_its_total(self, total, depth, fan_out, rng):
        chain = Chain(rng, fan_out)
        n_returned = chain.serve(total, depth)
        self.assertLessEqual(chain.n_deliveries + n_returned, total)

    def test_lends_three_quarters_and_at_least_one(self):
        allowance = Allowance(64)
        self.assertTrue(allowance.spend())
        self.assertEqual([allowance.lend() for _ in range(3)], [47, 12, 3])
        self.assertEqual([allowance.lend(), allowance.lend()], [1, 0])
        self.assertFalse(allowance.spend())

    def test_no_more_is_returned_than_was_lent(self):
        allowance = Allowance(4)
        self.assertEqual(allowance.lend(), 3)
        allowance.give_back(-2)
        allowance.give_back(50)
        allowance.give_back(1)
        self.assertEqual((allowance.left, allowance.lent), (4, 0))
