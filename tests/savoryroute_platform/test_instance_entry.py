"""Tests of the decoding of instance entries."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from savoryroute_platform.instance_entry import decode_instance

from .stand_ins import JSON_VALUES, entry


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

    def test_deeply_nested_entry_is_no_instance(self):
        self.assertIsNone(decode_instance("i-1", b"[" * 200_000))

    @given(st.sampled_from(["state", "cold-remaining"]), JSON_VALUES)
    def test_unexpected_status_value_is_ignored_or_decoded(self, name, value):
        written = entry("planner", "10.1.0.8", 8080, **{name: value})
        instance = decode_instance("i-1", written)
        self.assertTrue(instance is None or instance.service == "planner")
