"""Tests of upstreams that crash, restart, or leave a stale entry in the store."""

import asyncio
from unittest import mock

from savoryroute.coordination import mesh_node

from .stand_ins import entry
from .test_path import PathTest


class CrashRequestTest(PathTest):
    """One request crashes each upstream that runs it."""

    services = ("front", "planner", "planner", "planner", "planner", "planner")
    kinds = {"planner": "unsafe"}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for planner in self.planners:
            planner.poison = b"poison"

    async def request_poison(self):
        return await self.request("/planner/x", method="POST", body=b"poison")

    async def request_others(self, n_requests):
        """Send harmless requests; refused connections show which upstreams crashed."""
        return [
            (await self.request("/planner/x", method="POST", body=b"%d" % i)).status
            for i in range(n_requests)
        ]

    async def test_crashing_request_is_quarantined_and_others_run(self):
        statuses = []
        for _ in range(6):
            answer = await self.request_poison()
            statuses.append(answer.status)
            self.assertEqual(set(await self.request_others(12)), {200})
            # Daemons report crashes to their peers over the links.
            await asyncio.sleep(0.1)
        self.assertEqual(statuses[:3], [502, 502, 502])
        self.assertEqual(statuses[-1], 503)
        refusal = await self.request_poison()
        self.assertIn(b"quarantined", refusal.body)
        self.assertGreater(float(refusal.headers["retry-after"]), 20.0)
        n_poisoned = sum(
            b"poison" in run["body"]
            for planner in self.planners
            for run in planner.runs
        )
        self.assertEqual(n_poisoned, statuses.count(502))
        self.assertLess(n_poisoned, len(self.planners))


class RepeatedCrashTest(PathTest):
    """A request crashes each upstream that runs it, and is sent again and again."""

    services = ("front", "planner", "planner", "planner", "planner")
    kinds = {"planner": "unsafe", "printer": "unsafe"}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for planner in self.planners:
            planner.poison = b"poison"

    @property
    def planners(self):
        return [
            upstream
            for upstream, service in zip(
                self.fleet.upstreams, self.services, strict=True
            )
            if service != "front"
        ]

    @planners.setter
    def planners(self, value):
        """Keep the base class from taking hosts by their position."""

    async def request_poison(self):
        """Send the request; the upstream that it crashed is started again."""
        answer = await self.request("/planner/x", method="POST", body=b"poison")
        await asyncio.sleep(0.15)
        for index, upstream in enumerate(self.fleet.upstreams):
            if not upstream.is_listening:
                await self.fleet.restart_upstream(index)
        # An upstream that refused a connection gets no calls for a while.
        await asyncio.sleep(0.3)
        return answer

    async def crash_three(self):
        while self.n_runs < 3:
            await self.request_poison()


class CrashReportTest(RepeatedCrashTest):
    """Daemons that had no link to the reporter when an upstream crashed."""

    services = ("front", "front", "planner", "planner", "planner", "planner")

    async def test_daemon_without_links_refuses_the_request(self):
        await self.crash_three()
        await asyncio.sleep(1.0)
        self.caller = await self.fleet.caller(1)
        answer = await self.request_poison()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.n_runs, 3)

    async def test_daemons_that_restart_in_turn_refuse_the_request(self):
        await self.crash_three()
        for index in range(len(self.services)):
            await self.fleet.restart_node(index)
            await asyncio.sleep(1.5)
        self.caller = await self.fleet.caller(0)
        answer = await self.request_poison()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.n_runs, 3)


class SplitRouteCrashTest(RepeatedCrashTest):
    """The requests of the route are split between two services."""

    services = ("front", "planner", "planner", "printer", "printer")

    async def test_crashes_at_both_services_count_together(self):
        parts = [
            {"service": "planner", "weight": 50},
            {"service": "printer", "weight": 50},
        ]
        self.fleet.publish(2, **{"traffic-split": parts})
        await self.fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in self.fleet.nodes)
        )
        await self.crash_three()
        answer = await self.request_poison()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.n_runs, 3)


