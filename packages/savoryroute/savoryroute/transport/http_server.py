"""HTTP/1.1 server for callers, over an asyncio protocol and a C parser.

aiohttp's server costs 0.35 ms of a core per answer, which limits throughput at the call
rates of services deep in the call chain (docs/design/platform.md). This path therefore
parses with httptools.
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections import deque
from collections.abc import Callable

import httptools

from ..state.body_budget import BodyBudget
from ..state.route_table import CallerLimits
from .caller_exchange import CallerRequest, Exchange, format_answer

__all__ = ["CallersListener"]

# Reading from a connection is paused while its waiting pipelined requests exceed this.
READ_AHEAD_BYTES_MAX = 256 * 1024
LISTEN_BACKLOG = 1024
# The connection of a caller that does not read its answer for this long is closed.
WRITE_STALL_S = 20.0
# Lowest rate at which a body has to arrive after the idle timeout, as with MinRate in
# Apache's mod_reqtimeout. A link of 10 Mbit/s has twenty times this rate.
BODY_RATE_MIN_BYTES_PER_S = 64 * 1024
# Seconds for which the rest of a refused body is read and discarded. A close with
# unread data resets the connection, and the caller may lose the refusal.
LINGER_S = 1.0


class _CallerConnection(asyncio.Protocol):
    """Connection of a caller; pipelined requests are handled one at a time."""

    def __init__(self, listener: CallersListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[CallerRequest] = deque()
        self._exchange: Exchange | None = None
        self._is_closing = False
        self._is_message_open = False
        self._is_paused = False
        # Status and detail of a refusal that follows the answers in progress.
        self._pending_refusal: tuple[int, str] | None = None
        self._stalled_since_s: float | None = None
        # Start of the current request, or of the idle time before it.
        self.since_s = time.monotonic()
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._reserved_bytes = 0
        self._is_skipping_body = False
        self._is_continue_expected = False
        self._begun_s = time.monotonic()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._is_closing = True
        self._release_reserved()
        while self._waiting:
            self._release(self._waiting.popleft())
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            self._listener.n_open -= 1
            self._release(exchange.request)
            exchange.abort()

    def eof_received(self) -> bool:
        return False

    def pause_writing(self) -> None:
        self._stalled_since_s = time.monotonic()

    def resume_writing(self) -> None:
        self._stalled_since_s = None

    def data_received(self, data: bytes) -> None:
        if self._is_closing or self._pending_refusal is not None:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            if not self._is_closing:
                self._refuse(400, f"malformed HTTP request: {error}")
        if self._exchange is not None and self._waiting:
            self._limit_read_ahead()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        self._reset_message()
        self._is_message_open = True
        self.since_s = time.monotonic()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        self._is_continue_expected = any(
            name == b"expect" and value.lower() == b"100-continue"
            for name, value in self._headers
        )
        for name, value in self._headers:
            if name == b"content-length" and value.isdigit():
                self._reserve_body(int(value))
        if self._is_continue_expected and self._is_reading_body:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
        if self._is_reading_body:
            self._body.append(body)
            self._reserve_body(self._body_bytes)

    def on_message_complete(self) -> None:
        self._is_message_open = False
        if self._is_reading_body:
            self._accept(b"".join(self._body))

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or served, or an answer being written."""
        return (
            self._exchange is not None
            or (self._is_message_open and not self._is_closing)
            or (
                self._transport is not None
                and self._transport.get_write_buffer_size() > 0
            )
        )

    @property
    def _is_reading_body(self) -> bool:
        """Whether the open message is to be served."""
        return not (
            self._is_closing
            or self._is_skipping_body
            or self._pending_refusal is not None
        )

    def _accept(self, body: bytes) -> None:
        """Start the open message as a request, after those that wait."""
        keep_alive = self._parser.should_keep_alive()
        if self._is_skipping_body and self._is_continue_expected:
            # Without a 100 the caller may not send the body; what it sends next could
            # not be told from it.
            keep_alive = False
        request = CallerRequest(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            body=body,
            keep_alive=keep_alive,
            begun_s=self._begun_s,
            read_s=time.monotonic(),
            reserved_bytes=self._reserved_bytes,
            is_body_skipped=self._is_skipping_body,
        )
        self._body = []
        self._reserved_bytes = 0
        if self._exchange is None:
            self._start(request)
        else:
            self._waiting.append(request)

    # Exchanges.

    def answer(
        self, request: CallerRequest, status: int, head: bytes, body: bytes
    ) -> None:
        """Write the answer of the current request, then start the next one."""
        self._exchange = None
        self._listener.n_open -= 1
        self._release(request)
        if self._transport is None or self._transport.is_closing():
            return
        close = not request.keep_alive or self._listener.is_leaving
        self._transport.write(
            format_answer(status, head, body, close, request.method == b"HEAD")
        )
        self.since_s = time.monotonic()
        if close:
            self._close()
            return
        if self._is_paused:
            self._is_paused = False
            self._transport.resume_reading()
        if self._waiting:
            self._start(self._waiting.popleft())
        elif self._pending_refusal is not None:
            self._refuse(*self._pending_refusal)

    def sweep(self, now_s: float, limits: CallerLimits, idle_s: float) -> None:
        """Close the connection on a late request head, a stalled write or idleness."""
        if (
            self._stalled_since_s is not None
            and now_s - self._stalled_since_s > WRITE_STALL_S
        ):
            self._is_closing = True
            self._transport.abort()
        if self._exchange is not None or self._is_closing:
            return
        age_s = now_s - self.since_s
        # A complete head counts as late too until the first byte of its body arrives.
        if self._is_message_open and not self._body_bytes:
            if age_s > limits.header_timeout_s:
                self._refuse(408, "the request head did not arrive in time")
        elif self._is_message_open:
            allowed_s = self._body_bytes / BODY_RATE_MIN_BYTES_PER_S
            if age_s > limits.idle_timeout_s + allowed_s:
                self._refuse(408, "the request body did not arrive in time")
        elif age_s > idle_s:
            self._close()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _start(self, request: CallerRequest) -> None:
        exchange = Exchange(self, request)
        self._exchange = exchange
        self._listener.n_open += 1
        self._listener.handle(exchange)

    def _count_header(self, n_bytes: int) -> None:
        self._header_bytes += n_bytes
        if self._header_bytes > self._listener.limits().header_bytes_max:
            self._refuse(431, "the request head is too long")

    def _reserve_body(self, n_bytes: int) -> None:
        """Reserve memory for the first ``n_bytes`` of a body, or refuse the request."""
        before_bytes = self._reserved_bytes
        if n_bytes <= before_bytes or not self._is_reading_body:
            return
        if n_bytes > self._listener.limits().body_bytes_max:
            self._refuse(413, "the request body is too long")
        elif self._listener.bodies.try_reserve(n_bytes - before_bytes, before_bytes):
            self._reserved_bytes = n_bytes
        else:
            self._release_reserved()
            self._is_skipping_body = True
            self._accept(b"")

    def _release_reserved(self) -> None:
        self._listener.bodies.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _release(self, request: CallerRequest) -> None:
        """Release the memory of a request that was answered or given up."""
        self._listener.bodies.release(request.reserved_bytes)
        request.reserved_bytes = 0

    def _refuse(self, status: int, detail: str) -> None:
        """Answer a request that can't be accepted with an error, and close.

        Requests of the same connection that were accepted before are answered first.
        """
        if self._is_closing:
            return
        if self._exchange is not None:
            self._pending_refusal = (status, detail)
            return
        # A request whose body is skipped was answered before its body had arrived.
        if not self._is_skipping_body:
            body = detail.encode()
            head = b"Content-Type: text/plain\r\n"
            self._transport.write(format_answer(status, head, body, True))
        self._listener.on_bad_request(status, detail)
        self._close()

    def _close(self) -> None:
        """Close the connection, after the rest of a request that is still arriving."""
        self._is_closing = True
        if self._is_message_open and self._transport.can_write_eof():
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)
        else:
            self._transport.close()

    def _limit_read_ahead(self) -> None:
        n_bytes = sum(len(request.body) + 512 for request in self._waiting)
        if n_bytes > READ_AHEAD_BYTES_MAX and not self._is_paused:
            self._is_paused = True
            self._transport.pause_reading()


