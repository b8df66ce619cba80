"""What ended requests held must be freed at once, not by the garbage collector."""

import asyncio
import gc

from savoryroute.coordination.forwarded_request import ForwardedRequest
from savoryroute.coordination.local_upstream import LocalCall
from savoryroute.protocol.mesh_frames import MeshAnswer, MeshCall
from savoryroute.transport.caller_exchange import CallerRequest, Exchange
from savoryroute.transport.exchange_outcome import HttpAnswer
from savoryroute.transport.http_client import PendingExchange, _PooledConnection
from savoryroute.transport.http_server import _CallerConnection

from .test_path import PathTest

OF_REQUESTS = (
    CallerRequest,
    Exchange,
    ForwardedRequest,
    HttpAnswer,
    LocalCall,
    MeshAnswer,
    MeshCall,
    PendingExchange,
    _CallerConnection,
    _PooledConnection,
)
BODY = b"b" * 50_000
LONG_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nServer-Stamp: s\r\n"
    b"Content-Length: 200000\r\n\r\n" + b"a" * 200_000
)


class ReleasedMemoryTest(PathTest):
    """Bodies of ended requests stayed in cycles of references until a collection."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.request()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    async def assert_nothing_left(self):
        await asyncio.sleep(0.2)
        gc.set_debug(gc.DEBUG_SAVEALL)
        try:
            gc.collect()
            left = [type(item).__name__ for item in gc.garbage]
            held = {item.__name__ for item in OF_REQUESTS}.intersection(left)
        finally:
            gc.set_debug(0)
            gc.garbage.clear()
        self.assertEqual(held, set())

    def script_all(self, action):
        for planner in self.planners:
            planner.script += [action] * 10

    async def test_answered_requests(self):
        for _ in range(5):
            answer = await self.request(method="POST", body=BODY)
            self.assertEqual(answer.status, 200)
        await self.assert_nothing_left()

    async def test_requests_to_the_local_upstream(self):
        caller = await self.fleet.caller(1)
        for _ in range(6):
            self.assertEqual((await caller.request("/planner/x")).status, 200)
        await self.assert_nothing_left()

    async def test_long_answers(self):
        self.script_all(LONG_ANSWER)
        self.assertEqual(len((await self.request()).body), 200_000)
        await self.assert_nothing_left()

    async def test_rejected_and_lost_requests(self):
        for action in ("shed", "drop", b"garbage\r\n\r\n"):
            self.script_all(action)
            for index in (0, 1):
                caller = await self.fleet.caller(index)
                await caller.request("/planner/x", method="POST", body=BODY)
                caller.close()
            for planner in self.planners:
                planner.script.clear()
        await self.assert_nothing_left()

    async def test_requests_that_end_at_their_deadline(self):
        for planner in self.planners:
            planner.delay_s = 1.0
        for index in (0, 1):
            caller = await self.fleet.caller(index)
            answer = await caller.request("/planner/x", headers={"Deadline-Ms": "200"})
            self.assertEqual(answer.status, 504)
            caller.close()
        await self.assert_nothing_left()

    async def test_requests_whose_callers_leave(self):
        for planner in self.planners:
            planner.delay_s = 0.3
        for index in (0, 1):
            caller = await self.fleet.caller(index)
            caller.write("/planner/x", method="POST", body=BODY)
            await asyncio.sleep(0.1)
            caller.close()
        await self.assert_nothing_left()


class AnswerBudgetTest(PathTest):
    """Every way in which a request ends returns the memory of its answers."""

    async def test_failed_answers_kept_during_a_retry(self):
        failed = LONG_ANSWER.replace(b"200 OK", b"500 Failed")
        budget = self.fleet.nodes[0]._answer_bodies
        for is_left in (False, True):
            for planner in self.planners:
                planner.script += [failed]
                planner.delay_s = 0.2 if is_left else 0.0
            caller = await self.fleet.caller(0)
            caller.write("/planner/x")
            if is_left:
                await asyncio.sleep(0.3)
                caller.close()
            else:
                self.assertTrue((await caller.read()).is_complete)
            for planner in self.planners:
                planner.script.clear()
            await self.fleet.wait_until(lambda: not budget.held_bytes)
        for node in self.fleet.nodes:
            self.assertEqual(node._answer_bodies.held_bytes, 0)
