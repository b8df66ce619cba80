"""Tests of the proof of the configuration while store, links or hosts fail."""

import asyncio
import contextlib
import unittest
from unittest import mock

import attrs
from result import Err
from savoryroute_platform.configuration import decode_routes
from savoryroute_platform.store import StoreClient

from savoryroute.errors import PlatformError
from savoryroute.state.organisations import Organisations
from savoryroute_lab.wiring import free_ports

from ..proof_replay import LIMIT_S, rates, replay
from .mesh_fleet import MeshFleet
from .stand_ins import StoreStandIn

LOST, REGAINED = "configuration_proof_lost", "configuration_proof_regained"


def decode_with_organisations(source):
    return attrs.evolve(decode_routes(source), organisations=Organisations([]))


class FailureTest(unittest.TestCase):
    """Each row of the failure table of Part 2 that concerns the daemon as a whole."""

    def run_fleet(self, scenario, n_daemons=13):
        return replay(n_daemons, scenario)

    def test_store_down_for_all(self):
        async def scenario(fleet):
            await asyncio.sleep(10.0)
            for client in fleet.clients:
                client.fault = "the store answered 503"
            last_s = fleet.now_s
            await asyncio.sleep(LIMIT_S - 3.0)
            self.assertEqual([x for x in fleet.lines if x[1] == LOST], [])
            while fleet.now_s < last_s + 10.0:
                await asyncio.sleep(0.1)
                # Nothing that passes between peers makes any proof younger.
                self.assertGreaterEqual(min(fleet.ages_s()), fleet.now_s - last_s)
            lost = [x for x in fleet.lines if x[1] == LOST]
            self.assertEqual(sorted(number for number, _, _ in lost), list(range(13)))
            self.assertEqual(lost[0][2]["error"], "the store answered 503")

        self.run_fleet(scenario)

    def test_store_turns_some_hosts_away_or_is_silent_to_them(self):
        async def scenario(fleet):
            fleet.clients[0].fault = "the store answered 503"
            fleet.clients[1].fault = 60.0
            await asyncio.sleep(1.0)
            for _ in range(600):
                await asyncio.sleep(0.1)
                self.assertLess(max(fleet.ages_s()), 3.0)
            self.assertEqual({event for _, event, _ in fleet.lines}, {REGAINED})

        self.run_fleet(scenario)

    def test_partitioned_host_is_alone_and_back_by_a_peer(self):
        async def scenario(fleet):
            await asyncio.sleep(5.0)
            fleet.cut, fleet.clients[0].fault = {0}, 60.0
            await asyncio.sleep(8.0)
            self.assertGreater(fleet.daemons[0].proof_age_s, LIMIT_S)
            self.assertLess(max(fleet.ages_s()[1:]), 3.0)
            fleet.cut = set()
            await asyncio.sleep(0.5)
            self.assertLess(fleet.daemons[0].proof_age_s, 3.0)
            lines = [x for x in fleet.lines if x[0] == 0][1:]
            self.assertEqual([event for _, event, _ in lines], [LOST, REGAINED])
            self.assertEqual(lines[0][2]["error"], "the store did not answer in time")
            self.assertNotEqual(lines[1][2]["by"], "platform")

        self.run_fleet(scenario)

    def test_suspended_host_finds_its_proof_too_old(self):
        async def scenario(fleet):
            # With reads and answers on the way at every moment.
            for client in fleet.clients:
                client.fault = 0.9
            await asyncio.sleep(5.0)
            loop = asyncio.get_running_loop()
            loop.pause("0")
            await asyncio.sleep(6.0)
            resumed_s = fleet.now_s
            loop.resume("0")
            for _ in range(4):
                self.assertGreater(fleet.daemons[0].proof_age_s, LIMIT_S)
                await asyncio.sleep(0)
            await asyncio.sleep(1.0)
            self.assertLess(fleet.daemons[0].proof_age_s, 4.0)
            self.assertGreater(fleet.now_s, resumed_s)

        self.run_fleet(scenario)

    def test_malformed_value_and_slow_store_are_no_proof(self):
        async def scenario(fleet):
            await asyncio.sleep(5.0)
            fleet.value = b"text"
            await asyncio.sleep(8.0)
            self.assertGreater(min(fleet.ages_s()), LIMIT_S)
            lost = [x for x in fleet.lines if x[1] == LOST]
            self.assertEqual(len(lost), 3)
            self.assertEqual(
                lost[0][2]["error"], "the platform's routes cannot be read"
            )
            fleet.value = b"2"
            for client in fleet.clients:
                client.fault = 1.0
            await asyncio.sleep(8.0)
            # A slow store proves as much less as its answers take.
            self.assertGreater(min(fleet.ages_s()), 1.0)
            self.assertLess(max(fleet.ages_s()), LIMIT_S)
            self.assertEqual([d.table.version for d in fleet.daemons], [2, 2, 2])

        self.run_fleet(scenario, 3)

    def test_daemons_that_start_together_read_once_each(self):
        async def scenario(fleet):
            await asyncio.sleep(1.0)
            self.assertEqual(len(fleet.reads_s), 64)
            self.assertLess(max(fleet.ages_s()), 1.0)

        self.run_fleet(scenario, 64)

    def test_reads_of_a_fleet_are_few(self):
        for n_refused, n_reads_max in ((0, 7.0), (21, 10.0)):
            n_reads, _, oldest_s = rates(64, n_refused)
            self.assertLess(n_reads, n_reads_max)
            self.assertLess(oldest_s, 3.0)