class CallersListener:
    """Listening port that passes requests to a handler.

    Args:
        handle: Handles each exchange; may answer it at any later time.
        limits: Returns the active limits.
        on_bad_request: Called with status and detail of a request that was not
            accepted.
        bodies: Memory for request bodies; without limit if None.
    """

    def __init__(
        self,
        handle: Callable[[Exchange], None],
        limits: Callable[[], CallerLimits],
        on_bad_request: Callable[[int, str], None],
        bodies: BodyBudget | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.on_bad_request = on_bad_request
        self.bodies = BodyBudget(sys.maxsize) if bodies is None else bodies
        self.connections: set[_CallerConnection] = set()
        self.n_open = 0
        self.is_leaving = False
        self._server: asyncio.Server | None = None

    @property
    def n_busy(self) -> int:
        """Number of connections with a request, or an answer that is not written."""
        return sum(connection.is_busy for connection in self.connections)

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _CallerConnection(self), ip, port, backlog=LISTEN_BACKLOG
        )

    def sweep(self, idle_s: float | None = None) -> None:
        """Close connections with a late request head, a stalled write or idleness.

        Args:
            idle_s: Idle seconds allowed, instead of the configured ones.
        """
        limits = self.limits()
        allowed_s = limits.idle_timeout_s if idle_s is None else idle_s
        now_s = time.monotonic()
        for connection in list(self.connections):
            connection.sweep(now_s, limits, allowed_s)

    def stop_listening(self) -> None:
        """Accept no further connections; open ones stay."""
        if self._server is not None:
            self._server.close()

    def abort(self) -> None:
        """Close all connections at once."""
        for connection in list(self.connections):
            connection.abort()
