"""Tests of the load generator and of the oracle."""

import unittest

import attrs
from aiohttp import web

from savoryroute.verdict import Verdict
from savoryroute_lab.answers import Answer, encode_answer
from savoryroute_lab.caller import Caller, Load, LoadClass, Resend, Send
from savoryroute_lab.calls import Mark, Plan
from savoryroute_lab.http import IDEMPOTENCY_KEY, LAB_REQUEST, Listener
from savoryroute_lab.oracle import judge
from savoryroute_lab.tally import Outcome, tally_by_class
from savoryroute_lab.upstream import Upstream, UpstreamSettings

BOOKING = Send("booking", "crews", "/bookings", "POST", idempotent=False)


class FakeDaemon:
    """Answers with a stated sequence, one entry for each request."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.keys = []
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.handle)
        self.listener = Listener(app)

    async def handle(self, request):
        self.keys.append(request.headers.get(IDEMPOTENCY_KEY, ""))
        verdict, status, next_key = self.answers.pop(0)
        headers = {"Savoryroute-Verdict": verdict}
        if verdict == "ran":
            answer = Answer(request.headers[LAB_REQUEST], "crews", "h", b"abc")
            return web.Response(body=encode_answer(answer), headers=headers)
        problem = {"reason": "overload", "retry_after_s": 0.01}
        if next_key:
            problem["idempotency_key"] = next_key
        response = web.json_response(problem, status=status, headers=headers)
        response.content_type = "application/problem+json"
        return response


class KeyFlowTests(unittest.IsolatedAsyncioTestCase):
    async def send(self, send, *answers):
        daemon = FakeDaemon(*answers)
        await daemon.listener.open()
        self.addAsyncCleanup(daemon.listener.close)
        caller = Caller({"crews": [daemon.listener.address]})
        self.addAsyncCleanup(caller.close)
        return daemon, await caller.send(send)

    async def test_key_is_fetched_kept_and_replaced(self):
        send = Send("b", "crews", "/b", "POST", idempotent=False, resend=Resend.POLITE)
        daemon, request = await self.send(
            send,
            ("not_run", 428, "k1"),
            ("may_have_run", 504, ""),
            ("not_run", 503, "k2"),
            ("ran", 200, ""),
        )
        self.assertEqual(daemon.keys, ["", "k1", "k1", "k2"])
        self.assertEqual(request.outcome, Outcome.WHOLE)

    async def test_refusal_without_resend(self):
        _, request = await self.send(Send("v", "crews", "/v"), ("not_run", 503, ""))
        self.assertEqual(request.outcome, Outcome.REFUSED)
        self.assertEqual(request.attempts[0].reason, "overload")


class DirectTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = UpstreamSettings("crews", "crews-1", work_s=0.001)
        self.upstream = Upstream(settings)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        entries = {"crews": [self.upstream.address]}
        self.caller = Caller(entries, has_daemons=False)
        self.addAsyncCleanup(self.caller.close)

    def findings(self):
        return judge(self.caller.requests, self.upstream.executions)

    async def test_load_is_tallied_and_clean(self):
        classes = [LoadClass(100.0, (BOOKING, Send("view", "crews", "/slots")))]
        await Load(self.caller, classes, seed=1).run(0.5)
        tallies = tally_by_class(self.caller.requests)
        self.assertEqual(set(tallies), {"booking", "view"})
        for tally in tallies.values():
            self.assertEqual(tally.n_whole, tally.n_sent)
        self.assertTrue(self.findings().is_clean)

    async def test_oracle_sees_a_second_run(self):
        dropped = Plan(mark=Mark.DROP)
        send = attrs.evolve(BOOKING, plan=dropped, resend=Resend.HARD, maximum_sends=2)
        request = await self.caller.send(send)
        self.assertEqual(request.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(self.findings().ran_twice, [request.request_id])

    async def test_oracle_sees_a_run_that_was_denied(self):
        request = await self.caller.send(Send("view", "crews", "/slots"))
        (attempt,) = request.attempts
        object.__setattr__(attempt, "verdict", Verdict.NOT_RUN)
        self.assertEqual(self.findings().not_run_but_ran, [request.request_id])
