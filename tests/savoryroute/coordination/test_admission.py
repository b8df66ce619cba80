"""Model-based test of the admission gate, and tests of what the model leaves open."""

import asyncio
import math
import random
import unittest

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from savoryroute.coordination.admission import AdmissionGate
from savoryroute.coordination.limits import FixedLimit, make_limit
from savoryroute.verdict import Reason, Verdict
from savoryroute_lab.virtual_clock import VirtualClockLoop

LATENCY_S = 0.25
RANKS = st.sampled_from([0, 3, 7])
WAITS_S = st.sampled_from([0.0, 0.125, 0.5, 1.0, 4.0, 16.0])


@attrs.define(eq=False)
class Call:
    """One request in the model.

    ``state`` is a string or the set of reasons for which the request may be refused.
    """

    rank: int
    is_under_way: bool
    number: int
    expires_s: float
    task: asyncio.Task
    state: object = "waiting"

    @property
    def order(self):
        return (self.rank, not self.is_under_way, self.number)


class GateMachine(RuleBasedStateMachine):
    """Arrivals, answers, cancellations, passing time and new documents in any order."""

    @initialize(slots=st.sampled_from([1, 2, 3, 6]), queue_length=st.integers(0, 4))
    def start(self, slots, queue_length):
        self.loop = VirtualClockLoop()
        limit = FixedLimit(1, slots, slots)
        clock = self.loop.time
        self.gate = AdmissionGate(limit, queue_length, clock, random.Random(0))
        self.slots, self.queue_length = slots, queue_length
        self.running, self.queue, self.calls = [], [], []
        self.ranks_with_latency = set()

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        self.gate.drain()
        self.settle()
        for call in self.queue:
            refusal = call.task.result().unwrap_err()
            assert (refusal.reason, refusal.is_load) == (Reason.LEAVING, False)
        for call in self.running:
            call.task.result().unwrap().release(None, False)
        self.loop.run_until_complete(self.gate.wait_idle())
        assert (self.gate.n_in_flight, self.gate.n_queued) == (0, 0)
        self.loop.close()

    def settle(self):
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.run_until_complete(asyncio.sleep(0))

    def arrive(self, rank, is_under_way, wait_s, time_left_s, is_spill_over=False):
        admission = self.gate.admit(
            rank, is_under_way, wait_s, time_left_s, is_spill_over
        )
        task = self.loop.create_task(admission)
        usual_s = LATENCY_S if rank in self.ranks_with_latency else 0.0
        longest_s = min(wait_s, max(0.0, time_left_s - usual_s))
        expires_s = self.loop.time() + longest_s
        call = Call(rank, is_under_way, len(self.calls), expires_s, task)
        self.calls.append(call)
        return call

    def fill(self):
        self.queue.sort(key=lambda call: call.order)
        while self.queue and len(self.running) < self.slots:
            self.run(self.queue.pop(0))

    def run(self, call):
        call.state = "running"
        self.running.append(call)

    def expire(self):
        for call in list(self.queue):
            if call.expires_s <= self.loop.time():
                self.queue.remove(call)
                call.state = {Reason.OVERLOAD, Reason.DEADLINE}

    def refused_at_once(self, call):
        if not call.task.done() or call.task.result().is_ok():
            return False
        reason = call.task.result().unwrap_err().reason
        return reason in {Reason.OVERLOAD, Reason.DEADLINE}

    @rule(rank=RANKS, is_under_way=st.booleans(), wait_s=WAITS_S, left_s=WAITS_S)
    def call(self, rank, is_under_way, wait_s, left_s):
        call = self.arrive(rank, is_under_way, wait_s, left_s)
        is_free = not self.queue and len(self.running) < self.slots
        ahead = [other for other in self.queue if other.order < call.order]
        self.settle()
        if left_s <= 0.0:
            call.state = {Reason.DEADLINE}
        elif is_free:
            self.run(call)
        elif ahead and self.refused_at_once(call):
            call.state = {Reason.OVERLOAD, Reason.DEADLINE}
        else:
            self.queue_up(call)
        self.expire()

    def queue_up(self, call):
        waiting = sorted([*self.queue, call], key=lambda other: other.order)
        for other in waiting[self.queue_length :]:
            other.state = {Reason.QUEUE_FULL}
        self.queue = waiting[: self.queue_length]

    @rule(rank=RANKS)
    def spill_over(self, rank):
        call = self.arrive(rank, True, 4.0, 4.0, is_spill_over=True)
        n_running = len(self.running)
        is_idle = not self.queue and n_running < self.slots
        self.settle()
        if is_idle and n_running <= 0.8 * self.slots:
            self.run(call)
        else:
            call.state = {Reason.OVERLOAD}

    @precondition(lambda self: self.running)
    @rule(data=st.data(), is_known=st.booleans(), is_dropped=st.booleans())
    def answer(self, data, is_known, is_dropped):
        call = data.draw(st.sampled_from(self.running))
        self.running.remove(call)
        call.state = "released"
        permit = call.task.result().unwrap()
        for _ in range(2):
            permit.release(LATENCY_S if is_known else None, is_dropped)
        if is_known and not is_dropped:
            self.ranks_with_latency.add(call.rank)
        self.fill()
        self.settle()

    @precondition(lambda self: self.queue)
    @rule(data=st.data(), is_granted_meanwhile=st.booleans())
    def hang_up(self, data, is_granted_meanwhile):
        call = data.draw(st.sampled_from(self.queue))
        if is_granted_meanwhile:
            released = self.running.pop()
            released.state = "released"
            released.task.result().unwrap().release(None, False)
            self.fill()
        call.task.cancel()
        (self.queue if call in self.queue else self.running).remove(call)
        call.state = "cancelled"
        self.fill()
        self.settle()

    @rule(elapsed_s=st.sampled_from([0.125, 0.5, 3.0]))
    def wait(self, elapsed_s):
        self.loop.run_until_complete(asyncio.sleep(elapsed_s))
        self.expire()
        self.settle()

    @rule(slots=st.integers(1, 4), queue_length=st.integers(0, 4))
    def new_document(self, slots, queue_length):
        for call in self.queue[queue_length:]:
            call.state = {Reason.QUEUE_FULL}
        del self.queue[queue_length:]
        self.slots, self.queue_length = slots, queue_length
        self.gate.reconfigure(FixedLimit(1, slots, slots), queue_length)
        self.fill()
        self.settle()

    @invariant()
    def agrees(self):
        if not hasattr(self, "loop"):
            return
        assert self.gate.n_in_flight == len(self.running)
        assert self.gate.n_queued == len(self.queue)
        assert 0.0 <= self.gate.level <= 8.0
        for call in self.calls:
            self.check(call)

    def check(self, call):
        assert call.task.done() == (call.state != "waiting")
        if call.state in ("running", "released"):
            assert call.task.result().is_ok()
        elif call.state == "cancelled":
            assert call.task.cancelled()
        elif call.state != "waiting":
            refusal = call.task.result().unwrap_err()
            assert refusal.reason in call.state
            assert refusal.verdict is Verdict.NOT_RUN
            assert not refusal.is_load or 0.1 <= refusal.retry_after_s <= 30.0


GateMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)


class GateMachineTests(GateMachine.TestCase):
    """The machine as a test case."""


class AdmissionGateTests(unittest.TestCase):
    """Early refusals, growth of the limit, and drain."""

    def setUp(self):
        self.loop = VirtualClockLoop()
        self.addCleanup(self.loop.close)

    def gate(self, kind="fixed", slots=1, queue_length=1000):
        limit = make_limit(kind, 1, slots, slots)
        return AdmissionGate(limit, queue_length, self.loop.time, random.Random(0))

    async def serve(self, permit, latency_s=0.1):
        await asyncio.sleep(latency_s)
        permit.release(latency_s, False)

    async def call(self, gate, rank, queue_timeout_s, time_left_s=math.inf):
        result = await gate.admit(rank, False, queue_timeout_s, time_left_s)
        if result.is_ok():
            await self.serve(result.unwrap())
        return result

    async def saturate(self, gate, n_calls):
        calls = (self.call(gate, 4, math.inf) for _ in range(n_calls))
        group = asyncio.gather(*calls)
        await asyncio.sleep(1.05)
        return group

    def test_request_with_too_long_expected_wait_is_refused_at_once(self):
        async def scenario():
            gate = self.gate()
            group = await self.saturate(gate, 50)
            started_s = self.loop.time()
            late = await self.call(gate, 4, 1.0)
            self.assertEqual(self.loop.time(), started_s)
            self.assertIs(late.unwrap_err().reason, Reason.OVERLOAD)
            too_late = await self.call(gate, 4, math.inf, 1.0)
            self.assertEqual(self.loop.time(), started_s)
            self.assertIs(too_late.unwrap_err().reason, Reason.DEADLINE)
            better = await self.call(gate, 3, 1.0)
            self.assertTrue(better.is_ok())
            await group

        self.loop.run_until_complete(scenario())

    def test_growing_limit_starts_queued_requests(self):
        async def scenario():
            gate = self.gate("gradient", slots=64)
            group = await self.saturate(gate, 400)
            self.assertEqual(gate.limit, 64)
            await group

        self.loop.run_until_complete(scenario())

    def test_downstream_time_does_not_lower_the_limit(self):
        async def scenario():
            gate = self.gate("gradient", slots=64)
            group = await self.saturate(gate, 400)
            for _ in range(200):
                permit = (await gate.admit(0, True, 9.0, 9.0)).unwrap()
                permit.release(2.0, False, self_time_s=0.1)
            self.assertEqual(gate.limit, 64)
            await group

        self.loop.run_until_complete(scenario())

    def test_aborted_runs_count_in_the_expected_service_time(self):
        async def scenario():
            gate = self.gate()
            await self.call(gate, 0, 9.0)
            for _ in range(20):
                permit = (await gate.admit(0, True, 9.0, 9.0)).unwrap()
                await asyncio.sleep(1.0)
                permit.release_incomplete(1.0)
            running = (await gate.admit(0, True, 9.0, 9.0)).unwrap()
            late = await gate.admit(0, True, 9.0, 0.5)
            self.assertIs(late.unwrap_err().reason, Reason.DEADLINE)
            running.release(None, False)

        self.loop.run_until_complete(scenario())

    def test_drain_refuses_queued_requests_and_lets_running_ones_end(self):
        async def scenario():
            gate = self.gate()
            calls = [asyncio.ensure_future(self.call(gate, 0, 5.0)) for _ in range(2)]
            await asyncio.sleep(0.05)
            gate.drain()
            await gate.wait_idle()
            running, waiting = await asyncio.gather(*calls)
            self.assertTrue(running.is_ok())
            self.assertIs(waiting.unwrap_err().reason, Reason.LEAVING)
            new = await gate.admit(0, True, 1.0, 1.0)
            self.assertIs(new.unwrap_err().verdict, Verdict.NOT_RUN)

        self.loop.run_until_complete(scenario())
