"""Tests of reading the settings of a mesh daemon."""

import json
import unittest

from savoryroute.state.mesh_settings import parse_mesh_settings, read_mesh_settings

GOOD = {
    "host": "sidecar-a-1",
    "ip": "10.1.0.8",
    "failure_domain": "a",
    "service": "planner",
    "callers": "10.1.0.8:8304",
    "links": "10.1.0.8:8300",
    "readiness": "10.1.0.8:8302",
    "metrics_port": 7635,
    "upstream": "10.1.0.8:8301",
    "platform": "10.200.1.7:8309",
    "seeds": ["10.1.0.9:8310"],
    "retry_ratio": 0.2,
    "retry_slack": 49,
    "grace_s": "6s",
    "memory_mb": 300,
}


class MeshSettingsTest(unittest.TestCase):
    def parse(self, **changes):
        return parse_mesh_settings(json.dumps({**GOOD, **changes}), "file")

    def test_good_settings(self):
        settings = self.parse().unwrap()
        self.assertEqual(settings.grace_s, 6.0)
        self.assertEqual(str(settings.metrics), "10.1.0.8:7635")
        self.assertEqual(settings.retry_slack, 49.0)
        self.assertEqual(settings.memory_bytes, 300_000_000)

    def test_error_states_member_and_allowed_values(self):
        for name, value in (
            ("grace_s", "six"),
            ("grace_s", 6),
            ("links", "10.1.0.8"),
            ("ip", "here"),
            ("retry_ratio", -1),
            ("service", ""),
            ("seeds", {}),
            ("memory_mb", 10),
            ("memory_mb", "300MB"),
            ("switched_off", [1]),
            ("switched_off", "throttle"),
        ):
            error = self.parse(**{name: value}).unwrap_err()
            self.assertIn(name, str(error))
            self.assertIn("allowed:", str(error))

    def test_bounds_of_organisations_are_optional(self):
        self.assertIsNone(self.parse().unwrap().revocation_s)
        self.assertIsNone(self.parse().unwrap().quota_window_s)
        bounds = {
            "strict_revocation": True,
            "revocation_s": "5000ms",
            "quota_window_s": "5s",
            "quota_overage": 0.25,
            "quota_slack": 20,
        }
        settings = self.parse(**bounds).unwrap()
        self.assertEqual(settings.revocation_s, 5.0)
        self.assertEqual(settings.quota_window_s, 5.0)
        bounds["strict_revocation"] = False
        self.assertIsNone(self.parse(**bounds).unwrap().revocation_s)

    def test_unknown_member_is_refused_with_a_suggestion(self):
        error = self.parse(retry_ration=1).unwrap_err()
        self.assertIn("did you mean retry_ratio?", str(error))

    def test_missing_file(self):
        error = read_mesh_settings("/nowhere/settings.json5").unwrap_err()
        self.assertIn("/nowhere/settings.json5", str(error))
