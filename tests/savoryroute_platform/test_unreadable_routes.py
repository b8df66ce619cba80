"""Tests of daemons whose configuration has fields that they cannot read."""

import json
import unittest

from .mesh_fleet import MeshFleet
from .stand_ins import configuration, path

HOST = "shop.example"


class UnreadableRoutesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await MeshFleet(["front", "planner"]).start()
        self.addAsyncCleanup(self.fleet.stop)
        self.caller = await self.fleet.caller(0)
        self.planner = self.fleet.upstreams[1]

    async def publish(self, version, paths, change=None):
        plain = json.loads(configuration(version, {HOST: paths}, ["planner"]))
        if change is not None:
            change(plain)
        self.fleet.store.put("op/config", json.dumps(plain).encode())
        await self.fleet.wait_until(
            lambda: all(
                node.synchronizer.table.version == version for node in self.fleet.nodes
            )
        )

    def logged(self, event):
        return [line for line in self.fleet.log_lines if line["event"] == event]

    async def test_request_of_an_unknown_kind_is_served_and_never_run_again(self):
        await self.publish(2, [path("/planner/", "planner", "stream")])
        self.assertEqual((await self.caller.request("/planner/x")).status, 200)
        self.planner.script.append("drop")
        self.assertEqual((await self.caller.request("/planner/x")).status, 502)
        self.assertEqual(len(self.planner.runs), 2)

    async def test_defect_is_logged_and_counted(self):
        await self.publish(2, [path("/planner/", "planner", "stream")])
        for node in self.fleet.nodes:
            node._log.flush()
        lines = self.logged("route_defect")
        self.assertEqual(len(lines), len(self.fleet.nodes))
        self.assertEqual(lines[0]["version"], 2)
        self.assertIn("virtual-hosts[0].paths[0].kind: found", lines[0]["detail"])
        self.assertEqual(self.fleet.nodes[0]._gauges()["routes_defects"], 1)

    async def test_route_without_a_readable_service_is_refused_not_misrouted(self):
        inner = path("/planner/inner/", "planner") | {"service": {"of": "later"}}
        await self.publish(2, [path("/planner/", "planner"), inner])
        answer = await self.caller.request("/planner/inner/x")
        self.assertEqual(answer.status, 503)
        self.assertIn("unreadable_route", answer.body.decode())
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)
        self.assertEqual(self.planner.runs, [])
        self.assertEqual((await self.caller.request("/planner/x")).status, 200)

    async def test_request_that_may_match_an_unreadable_route_gets_no_404(self):
        paths = [path("/planner/", "planner"), path("/new/", "planner") | {"prefix": 3}]
        await self.publish(2, paths)
        self.assertEqual((await self.caller.request("/new/x")).status, 503)
        await self.publish(3, paths[:1])
        self.assertEqual((await self.caller.request("/new/x")).status, 404)

    async def test_routes_stay_when_a_configuration_cannot_be_read(self):
        for source in (b"[" * 100_000, b'{"version": "00000002"}', b"\xff"):
            self.fleet.store.put("op/config", source)
        await self.fleet.wait_until(
            lambda: (
                [node._log.flush() for node in self.fleet.nodes]
                and len(self.logged("routes_refused")) >= 6
            )
        )
        self.assertEqual((await self.caller.request("/planner/x")).status, 200)
        await self.publish(3, [path("/late/", "planner")])
        self.assertEqual((await self.caller.request("/late/x")).status, 200)
