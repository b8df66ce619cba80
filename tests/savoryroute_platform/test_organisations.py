"""Tests of decoding organisations, and of hiding their keys from other daemons."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from savoryroute_platform.configuration import decode_routes
from savoryroute_platform.organisations import hide_keys

from savoryroute.errors import DocumentError

from .stand_ins import JSON_VALUES, configuration, path, tenant

HOST = "shop.example"
KEY = "key-that-must-not-be-shown"
GOOD = tenant("good", "good-key", priority=0)
MEMBERS = ("name", "api-keys", "priority", "rate-per-s", "burst")


def source_of(tenants, **changes):
    routes = {HOST: [path("/a/", "planner", **changes)]}
    return configuration(1, routes, ["planner"], tenants=tenants)


def decode(tenants):
    """Return the table as read from the store; from a peer it must be the same."""
    source = source_of(tenants)
    table, at_peer = decode_routes(source), decode_routes(hide_keys(source))
    assert table.defects == at_peer.defects
    assert table.organisations.names == at_peer.organisations.names
    assert table.organisations.is_complete == at_peer.organisations.is_complete
    for key in (b"good-key", KEY.encode()):
        assert table.organisations.of_key(key) == at_peer.organisations.of_key(key)
    return table


class DecodingTest(unittest.TestCase):
    """Guards against keys that are valid by a part of an entry alone."""

    def test_fields_of_an_organisation(self):
        plain = tenant("shop one", KEY, "two", priority=2, burst=7)
        table = decode([plain | {"rate-per-s": 12.5}])
        organisation = table.organisations.of_key(b"two")
        self.assertEqual((organisation.name, organisation.rank), ("shop one", 2))
        self.assertEqual((organisation.rate_per_s, organisation.burst), (12.5, 7.0))
        self.assertEqual(table.defects, ())

    def test_no_quota_if_the_rate_is_zero_or_missing(self):
        for plain in (tenant("a", KEY), tenant("a", KEY) | {"rate-per-s": 0}):
            organisation = decode([plain]).organisations.of_key(KEY.encode())
            self.assertIsNone(organisation.rate_per_s)

    def test_without_the_member_there_are_no_organisations(self):
        source = configuration(1, {HOST: [path("/a/", "planner")]}, [])
        self.assertIsNone(decode_routes(source).organisations)
        self.assertIs(hide_keys(source), source)

    def test_unreadable_entry_affects_its_organisation_alone(self):
        entries = [None, KEY, [KEY], {"api-keys": [KEY]}, tenant("good\r\nx: y", KEY)]
        entries += [tenant("bad", KEY) | {"api-keys": value} for value in (KEY, None)]
        entries += [tenant("bad", KEY, value) for value in ("", "a b", "\ud800", 4)]
        entries += [tenant("bad", KEY, priority=value) for value in ("x", -1, 1.5)]
        for name in ("rate-per-s", "burst"):
            for value in (None, "5", -1, float("nan"), 10**400, True, {}):
                entries.append(tenant("bad", KEY) | {name: value})
        for entry in entries:
            with self.subTest(entry):
                table = decode([GOOD, entry])
                found = table.organisations
                self.assertEqual(found.of_key(b"good-key").name, "good")
                self.assertIsNone(found.of_key(KEY.encode()))
                self.assertFalse(found.is_complete)
                self.assertTrue(table.defects[0].startswith("tenants[1]"))

    def test_whole_value_unreadable(self):
        for value in (None, {}, KEY, 3, False):
            table = decode(value)
            self.assertEqual(len(table.organisations), 0)
            self.assertFalse(table.organisations.is_complete)
            self.assertEqual(len(table.defects), 1)

    def test_no_entries_is_not_unreadable(self):
        table = decode([])
        self.assertTrue(table.organisations.is_complete)
        self.assertEqual(table.defects, ())

    def test_name_of_two_entries_is_unreadable(self):
        table = decode([GOOD, tenant("twice", KEY), tenant("twice", "b")])
        self.assertEqual(table.organisations.names, {"good"})
        self.assertEqual(len(table.defects), 2)

    def test_key_that_an_unreadable_entry_has_too_is_not_valid(self):
        table = decode([tenant("a", KEY), tenant("b", KEY, priority=None)])
        self.assertIsNone(table.organisations.of_key(KEY.encode()))

    def test_public_is_true_only_if_it_says_so(self):
        for value, is_public in ((True, True), (False, False), ("true", False)):
            table = decode_routes(source_of([], public=value))
            self.assertIs(table.find(HOST, "/a/x").is_public, is_public)
            self.assertEqual(len(table.defects), value == "true")
        table = decode_routes(source_of([]))
        self.assertFalse(table.find(HOST, "/a/x").is_public)


class SecrecyTest(unittest.TestCase):
    """Guards against keys in what other daemons and the log get."""

    def assert_hidden(self, source):
        hidden = hide_keys(source)
        self.assertNotIn(KEY, json.dumps(json.loads(hidden)))
        for text in (source, hidden):
            try:
                table = decode_routes(text)
            except DocumentError as error:
                self.assertNotIn(KEY, str(error))
            else:
                self.assertNotIn(KEY, "".join(table.defects))
                self.assertNotIn(KEY, repr(table))

    def test_spellings_of_keys(self):
        for tenants in (KEY, [KEY], {"a": KEY}, [tenant("a", KEY)], [[KEY]]):
            self.assert_hidden(source_of(tenants))
            for name in ("priority", "rate-per-s", "api_keys", "api-key-digests"):
                self.assert_hidden(source_of([tenant("a", KEY) | {name: KEY}]))

    def test_escaped_name_of_the_member(self):
        source = source_of([tenant("a", KEY)]).replace(b"tenants", b"ten\\u0061nts")
        self.assert_hidden(source)

    @given(st.sampled_from(MEMBERS), JSON_VALUES | st.just(KEY) | st.just([KEY, 5]))
    def test_any_value_of_a_member(self, name, value):
        entry = tenant("a", KEY) | {name: value}
        if value == KEY and name == "name":
            return
        self.assert_hidden(source_of([GOOD, entry]))
        table = decode([GOOD, entry])
        self.assertEqual(table.organisations.of_key(b"good-key").name, "good")
        if not table.organisations.is_complete:
            self.assertIsNone(table.organisations.of_key(KEY.encode()))

    @given(JSON_VALUES)
    def test_any_value_of_the_list_or_an_entry(self, value):
        for tenants in (value, [GOOD, value]):
            table = decode(tenants)
            self.assertIsNotNone(table.organisations)
            if tenants is not value:
                self.assertFalse(table.organisations.is_complete)


if __name__ == "__main__":
    unittest.main()
