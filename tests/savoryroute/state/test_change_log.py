"""Tests of the log of instance changes."""

import unittest

from savoryroute.state.change_log import CHANGES_KEPT, ChangeLog
from savoryroute.state.fleet_view import Instance


def instance(id_, is_ready=True):
    return Instance(id_, "planner", f"ip-{id_}", "a", 4, is_ready)


class ChangeLogTest(unittest.TestCase):
    def setUp(self):
        self.log = ChangeLog()
        self.log.add(5, {"a": instance("a"), "b": instance("b")})
        self.log.add(9, {"a": None})
        self.log.add(12, {"c": instance("c"), "b": instance("b", False)})

    def test_changes_after_a_revision_are_merged(self):
        self.assertEqual(self.log.since(12), {})
        self.assertEqual(self.log.since(30), {})
        self.assertEqual(set(self.log.since(9)), {"b", "c"})
        # A revision between two changes already contains the earlier one.
        self.assertEqual(set(self.log.since(11)), {"b", "c"})
        merged = self.log.since(5)
        self.assertEqual(set(merged), {"a", "b", "c"})
        self.assertIsNone(merged["a"])
        self.assertFalse(merged["b"].is_ready)
        self.assertEqual(set(self.log.since(0)), {"a", "b", "c"})

    def test_changes_that_are_no_longer_kept_give_none(self):
        for revision in range(13, 13 + CHANGES_KEPT):
            self.log.add(revision, {"d": instance("d")})
        self.assertIsNone(self.log.since(5))
        self.assertEqual(set(self.log.since(13)), {"d"})

    def test_restart_discards_earlier_changes(self):
        self.log.restart(20)
        self.assertEqual(self.log.revision, 20)
        self.assertIsNone(self.log.since(12))
        self.assertEqual(self.log.since(20), {})
        self.log.add(22, {"e": instance("e")})
        self.assertEqual(set(self.log.since(20)), {"e"})
        self.assertIsNone(self.log.since(19))
