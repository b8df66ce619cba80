"""The retry rule: which refusals may be tried again, and how often."""

from __future__ import annotations

from collections.abc import Callable

from ..verdict import Reason, Refusal, Verdict

__all__ = ["RetryBudget", "may_retry"]

RETRIES_HELD_MAX = 10.0

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
        Reason.TOO_LARGE,
        Reason.UNKNOWN_ROUTE,
        Reason.UNKNOWN_SERVICE,
    }
)

# Failures between daemons, after which the home of a key may be asked again.
_HOME_SILENT = frozenset({Reason.CONNECTION_LOST, Reason.UNREACHABLE})


class RetryBudget:
    """Token bucket that keeps retries a small share of first tries.

    Within any time span, retries are at most ``RETRIES_HELD_MAX`` (or one
    second's minimum, if larger) plus ``ratio`` times the first tries plus
    ``minimum_per_s`` times the seconds. This is each daemon's own bound; over
    the fleet the saved retries add up, by the number of daemons. Where the sum over
    the fleet is bounded, ``FleetRetryBudget`` shares it.

    Source: retry budgets as in Finagle.

    Args:
        ratio: Retries earned by one first try.
        minimum_per_s: Retries earned each second without any first try.
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
        """Most retries that can be saved up."""
        return max(RETRIES_HELD_MAX, self._minimum_per_s)

    def note_first_attempt(self) -> None:
        """Earn the share of a retry that one first try is worth."""
        self._earn(self._ratio)

    def try_retry(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        now = self._clock()
        self._earn((now - self._refilled_s) * self._minimum_per_s)
        self._refilled_s = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _earn(self, tokens: float) -> None:
        """Add tokens up to the most that can be saved."""
        self._tokens = min(self.tokens_max, self._tokens + tokens)


def may_retry(
    refusal: Refusal,
    is_idempotent: bool,
    n_attempts: int,
    attempts_per_hop: int,
    is_keyed: bool = False,
) -> bool:
    """Return whether this hop may try a request once more.

    Args:
        refusal: How the last attempt ended.
        is_idempotent: Whether the route is idempotent.
        n_attempts: Attempts made so far by this hop.
        attempts_per_hop: Attempts that one hop may make.
        is_keyed: Whether the action has an idempotency key. Such an action is
            tried again at its home only, and only if the home stayed silent: the
            home's ledger tells copies apart, and its word is final.
    """
    if n_attempts >= attempts_per_hop:
        return False
    if refusal.from_downstream or refusal.reason in _NEVER_RETRIED:
        return False
    if is_keyed:
        return refusal.reason in _HOME_SILENT
    return refusal.verdict is Verdict.NOT_RUN or is_idempotent
