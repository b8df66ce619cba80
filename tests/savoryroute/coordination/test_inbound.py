"""Tests of inbound calls read after a pause of the process."""

import unittest

from result import Ok

from savoryroute.coordination.admission import AdmissionGate
from savoryroute.coordination.inbound import Inbound
from savoryroute.coordination.limits import make_limit
from savoryroute.coordination.pause import PauseDetector
from savoryroute.protocol.frames import Call
from savoryroute.protocol.request import Response
from savoryroute.state.decisions import DecisionLog
from savoryroute.state.ledger import Ledger


class RecordingGuard:
    def __init__(self):
        self.times_left_s = []

    async def deliver(self, arrival):
        self.times_left_s.append(arrival.time_left_s)
        return Ok(Response(200, (), b""))


def call(time_left_ms):
    return Call(
        id=1,
        action="a",
        key="",
        cancels="",
        is_target_fenced=False,
        class_name="c",
        time_left_ms=time_left_ms,
        allowance=1,
        depth=0,
        is_spill_over=False,
        traceparent="",
        method="GET",
        target="/",
        headers=[],
        body=b"",
        was_lost=False,
    )


class PausedInboundTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.now_s = 50.0
        self.guard = RecordingGuard()
        self.pause = PauseDetector(clock=lambda: self.now_s)
        self.inbound = Inbound(
            "s",
            self.guard,
            AdmissionGate(make_limit("fixed", 1, 4, 4), 4),
            Ledger("h", 1, lambda: 100.0),
            self.pause,
            DecisionLog(),
        )

    async def test_pause_is_deducted_from_the_time_left_of_a_call_read_after_it(self):
        self.now_s += 3.0
        await self.inbound.run(call(1000))
        self.assertLess(self.guard.times_left_s[0], 0.0)

    async def test_call_without_a_pause_keeps_its_time_left(self):
        await self.inbound.run(call(1000))
        self.assertGreater(self.guard.times_left_s[0], 0.9)
