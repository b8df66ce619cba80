"""Applies the decision about a caller's identity to the requests of one first hop."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from ..protocol.header_names import HeaderNames
from ..protocol.request_head import RequestHead
from ..state.route_table import RouteTable, TableRoute
from .caller_identity import (
    CallerIdentity,
    IdentityRefusal,
    RequestOrigin,
    identify_caller,
    is_proof_recent,
)
from .local_upstream import LocalCall
from .request_records import RequestRecords

__all__ = ["CallerCheck"]

_ANYBODY = CallerIdentity()


class CallerCheck:
    """Identifies callers by the active configuration and records the refusals.

    Args:
        names: Header names of the platform.
        records: Log lines and metrics of requests.
        proof_age_s: Returns the age in seconds of the newest proof that the active
            routes are in force, infinite without any.
        revocation_s: Seconds after which a revoked key must not be used, None if
            revocation has no such bound.
    """

    def __init__(
        self,
        names: HeaderNames,
        records: RequestRecords,
        proof_age_s: Callable[[], float],
        revocation_s: float | None,
    ) -> None:
        self._names = names
        self._records = records
        self._proof_age_s = proof_age_s
        self._revocation_s = revocation_s
        self._challenge = b"WWW-Authenticate: %b\r\n" % names.credentials_scheme.title()

    def identify(
        self,
        table: RouteTable,
        route: TableRoute,
        fields: RequestHead,
        parent: LocalCall | None,
        read_s: float,
    ) -> Result[CallerIdentity, IdentityRefusal]:
        """Return whose request it is, or why it is refused.

        Args:
            table: Active routes.
            route: Route of the request.
            fields: Fields of its head.
            parent: Running call that made the request, or None.
            read_s: Monotonic time at which the request was read.
        """
        if table.organisations is None:
            return Ok(_ANYBODY)
        origin = RequestOrigin(
            fields.credentials,
            parent is not None,
            "" if parent is None else parent.call.organisation,
            self._names.id_separator in fields.request_id,
        )
        identified = identify_caller(
            route,
            table.organisations,
            origin,
            self._names.credentials_scheme,
            is_proof_recent(self._proof_age_s(), self._revocation_s),
        )
        if isinstance(identified, Err):
            refusal = identified.err_value
            self._records.turned_away(fields.request_id, route, refusal, read_s)
        elif parent is None:
            self._records.identified(identified.ok_value.name)
        return identified

    def headers_of(self, refusal: IdentityRefusal) -> bytes:
        """Return the header lines that an answer with a refusal needs."""
        return self._challenge if refusal.status == 401 else b""
