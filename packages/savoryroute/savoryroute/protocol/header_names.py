"""Names of the HTTP headers that a platform defines."""

from __future__ import annotations

import attrs

from . import headers

__all__ = ["HOP_BY_HOP", "HeaderNames"]

# As bytes, since heads of requests and answers are parsed as bytes.
HOP_BY_HOP = frozenset(name.encode() for name in headers.HOP_BY_HOP)


@attrs.frozen
class HeaderNames:
    """Header names in lower case, as provided by the adapter of a platform.

    Attributes:
        request_id: Identity of one attempt of a caller; upstreams echo it.
        time_left_ms: Milliseconds until the caller stops waiting.
        caller_service: Service of the host where the request originated.
        expected_instance: The only upstream instance that may run the request.
        load: Load that an upstream reports: calls running, calls waiting, slots.
        rate_limit: Requests a second that an upstream in need takes from all hosts
            together, in each of its answers for as long as the limit holds.
        leaving: Present with the value 1 in the answers of an upstream that is leaving.
        not_executed: Present if the upstream did not run the request.
        signature: Present in each answer that the upstream itself generated.
        credentials: Scheme and key by which a caller says whose request it is.
        credentials_scheme: Scheme of keys in lower case.
        organisation: Name of the caller's organisation, for the upstream.
        id_separator: Separates the identity of an action from the rest of the identity
            of a further call that it makes.
    """

    request_id: bytes
    time_left_ms: bytes
    caller_service: bytes
    expected_instance: bytes
    load: bytes
    rate_limit: bytes
    leaving: bytes
    not_executed: bytes
    signature: bytes
    credentials: bytes
    credentials_scheme: bytes
    organisation: bytes
    id_separator: bytes

    @property
    def set_by_fleet(self) -> tuple[bytes, ...]:
        """Headers that are removed from callers' requests and set by the fleet."""
        return (self.time_left_ms, self.caller_service, self.expected_instance)

    @property
    def of_identity(self) -> tuple[bytes, ...]:
        """Headers that are removed besides where callers belong to organisations."""
        return (self.credentials, self.organisation)
