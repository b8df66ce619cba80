"""Refusals as problem details (RFC 9457)."""

from __future__ import annotations

import json
import math

from aiohttp import web

from ..verdict import Reason, Refusal
from . import headers

__all__ = ["problem_response", "status_of"]

TYPE_PREFIX = "urn:savoryroute:problem:"

_STATUS = {
    Reason.OVERLOAD: 503,
    Reason.QUEUE_FULL: 503,
    Reason.DEADLINE: 504,
    Reason.LEAVING: 503,
    Reason.NOT_READY: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.UNREACHABLE: 503,
    Reason.CONNECTION_LOST: 502,
    Reason.ALLOWANCE_SPENT: 503,
    Reason.QUARANTINED: 503,
    Reason.KEY_REQUIRED: 428,
    Reason.KEY_INVALID: 400,
    Reason.KEY_REUSED: 422,
    Reason.KEY_SPENT: 409,
    Reason.KEY_EXPIRED: 409,
    Reason.KEY_HOME_GONE: 409,
    Reason.IN_PROGRESS: 409,
    Reason.CANCELLED: 409,
    Reason.TOO_LARGE: 413,
    Reason.BAD_REQUEST: 400,
    Reason.BAD_ANSWER: 502,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.UNREADABLE_ROUTE: 503,
}


def status_of(reason: Reason) -> int:
    """Return the HTTP status for a reason."""
    return _STATUS[reason]


def problem_response(
    refusal: Refusal, action: str = "", next_key: str = ""
) -> web.Response:
    """Return the HTTP response for a refusal.

    Args:
        refusal: The refusal.
        action: Identity of the action, by which operators look it up.
        next_key: Idempotency key for the caller's next attempt, or an empty string.
    """
    status = status_of(refusal.reason)
    members: dict[str, object] = {
        "type": TYPE_PREFIX + refusal.reason,
        "title": refusal.reason.replace("_", " "),
        "status": status,
        "detail": refusal.detail,
        "verdict": refusal.verdict,
        "reason": refusal.reason,
        "action": action,
    }
    extra = {headers.VERDICT: str(refusal.verdict)}
    if refusal.retry_after_s is not None:
        members["retry_after_s"] = round(refusal.retry_after_s, 3)
        extra["Retry-After"] = str(math.ceil(refusal.retry_after_s))
    if next_key:
        members["idempotency_key"] = next_key
        extra[headers.IDEMPOTENCY_KEY] = next_key
    return web.Response(
        status=status,
        body=json.dumps(members).encode(),
        headers=extra,
        content_type="application/problem+json",
    )
