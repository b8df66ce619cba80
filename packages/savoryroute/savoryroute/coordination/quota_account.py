"""What a first hop knows of one organisation: its stock of credits, and refusals."""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable

import attrs

from ..protocol.quota_frames import Scope

__all__ = [
    "CreditWait",
    "DecisionHandler",
    "QuotaAccount",
    "QuotaDecision",
    "QuotaRefusal",
]

# Time constant in seconds of the demand estimate.
DEMAND_S = 0.5


@attrs.frozen
class QuotaDecision:
    """Decision for one request.

    Attributes:
        expires_s: When its credit expires; None if the request is refused.
        status: HTTP status of the refusal, 429 or 503.
        retry_after_s: Seconds after which the caller may retry.
        by: Address and scope of the host that refused, or why none was asked.
        stock: Credits that are here.
        stock_age_s: Seconds since the latest grant, infinity without one.
    """

    expires_s: float | None
    status: int = 0
    retry_after_s: float = 0.0
    by: str = ""
    stock: int = 0
    stock_age_s: float = math.inf


DecisionHandler = Callable[[QuotaDecision], None]


@attrs.define(eq=False)
class CreditWait:
    """One request that needs a credit.

    Attributes:
        organisation: Name of the organisation.
        on_decision: Called once with the decision, unless the wait is cancelled.
        until_s: Time until which it waits for the scope that is asked now.
        scope: The scope that is asked.
        is_over: Whether it was decided or cancelled.
    """

    organisation: str
    on_decision: DecisionHandler
    until_s: float
    scope: Scope = Scope.FLEET
    is_over: bool = False


@attrs.define
class _Batch:
    """Credits of one grant."""

    expires_s: float
    n: int


@attrs.frozen
class QuotaRefusal:
    """An answer that granted less than was asked for.

    Attributes:
        until_s: Time until which the scope is not asked again.
        bucket_s: Time at which its bucket has a credit again.
        by: Scope and address of the host that answered.
        is_empty: Whether the host holds the bucket, and it is empty.
    """

    until_s: float
    bucket_s: float
    by: str
    is_empty: bool


def _expiry(batch: _Batch) -> float:
    return batch.expires_s


@attrs.define(eq=False)
class QuotaAccount:
    """State of one organisation at a first hop.

    Attributes:
        used_s: Time of the latest request.
        interval_s: Seconds between requests for credits after one was not granted.
        demand_per_s: Estimated requests per second.
        credits: Credits by the time of their expiry.
        granted_s: Time of the latest grant.
        waits: Requests that wait for a credit, in order of arrival.
        asked: Numbers of the latest requests for credits that are under way.
        refusals: Latest answers that granted too little.
    """

    used_s: float
    interval_s: float
    demand_per_s: float = 0.0
    credits: list[_Batch] = attrs.field(factory=list)
    granted_s: float = -math.inf
    waits: list[CreditWait] = attrs.field(factory=list)
    asked: dict[Scope, int] = attrs.field(factory=dict)
    refusals: dict[Scope, QuotaRefusal] = attrs.field(factory=dict)

    @property
    def n_credits(self) -> int:
        """Number of credits, some of which may have expired."""
        return sum(batch.n for batch in self.credits)

    def note_request(self, now_s: float) -> None:
        """Count a request in the demand estimate."""
        elapsed_s = now_s - self.used_s
        self.demand_per_s *= math.exp(-elapsed_s / DEMAND_S)
        self.demand_per_s += 1.0 / DEMAND_S
        self.used_s = now_s

    def add(self, expires_s: float, n: int) -> None:
        """Add credits that expire at a time."""
        bisect.insort(self.credits, _Batch(expires_s, n), key=_expiry)

    def take(self, now_s: float) -> float | None:
        """Return when the taken credit expires, None without one."""
        credits = self.credits
        while credits:
            batch = credits[0]
            batch.n -= 1
            if batch.n <= 0 or batch.expires_s <= now_s:
                del credits[0]
            if batch.expires_s > now_s:
                return batch.expires_s
        return None

    def refusal(self, scope: Scope, now_s: float) -> QuotaRefusal | None:
        """Return the refusal of a scope that still holds, or None."""
        refusal = self.refusals.get(scope)
        return refusal if refusal is not None and now_s < refusal.until_s else None
