"""Tests of upstreams that crash, restart, or leave a stale entry in the store."""

import asyncio

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
