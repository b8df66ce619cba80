"""Concurrency limits of an upstream, fixed or adapted to its answers."""

from __future__ import annotations

import abc
import math

import attrs

from ..registry import Registry

__all__ = [
    "LIMITS",
    "AimdLimit",
    "ConcurrencyLimit",
    "FixedLimit",
    "GradientLimit",
    "make_limit",
]

# First limit as a fraction of the slots.
COLD_START_FRACTION = 0.125
# Fewest answers in a window; otherwise it has as many as there are requests in flight.
MINIMUM_WINDOW_ANSWERS = 8
# The upstream counts as busy from this fraction of the limit in flight.
BUSY_FRACTION = 0.5

# Factor by which a drop changes the limit.
AIMD_BACKOFF = 0.9

# Ratio of current latency to baseline above which the limit falls.
LATENCY_TOLERANCE = 1.5
# Latency lowers the limit to no less than this fraction per window.
LOWEST_GRADIENT = 0.5
# Weight of one window in the moving average of the baseline.
BASELINE_WEIGHT = 0.05
# The baseline decays faster while it is more than BASELINE_EXCESS times the latency.
BASELINE_DECAY = 0.95
BASELINE_EXCESS = 2.0
# Latency does not take the limit below this fraction of the slots.
LATENCY_FLOOR_FRACTION = 0.5
# Slow drops lower the limit by this fraction of their share of the answers.
DROP_WEIGHT = 0.5
# Share of drops from which they may take the limit below the latency floor, and from
# which the limit does not grow.
MAJORITY_FRACTION = 0.5
# Quick drops up to this share of a window count as single failures, not as shedding.
TOLERATED_SHED_FRACTION = 0.05
# A drop within this fraction of the baseline latency is a quick one.
QUICK_FRACTION = 0.5
# Growth per round trip after the upstream has shed requests.
SMALLEST_STEP = 1.0
# Windows after a decrease until its effect on the latency is evaluated.
EVALUATION_WINDOWS = 2
# A decrease has an effect if the latency falls by this fraction of its size.
EFFECT_FRACTION = 0.5


