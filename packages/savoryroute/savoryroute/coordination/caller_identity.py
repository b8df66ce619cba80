"""Decides to which organisation a request belongs, or why it is refused.

Load pattern: callers of many organisations send to every host, some with keys that are
unknown, repeated or revoked, also to hosts that are cut off from the platform's store.
A key counts only while the proof of the configuration that has it is recent, so that a
revoked key is refused on all hosts after a bounded time.

Sources: authentication schemes of RFC 9110, section 11; bounded trust in a copy as in
Gray and Cheriton, Leases (1989).
"""

from __future__ import annotations

import re

import attrs
from result import Err, Ok, Result

from ..state.organisations import Organisation, Organisations
from ..state.route_table import TableRoute
from ..verdict import Reason

__all__ = [
    "CallerIdentity",
    "IdentityRefusal",
    "RequestOrigin",
    "identify_caller",
    "is_proof_recent",
]

# Seconds before the end of the time allowed for a revocation at which a proof counts as
# too old: for clocks that differ in speed, and for the way to the upstream.
PROOF_MARGIN_S = 0.25

_CREDENTIALS = re.compile(rb"([!-~]+)[ \t]+([!-~]+)")


@attrs.frozen(slots=True)
class RequestOrigin:
    """What a request says of its origin, and what this daemon knows of it.

    Attributes:
        credentials: Values of all credentials headers of the request.
        has_parent: Whether a running call at the local upstream made it.
        parent_organisation: Organisation of that call, or an empty string.
        is_upstream_call: Whether its id is one of a call of an upstream.
    """

    credentials: tuple[bytes, ...] = ()
    has_parent: bool = False
    parent_organisation: str = ""
    is_upstream_call: bool = False


@attrs.frozen(slots=True)
class CallerIdentity:
    """Whose request it is.

    Attributes:
        organisation: Organisation that holds the key of the request, or None.
        name: Name of the organisation that the upstream gets, or an empty string.
    """

    organisation: Organisation | None = None
    name: str = ""


@attrs.frozen(slots=True)
class IdentityRefusal:
    """Why a request is refused.

    Attributes:
        status: HTTP status, 401 only if no newer configuration can make the request
            valid as far as this daemon knows.
        reason: Reason that the caller gets.
        detail: One sentence for a person; without the key.
        organisation: Organisation that holds the key, or an empty string.
    """

    status: int
    reason: Reason
    detail: str
    organisation: str = ""


def is_proof_recent(proof_age_s: float, revocation_s: float | None) -> bool:
    """Return whether a proof of the configuration lets keys count.

    Args:
        proof_age_s: Age of the newest proof in seconds.
        revocation_s: Seconds after which a revoked key must not be used, None if
            revocation has no such bound.
    """
    return revocation_s is None or proof_age_s < revocation_s - PROOF_MARGIN_S


def identify_caller(
    route: TableRoute,
    organisations: Organisations,
    origin: RequestOrigin,
    scheme: bytes,
    has_recent_proof: bool,
) -> Result[CallerIdentity, IdentityRefusal]:
    """Return whose request it is, or why it is refused.

    Args:
        route: Route of the request.
        organisations: All organisations of the active configuration.
        origin: Origin of the request.
        scheme: Scheme of keys in lower case.
        has_recent_proof: Whether the proof of the configuration lets keys count.
    """
    key = _read_key(origin.credentials, scheme)
    holder = None if key is None else organisations.of_key(key)
    if holder is not None and has_recent_proof:
        return Ok(CallerIdentity(holder, holder.name))
    if route.is_public:
        return Ok(CallerIdentity())
    if origin.has_parent and not origin.credentials:
        return Ok(CallerIdentity(None, origin.parent_organisation))
    if not organisations and not organisations.is_complete:
        detail = "no organisation of the configuration can be read"
        return Err(IdentityRefusal(503, Reason.UNREADABLE_ORGANISATION, detail))
    if not origin.credentials:
        return Err(_refuse_without_key(origin))
    if key is None:
        detail = "the credentials are repeated or not of the expected form"
        return Err(IdentityRefusal(401, Reason.KEY_INVALID, detail))
    if not has_recent_proof:
        # An unknown key may belong to a configuration that did not arrive here.
        detail = "it is not known whether the configuration here is still in force"
        name = "" if holder is None else holder.name
        return Err(IdentityRefusal(503, Reason.STALE_CONFIGURATION, detail, name))
    if not organisations.is_complete:
        detail = (
            "the key is unknown, and may be one of an organisation that is unreadable"
        )
        return Err(IdentityRefusal(503, Reason.UNREADABLE_ORGANISATION, detail))
    detail = "the key is unknown, or held by two organisations"
    return Err(IdentityRefusal(401, Reason.KEY_INVALID, detail))


def _refuse_without_key(origin: RequestOrigin) -> IdentityRefusal:
    if origin.is_upstream_call:
        # Its action may have ended or been cut off here, which is no fault of a caller.
        detail = "the action that made this call does not run at the local upstream"
        return IdentityRefusal(503, Reason.KEY_REQUIRED, detail)
    detail = "the route is not public and the request has no key"
    return IdentityRefusal(401, Reason.KEY_REQUIRED, detail)


def _read_key(credentials: tuple[bytes, ...], scheme: bytes) -> bytes | None:
    """Return the key in the only credentials header, None if there is none."""
    if len(credentials) != 1:
        return None
    match = _CREDENTIALS.fullmatch(credentials[0].strip(b" \t"))
    if match is None or match[1].lower() != scheme:
        return None
    return match[2]
