"""Retry conditions and retry budget for the attempts of an action."""

from __future__ import annotations

from collections.abc import Callable

from ..verdict import Reason, Refusal, Verdict

__all__ = ["RetryBudget", "may_retry"]

RETRIES_SAVED_MAX = 10.0

_NEVER_RETRIED = frozenset(
    {
        Reason.ALLOWANCE_SPENT,
        Reason.BAD_ANSWER,
        Reason.BAD_REQUEST,
        Reason.CANCELLED,
        Reason.DEADLINE,
        Reason.IN_PROGRESS,
        Reason.KEY_EXPIRED,
        Reason.KEY_HOME_GONE,
        Reason.KEY_INVALID,
        Reason.KEY_REQUIRED,
        Reason.KEY_REUSED,
        Reason.KEY_SPENT,
        Reason.QUARANTINED,
        Reason.QUOTA,
        Reason.RETRY_BUDGET,
        Reason.STALE_CONFIGURATION,
        Reason.TOO_LARGE,
        Reason.UNKNOWN_ROUTE,
        Reason.UNKNOWN_SERVICE,
        Reason.UNREADABLE_ORGANISATION,
        Reason.UNREADABLE_ROUTE,
    }
)

# Failures between daemons, after which a keyed action may be retried at its owner.
_OWNER_UNRESPONSIVE = frozenset({Reason.CONNECTION_LOST, Reason.UNREACHABLE})


class RetryBudget:
    """Token bucket that keeps retries a small share of first attempts.

    Within any time span, retries are at most ``RETRIES_SAVED_MAX`` (or one
    second's minimum, if larger) plus ``ratio`` times the first attempts plus
    ``minimum_per_s`` times the seconds. The bound holds for each daemon; over the
    fleet the saved retries of all daemons add up. ``RepeatBudget`` bounds the
    sum over the fleet instead.

    Source: retry budgets as in Finagle.

    Args:
        ratio: Retries earned by one first attempt.
        minimum_per_s: Retries earned each second even without first attempts.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self, ratio: float, minimum_per_s: float, clock: Callable[[], float]
    ) -> None:
        self._ratio = ratio
        self._minimum_per_s = minimum_per_s
        self._clock = clock
        self._tokens = self.tokens_max
        self._refilled_s = clock()

    @property
    def tokens_max(self) -> float:
        """Maximum number of retries that can be saved up."""
        return max(RETRIES_SAVED_MAX, self._minimum_per_s)

    def note_first_attempt(self) -> None:
        """Credit the budget for one first attempt."""
        self._earn(self._ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        now_s = self._clock()
        self._earn((now_s - self._refilled_s) * self._minimum_per_s)
        self._refilled_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _earn(self, tokens: float) -> None:
        """Add tokens up to the maximum."""
        self._tokens = min(self.tokens_max, self._tokens + tokens)


def may_retry(
    refusal: Refusal,
    is_idempotent: bool,
    n_attempts: int,
    attempts_per_hop: int,
    is_keyed: bool = False,
) -> bool:
    """Return whether this hop may retry a request.

    Args:
        refusal: How the last attempt ended.
        is_idempotent: Whether the route is idempotent.
        n_attempts: Attempts made so far by this hop.
        attempts_per_hop: Attempts that one hop may make.
        is_keyed: Whether the action has an idempotency key. Such an action is
            retried only at the owner of its key, and only if the owner did not
            answer: its ledger recognizes copies, and its answer is final.
    """
    if n_attempts >= attempts_per_hop:
        return False
    if refusal.from_downstream or refusal.reason in _NEVER_RETRIED:
        return False
    if is_keyed:
        return refusal.reason in _OWNER_UNRESPONSIVE
    return refusal.verdict is Verdict.NOT_RUN or is_idempotent
