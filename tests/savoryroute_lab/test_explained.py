"""Tests of the explanation of a refused request."""

import types
import unittest

from aiohttp import web

from savoryroute.verdict import Verdict
from savoryroute_lab.explained import explain_refusal, latest_refusal
from savoryroute_lab.http import Listener
from savoryroute_lab.tally import Attempt, LogicalRequest
from savoryroute_lab.wiring import OPERATOR_KEY


def refused_attempt(sent_s, action="a/1", reason="overload", verdict=Verdict.NOT_RUN):
    return Attempt("h:1", "", sent_s, 0.1, 503, verdict, reason, action=action)


def request(*attempts):
    return LogicalRequest(
        "view", "s", "GET", "/", True, "q", "t", 0.0, attempts=list(attempts)
    )


class LatestRefusalTest(unittest.TestCase):
    def test_latest_overload_refusal_is_found(self):
        requests = [
            request(refused_attempt(3.0), refused_attempt(1.0)),
            request(
                refused_attempt(5.0, reason="leaving"), refused_attempt(6.0, action="")
            ),
            request(refused_attempt(7.0, verdict=Verdict.MAY_HAVE_RUN)),
        ]
        self.assertEqual(latest_refusal(requests).sent_s, 3.0)

    def test_none_without_a_refusal(self):
        self.assertIsNone(latest_refusal([request()]))


class ExplainRefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_decisions_of_all_daemons(self):
        decision = {"uptime_s": 1.25, "what": "placed", "detail": "host-2"}
        requests = []

        async def handle(request):
            requests.append((request.raw_path, request.headers["Authorization"]))
            return web.json_response(
                {"decisions": [decision] if len(requests) == 1 else []}
            )

        app = web.Application()
        app.router.add_get("/{path:.*}", handle)
        listener = Listener(app)
        await listener.open()
        self.addAsyncCleanup(listener.close)
        ports = types.SimpleNamespace(operators=listener.port)
        wiring = types.SimpleNamespace(ports={"host-1": ports, "host-2": ports})
        lines = await explain_refusal(wiring, refused_attempt(1.0))
        self.assertEqual(
            lines,
            [
                "why a/1 was refused (status 503):",
                "  host-1: 1.250 s placed: host-2",
            ],
        )
        self.assertEqual(requests, [("/explain/a%2F1", f"Bearer {OPERATOR_KEY}")] * 2)
