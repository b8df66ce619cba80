"""Head of a caller's request, as forwarded to an upstream."""

from __future__ import annotations

import attrs

from ..transport.caller_exchange import CallerRequest
from .header_names import HOP_BY_HOP, HeaderNames

__all__ = ["RequestHead", "read_request_head", "with_organisation"]

# Digits of the time that a caller waits in milliseconds. Python converts no more than
# some thousands, and fails to divide such numbers.
TIME_LEFT_DIGITS_MAX = 15
# Methods whose requests need no Content-Length when they have no body.
_BODILESS_METHODS = frozenset({b"GET", b"HEAD", b"DELETE"})


@attrs.frozen(slots=True)
class RequestHead:
    """Fields needed for routing, and the head to forward.

    Attributes:
        host: Value of the ``Host`` header.
        request_id: Identity of the request.
        time_left_s: Seconds that the caller waits, None if it does not say.
        credentials: Values of all credentials headers, in their order.
        head: Request line and headers, without the empty line and without hop-by-hop
            headers and those that the fleet sets itself.
    """

    host: str
    request_id: bytes
    time_left_s: float | None
    credentials: tuple[bytes, ...]
    head: bytes


def read_request_head(
    request: CallerRequest,
    names: HeaderNames,
    caller_header: bytes,
    has_organisations: bool = False,
) -> RequestHead:
    """Return the head of a request.

    Args:
        request: The complete request.
        names: Header names of the platform.
        caller_header: Header line that names the caller's service.
        has_organisations: Whether the configuration has organisations, so that the
            headers about a caller's identity are not forwarded.
    """
    host = request_id = time_left = b""
    credentials: tuple[bytes, ...] = ()
    removed = names.set_by_fleet
    if has_organisations:
        removed += names.of_identity
    head = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in request.headers:
        if name == b"host":
            host = value
        elif name == names.request_id:
            request_id = value
        elif name == names.time_left_ms:
            time_left = value
        elif name == names.credentials:
            credentials += (value,)
        if name not in HOP_BY_HOP and name not in removed:
            head.append(b"%b: %b\r\n" % (name, value))
    if request.body or request.method not in _BODILESS_METHODS:
        head.append(b"content-length: %d\r\n" % len(request.body))
    head.append(caller_header)
    return RequestHead(
        host.decode("latin-1"),
        request_id,
        _read_time_left_s(time_left),
        credentials,
        b"".join(head),
    )


def _read_time_left_s(value: bytes) -> float | None:
    """Return a time in seconds, None if it is no number or longer than any timeout."""
    if not value.isdigit() or len(value) > TIME_LEFT_DIGITS_MAX:
        return None
    return int(value) / 1000


def with_organisation(head: bytes, names: HeaderNames, organisation: str) -> bytes:
    """Return a head with the header that names the caller's organisation."""
    return b"%b%b: %b\r\n" % (head, names.organisation, organisation.encode())
