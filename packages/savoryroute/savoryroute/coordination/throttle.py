"""Refusal of whole actions where they enter, by the pressure down their chain.

Load pattern: a service deep in the chain is short of slots. Each action needs
several of its calls, so that refusing single calls there fails nearly every action
after most of its work is done. Answers carry the load of the fullest line on their
way; the first hop admits such a part of each route's requests that this load stays
about at the slots. Less important routes give way at a lower load, so that the
important ones find room.

Sources: overload control of DAGOR (Zhou and others, Overload Control for Scaling
WeChat Microservices, 2018) for refusing at the first hop by load further down;
additive increase, multiplicative decrease after Chiu and Jain (1989).
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

__all__ = ["ActionThrottle"]

# Seconds between changes of the admitted share: about the time of one action.
WINDOW_S = 0.3
# Load of the fullest line at which a route gives way, by rank; a line counts only
# calls that are served before or with the route's own. The excess over 1 waits, for
# about that part of one call's time.
PRESSURE_TARGETS = (1.5, 1.35, 1.25)
# Part of the answers that fail for load at which a route gives way, by rank.
FAILURE_TARGETS = (0.3, 0.1, 0.04)
# Excess of load that one part of failures beyond the target stands for.
FAILURE_FACTOR = 2.0
# Part of the share that is taken away for an excess of 1, and at most in a window.
DECREASE_FACTOR = 0.4
DECREASE_MAX = 0.25
# Share added in a window without excess, and the growth for room of a whole load.
INCREASE_STEP = 0.03
INCREASE_FACTOR = 0.5
# Part that is admitted at all times, to see when the load has gone.
SHARE_MIN = 0.05


@attrs.define(slots=True)
class _Account:
    """What one route's requests met in the present window."""

    since_s: float
    share: float = 1.0
    n_ended: int = 0
    n_load_failures: int = 0
    pressure_sum: float = 0.0

    def adjust(self, now_s: float, rank: int) -> None:
        """Set the admitted share by what the window showed, and begin another."""
        excess = self._excess(rank)
        if excess is None:
            self.share += INCREASE_STEP
        elif excess > 0.0:
            self.share *= 1.0 - min(DECREASE_MAX, DECREASE_FACTOR * excess)
        else:
            self.share += INCREASE_STEP - self.share * INCREASE_FACTOR * excess
        self.share = min(1.0, max(SHARE_MIN, self.share))
        self.since_s = now_s
        self.n_ended = self.n_load_failures = 0
        self.pressure_sum = 0.0

    def _excess(self, rank: int) -> float | None:
        """Return by how much load or failures were beyond their targets."""
        if not self.n_ended:
            return None
        pressure = self.pressure_sum / self.n_ended
        failures = self.n_load_failures / self.n_ended
        # One failure of a few answers is no sign yet.
        has_failed = self.n_load_failures > 1
        excess = pressure - PRESSURE_TARGETS[rank]
        if has_failed:
            beyond = failures - FAILURE_TARGETS[rank]
            excess = max(excess, beyond * FAILURE_FACTOR)
        return excess


class ActionThrottle:
    """Admitted shares by route of one first hop.

    Args:
        clock: Monotonic clock in seconds.
        rng: Source of the choice which requests are refused.
    """

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._accounts: dict[str, _Account] = {}

    @property
    def shares(self) -> dict[str, float]:
        """Admitted share by route."""
        return {route: account.share for route, account in self._accounts.items()}

    def admits(self, route: str, rank: int) -> bool:
        """Return whether a request may enter.

        Args:
            route: Name of its route.
            rank: Importance of the route, 0 the highest.
        """
        now_s = self._clock()
        account = self._accounts.get(route)
        if account is None:
            account = self._accounts[route] = _Account(now_s)
        if now_s - account.since_s >= WINDOW_S:
            account.adjust(now_s, min(max(rank, 0), len(PRESSURE_TARGETS) - 1))
        return account.share >= 1.0 or self._rng.random() < account.share

    def note_end(self, route: str, pressure: float, is_load_failure: bool) -> None:
        """Count how a request that entered ended.

        Args:
            route: Name of its route.
            pressure: Load of the fullest line on its way, calls over slots.
            is_load_failure: Whether it failed for want of capacity; other failures
                are no reason to refuse more.
        """
        account = self._accounts.get(route)
        if account is not None:
            account.n_ended += 1
            account.n_load_failures += is_load_failure
            account.pressure_sum += pressure
