"""In-memory links between daemons, with simulated network faults."""

from __future__ import annotations

import asyncio
import contextvars
import random
from collections import Counter
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..errors import ConnectionClosedError
from .frames import Frame, Hello, encode
from .peer_network import ControlHandler, LinkHandler, PeerNetwork

__all__ = ["MemoryNetwork", "NetworkSimulator"]

CONNECT_TIMEOUT_S = 1.0
DELAY_S = 0.001
HEADER_BYTES = 60
"""Bytes of WebSocket, TCP and IP headers per message."""


@attrs.define
class Traffic:
    """Number of messages and bytes sent by one host.

    Attributes:
        n_messages: Number of messages.
        n_bytes: Bytes of all messages, including ``HEADER_BYTES`` for each.
        by_kind: The same bytes by the class name of the frame.
    """

    n_messages: int = 0
    n_bytes: int = 0
    by_kind: Counter[str] = attrs.Factory(Counter)


@attrs.define(eq=False)
class _Link:
    """Open link between two hosts."""

    ends: tuple[MemoryNetwork, MemoryNetwork]
    hellos: dict[str, Hello]
    is_open: bool = True
    last_due_s: dict[str, float] = attrs.Factory(dict)

    def other(self, network: MemoryNetwork) -> MemoryNetwork:
        """Return the network at the other end."""
        return self.ends[1] if self.ends[0] is network else self.ends[0]


