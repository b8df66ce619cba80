"""Tests of the decoding of instance entries."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import Err
from savoryroute_platform.instance_entry import decode_instance

from .odd_entries import ODD_ENTRIES
from .stand_ins import JSON_VALUES, entry


class InstanceTest(unittest.TestCase):
    def assert_unusable(self, value):
        self.assertIsInstance(decode_instance("i-1", value), Err)

    def test_fields_of_an_entry(self):
        value = entry("planner", "10.1.0.8", 8080, zone="b", slots=9)
        instance = decode_instance("i-1", value).unwrap()
        self.assertEqual(
            (instance.id, instance.ip, instance.failure_domain, instance.slots),
            ("i-1", "10.1.0.8", "b", 9),
        )
        self.assertTrue(instance.is_ready)

    def test_start_time_of_an_entry_must_be_an_integer(self):
        for born in ("1700000000000", 1.5, None, True):
            self.assert_unusable(entry("planner", "10.1.0.8", 8080, born=born))

    def test_draining_entry(self):
        value = entry("planner", "10.1.0.8", 8080, state="draining")
        self.assertFalse(decode_instance("i-1", value).unwrap().is_ready)

    @given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_malformed_entry_is_no_instance(self, value):
        self.assert_unusable(value)

    def test_deeply_nested_entry_is_no_instance(self):
        self.assert_unusable(b"[" * 200_000)

    @given(st.sampled_from(["state", "cold-remaining"]), JSON_VALUES)
    def test_unexpected_status_value_is_ignored_or_decoded(self, name, value):
        written = entry("planner", "10.1.0.8", 8080, **{name: value})
        read = decode_instance("i-1", written)
        self.assertTrue(isinstance(read, Err) or read.unwrap().service == "planner")

    def test_values_that_no_upstream_can_have_make_no_instance(self):
        for name, value in ODD_ENTRIES.items():
            with self.subTest(name):
                self.assert_unusable(value)

    def test_address_needs_four_numbers_of_a_host_and_a_port(self):
        for address in (
            "10.1.0.8:0",
            "10.1.0.8:99999",
            "10.1.0.8",
            "999.1.0.34:8245",
            "0.0.0.0:8245",
            "224.0.0.1:8245",
            "255.255.255.255:8245",
            "[::1]:8245",
            "10.1.0.\u0668:8245",
        ):
            plain = json.loads(entry("planner", "10.1.0.8", 8080))
            self.assert_unusable(json.dumps(plain | {"address": address}).encode())
