"""Tests of the decoding of configurations and instance entries."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from savoryroute_platform.codec import decode_instance, decode_routes

from savoryroute.errors import DocumentError

from .stand_ins import configuration, entry, path

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
)


class RoutesTest(unittest.TestCase):
    def test_fields_of_a_route(self):
        paths = [path("/a/", "planner", "unsafe", timeout="800ms", priority=0)]
        table = decode_routes(configuration(12, {"Shop.Example": paths}, ["planner"]))
        self.assertEqual(table.version, 12)
        route = table.find("shop.example", "/a/x")
        self.assertFalse(route.is_idempotent)
        self.assertEqual(route.timeout_s, 0.8)
        self.assertEqual(route.attempts_max, 2)
        self.assertEqual(table.services["planner"].connections_max, 100)
        self.assertEqual(table.limits.header_timeout_s, 1.0)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)

    def test_version_is_hexadecimal(self):
        source = configuration(0x1F, {}, [])
        self.assertEqual(decode_routes(source).version, 31)

    @given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_invalid_configuration_raises_a_document_error(self, source):
        with self.assertRaises(DocumentError):
            decode_routes(source)

    @given(st.sampled_from(["timeout", "kind", "priority", "service"]), JSON_VALUES)
    def test_unexpected_field_value_is_refused_or_decoded(self, name, value):
        paths = [path("/a/", "planner") | {name: value}]
        try:
            table = decode_routes(configuration(1, {"shop.example": paths}, []))
        except DocumentError:
            return
        (route,) = table.routes["shop.example"]
        self.assertIs(type(route.parts[0].service), str)
        self.assertIs(type(route.rank), int)
        self.assertGreaterEqual(route.timeout_s, 0.0)


class InstanceTest(unittest.TestCase):
    def test_fields_of_an_entry(self):
        value = entry("planner", "10.1.0.8", 8080, zone="b", slots=9)
        instance = decode_instance("i-1", value)
        self.assertEqual(
            (instance.id, instance.ip, instance.failure_domain, instance.slots),
            ("i-1", "10.1.0.8", "b", 9),
        )
        self.assertTrue(instance.is_ready)

    def test_start_time_of_an_entry_must_be_an_integer(self):
        for born in ("1700000000000", 1.5, None, True):
            value = entry("planner", "10.1.0.8", 8080, born=born)
            self.assertIsNone(decode_instance("i-1", value))

    def test_draining_entry(self):
        value = entry("planner", "10.1.0.8", 8080, state="draining")
        self.assertFalse(decode_instance("i-1", value).is_ready)

    @given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_malformed_entry_is_no_instance(self, value):
        self.assertIsNone(decode_instance("i-1", value))

    @given(st.sampled_from(["state", "cold-remaining"]), JSON_VALUES)
    def test_unexpected_status_value_is_ignored_or_decoded(self, name, value):
        written = entry("planner", "10.1.0.8", 8080, **{name: value})
        instance = decode_instance("i-1", written)
        self.assertTrue(instance is None or instance.service == "planner")
