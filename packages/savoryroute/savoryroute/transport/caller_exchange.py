"""One request of a caller over HTTP, and its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import attrs

__all__ = ["CallerRequest", "Exchange", "answer_parts", "format_answer"]

_REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
_BODILESS = frozenset({204, 304})


@attrs.define(slots=True)
class CallerRequest:
    """One complete request.

    Attributes:
        method: HTTP method.
        target: Path and query, as sent.
        headers: Pairs of lower-case name and value.
        body: The complete body.
        keep_alive: Whether the connection may serve further requests.
        begun_s: Monotonic time at which its first byte was read. The time that the
            caller allows runs from there; a long body takes a part of it.
        read_s: Monotonic time at which its last byte was read.
        reserved_bytes: Memory reserved for its body.
        is_body_skipped: Whether there was no memory for its body, which is discarded.
            Such a request can only be refused.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keep_alive: bool
    begun_s: float
    read_s: float
    reserved_bytes: int = 0
    is_body_skipped: bool = False


def format_answer(
    status: int, head: bytes, body: bytes, close: bool, is_head: bool = False
) -> bytes:
    """Return the bytes of an answer.

    Args:
        status: HTTP status.
        head: Header lines, each with its line end.
        body: The complete body.
        close: Whether the connection is closed after the answer.
        is_head: Whether the method of the request was HEAD.
    """
    return b"".join(answer_parts(status, head, body, close, is_head))


def answer_parts(
    status: int, head: bytes, body: bytes, close: bool, is_head: bool
) -> tuple[bytes, bytes]:
    """Return the complete head and the body of an answer, as for ``format_answer``."""
    reason = _REASONS.get(status, b"Status")
    parts = [b"HTTP/1.1 %d %b\r\n" % (status, reason), head]
    if status not in _BODILESS:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    if close:
        parts.append(b"Connection: close\r\n")
    parts.append(b"\r\n")
    has_body = not is_head and status not in _BODILESS
    return b"".join(parts), body if has_body else b""


class AnswerWriter(Protocol):
    """Connection to a caller, as far as an exchange needs it."""

    def answer(
        self, request: CallerRequest, status: int, head: bytes, body: bytes
    ) -> None:
        """Write the answer to a request."""


class Exchange:
    """One request of a caller, to be answered once."""

    __slots__ = ("_connection", "_is_done", "on_abort", "request")

    def __init__(self, connection: AnswerWriter, request: CallerRequest) -> None:
        self._connection = connection
        self._is_done = False
        self.request = request
        self.on_abort: Callable[[], None] | None = None

    @property
    def is_done(self) -> bool:
        """Whether it was answered or its caller disconnected."""
        return self._is_done

    def respond(self, status: int, head: bytes, body: bytes) -> None:
        """Send the answer; does nothing if the exchange has ended."""
        if self._is_done:
            return
        self._is_done = True
        self.on_abort = None
        self._connection.answer(self.request, status, head, body)

    def abort(self) -> None:
        """End the exchange, since its caller disconnected."""
        if self._is_done:
            return
        self._is_done = True
        on_abort, self.on_abort = self.on_abort, None
        if on_abort is not None:
            on_abort()
