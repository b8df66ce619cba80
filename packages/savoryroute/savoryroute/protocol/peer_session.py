"""Calls and control frames multiplexed over one connection to a peer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import attrs
from websockets.protocol import State

from ..errors import ConnectionClosedError, FrameError
from ..transport import websocket
from ..verdict import Reason, Verdict
from .frames import (
    Answer,
    Call,
    Cancel,
    Fence,
    FenceAnswer,
    Frame,
    Hello,
    decode,
    encode,
)
from .link_traffic import LinkTraffic

__all__ = ["PeerSession", "SessionHandlers"]

CALLS_IN_FLIGHT_MAX = 4096
HELLO_TIMEOUT_S = 2.0

_logger = logging.getLogger(__name__)


@attrs.frozen
class SessionHandlers:
    """Handlers of the frames received on a session.

    Attributes:
        on_call: Handles a call of the peer and returns the final answer.
        on_fence: Fences a key and returns the verdict on its action.
        on_control: Handles every other frame; also gets the peer's first frame.
    """

    on_call: Callable[[Call], Awaitable[Answer]]
    on_fence: Callable[[Fence], Verdict]
    on_control: Callable[[Hello, Frame], Awaitable[None]]


class PeerSession:
    """One connection to a peer, opened by either side.

    Args:
        connection: Connection on which both sides have sent their hello.
        peer: First frame of the peer.
        handlers: Handlers of received frames.
        traffic: Counts of frames and bytes; None for separate ones.
    """

    def __init__(
        self,
        connection: websocket.Connection,
        peer: Hello,
        handlers: SessionHandlers,
        traffic: LinkTraffic | None = None,
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._handlers = handlers
        self._traffic = traffic or LinkTraffic()
        self._next_id = 0
        self._pending: dict[int, asyncio.Future[Frame]] = {}
        self._serving: dict[int, asyncio.Task[None]] = {}

    @property
    def peer(self) -> Hello:
        """First frame of the peer."""
        return self._peer

    @property
    def is_open(self) -> bool:
        """Whether frames can still be sent."""
        return self._connection.state is State.OPEN

    @property
    def n_pending(self) -> int:
        """Calls sent and not yet answered."""
        return len(self._pending)

    async def run(self) -> None:
        """Handle frames until the connection is closed."""
        try:
            while True:
                data = await websocket.receive(self._connection)
                frame = decode(data)
                self._traffic.note_received(frame, len(data))
                await self._handle(frame)
        except ConnectionClosedError:
            pass
        except FrameError as error:
            _logger.warning(
                "closing link to %s because of an invalid frame: %s",
                self._peer.host,
                error,
            )
        finally:
            await self._shut_down()

    async def call(self, call: Call) -> Answer:
        """Send a call and return its answer.

        Args:
            call: The call; its ``id`` is replaced by one of this connection.

        Raises:
            ConnectionClosedError: The connection is closed; the peer may have received
                the call.
        """
        number = self._take_id()
        answer = await self._exchange(number, attrs.evolve(call, id=number))
        if not isinstance(answer, Answer):
            raise ConnectionClosedError(
                "the peer answered a call with a frame of another kind"
            )
        return answer

    async def fence(self, key: str, is_cancellation: bool) -> Verdict:
        """Ask the peer to fence a key; return its verdict on the action.

        Args:
            key: Idempotency key that the peer owns.
            is_cancellation: Whether the fence is part of a cancellation.

        Raises:
            ConnectionClosedError: The connection is closed.
        """
        number = self._take_id()
        answer = await self._exchange(number, Fence(number, key, is_cancellation))
        if isinstance(answer, FenceAnswer) and answer.verdict in set(Verdict):
            return Verdict(answer.verdict)
        return Verdict.MAY_HAVE_RUN

    async def send(self, frame: Frame) -> None:
        """Send a frame.

        Raises:
            ConnectionClosedError: The connection is closed.
        """
        data = encode(frame)
        self._traffic.note_sent(frame, len(data))
        await websocket.send(self._connection, data)

    async def close(self) -> None:
        """Close the connection."""
        await self._connection.close()

    def _take_id(self) -> int:
        self._next_id += 1
        return self._next_id

    async def _exchange(self, number: int, frame: Frame) -> Frame:
        """Send a frame and wait for the answer with its number."""
        future = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        try:
            await self.send(frame)
            return await future
        except asyncio.CancelledError:
            await self._abandon(number)
            raise
        finally:
            self._pending.pop(number, None)

    async def _abandon(self, number: int) -> None:
        """Tell the peer that the answer is no longer needed."""
        try:
            await self.send(Cancel(number))
        except ConnectionClosedError:
            pass

    async def _handle(self, frame: Frame) -> None:
        if isinstance(frame, Call):
            self._accept(frame)
        elif isinstance(frame, Answer | FenceAnswer):
            self._resolve(frame)
        elif isinstance(frame, Cancel):
            self._cancel(frame.id)
        elif isinstance(frame, Fence):
            verdict = self._handlers.on_fence(frame)
            await self.send(FenceAnswer(frame.id, verdict))
        else:
            await self._handlers.on_control(self._peer, frame)

    def _accept(self, call: Call) -> None:
        """Start serving a call."""
        if call.id in self._serving:
            return
        task = asyncio.create_task(self._serve(call))
        self._serving[call.id] = task

    async def _serve(self, call: Call) -> None:
        try:
            if len(self._serving) > CALLS_IN_FLIGHT_MAX:
                answer = _too_many(call)
            else:
                answer = await self._handlers.on_call(call)
            await self.send(answer)
        except ConnectionClosedError:
            pass
        finally:
            self._serving.pop(call.id, None)

    def _resolve(self, frame: Answer | FenceAnswer) -> None:
        """Complete the pending exchange of an answer; drop a late or duplicate one."""
        future = self._pending.get(frame.id)
        if future is not None and not future.done():
            future.set_result(frame)

    def _cancel(self, number: int) -> None:
        task = self._serving.get(number)
        if task is not None:
            task.cancel()

    async def _shut_down(self) -> None:
        """Fail pending exchanges, cancel calls in progress and close."""
        error = ConnectionClosedError(f"link to {self._peer.host} was closed")
        for future in self._pending.values():
            if not future.done():
                future.set_exception(error)
        for task in list(self._serving.values()):
            task.cancel()
        await self._connection.close()


def _too_many(call: Call) -> Answer:
    """Return the refusal of a call above the limit of one connection.

    The key of a keyed call is not fenced here, and an earlier copy may have run.
    """
    return Answer(
        id=call.id,
        verdict=Verdict.MAY_HAVE_RUN if call.key else Verdict.NOT_RUN,
        reason=Reason.OVERLOAD,
        detail="too many calls in flight on one connection",
        retry_after_ms=1000,
        is_load=True,
        from_deep=False,
        status=0,
        headers=[],
        body=b"",
        allowance_left=0,
        level=0.0,
        n_in_flight=0,
        limit=0,
        n_queued=0,
    )


async def read_hello(connection: websocket.Connection) -> Hello:
    """Return the first frame of a peer.

    Raises:
        ConnectionClosedError: The peer did not send a hello in time, closed the
            connection, or sent another frame.
    """
    try:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            frame = decode(await websocket.receive(connection))
    except (TimeoutError, FrameError) as error:
        raise ConnectionClosedError(f"no valid hello from the peer: {error}") from error
    if not isinstance(frame, Hello):
        raise ConnectionClosedError("the first frame is not a hello")
    return frame