class ReadItemTest(unittest.IsolatedAsyncioTestCase):
    """Guards against answers of the store that are taken for a value."""

    async def asyncSetUp(self):
        (port,) = free_ports(1)
        self.store = StoreStandIn()
        await self.store.start("127.0.0.1", port)
        self.addCleanup(self.store.stop)
        self.client = StoreClient("127.0.0.1", port)
        self.addCleanup(self.client.close)

    async def test_value_of_an_item(self):
        self.store.put("op/config", b"text")
        self.assertEqual((await self.client.read_item("op/config")).ok_value, b"text")

    async def test_missing_and_malformed_items_are_errors(self):
        self.assertIsInstance(await self.client.read_item("op/config"), Err)
        item = {"key": "op/config", "revision": 2}
        for answer in (item, item | {"value": "%"}, item | {"value": 1}):
            self.store.items["op/config"] = answer
            read = await self.client.read_item("op/config")
            self.assertIsInstance(read, Err, answer)

    async def test_item_of_another_key_is_an_error(self):
        self.store.items["op/config"] = {"key": "op/other", "value": ""}
        self.assertIsInstance(await self.client.read_item("op/config"), Err)


class PathOfProofTest(unittest.IsolatedAsyncioTestCase):
    """Guards against proofs that do not pass between daemons over their links."""

    async def test_host_whose_reads_fail_has_the_proof_of_peers(self):
        with contextlib.ExitStack() as stack:
            decoder = "tests.savoryroute_platform.mesh_fleet.decode_routes"
            stack.enter_context(mock.patch(decoder, decode_with_organisations))
            fleet = await MeshFleet(["front", "planner", "planner"]).start()
        self.addAsyncCleanup(fleet.stop)
        first = fleet.nodes[0]
        await fleet.wait_until(lambda: first.synchronizer.proof_age_s < 1.0)
        refused = Err(PlatformError("the store answered 503"))
        fleet._clients[0].read_item = mock.AsyncMock(return_value=refused)
        for _ in range(50):
            await asyncio.sleep(0.1)
            self.assertLess(first.synchronizer.proof_age_s, 3.5)
        age_s = first._gauges()["configuration_proof_age_seconds"]
        self.assertAlmostEqual(age_s, first.synchronizer.proof_age_s, delta=0.1)
        self.assertTrue(first.synchronizer.is_platform_reachable)
