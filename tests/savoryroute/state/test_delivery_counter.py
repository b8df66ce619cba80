"""Tests of the limit on deliveries of one action in a sliding window."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.state.delivery_counter import DeliveryCounter


class TestDeliveryCounter(unittest.TestCase):
    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 40))))
    def test_no_window_holds_more_than_the_maximum(self, steps):
        now_s = 0.0
        counter = DeliveryCounter(60.0, lambda: now_s)
        delivered = []
        for action, step_s in steps:
            now_s += step_s
            recent = [t for a, t in delivered if a == action and t > now_s - 60.0]
            is_allowed = counter.count_delivery(action, 3)
            self.assertEqual(is_allowed, len(recent) < 3)
            if is_allowed:
                delivered.append((action, now_s))

    def test_full_counter_refuses_new_actions_until_old_ones_expire(self):
        now_s = 0.0
        counter = DeliveryCounter(60.0, lambda: now_s, actions_max=2)
        self.assertTrue(counter.count_delivery("a", 3))
        self.assertTrue(counter.count_delivery("b", 3))
        self.assertFalse(counter.count_delivery("c", 3))
        self.assertTrue(counter.count_delivery("a", 3))
        now_s = 60.0
        self.assertTrue(counter.count_delivery("c", 3))
        self.assertEqual(len(counter), 1)