@attrs.define
class ConcurrencyLimit(abc.ABC):
    """Maximum number of requests in flight at an upstream.

    Attributes:
        minimum: Lowest limit.
        maximum: Highest limit.
        slots: Requests that the upstream runs concurrently, as the document states.
    """

    minimum: int
    maximum: int
    slots: int

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Requests allowed in flight."""

    @abc.abstractmethod
    def on_answer(self, latency_s: float, n_in_flight: int, is_dropped: bool) -> None:
        """Adapt the limit to one answer.

        Args:
            latency_s: Seconds from the start at the upstream to the answer.
            n_in_flight: Requests in flight, the answered one included.
            is_dropped: Whether the upstream shed the request or timed out on it.
        """

    def _clamp(self, limit: float) -> float:
        return min(max(limit, self.minimum), self.maximum)

    def _cold_limit(self) -> float:
        return self._clamp(self.slots * COLD_START_FRACTION)


LIMITS: Registry[type[ConcurrencyLimit]] = Registry("limit")


def make_limit(kind: str, minimum: int, maximum: int, slots: int) -> ConcurrencyLimit:
    """Build a limit of a registered kind.

    Args:
        kind: Name in ``LIMITS``: ``fixed``, ``gradient`` or ``aimd``.
        minimum: Lowest limit, at least 1.
        maximum: Highest limit, not below ``minimum``.
        slots: Requests that the upstream runs concurrently.

    Raises:
        RegistryError: The kind is unknown.
        ValueError: The bounds are not 1 <= minimum <= maximum.
    """
    if not 1 <= minimum <= maximum:
        raise ValueError(f"limit bounds {minimum}..{maximum} are not 1 <= min <= max")
    return LIMITS.get(kind)(minimum, maximum, slots)


@LIMITS.register("fixed")
@attrs.define
class FixedLimit(ConcurrencyLimit):
    """Limit that is always the maximum."""

    @property
    def limit(self) -> int:
        """Requests allowed in flight."""
        return self.maximum

    def on_answer(self, latency_s: float, n_in_flight: int, is_dropped: bool) -> None:
        """Ignore the answer."""


@attrs.define
class _Window:
    """Statistics of the answers of about one round trip."""

    size: int = MINIMUM_WINDOW_ANSWERS
    n_answers: int = 0
    n_dropped: int = 0
    n_quickly_dropped: int = 0
    n_in_flight_max: int = 0
    _latency_sum_s: float = 0.0

    @property
    def is_full(self) -> bool:
        return self.n_answers >= self.size

    @property
    def drop_fraction(self) -> float:
        return self.n_dropped / self.n_answers

    @property
    def n_slowly_dropped(self) -> int:
        return self.n_dropped - self.n_quickly_dropped

    @property
    def is_shedding(self) -> bool:
        return self.n_quickly_dropped > TOLERATED_SHED_FRACTION * self.n_answers

    @property
    def latency_s(self) -> float | None:
        n_served = self.n_answers - self.n_dropped
        return self._latency_sum_s / n_served if n_served else None

    def add(self, latency_s: float, n_in_flight: int, is_dropped: bool) -> None:
        if self.n_answers == 0:
            self.size = max(MINIMUM_WINDOW_ANSWERS, n_in_flight)
        self.n_answers += 1
        self.n_in_flight_max = max(self.n_in_flight_max, n_in_flight)
        if is_dropped:
            self.n_dropped += 1
        else:
            self._latency_sum_s += latency_s


@LIMITS.register("aimd")
@attrs.define
class AimdLimit(ConcurrencyLimit):
    """Limit that grows by one per round trip and shrinks by a tenth on drops.

    Until the first drop it doubles with each round trip.

    Source: additive increase, multiplicative decrease after Chiu and Jain (1989),
    slow start after Jacobson (1988), as in ``AIMDLimit`` of Netflix
    concurrency-limits.
    """

    _limit: float = attrs.field(init=False)
    _is_slow_start: bool = attrs.field(init=False, default=True)
    _n_until_backoff: int = attrs.field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self._limit = self._cold_limit()

    @property
    def limit(self) -> int:
        """Requests allowed in flight."""
        return int(self._limit)

    def on_answer(self, latency_s: float, n_in_flight: int, is_dropped: bool) -> None:
        """Grow on answers while busy; shrink on drops, at most once per round trip."""
        self._n_until_backoff = max(0, self._n_until_backoff - 1)
        if is_dropped:
            self._back_off(n_in_flight)
        elif n_in_flight >= self._limit * BUSY_FRACTION:
            self._grow()

    def _back_off(self, n_in_flight: int) -> None:
        if self._n_until_backoff:
            return
        self._is_slow_start = False
        self._n_until_backoff = n_in_flight
        self._limit = self._clamp(self._limit * AIMD_BACKOFF)

    def _grow(self) -> None:
        step = 1.0 if self._is_slow_start else 1.0 / self._limit
        self._limit = self._clamp(self._limit + step)


@attrs.define
class _PendingDecrease:
    """Decrease of the limit whose effect on the latency is not yet evaluated.

    The first window after the decrease still includes requests started before it.
    """

    limit_before: float
    latency_before_s: float
    n_windows: int = 0

    def has_lowered_latency(self, limit: float, latency_s: float) -> bool:
        """Return whether the latency fell by at least half as much as the limit."""
        fall = 1.0 - limit / self.limit_before
        return latency_s <= self.latency_before_s * (1.0 - fall * EFFECT_FRACTION)


@LIMITS.register("gradient")
@attrs.define
class GradientLimit(ConcurrencyLimit):
    """Limit that follows drops and the ratio of baseline to current latency.

    Latency may also rise for causes other than this limit, such as a slower mix of
    requests or a slow downstream service; running fewer requests does not help then.
    So the effect of each decrease is evaluated: if the latency did not fall with the
    concurrency, the current latency becomes the baseline and the limit grows back.
    Latency alone does not take the limit below half the slots.

    Each quick drop lowers the limit by one at once, so that requests from the head of
    the queue are not sent to an upstream that sheds them. After a round trip with few
    quick drops the limit regains them: single failures are no sign of load. Slow drops
    (timeouts) shrink the limit by half their share after each round trip, but below
    half the slots only if at least half of the requests are dropped.

    Growth restarts at one per round trip after quick drops, otherwise at the square
    root of the limit, and doubles after each round trip in which the limit grows. A
    limit that fell thus recovers within seconds, and one that is already right is
    exceeded in small steps only.

    Sources: ``Gradient2Limit`` of Netflix concurrency-limits for the gradient and its
    drifting baseline; DCTCP (Alizadeh and others, 2010) for the decrease in
    proportion to the drops; slow start after Jacobson (1988).
    """

    _limit: float = attrs.field(init=False)
    _is_slow_start: bool = attrs.field(init=False, default=True)
    _step: float = attrs.field(init=False, default=SMALLEST_STEP)
    _baseline_s: float | None = attrs.field(init=False, default=None)
    _window: _Window = attrs.field(init=False, factory=_Window)
    _pending: _PendingDecrease | None = attrs.field(init=False, default=None)

    def __attrs_post_init__(self) -> None:
        self._limit = self._cold_limit()

    @property
    def limit(self) -> int:
        """Requests allowed in flight."""
        return int(self._limit)

    def on_answer(self, latency_s: float, n_in_flight: int, is_dropped: bool) -> None:
        """Record one answer; adjust the limit after each round trip."""
        self._window.add(latency_s, n_in_flight, is_dropped)
        if n_in_flight >= self._limit * BUSY_FRACTION:
            self._step_on_answer(latency_s, is_dropped)
        if self._window.is_full:
            window, self._window = self._window, _Window()
            self._adjust(window)

    def _step_on_answer(self, latency_s: float, is_dropped: bool) -> None:
        if is_dropped and self._is_quick(latency_s):
            self._window.n_quickly_dropped += 1
            self._limit = self._clamp(self._limit - 1.0)
        elif self._is_slow_start and not is_dropped:
            self._limit = self._clamp(self._limit + 1.0)

    def _is_quick(self, latency_s: float) -> bool:
        return self._baseline_s is None or latency_s < self._baseline_s * QUICK_FRACTION

    def _adjust(self, window: _Window) -> None:
        is_busy = window.n_in_flight_max >= self._limit * BUSY_FRACTION
        if window.n_dropped:
            self._shrink_by_drops(window)
        if self._pending is not None and not self._evaluate_decrease(
            self._pending, window
        ):
            return
        gradient = self._gradient(window.latency_s)
        if gradient < 1.0:
            self._restart_growth(math.sqrt(self._limit))
        if not is_busy or self._is_slow_start:
            return
        if gradient < 1.0:
            self._shrink_by_latency(gradient, window)
        elif window.drop_fraction < MAJORITY_FRACTION:
            self._grow(window)

    def _shrink_by_drops(self, window: _Window) -> None:
        self._pending = None
        if window.is_shedding:
            self._restart_growth(SMALLEST_STEP)
        elif window.n_slowly_dropped:
            self._restart_growth(math.sqrt(self._limit))
        decrease = DROP_WEIGHT * window.n_slowly_dropped / window.n_answers
        target = self._limit * (1.0 - decrease)
        if window.drop_fraction < MAJORITY_FRACTION:
            target = max(target, self._latency_floor)
        self._limit = self._clamp(target)

    def _restart_growth(self, step: float) -> None:
        self._is_slow_start = False
        self._step = step

    def _evaluate_decrease(self, pending: _PendingDecrease, window: _Window) -> bool:
        """Count a window of a decrease; return whether its evaluation is complete."""
        pending.n_windows += 1
        if pending.n_windows < EVALUATION_WINDOWS:
            return False
        self._pending = None
        if not pending.has_lowered_latency(self._limit, window.latency_s):
            self._baseline_s = max(self._baseline_s, window.latency_s)
        return True

    def _gradient(self, latency_s: float | None) -> float:
        if latency_s is None:
            return 1.0
        baseline_s = self._drift_baseline(latency_s)
        ratio = LATENCY_TOLERANCE * baseline_s / max(latency_s, 1e-9)
        return min(1.0, max(LOWEST_GRADIENT, ratio))

    def _drift_baseline(self, latency_s: float) -> float:
        if self._baseline_s is None:
            self._baseline_s = latency_s
        baseline_s = self._baseline_s
        if baseline_s > latency_s * BASELINE_EXCESS:
            baseline_s *= BASELINE_DECAY
        self._baseline_s = baseline_s + (latency_s - baseline_s) * BASELINE_WEIGHT
        return self._baseline_s

    def _grow(self, window: _Window) -> None:
        if window.is_shedding:
            return
        self._limit = self._clamp(self._limit + window.n_quickly_dropped + self._step)
        self._step = min(self._step * 2.0, self._limit)

    @property
    def _latency_floor(self) -> float:
        return min(self._limit, self.slots * LATENCY_FLOOR_FRACTION)

    def _shrink_by_latency(self, gradient: float, window: _Window) -> None:
        target = self._clamp(max(self._limit * gradient, self._latency_floor))
        if target < self._limit:
            self._pending = _PendingDecrease(self._limit, window.latency_s)
        self._limit = target
