"""Tests of the stand-in for an upstream."""

import asyncio
import pathlib
import tempfile
import unittest

import aiohttp

from savoryroute_lab.answers import verify_answer
from savoryroute_lab.calls import Mark, Plan, Step, parse_plan
from savoryroute_lab.http import LAB_REQUEST, client_session
from savoryroute_lab.records import ExecutionRecord, ExecutionState, read_executions
from savoryroute_lab.upstream import Upstream
from savoryroute_lab.upstream_settings import UpstreamSettings


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.session = client_session()
        self.addAsyncCleanup(self.session.close)

    async def start(self, service="crews", record=None, direct=None, **settings):
        fields = {"work_s": 0.001, **settings}
        upstream_settings = UpstreamSettings(service, f"{service}-1", **fields)
        upstream = Upstream(upstream_settings, record, direct=direct)
        await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    async def get(self, upstream, plan=None, method="GET", body=None, **headers):
        url = f"http://{upstream.address}/x{(plan or Plan()).query()}"
        headers = {LAB_REQUEST: "r1", **headers}
        async with self.session.request(
            method, url, headers=headers, data=body
        ) as response:
            return response, await response.read()


class AnswerTests(UpstreamCase):
    async def test_complete_answer_is_verified_and_recorded(self):
        upstream = await self.start()
        response, body = await self.get(upstream)
        self.assertTrue(verify_answer(body, "r1").is_ok())
        self.assertTrue(verify_answer(body, "r2").is_err())
        self.assertTrue(verify_answer(body[:-1], "r1").is_err())
        self.assertIn("cpu_utilization", response.headers["endpoint-load-metrics"])
        (execution,) = upstream.executions
        self.assertEqual(execution.request_id, "r1")
        self.assertEqual(execution.state, ExecutionState.FINISHED)

    async def test_streamed_answer_is_complete(self):
        upstream = await self.start()
        _, body = await self.get(upstream, Plan(mark=Mark.STREAM))
        self.assertTrue(verify_answer(body, "r1").is_ok())

    async def test_truncated_answers_fail_at_the_client(self):
        upstream = await self.start()
        for mark in (Mark.TRUNCATE, Mark.TRUNCATE_CHUNKED):
            with self.assertRaises(aiohttp.ClientError):
                await self.get(upstream, Plan(mark=mark))

    async def test_delete_with_dropped_answer_runs_once(self):
        upstream = await self.start()
        await self.get(upstream)
        with self.assertRaises(aiohttp.ClientError):
            await self.get(upstream, Plan(mark=Mark.DROP), method="DELETE")
        deletes = [e for e in upstream.executions if e.method == "DELETE"]
        self.assertEqual(len(deletes), 1)


class LimitTests(UpstreamCase):
    async def test_full_queue_sheds_without_execution(self):
        upstream = await self.start(slots=1, queue_length=1, work_s=0.1)
        answers = await asyncio.gather(*(self.get(upstream) for _ in range(5)))
        statuses = sorted(response.status for response, _ in answers)
        self.assertEqual(statuses, [200, 200, 503, 503, 503])
        self.assertEqual(len(upstream.executions), 2)

    async def test_request_after_its_deadline_is_shed(self):
        upstream = await self.start()
        response, _ = await self.get(upstream, **{"grpc-timeout": "0m"})
        self.assertEqual(response.status, 503)
        self.assertEqual(upstream.executions, [])

    async def test_connection_limit(self):
        upstream = await self.start(connections=1, work_s=0.2)
        first = asyncio.create_task(self.get(upstream))
        await asyncio.sleep(0.05)
        with self.assertRaises(aiohttp.ClientError):
            await self.get(upstream)
        self.assertEqual((await first)[0].status, 200)

    async def test_closed_connection_cancels_the_execution(self):
        upstream = await self.start(work_s=30.0)
        call = asyncio.create_task(self.get(upstream))
        while not upstream.executions:
            await asyncio.sleep(0.01)
        call.cancel()
        while upstream.executions[0].state is ExecutionState.STARTED:
            await asyncio.sleep(0.01)
        self.assertEqual(upstream.executions[0].state, ExecutionState.CANCELLED)

    async def test_load_report_may_be_false(self):
        upstream = await self.start(load_report="lying", lying_utilization=0.75)
        response, _ = await self.get(upstream)
        report = response.headers["endpoint-load-metrics"]
        self.assertEqual(report, "TEXT cpu_utilization=0.750")

    async def test_settings_change_at_run_time(self):
        upstream = await self.start()
        url = f"http://{upstream.control_address}/lab/set"
        async with self.session.post(url, json={"sheds": True}) as response:
            self.assertEqual(response.status, 200)
        self.assertEqual((await self.get(upstream))[0].status, 503)
        async with self.session.post(url, json={"unknown": 1}) as response:
            self.assertEqual(response.status, 400)


