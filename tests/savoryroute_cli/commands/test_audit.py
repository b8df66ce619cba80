"""Tests of the command audit."""

import unittest
from unittest import mock

from aiohttp import web

from savoryroute.state.audit import AuditKind, AuditTrail
from savoryroute_cli.commands import audit

from ..console import DaemonStandIn, json_answer, run


class AuditTest(unittest.TestCase):
    def setUp(self):
        self.trail = AuditTrail()
        for i in range(5):
            self.trail.record(AuditKind.LIMIT, "planner", f"to {i}", "latency")

    def page(self, request):
        after = int(request.query["after"])
        entries = [entry.to_plain() for entry in self.trail.after(after, 2)]
        last_sequence = self.trail.last_sequence
        return web.json_response({"entries": entries, "last_sequence": last_sequence})

    def test_all_pages(self):
        with DaemonStandIn(self.page) as daemon:
            result = run("audit", daemon.address)
        self.assertEqual((result.code, len(result.out.splitlines())), (0, 5))
        self.assertIn(" limit planner to 4 (latency)", result.out)

    def test_follow_continues_after_a_restart(self):
        first = json_answer({"entries": [{"sequence": 9}], "last_sequence": 9})
        restarted = json_answer({"entries": [], "last_sequence": 5})
        end = json_answer({}, status=503)
        answers = (first, restarted, self.page, self.page, self.page, self.page, end)
        with (
            DaemonStandIn(*answers) as daemon,
            mock.patch.object(audit, "FOLLOW_INTERVAL_S", 0.01),
        ):
            result = run("audit", daemon.address, "--follow")
        self.assertEqual(result.code, 1)
        self.assertIn("restarted", result.out)
        self.assertEqual(len(result.out.splitlines()), 7)

    def test_malformed_answers(self):
        for answer in (
            {},
            {"entries": [1], "last_sequence": 1},
            {"entries": [], "last_sequence": "x"},
        ):
            with DaemonStandIn(json_answer(answer)) as daemon:
                self.assertEqual(run("audit", daemon.address).code, 1)
