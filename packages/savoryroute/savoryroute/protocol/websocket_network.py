"""Links to peers over WebSocket connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ConnectionClosedError
from ..state.address import Address
from ..transport import websocket
from .frames import FRAME_BYTES_MAX, Frame, Hello, encode
from .link_traffic import LinkTraffic
from .peer_network import ControlHandler, LinkHandler, PeerNetwork
from .peer_session import PeerSession, SessionHandlers, read_hello

__all__ = ["WebSocketNetwork"]


class WebSocketNetwork(PeerNetwork):
    """Sessions with peers by host name, each run by its own task.

    A session that this daemon opened is preferred over one that the peer opened.

    Args:
        address: Where to listen for peers.
        fleet_key: Secret that every daemon of the fleet holds.
        make_hello: Returns the first frame of this daemon with its current uptime.
        on_call: Handles a call of a peer and returns the final answer.
        on_fence: Fences a key for a peer and returns the verdict on its action.
    """

    def __init__(
        self,
        address: Address,
        fleet_key: str,
        make_hello: Callable[[], Hello],
        on_call: Callable,
        on_fence: Callable,
    ) -> None:
        self._address = address
        self._fleet_key = fleet_key
        self._make_hello = make_hello
        self._handlers = SessionHandlers(on_call, on_fence, self._on_control)
        self._on_control_frame: ControlHandler | None = None
        self._on_link: LinkHandler | None = None
        self._outbound: dict[str, PeerSession] = {}
        self._inbound: dict[str, PeerSession] = {}
        self._dialling: dict[str, asyncio.Task] = {}
        self._tasks: set[asyncio.Task] = set()
        self._server: websocket.Server | None = None
        self._traffic = LinkTraffic()

    @property
    def traffic(self) -> LinkTraffic:
        """Frames and bytes on all links so far."""
        return self._traffic

    @property
    def hosts(self) -> list[str]:
        """Names of the hosts with an open link."""
        return list(self._outbound.keys() | self._inbound.keys())

    def set_handlers(self, on_control: ControlHandler, on_link: LinkHandler) -> None:
        """Set the handlers of control frames and of links that open or close."""
        self._on_control_frame = on_control
        self._on_link = on_link

    async def start(self) -> None:
        """Listen for peers."""
        self._server = await websocket.listen(
            self._address, self._fleet_key, FRAME_BYTES_MAX, self._accept_connection
        )

    async def stop(self) -> None:
        """Close all links and stop listening."""
        if self._server is not None:
            self._server.close()
        for session in [*self._outbound.values(), *self._inbound.values()]:
            await session.close()
        for task in list(self._tasks):
            task.cancel()

    def session(self, host: str) -> PeerSession | None:
        """Return the open session with a host, or None."""
        session = self._outbound.get(host) or self._inbound.get(host)
        if session is not None and session.is_open:
            return session
        return None

    def hello(self, host: str) -> Hello | None:
        """Return the first frame of the peer on the open link, or None."""
        session = self.session(host)
        return None if session is None else session.peer

    async def send(self, host: str, frame: Frame) -> bool:
        """Send a control frame; return whether there was a link to send it on."""
        session = self.session(host)
        if session is None:
            return False
        try:
            await session.send(frame)
        except ConnectionClosedError:
            return False
        return True

    def disconnect(self, host: str) -> None:
        """Close the link to a host, if there is one."""
        for sessions in (self._outbound, self._inbound):
            session = sessions.pop(host, None)
            if session is not None:
                self._spawn(session.close())

    async def connect(self, peers_address: str) -> Result[Hello, ConnectionClosedError]:
        """Open a link to ``ip:port``, or reuse the open one."""
        for session in self._outbound.values():
            if session.peer.peers == peers_address and session.is_open:
                return Ok(session.peer)
        task = self._dialling.get(peers_address)
        if task is None:
            task = self._spawn(self._dial(peers_address))
            self._dialling[peers_address] = task
            task.add_done_callback(lambda _: self._dialling.pop(peers_address, None))
        return await asyncio.shield(task)

    async def _dial(self, peers_address: str) -> Result[Hello, ConnectionClosedError]:
        """Open a connection, exchange hellos and start the session's task."""
        address = Address.parse(peers_address)
        if address is None:
            return Err(
                ConnectionClosedError(f"{peers_address!r:.60} is not a valid address")
            )
        dialled = await websocket.dial(address, self._fleet_key, FRAME_BYTES_MAX)
        if isinstance(dialled, Err):
            return dialled
        connection = dialled.ok_value
        try:
            await websocket.send(connection, encode(self._make_hello()))
            peer = await read_hello(connection)
        except ConnectionClosedError as error:
            await connection.close()
            return Err(error)
        session = PeerSession(connection, peer, self._handlers, self._traffic)
        self._outbound[peer.host] = session
        self._notify_link(peer, True)
        self._spawn(self._run(session, self._outbound))
        return Ok(peer)

    async def _accept_connection(self, connection: websocket.Connection) -> None:
        """Run the session on a connection that a peer opened."""
        try:
            peer = await read_hello(connection)
            await websocket.send(connection, encode(self._make_hello()))
        except ConnectionClosedError:
            await connection.close()
            return
        session = PeerSession(connection, peer, self._handlers, self._traffic)
        self._inbound[peer.host] = session
        self._notify_link(peer, True)
        await self._run(session, self._inbound)

    async def _run(
        self, session: PeerSession, sessions: dict[str, PeerSession]
    ) -> None:
        """Run a session, then remove it from its table."""
        host = session.peer.host
        try:
            await session.run()
        finally:
            if sessions.get(host) is session:
                del sessions[host]
            if self.session(host) is None:
                self._notify_link(session.peer, False)

    def _notify_link(self, peer: Hello, is_up: bool) -> None:
        if self._on_link is not None:
            self._on_link(peer, is_up)

    async def _on_control(self, peer: Hello, frame: Frame) -> None:
        if self._on_control_frame is not None:
            await self._on_control_frame(peer.host, frame)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
