"""Results as callers see them: attempts, logical requests and totals by class."""

from __future__ import annotations

import enum
import math
from collections import Counter
from collections.abc import Iterable, Sequence

import attrs

from savoryroute.verdict import Verdict

__all__ = [
    "Attempt",
    "LogicalRequest",
    "Outcome",
    "Tally",
    "quantile",
    "tally_by_class",
]


class Outcome(enum.StrEnum):
    """Outcome of a logical request as its caller sees it."""

    COMPLETE = "whole"
    WRONG = "wrong"
    FAILED = "failed"
    REFUSED = "refused"
    MAY_HAVE_RUN = "may_have_run"


@attrs.frozen
class Attempt:
    """One request on the wire.

    Attributes:
        entry: Address that it was sent to.
        key: Idempotency key that it carried, or an empty string.
        sent_s: Time of sending in monotonic seconds.
        latency_s: Seconds until the answer or the failure.
        status: HTTP status, or 0 without a complete answer.
        verdict: Verdict of the answer; None if the caller got none.
        reason: Reason of the refusal, or the type of the caller's exception.
        retry_after_s: Seconds to wait before a retry, or None.
        next_key: Idempotency key for the next attempt, or an empty string.
        has_verified_body: Whether the body is complete and belongs to this request.
        action: Action id from a refusal, or an empty string.
    """

    entry: str
    key: str
    sent_s: float
    latency_s: float
    status: int = 0
    verdict: Verdict | None = None
    reason: str = ""
    retry_after_s: float | None = None
    next_key: str = ""
    has_verified_body: bool = False
    action: str = ""

    @property
    def is_complete(self) -> bool:
        """Whether this attempt got the complete answer to its request."""
        ran = self.verdict is Verdict.RAN
        return ran and self.status == 200 and self.has_verified_body

    @property
    def is_wrong(self) -> bool:
        """Whether a successful answer has an incomplete or another request's body."""
        ran = self.verdict is Verdict.RAN
        return ran and self.status == 200 and not self.has_verified_body


@attrs.define
class LogicalRequest:
    """One action of a caller with all of its attempts.

    Attributes:
        cancels: Id of the logical request that this one cancels, or an empty string.
    """

    class_name: str
    service: str
    method: str
    path: str
    idempotent: bool
    request_id: str
    trace_id: str
    started_s: float
    ended_s: float = 0.0
    cancels: str = ""
    attempts: list[Attempt] = attrs.field(factory=list)

    @property
    def latency_s(self) -> float:
        """Seconds from the creation of the request to the end of its last attempt."""
        return self.ended_s - self.started_s

    @property
    def newest_key(self) -> str:
        """Key of the last attempt that carried one, or an empty string."""
        keys = [attempt.key for attempt in self.attempts if attempt.key]
        return keys[-1] if keys else ""

    @property
    def outcome(self) -> Outcome:
        """Outcome of all attempts together."""
        if any(attempt.is_wrong for attempt in self.attempts):
            return Outcome.WRONG
        if any(attempt.is_complete for attempt in self.attempts):
            return Outcome.COMPLETE
        if all(attempt.verdict is Verdict.NOT_RUN for attempt in self.attempts):
            return Outcome.REFUSED
        if any(attempt.verdict is Verdict.RAN for attempt in self.attempts):
            return Outcome.FAILED
        return Outcome.MAY_HAVE_RUN


@attrs.define
class Tally:
    """Totals over the logical requests of one class."""

    class_name: str
    n_sent: int = 0
    n_attempts: int = 0
    outcomes: dict[Outcome, int] = attrs.field(
        factory=lambda: dict.fromkeys(Outcome, 0)
    )
    reasons: Counter[str] = attrs.field(factory=Counter)
    latencies_s: list[float] = attrs.field(factory=list)

    def add(self, request: LogicalRequest) -> None:
        """Add one request to the totals.

        A request with a complete answer adds its latency; any other adds the reason
        of its last attempt.
        """
        outcome = request.outcome
        self.n_sent += 1
        self.n_attempts += len(request.attempts)
        self.outcomes[outcome] += 1
        if outcome is Outcome.COMPLETE:
            self.latencies_s.append(request.latency_s)
        elif request.attempts:
            last = request.attempts[-1]
            self.reasons[last.reason or f"status {last.status}"] += 1

    @property
    def n_complete(self) -> int:
        """Number of requests with a complete answer."""
        return self.outcomes[Outcome.COMPLETE]

    def latency_s(self, fraction: float) -> float:
        """Return a quantile of the latencies of complete answers, in seconds."""
        return quantile(self.latencies_s, fraction)


def tally_by_class(requests: Iterable[LogicalRequest]) -> dict[str, Tally]:
    """Return the tally of each class by its name."""
    tallies: dict[str, Tally] = {}
    for request in requests:
        name = request.class_name
        tallies.setdefault(name, Tally(name)).add(request)
    return tallies


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the quantile at a fraction from 0 to 1, or NaN without values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
