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

from ..state.body_budget import HEADER_OVERHEAD_BYTES, SMALL_BODY_BYTES, BodyBudget
from ..state.route_table import CallerLimits
from .caller_exchange import CallerRequest, Exchange, answer_parts, format_answer
from .input_pacer import InputPacer, PacedInput

__all__ = ["CallersListener"]

# Reading from a connection is paused while its waiting pipelined requests exceed this.
READ_AHEAD_BYTES_MAX = 256 * 1024
# Memory of a waiting request beside its body and head.
REQUEST_OVERHEAD_BYTES = 2048
# Bytes of one read, which are parsed at once.
READ_BYTES = 16 * 1024
LISTEN_BACKLOG = 1024
# The connection of a caller that does not read its answer for this long is closed.
WRITE_STALL_S = 20.0
# Lowest rate at which a body has to arrive after the idle timeout, as with MinRate in
# Apache's mod_reqtimeout. A link of 10 Mbit/s has twenty times this rate.
BODY_RATE_MIN_BYTES_PER_S = 64 * 1024
# Seconds for which the rest of a refused body is read and discarded. A close with
# unread data resets the connection, and the caller may lose the refusal.
LINGER_S = 1.0


class _CallerConnection(asyncio.BufferedProtocol):
    """Connection of a caller; pipelined requests are handled one at a time."""

    def __init__(self, listener: CallersListener) -> None:
        self._listener = listener
        self._transport: asyncio.Transport | None = None
        self._input: PacedInput | None = None
        # Refers to this connection; None once it is lost, to break the cycle.
        self._parser: httptools.HttpRequestParser | None
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: deque[CallerRequest] = deque()
        self._waiting_bytes = 0
        self._is_serving_waiting = False
        # Bytes since the last one of a body, or since a head or message was complete.
        self._barren_bytes = 0
        # Written answers that wait for the caller to read.
        self._unwritten_bytes = 0
        self._exchange: Exchange | None = None
        self._is_closing = False
        self._is_message_open = False
        # Status and detail of a refusal that follows the answers in progress.
        self._pending_refusal: tuple[int, str] | None = None
        self._stalled_since_s: float | None = None
        self._closing_since_s: float | None = None
        # Start of the current request, or of the idle time before it.
        self.since_s = time.monotonic()
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._is_head_complete = False
        self._header_bytes = 0
        # The part of the reserved memory that is for headers.
        self._reserved_header_bytes = 0
        self._body = bytearray()
        self._body_bytes = 0
        self._reserved_bytes = 0
        self._is_skipping_body = False
        self._is_continue_expected = False
        self._begun_s = time.monotonic()

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._input = PacedInput(self._listener.pacer, transport)
        self._listener.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._listener.connections.discard(self)
        self._is_closing = True
        self._input.close()
        self._release_reserved()
        self._reset_message()
        self._parser = None
        self._listener.answers.release(self._unwritten_bytes)
        self._unwritten_bytes = 0
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
        self._count_unwritten()
        self._serve_waiting()

    def get_buffer(self, sizehint: int) -> memoryview:
        return self._listener.read_buffer

    def buffer_updated(self, n_bytes: int) -> None:
        if self._is_closing or self._pending_refusal is not None:
            return
        began_s = self._input.begin_read(n_bytes)
        self._barren_bytes += n_bytes
        self._parse(self._listener.read_buffer[:n_bytes])
        if self._is_message_open:
            self._reserve_body(self._body_bytes)
        # Counted apart, as the parser gathers a line of any length.
        if self._barren_bytes > self._listener.limits().header_bytes_max + READ_BYTES:
            self._refuse(431, "the request has too many bytes beside its body")
        if self._waiting_bytes > READ_AHEAD_BYTES_MAX:
            self._input.stop()
        self._input.end_read(began_s)

    def _parse(self, data: memoryview) -> None:
        while not self._is_closing and self._pending_refusal is None:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                head = self._head_without_upgrade()
                data = memoryview(head + bytes(data[upgrade.args[0] :]))
                self._parser = httptools.HttpRequestParser(self)
            except httptools.HttpParserError as error:
                if not self._is_closing:
                    self._refuse(400, f"malformed HTTP request: {error}")
                return

    def _head_without_upgrade(self) -> bytes:
        """Return the head of the open message, without its offer of an upgrade.

        The offer is ignored (RFC 9110, section 7.8). The parser reads no body after it.
        """
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b" % (self._parser.get_method(), self._target, version)]
        lines += [
            b"%b: %b" % (name, value)
            for name, value in self._headers
            if name != b"upgrade"
        ]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        # Of a message that was refused; the parser goes on to the end of the read.
        self._release_reserved()
        self._reset_message()
        self._is_message_open = True
        self._input.begin_message()
        self.since_s = time.monotonic()

    def on_url(self, url: bytes) -> None:
        self._target += url
        self._count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        # Trailers are not merged into the headers (RFC 9110, section 6.5.1).
        if self._is_reading_body and not self._is_head_complete:
            self._headers.append((name.lower(), value))
        self._count_header(len(name) + len(value) + 4)
        self._reserve_headers()

    def on_headers_complete(self) -> None:
        self._barren_bytes = 0
        self._is_head_complete = True
        if self._parser.get_method() == b"CONNECT":
            self._refuse(400, "tunnels are not supported")
            return
        if self._parser.should_upgrade():
            # The head is parsed again without the offer.
            return
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
        self._barren_bytes = 0
        self._body_bytes += len(body)
        if self._is_reading_body:
            self._body += body

    def on_message_complete(self) -> None:
        if self._parser.should_upgrade():
            return
        self._barren_bytes = 0
        self._is_message_open = False
        self._reserve_body(self._body_bytes)
        if self._is_reading_body:
            self._accept(bytes(self._body))

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
        self._body = bytearray()
        self._reserved_bytes = self._reserved_header_bytes = 0
        if self._can_start and not self._waiting:
            self._start(request)
        else:
            self._waiting.append(request)
            self._waiting_bytes += _waiting_cost(request)

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
        # What was read while the host leaves is answered before the close.
        is_last = not self._waiting and not self._is_message_open
        close = not request.keep_alive or (self._listener.is_leaving and is_last)
        parts = answer_parts(status, head, body, close, request.method == b"HEAD")
        if len(body) <= SMALL_BODY_BYTES:
            self._transport.write(b"".join(parts))
        else:
            self._transport.writelines(parts)
        self._count_unwritten()
        self.since_s = time.monotonic()
        if close:
            self._close()
            return
        if self._listener.is_leaving and not self._is_message_open:
            self._input.stop()
        self._serve_waiting()

    def sweep(self, now_s: float, limits: CallerLimits, idle_s: float) -> None:
        """Close the connection on a late request head, a stalled write or idleness."""
        self._count_unwritten()
        # A close waits for the caller to read, also if little enough is left for
        # the connection to count as writable.
        stalled_since_s = self._stalled_since_s or self._closing_since_s
        if stalled_since_s is not None and now_s - stalled_since_s > WRITE_STALL_S:
            self._is_closing = True
            self._transport.abort()
        if self._exchange is not None or self._waiting or self._is_closing:
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

    @property
    def _can_start(self) -> bool:
        """Whether a request may be started: the answers before it are being read."""
        return (
            self._exchange is None
            and not self._is_closing
            and self._stalled_since_s is None
        )

    def _serve_waiting(self) -> None:
        """Start waiting requests, one after the other, while they end at once."""
        if self._is_serving_waiting:
            # The request that the loop below has started has ended already.
            return
        self._is_serving_waiting = True
        try:
            while self._waiting and self._can_start:
                request = self._waiting.popleft()
                self._waiting_bytes -= _waiting_cost(request)
                self._start(request)
        finally:
            self._is_serving_waiting = False
        if self._exchange is not None or self._waiting or self._is_closing:
            return
        if self._pending_refusal is not None:
            self._refuse(*self._pending_refusal)
        elif not self._listener.is_leaving:
            self._input.go_on()

    def _start(self, request: CallerRequest) -> None:
        exchange = Exchange(self, request)
        self._exchange = exchange
        self._listener.n_open += 1
        try:
            self._listener.handle(exchange)
        except Exception as error:
            # It would reach whoever answered the request before this one.
            self._listener.on_bad_request(500, f"the handler failed: {error!r:.200}")
            exchange.respond(500, b"", b"")

    def _count_unwritten(self) -> None:
        """Update the memory of answers that the caller has not read."""
        n_bytes = self._transport.get_write_buffer_size()
        if n_bytes > self._unwritten_bytes:
            self._listener.answers.hold(n_bytes - self._unwritten_bytes)
        else:
            self._listener.answers.release(self._unwritten_bytes - n_bytes)
        self._unwritten_bytes = n_bytes

    def _count_header(self, n_bytes: int) -> None:
        self._header_bytes += n_bytes
        if self._header_bytes > self._listener.limits().header_bytes_max:
            self._refuse(431, "the request head is too long")

    def _reserve_headers(self) -> None:
        """Reserve memory for more headers than usual, or refuse the request."""
        n_bytes = self._header_bytes + len(self._headers) * HEADER_OVERHEAD_BYTES
        n_new_bytes = n_bytes - SMALL_BODY_BYTES - self._reserved_header_bytes
        if n_new_bytes <= 0 or not self._is_reading_body:
            return
        if self._listener.bodies.try_reserve(n_new_bytes, self._reserved_bytes):
            self._reserved_header_bytes += n_new_bytes
            self._reserved_bytes += n_new_bytes
        else:
            self._refuse(503, "no memory for the request's headers")

    def _reserve_body(self, n_bytes: int) -> None:
        """Reserve memory for the first ``n_bytes`` of a body, or refuse the request."""
        before_bytes = self._reserved_bytes
        n_new_bytes = n_bytes + self._reserved_header_bytes - before_bytes
        if n_new_bytes <= 0 or not self._is_reading_body:
            return
        if n_bytes > self._listener.limits().body_bytes_max:
            self._refuse(413, "the request body is too long")
        elif self._listener.bodies.try_reserve(n_new_bytes, before_bytes):
            self._reserved_bytes += n_new_bytes
        else:
            self._release_reserved()
            self._is_skipping_body = True
            self._accept(b"")

    def _release_reserved(self) -> None:
        self._listener.bodies.release(self._reserved_bytes)
        self._reserved_bytes = self._reserved_header_bytes = 0

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
        # The connection stays until the caller has read the refusal.
        self._release_reserved()
        self._headers = []
        self._body = bytearray()
        if self._exchange is not None or self._waiting:
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
        self._closing_since_s = time.monotonic()
        if self._is_message_open and self._transport.can_write_eof():
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)
        else:
            self._transport.close()


