"""Tests of waiting calls that are returned because their upstream turned slow."""

import asyncio
from unittest import mock

from savoryroute.protocol.mesh_frames import FrameKind
from savoryroute.transport.frame_link import FrameLink
from savoryroute.verdict import Reason

from .test_path import PathTest


class ReturnedCallTest(PathTest):
    services = ("front", "planner", "planner")
    kinds = {"planner": "unsafe"}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for upstream in self.planners:
            upstream.slots = 3
            upstream.delay_s = 0.15
        # The daemons learn the slots from the first answers.
        self.assertEqual(await self.request_many(4), [200] * 4)

    async def request_many(self, n_requests):
        async def send():
            caller = await self.fleet.caller(0)
            answer = await caller.request("/planner/x", method="POST", body=b"x")
            caller.close()
            return answer.status

        return await asyncio.gather(*(send() for _ in range(n_requests)))

    def free_second(self):
        """Give the second planner slots for all, which the first hop does not know."""
        self.planners[1].slots = self.fleet.nodes[2]._queue.slots = 30

    async def return_calls_of_first(self):
        """Let calls wait at the first planner, which then turns slow."""
        self.free_second()
        requests = asyncio.create_task(self.request_many(8))
        queue = self.fleet.nodes[1]._queue
        await self.fleet.wait_until(lambda: queue.n_waiting)
        queue.times._factor = 1000.0
        queue._return_late()
        queue.times._factor = 1.0
        self.assertGreater(queue.n_returned, 0)
        return await requests

    def runs(self):
        return [run["request-id"] for item in self.planners for run in item.runs]

    async def test_returned_calls_run_elsewhere_without_the_retry_budget(self):
        self.assertEqual(set(await self.return_calls_of_first()), {200})
        self.assertEqual(self.fleet.nodes[0]._first_hop.gauges()["repeats"], {})
        self.assertEqual(len(self.runs()), len(set(self.runs())))
        for node in self.fleet.nodes:
            node._log.flush()
        lines = [x for x in self.fleet.log_lines if x["event"] == "placed_again"]
        self.assertTrue(any("1000.00 times" in line["detail"] for line in lines))
        for line in lines:
            fields = {"instance", "load", "wait_ms", "factor", "report_age"}
            self.assertLessEqual(fields, set(line))

    async def test_unsafe_call_runs_once_if_its_return_is_lost_with_the_link(self):
        """Guards against a second run after an answer that never arrived."""
        send = FrameLink.send

        def lose_returns(link, frame):
            if frame[0] == FrameKind.ANSWER and frame[3] == Reason.OVERLOAD:
                link.abort()
                return
            send(link, frame)

        with mock.patch.object(FrameLink, "send", lose_returns):
            statuses = await self.return_calls_of_first()
        self.assertIn(502, statuses)
        self.assertNotIn(503, statuses)
        self.assertEqual(len(self.runs()), len(set(self.runs())))

    async def test_calls_are_returned_when_the_upstream_says_that_it_is_slow(self):
        """Guards against calls that wait out their time at an upstream turned slow."""
        # A longer target, so that many calls may wait for longer.
        self.fleet.publish(2, **{"target-latency": "3000ms", "timeout": "4000ms"})
        nodes = self.fleet.nodes
        await self.fleet.wait_until(
            lambda: all(node.synchronizer.table.version == 2 for node in nodes)
        )
        slow = self.planners[0]
        self.planners[1].delay_s = 0.05
        for work_time in (100, 100, 100, 400, 100, 400, 100, 100):
            slow.work_time, slow.delay_s = work_time, 0.0005 * work_time
            for _ in range(3):
                await self.request_many(6)
        queue = self.fleet.nodes[1]._queue
        self.assertEqual(queue.times.factor, 1.0)
        self.free_second()
        requests = asyncio.create_task(self.request_many(24))
        await self.fleet.wait_until(lambda: queue.n_waiting > 4)
        slow.work_time, slow.delay_s = 800, 0.4
        statuses = await requests
        self.assertGreater(queue.times.factor, 2.0)
        self.assertGreater(queue.n_returned, 0)
        self.assertEqual(set(statuses), {200})
