"""What callers saw: attempts, logical requests and sums by class."""

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
    """What a logical request came to, as its caller saw it."""

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
        sent_s: Monotonic time of sending.
        latency_s: Time until its end.
        status: HTTP status, or 0 where no whole answer came.
        verdict: What the answer said; None where the caller learned nothing.
        reason: Reason of a refusal, or what went wrong at the caller.
        retry_after_s: When the caller may come back, or None.
        next_key: Key to go on with, or an empty string.
        has_verified_body: Whether the body is whole and the caller's own.
        action: Identity of its action by a refusal, or an empty string.
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
        """Whether this is the complete answer that the caller asked for."""
        ran = self.verdict is Verdict.RAN
        return ran and self.status == 200 and self.has_verified_body

    @property
    def is_wrong(self) -> bool:
        """Whether a body was passed off as the caller's whole answer."""
        ran = self.verdict is Verdict.RAN
        return ran and self.status == 200 and not self.has_verified_body


@attrs.define
class LogicalRequest:
    """One action of a caller with all of its attempts.

    Attributes:
        cancels: Logical request that this one cancels, or an empty string.
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
        """Time from the first attempt to the end of the last."""
        return self.ended_s - self.started_s

    @property
    def newest_key(self) -> str:
        """Key that the action went by last, or an empty string."""
        keys = [attempt.key for attempt in self.attempts if attempt.key]
        return keys[-1] if keys else ""

    @property
    def outcome(self) -> Outcome:
        """What the request came to."""
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
    """Sums over the logical requests of one class."""

    class_name: str
    n_sent: int = 0
    n_attempts: int = 0
    outcomes: dict[Outcome, int] = attrs.field(
        factory=lambda: dict.fromkeys(Outcome, 0)
    )
    reasons: Counter[str] = attrs.field(factory=Counter)
    latencies_s: list[float] = attrs.field(factory=list)

    def add(self, request: LogicalRequest) -> None:
        """Count one request.

        Latencies are those of whole answers; reasons are those of the last
        attempts of all others.
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
        """Requests that brought their whole answer."""
        return self.outcomes[Outcome.COMPLETE]

    def latency_s(self, share: float) -> float:
        """Return a quantile of the latencies of whole answers."""
        return quantile(self.latencies_s, share)


def tally_by_class(requests: Iterable[LogicalRequest]) -> dict[str, Tally]:
    """Return the tallies by name of class."""
    tallies: dict[str, Tally] = {}
    for request in requests:
        name = request.class_name
        tallies.setdefault(name, Tally(name)).add(request)
    return tallies


def quantile(values: Sequence[float], share: float) -> float:
    """Return the value below which a share of all values lies, or NaN."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
