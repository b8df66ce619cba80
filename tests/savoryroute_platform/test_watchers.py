"""What a fleet asks of the platform while the list changes again and again."""

import asyncio
import time

from .test_path import PathTest

N_CHANGES = 60
CHANGE_INTERVAL_S = 0.05


class SeriesOfChangesTest(PathTest):
    services = ("front", "planner", "planner", "planner", "planner", "planner")

    def is_followed(self):
        revision = self.world.store.revision
        return all(n.synchronizer.view.revision >= revision for n in self.world.nodes)

    async def test_few_calls_serve_the_whole_fleet_in_time(self):
        world = self.world
        # Links between all hosts, as under load.
        for node in world.nodes:
            for index in range(len(self.services)):
                if world.ip(index) != node._settings.callers.ip:
                    node._links.dial(world.ip(index))
        await asyncio.sleep(0.3)
        n_before = world.store.n_calls["/api/kv-watch"]
        for number in range(N_CHANGES):
            world.list(1 + number % 5, slots=4 + number % 7)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        n_calls = world.store.n_calls["/api/kv-watch"] - n_before
        started_s = time.monotonic()
        await world.until(self.is_followed)
        # Each daemon for itself would ask once for each change.
        self.assertLess(n_calls, 0.25 * N_CHANGES * len(world.nodes))
        self.assertLess(time.monotonic() - started_s, 1.5)

    async def test_host_without_links_follows_by_itself(self):
        world = self.world
        for node in world.nodes:
            node._links.close()
        for number in range(20):
            world.list(1 + number % 5, slots=4 + number % 7)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        started_s = time.monotonic()
        await world.until(self.is_followed)
        self.assertLess(time.monotonic() - started_s, 1.6)
