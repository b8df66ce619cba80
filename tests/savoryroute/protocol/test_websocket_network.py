"""Tests of links between daemons: authentication and malformed frames."""

import asyncio
from unittest import mock

import attrs
import cbor2
import websockets
from websockets.asyncio.client import connect

from savoryroute.protocol import frames, peer_session
from savoryroute.protocol.websocket_network import WebSocketNetwork
from savoryroute.state.address import Address
from savoryroute.verdict import Verdict
from savoryroute_lab.wiring import free_ports
from tests.fleet import FLEET_KEY, FleetTestCase


def hello(host: str, port: int) -> frames.Hello:
    return frames.Hello(host, 7, "s", "a", "r", f"127.0.0.1:{port}", 0)


def call(number: int = 0) -> frames.Call:
    return frames.Call(
        number, "a", "", "", False, "c", 1000, 1, 0, False, "", "GET", "/", [], b""
    )


def answer(number: int) -> frames.Answer:
    return frames.Answer(
        number, "ran", "", "", 0, False, False, 200, [], b"x", 0, 8.0, 0, 1, 0
    )


class WebSocketNetworkTest(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.port, other_port = free_ports(2)
        self.calls = []
        self.network = self.make("one", self.port)
        self.other = self.make("other", other_port)
        await self.network.start()
        await self.other.start()

    async def asyncTearDown(self):
        await self.other.stop()
        await self.network.stop()

    def make(self, host: str, port: int) -> WebSocketNetwork:
        return WebSocketNetwork(
            Address("127.0.0.1", port),
            FLEET_KEY,
            lambda: hello(host, port),
            self.serve,
            lambda fence: Verdict.NOT_RUN,
        )

    async def serve(self, incoming: frames.Call) -> frames.Answer:
        self.calls.append(incoming)
        await asyncio.sleep(incoming.time_left_ms / 1000)
        return answer(incoming.id)

    async def dial(self, key: str = FLEET_KEY):
        headers = {"Authorization": f"Bearer {key}"}
        url = f"ws://127.0.0.1:{self.port}/"
        return await connect(url, additional_headers=headers, proxy=None)

    async def test_connections_without_the_fleet_key_are_refused(self):
        for key in ("", "wrong", FLEET_KEY + "x"):
            with self.subTest(key), self.assertRaises(websockets.InvalidStatus):
                await self.dial(key)

    async def test_malformed_frames_close_only_their_own_link(self):
        await self.other.connect(f"127.0.0.1:{self.port}")
        good = frames.encode(hello("evil", 1))
        cases = {
            "no hello": [frames.encode(frames.Cancel(1))],
            "text": [good, "text"],
            "not CBOR": [good, b"\xff\xff"],
            "deep nesting": [good, b"\x81" * 5000 + b"\x01"],
            "wrong type": [good, cbor2.dumps([2, "x"])],
            "unknown code": [good, cbor2.dumps([99, 1])],
        }
        for name, messages in cases.items():
            with self.subTest(name):
                connection = await self.dial()
                for message in messages:
                    await connection.send(message)
                async with asyncio.timeout(5):
                    await connection.wait_closed()
        session = self.other.session("one")
        self.assertEqual((await session.call(call())).body, b"x")

    async def test_connection_without_a_hello_is_closed(self):
        connection = await self.dial()
        async with asyncio.timeout(5):
            await connection.wait_closed()

    async def test_late_and_unknown_answers_are_dropped(self):
        await self.other.connect(f"127.0.0.1:{self.port}")
        session = self.other.session("one")
        slow = asyncio.create_task(session.call(call()))
        await asyncio.sleep(0.05)
        reverse_session = self.network.session("other")
        await reverse_session.send(answer(999))
        slow.cancel()
        await asyncio.sleep(0.05)
        reply = await session.call(call())
        self.assertEqual(reply.id, 2)

    async def test_excess_calls_are_reported_not_run_only_without_a_key(self):
        await self.other.connect(f"127.0.0.1:{self.port}")
        session = self.other.session("one")
        with mock.patch.object(peer_session, "CALLS_IN_FLIGHT_MAX", 0):
            plain = await session.call(call())
            keyed = await session.call(attrs.evolve(call(), key="k"))
        self.assertEqual(plain.verdict, Verdict.NOT_RUN)
        self.assertEqual(keyed.verdict, Verdict.MAY_HAVE_RUN)

    async def test_lost_link_fails_its_calls(self):
        await self.other.connect(f"127.0.0.1:{self.port}")
        session = self.other.session("one")
        waiting = asyncio.create_task(session.call(call()))
        await asyncio.sleep(0.05)
        self.network.disconnect("other")
        with self.assertRaises(Exception) as caught:
            await waiting
        self.assertEqual(type(caught.exception).__name__, "ConnectionClosedError")
