"""Tests of the bound on the memory of request bodies."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.state.body_budget import SMALL_BODY_BYTES, BodyBudget

LONG = 10 * SMALL_BODY_BYTES


class BodyBudgetTest(unittest.TestCase):
    def test_long_bodies_are_refused_at_the_limit(self):
        budget = BodyBudget(3 * LONG)
        self.assertEqual([budget.try_reserve(LONG) for _ in range(4)], [True] * 3 + [0])
        self.assertEqual((budget.held_bytes, budget.n_refused), (3 * LONG, 1))
        budget.release(LONG)
        self.assertTrue(budget.try_reserve(LONG))

    def test_small_bodies_are_never_refused(self):
        budget = BodyBudget(LONG)
        self.assertTrue(budget.try_reserve(LONG))
        self.assertTrue(budget.try_reserve(SMALL_BODY_BYTES))

    def test_single_body_longer_than_the_limit_is_accepted(self):
        budget = BodyBudget(LONG)
        self.assertTrue(budget.try_reserve(2 * LONG))
        self.assertFalse(budget.try_reserve(LONG))

    def test_single_body_of_any_length_would_take_all_memory(self):
        budget = BodyBudget(LONG)
        self.assertFalse(budget.try_reserve(2 * LONG + 1))
        n_bytes = 0
        while budget.try_reserve(1000, n_bytes):
            n_bytes += 1000
        self.assertLessEqual(budget.held_bytes, 2 * LONG)

    def test_bytes_that_are_held_already_count_whatever_the_limit(self):
        budget = BodyBudget(LONG)
        budget.hold(3 * LONG)
        self.assertFalse(budget.try_reserve(LONG))
        budget.release(3 * LONG)
        self.assertTrue(budget.try_reserve(LONG))

    def test_body_that_grows_in_small_steps_is_refused_at_the_limit(self):
        budget = BodyBudget(LONG)
        budget.try_reserve(SMALL_BODY_BYTES)
        n_bytes = 0
        while budget.try_reserve(1000, n_bytes):
            n_bytes += 1000
        self.assertLessEqual(budget.held_bytes, LONG)
        budget.release(SMALL_BODY_BYTES)
        self.assertTrue(budget.try_reserve(2 * LONG - n_bytes, n_bytes))
        self.assertFalse(budget.try_reserve(1, 2 * LONG))

    @given(st.lists(st.integers(0, 3 * LONG)))
    def test_released_bodies_leave_nothing_held(self, sizes):
        budget = BodyBudget(4 * LONG)
        for n_bytes in [size for size in sizes if budget.try_reserve(size)]:
            budget.release(n_bytes)
        self.assertEqual(budget.held_bytes, 0)