class QuarantineEndTest(RepeatedCrashTest):
    """The request still crashes upstreams when its quarantine ends."""

    async def asyncSetUp(self):
        patch = mock.patch.object(mesh_node, "QUARANTINE_S", 1.5)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()

    async def test_end_of_a_quarantine_costs_one_upstream(self):
        await self.crash_three()
        self.fleet.publish(2, kind="safe")
        await asyncio.sleep(1.6)
        # The caller sends an idempotent request again as soon as it fails.
        for _ in range(2):
            await self.request("/planner/x", method="POST", body=b"poison")
        self.assertEqual(self.n_runs, 4)

    async def test_renewed_quarantine_lasts_longer(self):
        await self.crash_three()
        await asyncio.sleep(1.6)
        await self.request_poison()
        self.assertEqual(self.n_runs, 4)
        await asyncio.sleep(1.6)
        await self.request_poison()
        self.assertEqual(self.n_runs, 4)


class CopiesAtTheEndTest(RepeatedCrashTest):
    """Many copies of the request arrive at several daemons as its quarantine ends."""

    services = ("front", "front", "front", "planner", "planner", "planner", "planner")

    async def asyncSetUp(self):
        patch = mock.patch.object(mesh_node, "QUARANTINE_S", 1.5)
        patch.start()
        self.addCleanup(patch.stop)
        await super().asyncSetUp()
        await self.crash_three()
        self.fleet.publish(2, kind="safe")
        for upstream in self.planners:
            upstream.delay_s = 0.03

    async def send_copies(self, length_s):
        """Send 20 copies a second at each of four daemons; return the answers."""
        statuses = []

        async def send(index):
            caller = await self.fleet.caller(index)
            answer = await caller.request("/planner/x", method="POST", body=b"poison")
            statuses.append(answer.status)
            caller.writer.close()
            if answer.status == 503:
                self.assertIn("retry-after", answer.headers)

        ends_s = asyncio.get_running_loop().time() + length_s
        async with asyncio.TaskGroup() as group:
            while asyncio.get_running_loop().time() < ends_s:
                for index in range(4):
                    group.create_task(send(index))
                await asyncio.sleep(0.05)
        return statuses

    async def test_one_copy_reaches_an_upstream(self):
        statuses = await self.send_copies(2.5)
        self.assertEqual(self.n_runs, 4)
        self.assertEqual(statuses.count(502), 1)

    async def test_request_that_crashes_no_more_is_served_again(self):
        for upstream in self.planners:
            upstream.poison = None
        await self.send_copies(3.0)
        statuses = await self.send_copies(0.5)
        self.assertEqual(set(statuses), {200})


class ReplacementTest(PathTest):
    """After a power loss, stale entries remain in the store beside their successors."""

    async def test_stale_entry_at_the_same_address_gets_no_calls(self):
        fleet = self.fleet
        for index in (1, 2):
            stale = entry("planner", fleet.ip(index), fleet.app_port, born=1)
            fleet.store.put(f"servers/i-9{index}", stale)
        await fleet.wait_until(
            lambda: all(fleet.is_synchronized(node) for node in fleet.nodes)
        )
        for _ in range(20):
            self.assertEqual((await self.request()).status, 200)
        events = {line["event"] for line in fleet.log_lines}
        self.assertNotIn("placed_again", events)

    async def test_successor_takes_over_before_the_old_entry_is_removed(self):
        fleet = self.fleet
        self.planners[0].instance = "i-new"
        successor = entry("planner", fleet.ip(1), fleet.app_port, born=2 * 10**12)
        fleet.store.put("servers/i-new", successor)
        await fleet.wait_until(
            lambda: all(fleet.is_synchronized(node) for node in fleet.nodes)
        )
        self.planners[1].crash()
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assertGreaterEqual(len(self.planners[0].runs), 10)
