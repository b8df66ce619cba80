"""Upstreams that crash, come back at their address, or leave their entry behind."""

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

    async def ask_poison(self):
        return await self.ask("/planner/x", method="POST", body=b"poison")

    async def ask_others(self, n_requests):
        """Send sound requests; their refused connections show who has crashed."""
        return [
            (await self.ask("/planner/x", method="POST", body=b"%d" % i)).status
            for i in range(n_requests)
        ]

    async def test_it_is_held_back_and_others_run_on(self):
        statuses = []
        for _ in range(6):
            answer = await self.ask_poison()
            statuses.append(answer.status)
            self.assertEqual(set(await self.ask_others(12)), {200})
            # What one daemon saw reaches the others over their links.
            await asyncio.sleep(0.1)
        self.assertEqual(statuses[:3], [502, 502, 502])
        self.assertEqual(statuses[-1], 503)
        refusal = await self.ask_poison()
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
    """All power was lost: entries of the dead stand beside their successors'."""

    async def test_entry_of_the_dead_at_the_same_address_gets_no_calls(self):
        world = self.world
        for index in (1, 2):
            ghost = entry("planner", world.ip(index), world.app_port, born=1)
            world.store.put(f"servers/i-9{index}", ghost)
        await world.until(lambda: all(world.knows_all(node) for node in world.nodes))
        for _ in range(20):
            self.assertEqual((await self.ask()).status, 200)
        events = {line["event"] for line in world.lines}
        self.assertNotIn("placed_again", events)

    async def test_successor_takes_over_before_the_old_entry_is_gone(self):
        world = self.world
        self.planners[0].instance = "i-new"
        successor = entry("planner", world.ip(1), world.app_port, born=2 * 10**12)
        world.store.put("servers/i-new", successor)
        await world.until(lambda: all(world.knows_all(node) for node in world.nodes))
        self.planners[1].crash()
        for _ in range(10):
            self.assertEqual((await self.ask()).status, 200)
        self.assertGreaterEqual(len(self.planners[0].runs), 10)
