"""Requests and answers as they pass through a daemon."""

from __future__ import annotations

import attrs

from ..verdict import Refusal

__all__ = ["Request", "Response", "flatten", "pairs"]


@attrs.frozen
class Request:
    """One HTTP request for a service.

    Attributes:
        service: Service that the request is for.
        method: HTTP method.
        target: Path and query within the service, starting with ``/``.
        headers: End-to-end headers as flat name, value pairs.
        body: The complete body.
        time_left_s: Seconds that the caller waits, or None if it does not say.
        key: Idempotency key, or an empty string.
        cancels: Key of the action that this request cancels, or an empty string.
        traceparent: W3C trace context, or an empty string.
        hop_id: Hop from whose upstream the request comes, or an empty string.
    """

    service: str
    method: str
    target: str
    headers: tuple[str, ...] = ()
    body: bytes = b""
    time_left_s: float | None = None
    key: str = ""
    cancels: str = ""
    traceparent: str = ""
    hop_id: str = ""

    @property
    def path(self) -> str:
        """Target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen
class Response:
    """Complete answer of an upstream.

    Attributes:
        status: HTTP status.
        headers: End-to-end headers as flat name, value pairs.
        body: The complete body.
        downstream_refusal: Refusal of a further call that the upstream made for this
            request, or None.
    """

    status: int
    headers: tuple[str, ...] = ()
    body: bytes = b""
    downstream_refusal: Refusal | None = None


def flatten(items) -> tuple[str, ...]:
    """Return name, value pairs as a flat tuple."""
    return tuple(part for pair in items for part in pair)


def pairs(flat) -> list[tuple[str, str]]:
    """Return a flat sequence of names and values as pairs."""
    return list(zip(flat[::2], flat[1::2], strict=True))
