"""Tests of the precedence of evidence in the member table, and of host lists."""

import unittest

from savoryroute.state.host_list import host_list_from_plain, parse_host_list
from savoryroute.state.member import Member, MemberStatus, MemberUpdate, MergeResult
from savoryroute.state.members import MemberTable

ALIVE = MemberStatus.ALIVE
SUSPECT = MemberStatus.SUSPECT
LEAVING = MemberStatus.LEAVING


def _member(incarnation, status=ALIVE):
    return Member("a", "planner", "d", "r", "10.0.0.1:1", incarnation, status)


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 1000.0
        self.table = MemberTable("self", clock=lambda: self.now_s)

    def merge_update(self, incarnation, status, uptime_ms):
        return self.table.merge_update(
            MemberUpdate(_member(incarnation, status), uptime_ms)
        )

    def incarnation(self):
        return self.table.get("a").incarnation

    def test_later_start_wins_regardless_of_incarnation_numbers(self):
        self.table.note_hello(_member(99), 50_000)
        self.table.note_hello(_member(5), 1_000)
        self.assertEqual(self.incarnation(), 5)
        self.assertFalse(self.table.note_hello(_member(99), 60_000))
        self.assertEqual(self.merge_update(99, ALIVE, 60_000), MergeResult.KNOWN)
        self.assertEqual(self.incarnation(), 5)

    def test_update_about_an_earlier_start_is_ignored(self):
        self.table.note_hello(_member(5), 1_000)
        self.assertEqual(self.merge_update(7, ALIVE, 90_000), MergeResult.KNOWN)
        self.assertEqual(self.incarnation(), 5)

    def test_hello_takes_precedence_over_gossip(self):
        self.merge_update(7, ALIVE, 10)
        self.table.note_hello(_member(5), 90_000)
        self.assertEqual(self.incarnation(), 5)

    def test_delayed_update_does_not_supersede_a_linked_host(self):
        self.table.note_hello(_member(5), 18_000)
        self.assertEqual(self.merge_update(4, ALIVE, 10_000), MergeResult.KNOWN)
        self.now_s += 30
        self.assertEqual(self.merge_update(4, ALIVE, 10_000), MergeResult.NEW)
        self.table.note_hello(_member(5), 48_000)
        self.assertEqual(self.incarnation(), 5)

    def test_leaving_is_final_for_its_incarnation(self):
        self.table.note_hello(_member(5), 1_000)
        self.assertTrue(self.table.note_goodbye("a", 5))
        self.assertFalse(self.table.note_heartbeat("a", 9_000))
        self.assertEqual(self.merge_update(5, ALIVE, 99_000), MergeResult.REFUTED)
        self.assertEqual(self.table.get("a").status, LEAVING)
        self.assertEqual(self.table.of_service("planner"), [])
        self.now_s += 30
        self.table.note_hello(_member(6), 100)
        self.assertEqual(self.table.get("a").status, ALIVE)

    def test_goodbye_of_another_incarnation_is_ignored(self):
        self.table.note_hello(_member(5), 1_000)
        self.assertFalse(self.table.note_goodbye("a", 4))

    def test_suspicion_is_refuted_by_a_later_uptime_only(self):
        self.merge_update(5, ALIVE, 10_000)
        self.assertEqual(self.merge_update(5, SUSPECT, 5_000), MergeResult.REFUTED)
        self.assertEqual(self.merge_update(5, SUSPECT, 10_000), MergeResult.NEW)
        self.assertEqual(self.merge_update(5, ALIVE, 10_000), MergeResult.KNOWN)
        self.assertEqual(self.merge_update(5, ALIVE, 12_000), MergeResult.NEW)
        self.assertEqual(self.table.get("a").status, ALIVE)

    def test_malformed_updates_are_refused(self):
        good = MemberUpdate(_member(5), 10).pack()
        self.assertEqual(
            MemberUpdate.unpack(good).ok_value, MemberUpdate(_member(5), 10)
        )
        bad = [None, [], good[:-1], [*good, 1], {}]
        for index, value in [(0, ""), (0, "x" * 999), (1, 3), (5, -1), (5, 2**63)]:
            bad.append([*good[:index], value, *good[index + 1 :]])
        for value in ("gone", "unreachable", [], None):
            bad.append([*good[:6], value, good[7]])
        bad.append([*good[:7], True])
        for values in bad:
            with self.subTest(values=values):
                self.assertTrue(MemberUpdate.unpack(values).is_err())


class HostListTest(unittest.TestCase):
    def test_round_trip(self):
        text = (
            '{"hosts": [{"host": "a", "service": "s", "failure_domain": "d",'
            ' "region": "r", "peers": "10.0.0.1:1", "status": "leaving"}]}'
        )
        parsed = parse_host_list(text, "hosts").ok_value
        again = host_list_from_plain(parsed.to_plain(), "peer").ok_value
        self.assertEqual(again, parsed)
        self.assertTrue(parsed.hosts["a"].is_leaving)

    def test_bad_lists_are_refused(self):
        entry = {"service": "s", "failure_domain": "d", "region": "r", "peers": "x"}
        bad = [None, {}, {"hosts": []}, {"hosts": {"a": None}}]
        bad.append({"hosts": {"a": entry | {"status": "gone"}}})
        bad.append({"hosts": {"a": {"status": "live"}}})
        bad.append({"hosts": {1: entry | {"status": "live"}}})
        for plain in bad:
            with self.subTest(plain=plain):
                self.assertTrue(host_list_from_plain(plain, "peer").is_err())
        for text in ("", "[]", '{"hosts": [1]}', '{"hosts": [{"host": 1}]}'):
            with self.subTest(text=text):
                self.assertTrue(parse_host_list(text, "hosts").is_err())
