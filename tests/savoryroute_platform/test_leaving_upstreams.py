"""Tests of upstreams that say in their answers that they are leaving."""

import asyncio

from savoryroute.coordination.instance_selector import UNAVAILABLE_S

from .test_path import PathTest

# Slots of each upstream, enough for all requests that are sent at the same time.
SLOTS = 30


class LeavingHeaderTest(PathTest):
    services = ("front", "planner", "planner")
    kinds = {"planner": "unsafe"}

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for index in (1, 2):
            self.fleet.upstreams[index].slots = SLOTS
            self.fleet.upstreams[index].delay_s = 0.05
            self.fleet.list_instance(index, slots=SLOTS)
        fleet, store = self.fleet, self.fleet.store
        await fleet.wait_until(
            lambda: all(
                fleet.has_list_of(node, store.revision, store.era)
                for node in fleet.nodes
            )
        )

    async def request_many(self, n_requests):
        """Send requests at the same time; return their statuses."""

        async def send():
            caller = await self.fleet.caller(0)
            answer = await caller.request("/planner/x", method="POST", body=b"x")
            caller.close()
            return answer.status

        return set(await asyncio.gather(*(send() for _ in range(n_requests))))

    async def leave(self):
        """Send requests until the leaving upstream has said so; return its runs."""
        leaving = self.planners[0]
        leaving.is_leaving = True
        n_before = len(leaving.runs)
        while len(leaving.runs) == n_before:
            self.assertEqual(await self.request_many(4), {200})
        return len(leaving.runs)

    async def test_leaving_upstream_gets_no_more_requests(self):
        n_runs = await self.leave()
        self.assertEqual(await self.request_many(20), {200})
        self.assertEqual(len(self.planners[0].runs), n_runs)

    async def test_it_gets_none_after_the_daemon_beside_it_restarted(self):
        n_runs = await self.leave()
        await self.fleet.restart_node(1)
        for _ in range(4):
            # The first hop opens its link again in the meantime.
            await asyncio.sleep(0.6)
            self.assertEqual(await self.request_many(20), {200})
        self.assertEqual(len(self.planners[0].runs), n_runs)

    async def test_it_gets_none_after_its_entry_was_away(self):
        n_runs = await self.leave()
        fleet = self.fleet
        fleet.store.remove("servers/i-1")
        await asyncio.sleep(0.1)
        fleet.list_instance(1, slots=SLOTS)
        await fleet.wait_until(
            lambda: all(fleet.is_synchronized(node) for node in fleet.nodes)
        )
        self.assertEqual(await self.request_many(20), {200})
        self.assertEqual(len(self.planners[0].runs), n_runs)

    async def test_waiting_requests_run_elsewhere(self):
        for planner in self.planners:
            planner.slots = 2
        self.planners[0].is_leaving = True
        self.assertEqual(await self.request_many(6), {200})

    async def test_next_start_under_the_same_identity_gets_requests(self):
        n_runs = await self.leave()
        self.planners[0].is_leaving = False
        self.fleet.list_instance(1, slots=SLOTS, born=1_800_000_000_000)
        # A refusal as leaving keeps calls away for a while in any case.
        await asyncio.sleep(2 * UNAVAILABLE_S)
        # The other upstream is gone, so that this one has to be used.
        self.planners[1].crash()
        await asyncio.sleep(0.1)
        await self.request_many(20)
        self.assertGreater(len(self.planners[0].runs), n_runs)
