import os
import pathlib
import tempfile
import unittest
from unittest import mock

from aiohttp import web

from savoryroute.state.audit import AuditKind, AuditTrail
from savoryroute_cli.commands import audit

from ..console import StandIn, json_answer, run

CLOSED = "127.0.0.1:1"


def state(version):
    document = {"version": version, "revision": 7, "digest": "ab" * 32}
    return {
        "host": "nairobi-planner-1",
        "service": "planner",
        "readiness": "ready",
        "documents": {"production": document, "trial": None},
        "members": [{"status": "live"}, {"status": "live"}, {"status": "leaving"}],
    }


class StatusTest(unittest.TestCase):
    def test_documents_that_differ(self):
        with StandIn(json_answer(state(1))) as one, StandIn(json_answer(state(2))) as b:
            done = run("status", one.address, b.address)
        self.assertEqual(done.code, 0)
        self.assertIn("v1 r7 abababababab", done.out)
        self.assertIn("1 leaving, 2 live", done.out)
        self.assertIn("production documents differ", done.out)

    def test_one_of_two_unreachable(self):
        with StandIn(json_answer(state(1))) as daemon:
            done = run("status", CLOSED, daemon.address)
        self.assertEqual(done.code, 3)
        self.assertIn("nairobi-planner-1", done.out)
        self.assertIn(CLOSED, done.err)

    def test_odd_answers(self):
        for answer in ({}, {"documents": 1, "members": 2}, {"host": "\x1b[31m"}):
            with StandIn(json_answer(answer)) as daemon:
                done = run("status", daemon.address)
            self.assertEqual(done.code, 0)
            self.assertNotIn("\x1b", done.out)
        for answer in (json_answer([]), lambda _: web.Response(text="<html>")):
            with StandIn(answer) as daemon:
                self.assertEqual(run("status", daemon.address).code, 1)

    def test_operator_key(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "key")
            path.write_text("from-file\n")
            variables = {"SAVORYROUTE_OPERATOR_KEY": "from-variable"}
            with (
                StandIn(json_answer(state(1))) as daemon,
                mock.patch.dict(os.environ, variables),
            ):
                run("status", daemon.address, "--key-file", path)
                run("status", daemon.address)
        shown = [request.headers["Authorization"] for request in daemon.requests]
        self.assertEqual(shown, ["Bearer from-file", "Bearer from-variable"])

    def test_refused_key(self):
        with StandIn(json_answer({}, status=401)) as daemon:
            done = run("status", daemon.address)
        self.assertEqual(done.code, 1)
        self.assertIn("401", done.err)


class ExplainTest(unittest.TestCase):
    def test_decisions(self):
        entries = [{"uptime_s": 1.5, "what": "admitted", "detail": "rank 0"}, {}, 1]
        with StandIn(json_answer({"decisions": entries})) as daemon:
            done = run("explain", daemon.address, "sr1.a/b?")
        self.assertEqual(done.code, 0)
        self.assertTrue(done.out.startswith("1.500 s admitted rank 0\n"))
        self.assertEqual(daemon.requests[0].raw_path, "/explain/sr1.a%2Fb%3F")

    def test_unknown_action(self):
        with StandIn(json_answer({"decisions": []})) as daemon:
            self.assertEqual(run("explain", daemon.address, "a").code, 1)
        self.assertEqual(run("explain", CLOSED, "a").code, 3)


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
        with StandIn(self.page) as daemon:
            done = run("audit", daemon.address)
        self.assertEqual((done.code, len(done.out.splitlines())), (0, 5))
        self.assertIn(" limit planner to 4 (latency)", done.out)

    def test_follow_over_a_restart(self):
        first = json_answer({"entries": [{"sequence": 9}], "last_sequence": 9})
        restarted = json_answer({"entries": [], "last_sequence": 5})
        end = json_answer({}, status=503)
        answers = (first, restarted, self.page, self.page, self.page, self.page, end)
        with (
            StandIn(*answers) as daemon,
            mock.patch.object(audit, "FOLLOW_INTERVAL_S", 0.01),
        ):
            done = run("audit", daemon.address, "--follow")
        self.assertEqual(done.code, 1)
        self.assertIn("restarted", done.out)
        self.assertEqual(len(done.out.splitlines()), 7)

    def test_odd_answers(self):
        for answer in ({}, {"entries": [1], "last_sequence": 1}, {"entries": []}):
            with StandIn(json_answer(answer)) as daemon:
                self.assertEqual(run("audit", daemon.address).code, 1)
