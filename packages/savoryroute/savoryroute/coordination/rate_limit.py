"""Rate at which one upstream takes calls from all hosts together.

Load pattern: an upstream in need names a rate far below what it gets, while the other
instances of its service have free slots. All calls to an upstream pass the daemon
beside it, so one token bucket there holds the limit for the whole fleet, at any size
and without communication.

Source: token bucket, as in Tanenbaum, Computer Networks (traffic shaping).
"""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["RateLimit"]

# Seconds of calls that may be started at once after a quiet time.
BURST_S = 0.5
# Lowest rate in calls a second: without any call, no answer could lift the limit.
RATE_MIN_PER_S = 0.5


class RateLimit:
    """Token bucket that is unlimited until a rate is set.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._per_s: float | None = None
        self._tokens = 0.0
        self._refilled_s = 0.0

    @property
    def per_s(self) -> float | None:
        """Calls a second, None without a limit."""
        return self._per_s

    @property
    def allows_call(self) -> bool:
        """Whether a call may start now."""
        return self._per_s is None or self._refill() >= 1.0

    def set(self, per_s: float | None) -> None:
        """Set the rate in calls a second, or lift the limit with None."""
        if per_s is None:
            self._per_s = None
            return
        if self._per_s is None:
            # What was started just before the limit was named counts against it.
            self._tokens = 0.0
            self._refilled_s = self._clock()
        else:
            self._refill()
        self._per_s = max(RATE_MIN_PER_S, per_s)

    def take(self) -> None:
        """Count a call that starts."""
        if self._per_s is not None:
            self._tokens = self._refill() - 1.0

    def wait_s(self, n_ahead: int) -> float:
        """Return the seconds until a call behind ``n_ahead`` others may start."""
        if self._per_s is None:
            return 0.0
        return max(0.0, n_ahead + 1 - self._refill()) / self._per_s

    def _refill(self) -> float:
        """Add the tokens earned until now; return how many there are."""
        now_s = self._clock()
        earned = (now_s - self._refilled_s) * self._per_s
        capacity = max(1.0, self._per_s * BURST_S)
        self._tokens = min(capacity, self._tokens + earned)
        self._refilled_s = now_s
        return self._tokens
