"""Tests of a store that returns from an older copy and gives out revisions again."""

import asyncio

from savoryroute_platform.store import HistoryExpiredError, StoreClient

from savoryroute.state.revision import era_of

from .test_path import PathTest


class StoreReturnTest(PathTest):
    """Guards against a list from before the return that outranks each later one."""

    services = ("front", "planner", "planner", "planner")

    async def wait_for_list(self, nodes=None):
        """Wait until daemons have the store's present list."""
        fleet, store = self.fleet, self.fleet.store
        nodes = fleet.nodes if nodes is None else nodes
        await fleet.wait_until(
            lambda: all(
                fleet.has_list_of(node, store.revision, store.era) for node in nodes
            )
        )

    async def return_from_copy(self):
        """Let the store return from a copy that lacks its latest five changes."""
        copy = self.fleet.store.copy()
        for sequence in range(2, 7):
            self.fleet.list_instance(1, sequence=sequence)
        await self.wait_for_list()
        self.fleet.store.return_from(copy)

    def ready_ids(self, node):
        return {item.id for item in node.synchronizer.view.of_service("planner")}

    async def test_changes_after_the_return_are_followed(self):
        await self.return_from_copy()
        self.fleet.store.remove("servers/i-2")
        await self.fleet.wait_until(
            lambda: all(
                "i-2" not in node.synchronizer.view.instances
                for node in self.fleet.nodes
            )
        )
        # Lines are written with the next periodic check.
        await self.fleet.wait_until(
            lambda: any(
                line["event"] == "platform_returned" for line in self.fleet.log_lines
            )
        )

    async def test_daemon_that_does_not_reach_the_store_follows_by_peers(self):
        for task in self.fleet._tasks[3]:
            task.cancel()
        await self.return_from_copy()
        self.fleet.store.remove("servers/i-2")
        await self.wait_for_list()

    async def test_departed_instances_get_no_work_until_they_report_again(self):
        store = self.fleet.store
        copy = store.copy()
        self.fleet.list_instance(1, state="draining", sequence=2)
        store.remove("servers/i-2")
        await self.wait_for_list()
        store.return_from(copy)
        await self.wait_for_list()
        for node in self.fleet.nodes:
            self.assertEqual(self.ready_ids(node), {"i-3"})
        self.assertTrue(self.fleet.nodes[1]._upstream.is_leaving)
        self.fleet.list_instance(2, sequence=3)
        await self.fleet.wait_until(
            lambda: all("i-2" in self.ready_ids(node) for node in self.fleet.nodes)
        )
        self.assertNotIn("i-1", self.ready_ids(self.fleet.nodes[0]))

    async def test_instance_that_the_copy_lacks_keeps_serving_for_a_time(self):
        store = self.fleet.store
        copy = store.copy()
        del copy[1]["servers/i-3"]
        self.fleet.list_instance(1, sequence=2)
        await self.wait_for_list()
        store.return_from(copy)
        await self.wait_for_list()
        for node in self.fleet.nodes:
            self.assertIn("i-3", self.ready_ids(node))
        await self.fleet.wait_until(
            lambda: all("i-3" not in self.ready_ids(node) for node in self.fleet.nodes)
        )

    async def test_returns_twice_in_a_row(self):
        await self.return_from_copy()
        await self.return_from_copy()
        self.fleet.store.remove("servers/i-2")
        await self.wait_for_list()
        eras = {era_of(n.synchronizer.view.revision) for n in self.fleet.nodes}
        self.assertEqual(eras, {3})

    async def test_older_configuration_of_the_copy_is_not_used(self):
        store = self.fleet.store
        copy = store.copy()
        self.fleet.publish(2)
        await self.fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in self.fleet.nodes)
        )
        store.return_from(copy)
        await self.wait_for_list()
        await asyncio.sleep(0.3)
        versions = {n.synchronizer.table.version for n in self.fleet.nodes}
        self.assertEqual(versions, {2})


class StoreAnswerTest(PathTest):
    """Guards against answers that do not belong to the era in which they are used."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store = self.fleet.store
        self.client = StoreClient("127.0.0.1", self.fleet.store_port)
        self.addCleanup(self.client.close)

    async def test_watch_from_before_the_return_is_not_continued(self):
        page = (await self.client.read_page("servers/")).unwrap()
        self.store.return_from(self.store.copy())
        await self.client.read_page("servers/")
        error = (await self.client.watch("servers/", page.revision, 1.0)).unwrap_err()
        self.assertIsInstance(error, HistoryExpiredError)

    async def test_answer_from_before_the_return_is_dropped(self):
        await self.client.read_page("servers/")
        self.store.era -= 1
        error = (await self.client.read_page("servers/")).unwrap_err()
        self.assertIn("before the store's return", str(error))

    async def test_era_that_cannot_be_read_fails_the_read(self):
        self.store.era_text = b"one"
        error = (await self.client.read_page("servers/")).unwrap_err()
        self.assertIn("not a number", str(error))

    async def test_answer_without_an_era_is_one_of_the_known_era(self):
        self.store.era = 7
        await self.client.read_page("servers/")
        self.store.era_text = b""
        page = (await self.client.read_page("servers/")).unwrap()
        self.assertEqual(era_of(page.revision), 7)
