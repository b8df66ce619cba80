"""Fault injection for the links between the daemons of one event loop."""

from __future__ import annotations

import asyncio
import random
from unittest import mock
from weakref import WeakKeyDictionary

import attrs

from savoryroute.errors import ConnectionClosedError
from savoryroute.protocol.frames import (
    Answer,
    Call,
    Fence,
    FenceAnswer,
    Heartbeat,
    Hello,
    decode,
)
from savoryroute.protocol.upstream_http import UpstreamClient
from savoryroute.transport import websocket

__all__ = ["Links"]

POLL_S = 0.01
# TCP never duplicates a frame. A duplicated call without a key would be a delivery that
# no allowance accounts for.
DUPLICABLE = (Answer, Fence, FenceAnswer, Heartbeat)


@attrs.define(eq=False)
class _Ends:
    """Hosts at both ends of one connection, identified by port or Hello frame."""

    local: str
    peer: str


class Links:
    """Injects faults between daemons, and between a daemon and its upstream.

    A frame over a cut link is dropped as in a partition: neither end gets an error.

    Args:
        seed: Seed for delays and duplicates.
    """

    def __init__(self, seed: int = 0) -> None:
        self._rng = random.Random(seed)
        self._ends: WeakKeyDictionary[websocket.Connection, _Ends] = WeakKeyDictionary()
        self._cut: set[tuple[str, str]] = set()
        self._held: set[tuple[str, str]] = set()
        self._held_upstreams: set[str] = set()
        self._delayed: set[asyncio.Task] = set()
        self._hosts: dict[int, str] = {}
        self._patches: list[mock._patch] = []
        self.delay_s = 0.0
        self.duplicate_share = 0.0

    def start(self) -> None:
        """Patch the connections of the daemons to inject the faults."""
        self._receive, self._send = websocket.receive, websocket.send
        self._forward = UpstreamClient.send
        links = self

        async def forward(client, request):
            while str(client._address) in links._held_upstreams:
                await asyncio.sleep(POLL_S)
            return await links._forward(client, request)

        self._patches = [
            mock.patch.object(websocket, "receive", self._receive_frame),
            mock.patch.object(websocket, "send", self._send_frame),
            mock.patch.object(UpstreamClient, "send", forward),
        ]
        for patch in self._patches:
            patch.start()

    def register_host(self, port: int, host: str) -> None:
        """Register the host that listens for peers on a port."""
        self._hosts[port] = host

    def stop(self) -> None:
        """Undo the patches and cancel delayed frames."""
        for task in self._delayed:
            task.cancel()
        for patch in self._patches:
            patch.stop()

    def cut(self, senders: set[str], receivers: set[str]) -> None:
        """Drop all frames from one group of hosts to another."""
        self._cut |= {(a, b) for a in senders for b in receivers}

    def hold(self, senders: set[str], receivers: set[str]) -> None:
        """Delay all frames from one group of hosts to another until ``heal``."""
        self._held |= {(a, b) for a in senders for b in receivers}

    def hold_upstream(self, address: str) -> None:
        """Block a daemon between accepting a call and forwarding it, until ``heal``."""
        self._held_upstreams.add(address)

    def heal(self) -> None:
        """End all faults; held frames and calls continue."""
        self._cut.clear()
        self._held.clear()
        self._held_upstreams.clear()
        self.delay_s = self.duplicate_share = 0.0

    async def break_link(self, local: str, peer: str) -> None:
        """Abort the connections between two hosts."""
        for connection, ends in list(self._ends.items()):
            if {ends.local, ends.peer} == {local, peer}:
                connection.transport.abort()
        await asyncio.sleep(POLL_S)

    def _ends_of(self, connection: websocket.Connection) -> _Ends:
        ends = self._ends.get(connection)
        if ends is None:
            local = self._hosts.get(connection.local_address[1], "")
            peer = self._hosts.get(connection.remote_address[1], "")
            ends = self._ends[connection] = _Ends(local, peer)
        return ends

    async def _receive_frame(self, connection: websocket.Connection) -> bytes:
        while True:
            data = await self._receive(connection)
            ends = self._ends_of(connection)
            if not ends.peer and isinstance(frame := decode(data), Hello):
                ends.peer = frame.host
            if (ends.peer, ends.local) not in self._cut:
                return data

    async def _send_frame(self, connection: websocket.Connection, data: bytes) -> None:
        frame = decode(data)
        ends = self._ends_of(connection)
        if isinstance(frame, Hello):
            ends.local = frame.host
        direction = (ends.local, ends.peer)
        if direction in self._cut:
            return
        if not isinstance(frame, Hello) and (direction in self._held or self.delay_s):
            self._send_delayed(connection, data, direction)
            return
        await self._send(connection, data)
        may_duplicate = isinstance(frame, DUPLICABLE) or (
            isinstance(frame, Call) and frame.key
        )
        if may_duplicate and self._rng.random() < self.duplicate_share:
            await self._send(connection, data)

    def _send_delayed(
        self, connection, data: bytes, direction: tuple[str, str]
    ) -> None:
        task = asyncio.create_task(self._wait_and_send(connection, data, direction))
        self._delayed.add(task)
        task.add_done_callback(self._delayed.discard)

    async def _wait_and_send(self, connection, data: bytes, direction) -> None:
        """Send a frame after a random delay, possibly after later frames."""
        await asyncio.sleep(self._rng.uniform(0, self.delay_s))
        while direction in self._held:
            await asyncio.sleep(POLL_S)
        if direction not in self._cut:
            try:
                await self._send(connection, data)
            except ConnectionClosedError:
                pass
