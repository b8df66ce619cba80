"""Tests of a store that is silent for some seconds while changes are made."""

import asyncio

from savoryroute_platform.store import StoreClient, WatchGivenUpError

from .test_path import PathTest

# Seconds after the end of an outage from which changes must be in force.
RECOVERY_S = 3.0
# Seconds in which a change spreads from the first host that has it.
SPREAD_S = 1.0


class LostWatchTest(PathTest):
    """Guards against a lost watch that keeps a host on an old configuration."""

    services = ("front", "planner", "planner", "planner")

    def versions(self):
        return {node.synchronizer.table.version for node in self.fleet.nodes}

    async def darken(self, duration_s):
        """Lose all pending and further calls to the store for some seconds."""
        self.fleet.store.is_silent = True
        self.fleet.store.lose_watches()
        await asyncio.sleep(duration_s)

    async def assert_followed(self, version):
        """Let the store answer again; check that all hosts get the version in time."""
        self.fleet.store.is_silent = False
        try:
            await self.fleet.wait_until(
                lambda: self.versions() == {version}, timeout_s=RECOVERY_S
            )
        except TimeoutError:
            self.fail(f"versions {self.versions()} after {RECOVERY_S} s, not {version}")

    async def test_change_during_a_short_silence(self):
        await self.darken(1.0)
        self.fleet.publish(2)
        await self.assert_followed(2)

    async def test_changes_at_the_end_of_a_silence_that_outlasts_calls(self):
        await self.darken(4.0)
        for version in (2, 3, 4):
            self.fleet.publish(version)
        await self.assert_followed(4)

    async def test_silences_in_series_with_lost_history(self):
        for version in (2, 3):
            await self.darken(2.0)
            self.fleet.publish(version)
            self.fleet.store.expire_history()
            await self.assert_followed(version)


class PeerWithNewRoutesTest(PathTest):
    """Guards against hosts that learn of new routes by chance, poll by poll."""

    services = ("front", "planner", "planner", "planner")

    async def test_hosts_whose_watches_hang_ask_a_peer_that_is_ahead(self):
        fleet = self.fleet
        for index, node in enumerate(fleet.nodes):
            for other in range(len(fleet.nodes)):
                if other != index:
                    node._links.dial(fleet.ip(other))
        await asyncio.sleep(0.3)
        for configuration, *_ in fleet._tasks[1:]:
            configuration.cancel()
        for version in (2, 3, 4):
            fleet.publish(version)
            await fleet.wait_until(
                lambda version=version: all(
                    node.synchronizer.table.version == version for node in fleet.nodes
                ),
                timeout_s=SPREAD_S,
            )
        reasons = [line.get("reason", "") for line in fleet.log_lines]
        self.assertTrue(any("has newer routes" in reason for reason in reasons))


class StoreClientTest(PathTest):
    services = ("front",)

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.client = StoreClient("127.0.0.1", self.fleet.store_port)
        self.addCleanup(self.client.close)

    async def test_silent_connections_are_not_tried_one_after_the_other(self):
        reads = [self.client.read_page("op/") for _ in range(3)]
        await asyncio.gather(*reads)
        self.fleet.store.is_silent = True
        await self.client.read_page("op/")
        self.fleet.store.is_silent = False
        n_opened = self.client._pool.n_opened
        (await self.client.read_page("op/")).unwrap()
        self.assertEqual(self.client._pool.n_opened, n_opened + 1)

    async def test_watch_that_is_given_up_ends_at_once(self):
        page = (await self.client.read_page("op/")).unwrap()
        watch = asyncio.create_task(self.client.watch("op/", page.revision, 8.0))
        await asyncio.sleep(0.05)
        self.client.give_up_watch("servers/")
        self.client.give_up_watch("op/")
        async with asyncio.timeout(0.5):
            error = (await watch).unwrap_err()
        self.assertIsInstance(error, WatchGivenUpError)
        self.client.give_up_watch("op/")
