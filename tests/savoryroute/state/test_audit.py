"""Tests of the audit trail."""

import json
import unittest

from savoryroute.state.audit import AuditKind, AuditTrail


class AuditTrailTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.trail = AuditTrail(capacity=3, clock=lambda: self.now_s)

    def record(self, n_entries):
        for i in range(n_entries):
            self.trail.record(AuditKind.LIMIT, "planner", f"{i} -> {i + 1}", "latency")

    def sequences(self, after, limit=10):
        return [entry.sequence for entry in self.trail.after(after, limit)]

    def test_entry(self):
        self.now_s = 102.5
        entry = self.trail.record(AuditKind.DOCUMENT, "production", "1 -> 2", "r7")
        self.assertEqual((entry.sequence, entry.uptime_s), (1, 2.5))
        self.assertEqual(json.loads(json.dumps(entry.to_plain()))["kind"], "document")

    def test_ring_keeps_the_latest_entries(self):
        self.assertEqual(self.sequences(0), [])
        self.record(5)
        self.assertEqual(self.trail.last_sequence, 5)
        self.assertEqual(self.sequences(0), [3, 4, 5])
        self.assertEqual(self.sequences(-9, limit=2), [3, 4])
        self.assertEqual(self.sequences(4), [5])
        self.assertEqual(self.sequences(5), [])
        self.assertEqual(self.sequences(99), [])
        self.assertEqual(self.sequences(0, limit=-1), [])
