"""HTTP/1.1 client with a pool of connections to one address."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable, Coroutine

import httptools
from result import Err, Ok, Result

from ..state.body_budget import HEADER_OVERHEAD_BYTES, SMALL_BODY_BYTES, BodyBudget
from .exchange_outcome import ExchangeFailure, FailureKind, HttpAnswer
from .input_pacer import InputPacer, PacedInput
from .keepalive import enable_keepalive, limit_unacked

__all__ = ["HttpPool", "PendingExchange"]

CONNECT_TIMEOUT_S = 1.0
# Idle time after which a connection is not reused, if the server states no timeout.
IDLE_DEFAULT_S = 4.0
# Subtracted from the timeout that the server states, so that a request does not cross
# the server's close of the connection.
IDLE_MARGIN_S = 1.0
# A non-idempotent request can't be retried if the server closes the connection, so it
# only reuses a connection that was idle for at most this long.
NON_IDEMPOTENT_IDLE_S = 1.5
ANSWER_BYTES_MAX = 64 * 1024 * 1024
# Bytes of one read. They are parsed at once, and in chunks of one byte each body byte
# takes a microsecond.
READ_BYTES = 16 * 1024
# Bytes of an answer beside its body: heads, trailers, and the framing of chunks. A body
# in chunks of one byte has five for each of its bytes.
FRAMING_BYTES_MAX = 64 * 1024
FRAMING_BYTES_PER_BODY_BYTE = 8
# Seconds after its answer in which the rest of a request is written.
REST_TIMEOUT_S = 5.0
# Late answers to earlier requests of a connection that may precede the expected one.
STRAY_ANSWERS_MAX = 16
# Failed exchanges of one connection whose identities are remembered.
FAILED_IDS_MAX = 256

_TIMEOUT_VALUE = re.compile(rb"timeout\s*=\s*(\d+)")


DoneHandler = Callable[[HttpAnswer | ExchangeFailure], None]


class PendingExchange:
    """Exchange in progress; ``cancel`` abandons it and closes its connection."""

    __slots__ = (
        "_connection",
        "_is_done",
        "body",
        "data",
        "expected_id",
        "is_head",
        "on_done",
    )

    def __init__(
        self,
        data: bytes,
        body: bytes,
        expected_id: bytes | None,
        is_head: bool,
        on_done: DoneHandler,
    ) -> None:
        self.data = data
        self.body = body
        self.expected_id = expected_id
        self.is_head = is_head
        # None once it has ended: the handler refers to the caller's state, which refers
        # to this exchange.
        self.on_done: DoneHandler | None = on_done
        self._connection: _PooledConnection | None = None
        self._is_done = False

    @property
    def is_done(self) -> bool:
        """Whether it has ended or was cancelled."""
        return self._is_done

    @property
    def is_sent(self) -> bool:
        """Whether the request was written to a connection."""
        return self._connection is not None

    def attach(self, connection: _PooledConnection) -> None:
        """Set the connection that carries it."""
        self._connection = connection

    def cancel(self) -> None:
        """Abandon the exchange; ``on_done`` is not called."""
        if self._is_done:
            return
        self._is_done = True
        self.on_done = None
        self.data = self.body = b""
        if self._connection is not None:
            self._connection.abort()

    def finish(self, outcome: HttpAnswer | ExchangeFailure) -> None:
        """Call ``on_done`` with the outcome, unless the exchange has ended."""
        if self._is_done:
            return
        self._is_done = True
        on_done, self.on_done = self.on_done, None
        on_done(outcome)


class _PooledConnection(asyncio.BufferedProtocol):
    """Connection of a pool; it carries one exchange at a time."""

    def __init__(self, pool: HttpPool) -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._input: PacedInput | None = None
        # Refers to this connection; None once it is lost, to break the cycle.
        self._parser: httptools.HttpResponseParser | None
        self._parser = httptools.HttpResponseParser(self)
        self._pending: PendingExchange | None = None
        self._can_reuse = True
        self._is_unacked_limited = True
        self._is_message_open = False
        self._ends_with_close = False
        self._answer: HttpAnswer | None = None
        self._framing_bytes = 0
        # Of these, the bytes since the last byte of a body.
        self._barren_bytes = 0
        self._n_strays = 0
        self._reserved_bytes = 0
        self._failed_ids: set[bytes] = set()
        self.idle_since_s = time.monotonic()
        self.idle_max_s = IDLE_DEFAULT_S
        self._reset_message()

    def _reset_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._headers_bytes = 0
        self._is_head_complete = False
        self._drop_body()
        self._has_length = False
        self._ends_with_close = False

    @property
    def is_usable(self) -> bool:
        """Whether a further exchange may use it."""
        return (
            self._can_reuse
            and self._pending is None
            and self._transport is not None
            and not self._transport.is_closing()
        )

    def has_failed(self, id_: bytes | None) -> bool:
        """Whether an exchange of this identity failed on this connection."""
        return id_ in self._failed_ids

    def start(self, pending: PendingExchange) -> None:
        """Start an exchange on this connection."""
        self._pending = pending
        self._framing_bytes = self._barren_bytes = self._n_strays = 0
        self._input.begin_message()
        pending.attach(self)
        if len(pending.body) > SMALL_BODY_BYTES:
            # The server may pause its reading; the deadline of the exchange applies.
            limit_unacked(self._transport, False)
            self._is_unacked_limited = False
        # Two buffers, so that a long body is not copied; neither is needed afterwards.
        self._transport.writelines([pending.data, pending.body])
        pending.data = pending.body = b""

    def abort(self) -> None:
        """Close the connection at once and drop its exchange."""
        self._can_reuse = False
        self._pending = None
        self._drop_body()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._input = PacedInput(self._pool.pacer, transport)
        enable_keepalive(transport)
        self._pool.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._can_reuse = False
        self._pool.discard(self)
        self._input.close()
        self._reset_message()
        self._parser = None
        pending, self._pending = self._pending, None
        if pending is not None:
            detail = "the connection was lost before the complete answer arrived"
            pending.finish(ExchangeFailure(FailureKind.CLOSED, detail))

    def eof_received(self) -> bool:
        self._can_reuse = False
        if self._is_message_open and self._ends_with_close:
            self._store_answer()
            if self._answer is not None:
                self._finish()
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._pool.read_buffer

    def buffer_updated(self, n_bytes: int) -> None:
        if self._pending is None:
            # No exchange is in progress, so the bytes belong to no request.
            self.abort()
            return
        began_s = self._input.begin_read(n_bytes)
        self._framing_bytes += n_bytes
        self._barren_bytes += n_bytes
        try:
            self._parser.feed_data(self._pool.read_buffer[:n_bytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._can_reuse = False
            if self._answer is None:
                self._fail(f"invalid HTTP response: {type(error).__name__}")
        if self._answer is not None:
            self._finish()
        else:
            self._check_length()
        self._input.end_read(began_s)

    def _check_length(self) -> None:
        """Reserve memory for what was read of an answer, or give the answer up."""
        if self._pending is None:
            return
        bodies = self._pool.bodies
        # Usual heads have room beside each answer, as short bodies do.
        n_bytes = len(self._body) + max(0, self._headers_bytes - SMALL_BODY_BYTES)
        n_new_bytes = n_bytes - self._reserved_bytes
        if len(self._body) > self._pool.answer_bytes_max:
            self._fail(self._too_long())
        elif not bodies.try_reserve(n_new_bytes, self._reserved_bytes):
            self._fail(f"no memory: answers take up {bodies.held_bytes} bytes")
        elif max(self._framing_bytes, self._barren_bytes) > FRAMING_BYTES_MAX:
            self._fail(f"more than {FRAMING_BYTES_MAX} bytes beside the answer's body")
        elif self._n_strays > STRAY_ANSWERS_MAX:
            self._fail(f"more than {STRAY_ANSWERS_MAX} answers to other requests")
        else:
            self._reserved_bytes += n_new_bytes

    def _too_long(self) -> str:
        return f"the answer body is longer than {self._pool.answer_bytes_max} bytes"

    def on_message_begin(self) -> None:
        self._reset_message()
        self._is_message_open = True
        if self._answer is not None:
            self._can_reuse = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._is_head_complete:
            # Trailers are not forwarded.
            return
        name = name.lower()
        self._headers.append((name, value))
        self._headers_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        if name == b"content-length" or name == b"transfer-encoding":
            self._has_length = True
        elif name == b"keep-alive":
            stated = _TIMEOUT_VALUE.search(value)
            if stated:
                self.idle_max_s = max(0.0, int(stated[1]) - IDLE_MARGIN_S)

    def on_headers_complete(self) -> None:
        self._is_head_complete = True
        status = self._parser.get_status_code()
        has_body = status >= 200 and status not in (204, 304)
        self._ends_with_close = has_body and not self._has_length
        if self._pending is not None and self._pending.is_head and status >= 200:
            self._can_reuse = False
            self._store_answer()

    def on_body(self, body: bytes) -> None:
        if self._pending is None:
            # The rest of what was read when the exchange failed.
            return
        self._framing_bytes -= len(body) * (1 + FRAMING_BYTES_PER_BODY_BYTE)
        self._barren_bytes = 0
        self._body += body

    def _drop_body(self) -> None:
        self._body = bytearray()
        self._pool.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def on_message_complete(self) -> None:
        self._is_message_open = False
        if self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._can_reuse = False
        self._store_answer()

    def _store_answer(self) -> None:
        """Store a complete answer if it belongs to the exchange in progress."""
        pending = self._pending
        if pending is None or self._answer is not None:
            # A second answer to one request: further bytes can't be trusted either.
            self._can_reuse = False
            return
        if pending.expected_id is not None:
            echoed_id = self._echoed_id()
            if echoed_id != pending.expected_id:
                # A late copy of an answer without an id could not be told from the
                # answer to the next request on this connection.
                self._can_reuse = False
                if echoed_id is not None:
                    # A late copy of an earlier answer; the expected one follows.
                    self._n_strays += 1
                    return
        self._is_message_open = False
        status = self._parser.get_status_code()
        if pending.expected_id is not None and status >= 400:
            self._failed_ids.add(pending.expected_id)
            if len(self._failed_ids) >= FAILED_IDS_MAX:
                self._can_reuse = False
        self._answer = HttpAnswer(status, self._headers, bytes(self._body))

    def _finish(self) -> None:
        """Release or close the connection, then finish the exchange."""
        answer, self._answer = self._answer, None
        pending, self._pending = self._pending, None
        self._reset_message()
        has_rest = self._transport.get_write_buffer_size() > 0
        if not self._is_unacked_limited and not has_rest:
            limit_unacked(self._transport, True)
            self._is_unacked_limited = True
        if has_rest:
            # The server answered before the complete request was written.
            self._can_reuse = False
            self._write_rest()
        elif self._can_reuse:
            self.idle_since_s = time.monotonic()
            self._pool.release(self)
        else:
            self._transport.close()
        if pending is not None:
            pending.finish(answer)

    def _write_rest(self) -> None:
        """Close the connection once the rest of an answered request is written.

        The server may read it later. It counts as memory until then, and is dropped if
        there is none or the server does not read it in time.
        """
        n_bytes = self._transport.get_write_buffer_size()
        if self._pool.bodies.try_reserve(n_bytes):
            self._reserved_bytes = n_bytes
            self._transport.close()
            loop = asyncio.get_running_loop()
            loop.call_later(REST_TIMEOUT_S, self._transport.abort)
        else:
            self._transport.abort()

    def _echoed_id(self) -> bytes | None:
        """Return the identity in the answer, None if it has none."""
        id_header = self._pool.id_header
        for name, value in self._headers:
            if name == id_header:
                return value
        return None

    def _fail(self, detail: str) -> None:
        pending = self._pending
        self.abort()
        if pending is not None:
            pending.finish(ExchangeFailure(FailureKind.BAD_ANSWER, detail))


class HttpPool:
    """Pool of connections to one address; the last used one is reused first.

    Args:
        ip: Address of the server.
        port: Port of the server.
        id_header: Lower-case name of the header in which the server echoes the
            request's identity, or an empty string.
        bodies: Memory for the bodies of answers; by default for one of the longest.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        id_header: bytes = b"",
        bodies: BodyBudget | None = None,
    ) -> None:
        self._ip = ip
        self._port = port
        self.id_header = id_header
        self.bodies = BodyBudget(ANSWER_BYTES_MAX) if bodies is None else bodies
        self.pacer = InputPacer()
        # Shared by the connections: what was read is parsed before the next read.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.connections: set[_PooledConnection] = set()
        self._idle: list[_PooledConnection] = []
        self._n_opened = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def answer_bytes_max(self) -> int:
        """Length in bytes of the longest accepted body of an answer."""
        return min(ANSWER_BYTES_MAX, self.bodies.limit_bytes)

    @property
    def n_opened(self) -> int:
        """Number of connections opened so far."""
        return self._n_opened

    def send(
        self,
        data: bytes,
        on_done: DoneHandler,
        expected_id: bytes | None = None,
        is_idempotent: bool = True,
        is_head: bool = False,
        body: bytes = b"",
    ) -> PendingExchange:
        """Start an exchange.

        Args:
            data: The request without its body.
            on_done: Called with the answer or the failure.
            expected_id: Identity of the request; an answer that echoes another one is
                ignored.
            is_idempotent: Whether the request is idempotent.
            is_head: Whether the method is HEAD.
            body: The complete body.
        """
        pending = PendingExchange(data, body, expected_id, is_head, on_done)
        connection = self._take_idle(is_idempotent, expected_id)
        if connection is not None:
            connection.start(pending)
        else:
            self._run(self._open(pending))
        return pending

    def open_spare(self, on_opened: Callable[[str | None], None]) -> None:
        """Open a connection for a later exchange.

        Args:
            on_opened: Called with None, or with why the connection failed.
        """
        self._run(self._open_spare(on_opened))

    def release(self, connection: _PooledConnection) -> None:
        """Return an idle connection to the pool."""
        self._idle.append(connection)

    def discard(self, connection: _PooledConnection) -> None:
        """Remove a connection that was closed or lost."""
        self.connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self) -> None:
        """Close connections that have been idle for too long."""
        now_s = time.monotonic()
        for connection in list(self._idle):
            if now_s - connection.idle_since_s > connection.idle_max_s:
                self._idle.remove(connection)
                connection.abort()

    def close_idle(self) -> None:
        """Close the connections that carry no exchange."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def close(self) -> None:
        """Close all connections and cancel those being opened."""
        for connection in list(self.connections):
            connection.abort()
        for task in list(self._tasks):
            task.cancel()

    def _take_idle(
        self, is_idempotent: bool, id_: bytes | None
    ) -> _PooledConnection | None:
        """Return an idle connection for an exchange, None if a new one is needed.

        A repeated request does not use a connection on which it failed: a late copy of
        that failure could not be told from its answer.
        """
        now_s = time.monotonic()
        for index in reversed(range(len(self._idle))):
            connection = self._idle[index]
            age_s = now_s - connection.idle_since_s
            if not connection.is_usable or age_s > connection.idle_max_s:
                del self._idle[index]
                connection.abort()
            elif not is_idempotent and age_s > NON_IDEMPOTENT_IDLE_S:
                return None
            elif not connection.has_failed(id_):
                del self._idle[index]
                return connection
        return None

    def _run(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open(self, pending: PendingExchange) -> None:
        """Open a connection for an exchange and start it."""
        opened = await self._connect()
        if isinstance(opened, Err):
            pending.finish(ExchangeFailure(FailureKind.NOT_SENT, opened.err_value))
        elif pending.is_done:
            self.release(opened.ok_value)
        else:
            opened.ok_value.start(pending)

    async def _open_spare(self, on_opened: Callable[[str | None], None]) -> None:
        opened = await self._connect()
        if isinstance(opened, Err):
            on_opened(opened.err_value)
            return
        self.release(opened.ok_value)
        on_opened(None)

    async def _connect(self) -> Result[_PooledConnection, str]:
        """Return a new connection, or why it could not be opened."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: _PooledConnection(self), self._ip, self._port
                )
        except (OSError, TimeoutError) as error:
            return Err(f"no connection to {self._ip}:{self._port}: {error!r:.80}")
        self._n_opened += 1
        return Ok(connection)
