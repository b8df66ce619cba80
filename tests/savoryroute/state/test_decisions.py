"""Tests of the decision log."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.state.decisions import DecisionLog

CAPACITY = 5


class DecisionLogTest(unittest.TestCase):
    @given(st.lists(st.sampled_from("abc")))
    def test_holds_the_latest_decisions(self, actions):
        log = DecisionLog(CAPACITY, clock=lambda: 1.0)
        for i, action in enumerate(actions):
            log.note(action, "admitted", str(i))
        kept = list(enumerate(actions))[-CAPACITY:]
        self.assertEqual(len(log), len(kept))
        for action in "abc":
            expected = [str(i) for i, name in kept if name == action]
            found = [entry.detail for entry in log.explain(action)]
            self.assertEqual(found, expected)
        self.assertLessEqual(len(log._by_action), len(kept))
