"""Tests of odd entries among the instances: the list is followed, links stay open."""

import asyncio
import json

from savoryroute.protocol.mesh_frames import ViewUpdate

from .odd_entries import ODD_ENTRIES
from .stand_ins import entry
from .test_path import PathTest

FAILURES = {"peer_sent_bad_frame", "check_failed"}


class OddEntryTest(PathTest):
    services = ("front", "planner", "planner")

    async def asyncSetUp(self):
        await super().asyncSetUp()
        fleet = self.fleet
        for node in fleet.nodes:
            for index in range(len(self.services)):
                if fleet.ip(index) != node._settings.callers.ip:
                    node._links.dial(fleet.ip(index))
        await fleet.wait_until(
            lambda: all(len(n._links.open_connections) == 2 for n in fleet.nodes)
        )

    async def assert_followed(self):
        """Assert that a later change reaches all hosts, and that calls are served."""
        fleet = self.fleet
        fleet.list_instance(1, slots=7)
        await fleet.wait_until(
            lambda: all(
                node.synchronizer.view.instances["i-1"].slots == 7
                for node in fleet.nodes
            )
        )
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assert_no_failure()

    def assert_no_failure(self):
        for node in self.fleet.nodes:
            node._log.flush()
        failures = [line for line in self.fleet.log_lines if line["event"] in FAILURES]
        self.assertEqual(failures, [])
        tasks = [task for tasks in self.fleet._tasks for task in tasks]
        self.assertFalse([task for task in tasks if task.done()])

    async def test_list_with_odd_entries_is_followed(self):
        for number, (name, value) in enumerate(ODD_ENTRIES.items()):
            with self.subTest(name):
                self.fleet.store.put(f"servers/i-odd{number}", value)
                await self.assert_followed()
                self.fleet.list_instance(1, slots=4)
                self.assertNotIn(f"i-odd{number}", self.instances(0))

    async def test_odd_keys_are_ignored(self):
        for key in ("\ud800", "a\r\nX: y", "", "i" * 10_000):
            value = entry("planner", "127.9.9.9", 8080)
            self.fleet.store.put(f"servers/{key}", value)
            await self.assert_followed()
            self.fleet.store.remove(f"servers/{key}")
            self.fleet.list_instance(1, slots=4)
        self.assertEqual(len(self.instances(0)), 3)

    async def test_odd_entry_in_the_list_at_start(self):
        for number, value in enumerate(ODD_ENTRIES.values()):
            self.fleet.store.put(f"servers/i-odd{number}", value)
        self.fleet.store.put("servers/z\ud800", b"{}")
        self.fleet.store.expire_history()
        await self.assert_followed()
        self.assertEqual(len(self.instances(0)), 3)

    async def test_entry_that_becomes_odd_removes_its_instance(self):
        value = entry("planner", self.fleet.ip(1), self.fleet.app_port, slots=10**400)
        self.fleet.store.put("servers/i-1", value)
        await self.fleet.wait_until(
            lambda: all("i-1" not in self.instances(n) for n in range(3))
        )
        for _ in range(10):
            self.assertEqual((await self.request()).status, 200)
        self.assert_no_failure()

    async def test_odd_instance_from_a_peer_does_not_cost_the_link(self):
        node = self.fleet.nodes[0]
        row = ["i-odd", "planner", "127.9.9.9", "a", 10**400, True, 0.0, 10**17, 1]
        good = ["i-new", "planner", "127.9.9.8", "a", 5, False, 0.0, 1, 1]
        revision = node.synchronizer.view.revision
        update = ViewUpdate(-1, b"", revision, revision + 1, [row, good], [], 0, 0)
        for ip in (self.fleet.ip(1), self.fleet.ip(2)):
            self.assertTrue(node._send_frame(ip, update.to_frame()))
        await self.fleet.wait_until(lambda: "i-new" in self.instances(1))
        self.assertNotIn("i-odd", self.instances(1))
        await asyncio.sleep(0.05)
        self.assert_no_failure()
        lines = [line for line in self.fleet.log_lines if "i-odd" in json.dumps(line)]
        self.assertEqual({line["event"] for line in lines}, {"instance_unusable"})

    def instances(self, index):
        return self.fleet.nodes[index].synchronizer.view.instances
