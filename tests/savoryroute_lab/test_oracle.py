"""Tests of the load and of the oracle, on calls without a daemon."""

import unittest

import attrs

from savoryroute.verdict import Verdict
from savoryroute_lab.action_templates import ActionTemplate, LoadClass, RetryMode
from savoryroute_lab.caller import Caller
from savoryroute_lab.calls import Mark, Plan
from savoryroute_lab.load import LoadGenerator
from savoryroute_lab.oracle import find_violations
from savoryroute_lab.tally import Outcome, tally_by_class
from savoryroute_lab.upstream import Upstream
from savoryroute_lab.upstream_settings import UpstreamSettings

BOOKING = ActionTemplate("booking", "crews", "/bookings", "POST", idempotent=False)


class OracleTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        settings = UpstreamSettings("crews", "crews-1", work_s=0.001)
        self.upstream = Upstream(settings)
        await self.upstream.start()
        self.addAsyncCleanup(self.upstream.stop)
        entries = {"crews": [self.upstream.address]}
        self.caller = Caller(entries, has_daemons=False)
        self.addAsyncCleanup(self.caller.close)

    def findings(self):
        return find_violations(self.caller.requests, self.upstream.executions)

    async def test_load_is_tallied_and_clean(self):
        classes = [
            LoadClass(100.0, (BOOKING, ActionTemplate("view", "crews", "/slots")))
        ]
        await LoadGenerator(self.caller, classes, seed=1).run(0.5)
        tallies = tally_by_class(self.caller.requests)
        self.assertEqual(set(tallies), {"booking", "view"})
        for tally in tallies.values():
            self.assertEqual(tally.n_complete, tally.n_sent)
        self.assertTrue(self.findings().is_clean)

    async def test_oracle_sees_a_second_run(self):
        dropped = Plan(mark=Mark.DROP)
        send = attrs.evolve(
            BOOKING, plan=dropped, retry_mode=RetryMode.IMMEDIATE, max_attempts=2
        )
        request = await self.caller.send(send)
        self.assertEqual(request.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(self.findings().ran_twice, [request.request_id])

    async def test_oracle_sees_a_run_that_was_denied(self):
        request = await self.caller.send(ActionTemplate("view", "crews", "/slots"))
        (attempt,) = request.attempts
        object.__setattr__(attempt, "verdict", Verdict.NOT_RUN)
        self.assertEqual(self.findings().not_run_but_ran, [request.request_id])

    async def test_oracle_sees_a_run_after_its_cancellation(self):
        booking = await self.caller.send(BOOKING)
        cancellation = await self.caller.cancel(BOOKING, booking)
        self.assertEqual(cancellation.cancels, booking.request_id)
        self.assertEqual(self.findings().ran_cancelled, [])
        booking_run, _ = self.upstream.executions
        booking_run.started_s = cancellation.ended_s + 1
        self.assertEqual(self.findings().ran_cancelled, [booking.request_id])
