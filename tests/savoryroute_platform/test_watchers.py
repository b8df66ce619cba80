"""Tests of a fleet's calls to the platform during a series of list changes."""

import asyncio
import time

from .test_path import PathTest

N_CHANGES = 60
CHANGE_INTERVAL_S = 0.05


class SeriesOfChangesTest(PathTest):
    services = ("front", "planner", "planner", "planner", "planner", "planner")

    def is_up_to_date(self):
        store, fleet = self.fleet.store, self.fleet
        return all(fleet.has_list_of(n, store.revision, store.era) for n in fleet.nodes)

    async def test_few_watch_calls_update_the_entire_fleet_in_time(self):
        fleet = self.fleet
        # Open the links between all hosts, as load would.
        for node in fleet.nodes:
            for index in range(len(self.services)):
                if fleet.ip(index) != node._settings.callers.ip:
                    node._links.dial(fleet.ip(index))
        await asyncio.sleep(0.3)
        n_before = fleet.store.n_calls["/api/kv-watch"]
        for number in range(N_CHANGES):
            fleet.list_instance(1 + number % 5, slots=4 + number % 7)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        n_calls = fleet.store.n_calls["/api/kv-watch"] - n_before
        started_s = time.monotonic()
        await fleet.wait_until(self.is_up_to_date)
        # Daemons that each followed the platform alone would call once per change.
        self.assertLess(n_calls, 0.25 * N_CHANGES * len(fleet.nodes))
        self.assertLess(time.monotonic() - started_s, 1.5)

    async def test_host_without_links_watches_the_platform_itself(self):
        fleet = self.fleet
        for node in fleet.nodes:
            node._links.close()
        for number in range(20):
            fleet.list_instance(1 + number % 5, slots=4 + number % 7)
            await asyncio.sleep(CHANGE_INTERVAL_S)
        started_s = time.monotonic()
        await fleet.wait_until(self.is_up_to_date)
        self.assertLess(time.monotonic() - started_s, 1.6)
