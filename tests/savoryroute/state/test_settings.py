"""Tests of the settings of a daemon."""

import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st
from result import is_err

from savoryroute.state.settings import parse_settings, read_settings

PLAIN = {
    "host": "nairobi-planner-1",
    "service": "planner",
    "failure_domain": "nairobi-a",
    "addresses": {
        "callers": "127.0.0.1:0",
        "upstream_side": "127.0.0.1:7102",
        "peers": "[::1]:7103",
        "operators": "127.0.0.1:7104",
    },
    "upstream": "127.0.0.1:7100",
    "platform": ["127.0.0.1:7001"],
    "fleet_key": "fleet-secret",
    "operator_key": "operator-secret",
}


class SettingsTest(unittest.TestCase):
    def refuse(self, **members):
        text = json.dumps(PLAIN | members)
        return parse_settings(text, "settings.json").unwrap_err()

    def test_valid(self):
        settings = parse_settings(json.dumps(PLAIN) + "// end", "x").unwrap()
        self.assertEqual(str(settings.peers), "[::1]:7103")
        self.assertEqual(settings.callers.port, 0)
        self.assertEqual((settings.seeds, settings.log_level), ((), "info"))
        self.assertNotIn("secret", repr(settings))

    def test_refused(self):
        addresses = PLAIN["addresses"]
        for where, members in (
            ("host", {"host": "a.b"}),
            ("host", {"host": ""}),
            ("service", {"service": "Planner"}),
            ("upstream", {"upstream": "127.0.0.1:0"}),
            ("upstream", {"upstream": "planner:80"}),
            ("upstream", {"upstream": 7100}),
            ("upstream", {"upstream": None}),
            ("platform[0]", {"platform": ["x"]}),
            ("seeds", {"seeds": "127.0.0.1:1"}),
            ("log_level", {"log_level": "loud"}),
            ("addresses.peers", {"addresses": addresses | {"peers": 1}}),
            ("addresses", {"addresses": addresses | {"peer": 1}}),
            ("root", {"hosts": 1}),
        ):
            self.assertEqual(self.refuse(**members).where, where)

    def test_required(self):
        for name in set(PLAIN):
            text = json.dumps({key: PLAIN[key] for key in PLAIN if key != name})
            error = parse_settings(text, "x").unwrap_err()
            self.assertEqual((error.where, error.found), (name, "nothing"))

    def test_keys_are_not_shown(self):
        self.assertNotIn("hush", str(self.refuse(fleet_key="hush hush")))

    def test_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "settings.json")
            self.assertEqual(read_settings(path).unwrap_err().where, "file")
            path.write_bytes(b'{"a": "\xff"}')
            self.assertEqual(read_settings(path).unwrap_err().where, "byte 7")
            path.write_text(json.dumps(PLAIN))
            self.assertEqual(read_settings(path).unwrap().service, "planner")
            path.write_text(" " * 2_000_000)
            self.assertEqual(read_settings(path).unwrap_err().where, "size")

    @given(st.sampled_from(sorted(PLAIN)), st.none() | st.integers() | st.text())
    def test_any_value_gives_a_result(self, name, value):
        result = parse_settings(json.dumps(PLAIN | {name: value}), "x")
        self.assertTrue(is_err(result) or result.ok_value)
