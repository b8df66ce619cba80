"""Tests of the command call."""

import json
import unittest

from aiohttp import web

from ..console import CLOSED, DaemonStandIn, run


def problem(status, verdict, reason, **members):
    body = {"reason": reason, "detail": "d", "verdict": verdict} | members
    headers = {"Savoryroute-Verdict": verdict}
    return lambda _: web.Response(text=json.dumps(body), status=status, headers=headers)


def ran(_):
    return web.Response(text="whole", headers={"Savoryroute-Verdict": "ran"})


def close_connection(request):
    request.transport.close()
    return web.Response()


key_required = problem(428, "not_run", "key_required", idempotency_key="k1")
overload = problem(503, "not_run", "overload", retry_after_s=0.01)
lost = problem(502, "may_have_run", "connection_lost", retry_after_s=0.01)


class CallTest(unittest.TestCase):
    def call(self, answers, *options):
        with DaemonStandIn(*answers) as daemon:
            result = run("call", f"http://{daemon.address}/planner/orders", *options)
        self.requests = daemon.requests
        return result

    def keys(self):
        return [request.headers.get("Idempotency-Key") for request in self.requests]

    def test_body_and_verdict_of_a_request_that_ran(self):
        result = self.call([ran], "--timeout", "5000")
        self.assertEqual((result.code, result.out), (0, "whole"))
        self.assertIn("verdict: ran", result.err)
        left_ms = int(self.requests[0].headers["grpc-timeout"].removesuffix("m"))
        self.assertTrue(4000 < left_ms <= 5000)

    def test_key_is_fetched_once(self):
        result = self.call([key_required, ran], "--method", "post", "--data", "x")
        self.assertEqual((result.code, self.keys()), (0, [None, "k1"]))
        result = self.call([key_required], "--method", "POST")
        self.assertEqual((result.code, self.keys()), (1, [None, "k1"]))

    def test_refusal_without_retry(self):
        result = self.call([overload, ran])
        self.assertEqual((result.code, len(self.requests)), (1, 1))
        self.assertIn("reason: overload", result.err)

    def test_spent_key_is_replaced(self):
        spent = problem(
            503, "not_run", "overload", retry_after_s=0, idempotency_key="k2"
        )
        result = self.call([spent, ran], "--retry", "--method", "POST", "--key", "k0")
        self.assertEqual((result.code, self.keys()), (0, ["k0", "k2"]))

    def test_key_is_kept_if_the_request_may_have_run(self):
        result = self.call([lost, ran], "--retry", "--method", "POST", "--key", "k0")
        self.assertEqual((result.code, self.keys()), (0, ["k0", "k0"]))

    def test_unsafe_request_without_key_is_not_retried(self):
        result = self.call([lost, ran], "--retry", "--method", "DELETE")
        self.assertEqual((result.code, len(self.requests)), (1, 1))

    def test_later_refusal_does_not_replace_may_have_run(self):
        last = problem(503, "not_run", "overload")
        result = self.call([lost, last], "--retry")
        self.assertIn("verdict: may_have_run", result.err)
        result = self.call([lost, last], "--retry", "--method", "POST", "--key", "k0")
        self.assertIn("verdict: not_run", result.err)

    def test_requests_are_bounded(self):
        self.call([overload], "--retry")
        self.assertEqual(len(self.requests), 5)
        later = problem(503, "not_run", "overload", retry_after_s=60)
        self.call([later], "--retry", "--timeout", "500")
        self.assertEqual(len(self.requests), 1)

    def test_request_on_a_lost_connection_may_have_run(self):
        for method in ("GET", "DELETE"):
            result = self.call([close_connection], "--method", method)
            self.assertEqual((result.code, len(self.requests)), (3, 1))
            self.assertIn("verdict: may_have_run", result.err)

    def test_answers_without_verdict_or_with_malformed_members(self):
        result = self.call([lambda _: web.Response(text="hello")])
        self.assertEqual((result.code, result.out), (1, "hello"))
        self.assertIn("no verdict", result.err)
        malformed = problem(
            503, "not_run", "overload", retry_after_s="x", idempotency_key=1
        )
        self.assertEqual(self.call([malformed], "--retry").code, 1)

    def test_unreachable(self):
        result = run("call", f"http://{CLOSED}/planner")
        self.assertEqual(result.code, 3)
        self.assertIn("verdict: not_run", result.err)
