"""Tests of the caller: how it obtains, reuses and replaces idempotency keys."""

import unittest

from aiohttp import web

from savoryroute_lab.action_templates import ActionTemplate, RetryMode
from savoryroute_lab.answers import Answer, encode_answer
from savoryroute_lab.caller import Caller
from savoryroute_lab.http import IDEMPOTENCY_KEY, LAB_REQUEST, Listener
from savoryroute_lab.tally import Outcome
from savoryroute_lab.wiring import free_ports


class DaemonStandIn:
    """Answers each request with the next (verdict, status, next key) of a sequence."""

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
    async def send(self, template, *answers):
        daemon = DaemonStandIn(*answers)
        await daemon.listener.open()
        self.addAsyncCleanup(daemon.listener.close)
        caller = Caller({"crews": [daemon.listener.address]})
        self.addAsyncCleanup(caller.close)
        return daemon, await caller.send(template)

    async def test_key_is_obtained_reused_and_replaced(self):
        template = ActionTemplate(
            "b", "crews", "/b", "POST", idempotent=False, retry_mode=RetryMode.BACKOFF
        )
        daemon, request = await self.send(
            template,
            ("not_run", 428, "k1"),
            ("may_have_run", 504, ""),
            ("not_run", 503, "k2"),
            ("ran", 200, ""),
        )
        self.assertEqual(daemon.keys, ["", "k1", "k1", "k2"])
        self.assertEqual(request.outcome, Outcome.COMPLETE)

    async def test_refused_connection_is_retried_without_a_key(self):
        template = ActionTemplate(
            "b", "crews", "/b", "POST", idempotent=False, retry_mode=RetryMode.IMMEDIATE
        )
        caller = Caller({"crews": [f"127.0.0.1:{free_ports(1)[0]}"]})
        self.addAsyncCleanup(caller.close)
        request = await caller.send(template)
        self.assertEqual(len(request.attempts), template.max_attempts)
        self.assertEqual(request.outcome, Outcome.REFUSED)

    async def test_refusal_without_retry(self):
        _, request = await self.send(
            ActionTemplate("v", "crews", "/v"), ("not_run", 503, "")
        )
        self.assertEqual(request.outcome, Outcome.REFUSED)
        self.assertEqual(request.attempts[0].reason, "overload")