def _waiting_cost(request: CallerRequest) -> int:
    """Return the memory in bytes of a request that waits."""
    n_bytes = len(request.target) + len(request.body) + REQUEST_OVERHEAD_BYTES
    n_bytes += len(request.headers) * HEADER_OVERHEAD_BYTES
    return n_bytes + sum(len(name) + len(value) for name, value in request.headers)


class CallersListener:
    """Listening port that passes requests to a handler.

    Args:
        handle: Handles each exchange; may answer it at any later time.
        limits: Returns the active limits.
        on_bad_request: Called with status and detail of a request that was not
            accepted, or whose handler failed.
        bodies: Memory for request bodies; without limit if None.
        answers: Memory of answers, to count those that callers have not read; without
            limit if None.
    """

    def __init__(
        self,
        handle: Callable[[Exchange], None],
        limits: Callable[[], CallerLimits],
        on_bad_request: Callable[[int, str], None],
        bodies: BodyBudget | None = None,
        answers: BodyBudget | None = None,
    ) -> None:
        self.handle = handle
        self.limits = limits
        self.on_bad_request = on_bad_request
        self.bodies = BodyBudget(sys.maxsize) if bodies is None else bodies
        self.answers = BodyBudget(sys.maxsize) if answers is None else answers
        self.pacer = InputPacer()
        # Shared by the connections: what was read is parsed before the next read.
        self.read_buffer = memoryview(bytearray(READ_BYTES))
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
