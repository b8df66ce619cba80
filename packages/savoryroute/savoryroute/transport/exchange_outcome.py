"""How an exchange with an HTTP server ended."""

from __future__ import annotations

import enum

import attrs

__all__ = ["ExchangeFailure", "FailureKind", "HttpAnswer"]


class FailureKind(enum.Enum):
    """How an exchange ended without a whole answer."""

    NOT_SENT = "not_sent"
    CLOSED = "closed"
    BAD_ANSWER = "bad_answer"


@attrs.frozen
class ExchangeFailure:
    """End of an exchange without a whole answer.

    Attributes:
        kind: ``NOT_SENT`` only if no byte left this process.
        detail: One sentence for a person.
    """

    kind: FailureKind
    detail: str


@attrs.frozen
class HttpAnswer:
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Pairs of lower-case name and value.
        body: The whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        for known, value in self.headers:
            if known == name:
                return value
        return None
