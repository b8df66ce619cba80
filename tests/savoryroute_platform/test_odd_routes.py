"""Tests of routes with values out of range: their neighbours are served as before."""

import asyncio

from .stand_ins import configuration, path
from .test_path import PathTest

ODD_FIELDS = {
    "priority beyond frames": {"priority": 10**17},
    "priority beyond floats": {"priority": 10**400},
    "endless timeout": {"timeout": "9" * 400 + "s"},
    "long timeout": {"timeout": "999999999999s"},
    "endless target": {"target-latency": "9" * 400 + "ms"},
    "attempts beyond floats": {"max-attempts": 10**400},
    "half a surrogate pair as name": {"name": "\ud800"},
    "half a surrogate pair as service": {"service": "\udfff"},
}


class OddRouteTest(PathTest):
    async def test_route_with_an_odd_field_costs_no_other_request(self):
        fleet = self.fleet
        for version, (name, fields) in enumerate(ODD_FIELDS.items(), start=2):
            with self.subTest(name):
                routes = [
                    path("/planner/", "planner"),
                    path("/odd/", "planner") | fields,
                ]
                source = configuration(version, {"shop.example": routes}, [])
                fleet.store.put("op/config", source)
                await fleet.wait_until(
                    lambda version=version: all(
                        node.synchronizer.version == version for node in fleet.nodes
                    )
                )
                async with asyncio.timeout(4.0):
                    for _ in range(4):
                        odd = await self.request("/odd/x")
                        self.assertEqual((await self.request()).status, 200)
                self.assertEqual(odd.status, 503 if "service" in fields else 200)
                self.assert_links_kept()

    def assert_links_kept(self):
        for node in self.fleet.nodes:
            node._log.flush()
        events = {line["event"] for line in self.fleet.log_lines}
        self.assertNotIn("peer_sent_bad_frame", events)
