"""Tests of finding the running call that a downstream call belongs to."""

import unittest

from savoryroute.coordination.running_calls import RunningCalls


class RunningCallsTest(unittest.TestCase):
    def setUp(self):
        self.calls = RunningCalls(b".")

    def test_request_finds_its_parent_at_any_depth(self):
        self.calls.begin(b"aa", "run")
        self.assertEqual(self.calls.parent_of(b"aa.1"), "run")
        self.assertEqual(self.calls.parent_of(b"aa.1.7"), "run")
        self.assertIsNone(self.calls.parent_of(b"aa"))
        self.assertIsNone(self.calls.parent_of(b"aab.1"))

    def test_parent_may_itself_be_a_downstream_call(self):
        self.calls.begin(b"aa.1", "run")
        self.assertEqual(self.calls.parent_of(b"aa.2"), "run")

    def test_ended_calls_leave_no_entry(self):
        for name in ("one", "two"):
            self.calls.begin(b"aa.1", name)
        self.calls.end(b"aa.1", "one")
        self.assertEqual(self.calls.parent_of(b"aa.2"), "two")
        self.calls.end(b"aa.1", "two")
        self.assertIsNone(self.calls.parent_of(b"aa.2"))
        self.assertEqual(self.calls._by_action, {})
