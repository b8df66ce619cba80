"""Verdicts on the execution of requests, and refusals that carry them."""

from __future__ import annotations

import enum

import attrs

__all__ = ["Reason", "Refusal", "Verdict"]


class Verdict(enum.StrEnum):
    """What is known about the execution of a request."""

    RAN = "ran"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"


class Reason(enum.StrEnum):
    """Why a request was refused or given up; see docs/callers.md."""

    OVERLOAD = "overload"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    LEAVING = "leaving"
    NOT_READY = "not_ready"
    NO_UPSTREAM = "no_upstream"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "connection_lost"
    ALLOWANCE_SPENT = "allowance_spent"
    QUARANTINED = "quarantined"
    RETRY_BUDGET = "retry_budget"
    KEY_REQUIRED = "key_required"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEY_SPENT = "key_spent"
    KEY_EXPIRED = "key_expired"
    # "Home" in this value means the owner of the key.
    KEY_HOME_GONE = "key_home_gone"
    IN_PROGRESS = "in_progress"
    CANCELLED = "cancelled"
    TOO_LARGE = "too_large"
    BAD_REQUEST = "bad_request"
    BAD_ANSWER = "bad_answer"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    UNREADABLE_ROUTE = "unreadable_route"
    QUOTA = "quota"
    STALE_CONFIGURATION = "stale_configuration"
    UNREADABLE_ORGANISATION = "unreadable_organisation"


@attrs.frozen
class Refusal:
    """Final answer of the fleet to a request that it refuses or gives up.

    Attributes:
        verdict: ``NOT_RUN`` or ``MAY_HAVE_RUN``; never ``RAN``.
        reason: Why the request was given up.
        detail: Explanation for humans, one sentence.
        retry_after_s: Seconds after which the caller may retry, or None.
        is_load: Whether the cause was load at an upstream.
        from_downstream: Whether a hop further down the call chain refused.
        status: HTTP status that the refusing upstream itself chose, or 0.
    """

    verdict: Verdict
    reason: Reason
    detail: str
    retry_after_s: float | None = None
    is_load: bool = False
    from_downstream: bool = False
    status: int = 0

    @classmethod
    def not_run(
        cls,
        reason: Reason,
        detail: str,
        retry_after_s: float | None = None,
        is_load: bool = False,
    ) -> Refusal:
        """Return a refusal of a request that did not run and will not run."""
        return cls(Verdict.NOT_RUN, reason, detail, retry_after_s, is_load)

    def as_may_have_run(self) -> Refusal:
        """Return the same refusal with the verdict ``MAY_HAVE_RUN``."""
        return attrs.evolve(self, verdict=Verdict.MAY_HAVE_RUN)
