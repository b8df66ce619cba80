"""Outcomes of an exchange with an HTTP server."""

from __future__ import annotations

import enum

import attrs

__all__ = ["ExchangeFailure", "FailureKind", "HttpAnswer"]


class FailureKind(enum.Enum):
    """How an exchange ended without a complete answer."""

    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BAD_ANSWER = "bad_answer"


@attrs.frozen
class ExchangeFailure:
    """End of an exchange without a complete answer.

    Attributes:
        kind: How it ended; ``NOT_SENT`` only if no byte was sent.
        detail: Explanation for humans, one sentence.
    """

    kind: FailureKind
    detail: str


@attrs.frozen
class HttpAnswer:
    """Complete answer of an HTTP server.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value.
        body: The complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None