class NetworkSimulator:
    """All hosts' in-memory networks, and the simulated faults between them.

    Attributes:
        drop_fraction: Fraction of frames that are lost.
        duplicate_fraction: Fraction of frames that are delivered twice.
        delay_s: Minimum and maximum delay of a frame in seconds.
    """

    def __init__(self, seed: int = 0) -> None:
        self._random = random.Random(seed)
        self._networks: dict[str, MemoryNetwork] = {}
        self._cuts: set[frozenset[str]] = set()
        self._context = contextvars.copy_context()
        self.drop_fraction = 0.0
        self.duplicate_fraction = 0.0
        self.delay_s = (DELAY_S, DELAY_S)

    @property
    def context(self) -> contextvars.Context:
        """Context of work that belongs to no host, such as frames in transit."""
        return self._context

    def join(self, network: MemoryNetwork) -> None:
        """Add a host's network, which replaces an earlier one at its address."""
        self._networks[network.own_hello.peers] = network

    def leave(self, network: MemoryNetwork) -> None:
        """Simulate the end of a process: close its links and refuse its address."""
        address = network.own_hello.peers
        if self._networks.get(address) is network:
            del self._networks[address]
        network.close_all()

    def find(self, peers_address: str) -> MemoryNetwork | None:
        """Return the network of the host at an address, or None."""
        return self._networks.get(peers_address)

    def cut(self, one: str, other: str) -> None:
        """Drop all frames between two hosts, without closing their links."""
        self._cuts.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """Restore the connection between two hosts."""
        self._cuts.discard(frozenset((one, other)))

    def heal_all(self) -> None:
        """Restore the connections between all hosts."""
        self._cuts.clear()

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether frames between two hosts are dropped."""
        return bool(self._cuts) and frozenset((one, other)) in self._cuts

    def copies(self) -> int:
        """Draw how many copies of the next frame arrive."""
        if self.drop_fraction and self._random.random() < self.drop_fraction:
            return 0
        if self.duplicate_fraction:
            return 1 + (self._random.random() < self.duplicate_fraction)
        return 1

    def draw_delay_s(self) -> float:
        """Draw the delay of the next frame in seconds."""
        low, high = self.delay_s
        return low if low == high else self._random.uniform(low, high)


class MemoryNetwork(PeerNetwork):
    """Links of one host through a network simulator."""

    def __init__(
        self, simulator: NetworkSimulator, make_hello: Callable[[], Hello]
    ) -> None:
        self._simulator = simulator
        self._make_hello = make_hello
        self._links: dict[str, _Link] = {}
        self._on_control: ControlHandler | None = None
        self._on_link: LinkHandler | None = None
        self._inbox: asyncio.Queue[tuple[str, Frame]] = asyncio.Queue()
        self._reader: asyncio.Task[None] | None = None
        self._traffic = Traffic()
        self._own_hello = make_hello()
        self._context = contextvars.copy_context()
        simulator.join(self)

    @property
    def own_hello(self) -> Hello:
        """First frame of this host, as of its start."""
        return self._own_hello

    @property
    def traffic(self) -> Traffic:
        """Messages and bytes sent by this host."""
        return self._traffic

    @property
    def hosts(self) -> list[str]:
        """Names of the hosts with an open link."""
        return list(self._links)

    async def connect(self, peers_address: str) -> Result[Hello, ConnectionClosedError]:
        """Open a link to an address, or reuse the open one."""
        for link in self._links.values():
            other = link.other(self)
            if other.own_hello.peers == peers_address:
                return Ok(link.hellos[other.own_hello.host])
        await asyncio.sleep(2 * self._simulator.draw_delay_s())
        other = self._simulator.find(peers_address)
        if other is None or other is self:
            return Err(ConnectionClosedError("refused"))
        if not await self._is_answering(other):
            return Err(ConnectionClosedError("timeout"))
        open_link = self._links.get(other.own_hello.host)
        if open_link is None:
            open_link = self._open(other)
        return Ok(open_link.hellos[other.own_hello.host])

    async def _is_answering(self, other: MemoryNetwork) -> bool:
        """Return whether another process answers within the connection timeout."""
        if self._simulator.is_cut(self._own_hello.host, other.own_hello.host):
            await asyncio.sleep(CONNECT_TIMEOUT_S)
            return False
        answered = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.call_soon(answered.set, context=other._context)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await answered.wait()
        except TimeoutError:
            return False
        return self._simulator.find(other.own_hello.peers) is other

    async def send(self, host: str, frame: Frame) -> bool:
        """Send a control frame; return whether there was a link to send it on."""
        link = self._links.get(host)
        if link is None:
            return False
        self._count(frame)
        own = self._own_hello.host
        for _ in range(self._simulator.copies()):
            if not self._simulator.is_cut(own, host):
                self._deliver(link, host, frame)
        return True

    def hello(self, host: str) -> Hello | None:
        """Return the first frame of the peer on the open link, or None."""
        link = self._links.get(host)
        return link.hellos[host] if link else None

    def disconnect(self, host: str) -> None:
        """Close the link to a host, if there is one."""
        link = self._links.get(host)
        if link is not None:
            self._close(link)

    def set_handlers(self, on_control: ControlHandler, on_link: LinkHandler) -> None:
        """Set the handlers of control frames and of links that open or close."""
        self._on_control = on_control
        self._on_link = on_link

    async def start(self) -> None:
        """Start passing received frames to the handler."""
        self._reader = asyncio.create_task(self._read())

    def close_all(self) -> None:
        """Close all links and stop reading."""
        for link in list(self._links.values()):
            self._close(link)
        if self._reader is not None:
            self._reader.cancel()

    def _open(self, other: MemoryNetwork) -> _Link:
        """Open a link and notify both ends."""
        mine, theirs = self._make_hello(), other._make_hello()
        former = other._links.get(mine.host)
        if former is not None:
            other._close(former)
        link = _Link((self, other), {mine.host: mine, theirs.host: theirs})
        self._links[theirs.host] = link
        other._links[mine.host] = link
        self._notify_link(theirs, True)
        other._notify_link(mine, True)
        return link

    def _close(self, link: _Link) -> None:
        """Close a link; notify the other end unless it is cut off."""
        link.is_open = False
        names = [end.own_hello.host for end in link.ends]
        for end in link.ends:
            if end is not self and self._simulator.is_cut(*names):
                continue
            host = link.other(end).own_hello.host
            if end._links.get(host) is link:
                del end._links[host]
                end._notify_link(link.hellos[host], False)

    def _notify_link(self, hello: Hello, is_up: bool) -> None:
        """Call the handler of opened and closed links in a separate callback."""
        if self._on_link is not None:
            loop = asyncio.get_running_loop()
            loop.call_soon(self._on_link, hello, is_up, context=self._context)

    def _deliver(self, link: _Link, host: str, frame: Frame) -> None:
        """Schedule the arrival of a frame; a link keeps the order of its frames."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + self._simulator.draw_delay_s()
        due_s = max(due_s, link.last_due_s.get(host, 0.0))
        link.last_due_s[host] = due_s
        context = self._simulator.context
        loop.call_at(due_s, self._arrive, link, host, frame, context=context)

    def _arrive(self, link: _Link, host: str, frame: Frame) -> None:
        """Put a frame into the inbox of the other end."""
        own = self._own_hello.host
        if link.is_open and not self._simulator.is_cut(own, host):
            link.other(self)._inbox.put_nowait((own, frame))

    async def _read(self) -> None:
        """Pass received frames to the handler one at a time, until cancelled."""
        while True:
            host, frame = await self._inbox.get()
            if self._on_control is not None:
                await self._on_control(host, frame)

    def _count(self, frame: Frame) -> None:
        """Count a sent frame."""
        self._traffic.n_messages += 1
        n_bytes = len(encode(frame)) + HEADER_BYTES
        self._traffic.n_bytes += n_bytes
        self._traffic.by_kind[type(frame).__name__] += n_bytes
