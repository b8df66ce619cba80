"""Tests of the load generator and the oracle, with direct calls to an upstream."""

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

    async def test_load_is_tallied_without_violations(self):
        classes = [
            LoadClass(100.0, (BOOKING, ActionTemplate("view", "crews", "/slots")))
        ]
        await LoadGenerator(self.caller, classes, seed=1).run(0.5)
        tallies = tally_by_class(self.caller.requests)
        self.assertEqual(set(tallies), {"booking", "view"})
        for tally in tallies.values():
            self.assertEqual(tally.n_complete, tally.n_sent)
        self.assertTrue(self.findings().is_clean)

    async def test_second_execution_is_found(self):
        dropped = Plan(mark=Mark.DROP)
        template = attrs.evolve(
            BOOKING, plan=dropped, retry_mode=RetryMode.IMMEDIATE, max_attempts=2
        )
        request = await self.caller.send(template)
        self.assertEqual(request.outcome, Outcome.MAY_HAVE_RUN)
        self.assertEqual(self.findings().ran_twice, [request.request_id])

    async def test_execution_reported_as_not_run_is_found(self):
        request = await self.caller.send(ActionTemplate("view", "crews", "/slots"))
        (attempt,) = request.attempts
        object.__setattr__(attempt, "verdict", Verdict.NOT_RUN)
        self.assertEqual(self.findings().not_run_but_ran, [request.request_id])

    async def test_execution_after_its_cancellation_is_found(self):
        booking = await self.caller.send(BOOKING)
        cancellation = await self.caller.cancel(BOOKING, booking)
        self.assertEqual(cancellation.cancels, booking.request_id)
        self.assertEqual(self.findings().ran_cancelled, [])
        booking_execution, _ = self.upstream.executions
        booking_execution.started_s = cancellation.ended_s + 1
        self.assertEqual(self.findings().ran_cancelled, [booking.request_id])
