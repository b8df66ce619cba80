"""Tests of attempts through daemons: retries, rejections, lost answers, timeouts."""

import asyncio

from savoryroute.coordination.retry_rule import REJECTIONS_MAX

from .test_path import PathTest


class UnsafeTest(PathTest):
    kinds = {"planner": "unsafe"}

    async def test_request_with_a_lost_answer_is_502_and_never_retried(self):
        for planner in self.planners:
            planner.script.append("drop")
        for method in ("DELETE", "POST", "GET", "PUT"):
            before = self.n_runs
            for planner in self.planners:
                planner.script[:] = ["drop"]
            answer = await self.request(method=method)
            self.assertEqual(answer.status, 502, method)
            await asyncio.sleep(0.05)
            self.assertEqual(self.n_runs, before + 1, method)

    async def test_request_shed_by_all_upstreams_does_not_run(self):
        for planner in self.planners:
            planner.script += ["shed"] * REJECTIONS_MAX
        first = await self.request(method="POST")
        self.assertEqual(first.status, 503)
        self.assertEqual(self.n_runs, 0)
        self.assertIn("retry-after", first.headers)
        n_rejected = sum(
            REJECTIONS_MAX - len(planner.script) for planner in self.planners
        )
        self.assertEqual(n_rejected, REJECTIONS_MAX)
        for planner in self.planners:
            planner.script.clear()
        second = await self.request(method="POST")
        self.assertEqual(second.status, 200)
        self.assertEqual(self.n_runs, 1)

    async def test_refused_request_does_not_run(self):
        for planner in self.planners:
            planner.delay_s = 0.3
        callers = [await self.fleet.caller(0) for _ in range(30)]
        answers = await asyncio.gather(
            *(caller.request("/planner/x", method="POST") for caller in callers)
        )
        n_ok = sum(answer.status == 200 for answer in answers)
        n_refused = sum(answer.status == 503 for answer in answers)
        self.assertEqual(n_ok + n_refused, 30)
        self.assertGreater(n_refused, 0)
        self.assertEqual(self.n_runs, n_ok)


class RejectionTest(PathTest):
    """A route that allows two upstreams, of three."""

    services = ("front", "planner", "planner", "planner")
    kinds = {"planner": "unsafe"}

    async def test_rejected_request_reaches_no_more_upstreams_than_allowed(self):
        for planner in self.planners:
            planner.script += ["shed"] * REJECTIONS_MAX
        self.assertEqual((await self.request(method="POST")).status, 503)
        rejected = [REJECTIONS_MAX - len(planner.script) for planner in self.planners]
        self.assertEqual(sum(rejected), REJECTIONS_MAX)
        self.assertEqual(sum(n > 0 for n in rejected), 2)

    async def test_request_runs_once_after_several_rejections(self):
        for planner in self.planners:
            planner.script += ["shed"] * 2
        self.assertEqual((await self.request(method="POST")).status, 200)
        self.assertEqual(self.n_runs, 1)

    async def test_lost_answer_after_a_rejection_is_final(self):
        for planner in self.planners:
            planner.script += ["shed", "drop", "drop", "drop"]
        self.assertEqual((await self.request(method="POST")).status, 502)
        self.assertEqual(self.n_runs, 1)


class LostCallsTest(PathTest):
    services = ("front", "planner")
    kinds = {"planner": "unsafe"}

    async def test_record_of_lost_calls_is_bounded(self):
        upstream = self.fleet.nodes[1]._upstream
        for _ in range(600):
            self.planners[0].script.append("drop")
            self.assertEqual((await self.request(method="POST")).status, 502)
        self.assertLessEqual(upstream._health.n_lost_calls, 512)


class SafeTest(PathTest):
    async def test_request_with_a_lost_answer_is_retried_at_another_upstream(self):
        self.planners[0].script.append("drop")
        self.planners[1].script.append("drop")
        first, second = await self.request(), await self.request()
        self.assertEqual({first.status, second.status}, {200, 502})
        self.assertLessEqual(self.n_runs, 4)

    async def test_stopped_upstream_is_skipped(self):
        self.planners[0].stop()
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)

    async def test_other_instance_at_a_reused_address_gets_no_requests(self):
        self.planners[0].instance = "i-of-another-service"
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assertEqual(len(self.planners[0].runs), 0)

    async def test_route_timeout_bounds_the_wait(self):
        for planner in self.planners:
            planner.delay_s = 3.0
        self.fleet.publish(2, timeout="300ms")
        await self.fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in self.fleet.nodes)
        )
        started_s = asyncio.get_running_loop().time()
        answer = await self.request()
        self.assertIn(answer.status, (502, 504))
        self.assertLess(asyncio.get_running_loop().time() - started_s, 0.7)

    async def test_disconnect_of_the_caller_cancels_its_request(self):
        for planner in self.planners:
            planner.delay_s = 3.0
        self.caller.write("/planner/x")
        await self.fleet.wait_until(lambda: self.n_runs == 1)
        queues = [node._queue for node in self.fleet.nodes]
        self.caller.close()
        await self.fleet.wait_until(
            lambda: sum(queue.n_running for queue in queues) == 0, 0.5
        )
