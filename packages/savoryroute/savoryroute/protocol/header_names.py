"""Names of the HTTP headers that a platform gives a meaning to."""

from __future__ import annotations

import attrs

from . import headers

__all__ = ["HOP_BY_HOP", "HeaderNames"]

# As bytes, which is how heads of requests and answers are read here.
HOP_BY_HOP = frozenset(name.encode() for name in headers.HOP_BY_HOP)


@attrs.frozen
class HeaderNames:
    """Header names in lower case, as the adapter of a platform gives them.

    Attributes:
        request_id: Identity of one attempt of a caller; echoed by upstreams.
        time_left_ms: Milliseconds that the caller goes on waiting.
        caller_service: Service of the host where the request began.
        expected_instance: Upstream instance that alone may run the request.
        load: Load that an upstream reports: running, waiting, slots.
        not_executed: Present where an upstream did not run the request.
        signature: Mark of the upstream's own answer.
        id_separator: What stands between the identity of an action and the rest of
            the identity of a further call that it makes.
    """

    request_id: bytes
    time_left_ms: bytes
    caller_service: bytes
    expected_instance: bytes
    load: bytes
    not_executed: bytes
    signature: bytes
    id_separator: bytes

    @property
    def set_by_fleet(self) -> tuple[bytes, ...]:
        """Request headers that are dropped from callers and set anew."""
        return (self.time_left_ms, self.caller_service, self.expected_instance)