class CrashTests(UpstreamCase):
    async def test_crash_is_recorded_and_upstream_restarts(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "executions"
            upstream = await self.start(record=ExecutionRecord(path), restart_s=0.1)
            with self.assertRaises(aiohttp.ClientError):
                await self.get(upstream, method="POST", body=b"lab-crash")
            self.assertEqual(upstream.n_crashes, 1)
            await asyncio.sleep(0.3)
            self.assertEqual((await self.get(upstream))[0].status, 200)
            states = [execution.state for execution in read_executions(path)]
        self.assertEqual(states, [ExecutionState.CANCELLED, ExecutionState.FINISHED])


class ChainTests(UpstreamCase):
    def test_plan_is_passed_downstream(self):
        plan = Plan((Step("a", "/x", "POST"), Step("b", "/y")), (), Mark.DROP, "b")
        query = dict(p.split("=") for p in plan.query()[1:].split("&"))
        self.assertEqual(parse_plan(query), plan)
        self.assertEqual(plan.mark_for("a"), Mark.NONE)
        downstream_query = plan.downstream_query(plan.chain[0])
        self.assertEqual(downstream_query, "?chain=b:/y&mark=drop&mark_at=b")

    async def test_nested_chain_and_fan_out(self):
        crews = await self.start("crews")
        direct = {"crews": [crews.address]}
        catalogue = await self.start("catalogue", direct=direct)
        direct = {"crews": [crews.address], "catalogue": [catalogue.address]}
        planner = await self.start("planner", direct=direct)
        chain = (Step("catalogue", "/items/1"), Step("crews", "/slots"))
        response, _ = await self.get(planner, Plan(chain, fan=(Step("crews", "/f"),)))
        self.assertEqual(response.status, 200)
        found = sorted((e.path, e.request_id) for e in crews.executions)
        self.assertEqual(found, [("/f", "r1.1"), ("/slots", "r1.0.0")])

    async def test_failed_downstream_call_is_not_shed(self):
        crews = await self.start("crews", sheds=True)
        planner = await self.start("planner", direct={"crews": [crews.address]})
        response, _ = await self.get(planner, Plan((Step("crews", "/slots"),)))
        self.assertEqual(response.status, 502)


class WithoutLimitsTests(UpstreamCase):
    async def disconnect_during_request(self, upstream):
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await self.get(upstream)
        await asyncio.sleep(0.3)
        (execution,) = upstream.executions
        return execution.state

    async def test_work_may_continue_after_disconnect(self):
        cancelling = await self.start(work_s=0.15)
        self.assertEqual(
            await self.disconnect_during_request(cancelling), ExecutionState.CANCELLED
        )
        continuing = await self.start(work_s=0.15, outlasts_callers=True)
        self.assertEqual(
            await self.disconnect_during_request(continuing), ExecutionState.FINISHED
        )

    async def test_downstream_call_is_retried_as_configured(self):
        shedding = await self.start("printshop", sheds=True)
        direct = {"printshop": [shedding.address]}
        shed_details = []
        shed = shedding._shed
        shedding._shed = lambda detail: shed_details.append(detail) or shed(detail)
        upstream = await self.start("planner", direct=direct, attempts_per_hop=3)
        plan = Plan((Step("printshop", "/frames"),))
        response, _ = await self.get(upstream, plan)
        self.assertEqual(response.status, 502)
        self.assertEqual(len(shed_details), 3)
