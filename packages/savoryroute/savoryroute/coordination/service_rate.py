"""Measured service rate and service times of one upstream."""

from __future__ import annotations

import math

import attrs

__all__ = ["RecentCount", "ServiceRate", "UsualLatency"]

# Time constant in seconds with which answers and saturated time decay.
RATE_MEMORY_S = 2.0
# Seconds of saturated time below which there is no rate.
SHORTEST_BUSY_S = 1e-3
# Time constant in seconds with which counted events decay.
COUNT_MEMORY_S = 1.0
# Weight of one answer in the mean and the deviation of the service time.
LATENCY_WEIGHT = 0.25


@attrs.define
class ServiceRate:
    """Answers per second of a saturated upstream, by exponential decay.

    Only time during which all capacity was in use counts. Earlier measurements also
    decay in idle time, so that the rate of a slow period does not persist when
    saturation has become rare.
    """

    _last_s: float
    _n_answers: float = 0.0
    _busy_s: float = 0.0

    def advance(self, now_s: float, is_saturated: bool) -> None:
        """Account for the time up to ``now_s``.

        Args:
            now_s: Time in seconds.
            is_saturated: Whether all capacity was in use since the last call.
        """
        elapsed_s = max(0.0, now_s - self._last_s)
        self._last_s = now_s
        kept = math.exp(-elapsed_s / RATE_MEMORY_S)
        self._n_answers *= kept
        self._busy_s *= kept
        if is_saturated:
            self._busy_s += RATE_MEMORY_S * (1.0 - kept)

    def count(self) -> None:
        """Count one answer of a saturated upstream."""
        self._n_answers += 1.0

    @property
    def per_s(self) -> float | None:
        """Answers per second, or None before the first measurement."""
        if self._n_answers == 0.0 or self._busy_s < SHORTEST_BUSY_S:
            return None
        return self._n_answers / self._busy_s


@attrs.define
class RecentCount:
    """Number of events in about the last second, by exponential decay."""

    _last_s: float
    _count: float = 0.0

    def add(self, now_s: float) -> None:
        """Count one event."""
        self._count = self.value(now_s) + 1.0
        self._last_s = now_s

    def value(self, now_s: float) -> float:
        """Return the decayed number of events."""
        elapsed_s = max(0.0, now_s - self._last_s)
        return self._count * math.exp(-elapsed_s / COUNT_MEMORY_S)


@attrs.define
class _Estimate:
    mean_s: float
    deviation_s: float = 0.0

    @property
    def usual_s(self) -> float:
        return self.mean_s + self.deviation_s

    def add(self, latency_s: float) -> None:
        error_s = latency_s - self.mean_s
        self.mean_s += error_s * LATENCY_WEIGHT
        self.deviation_s += (abs(error_s) - self.deviation_s) * LATENCY_WEIGHT


@attrs.define
class UsualLatency:
    """Service time in seconds that most answers do not exceed, by rank.

    Source: mean and mean deviation as in the round-trip estimate of Jacobson,
    Congestion Avoidance and Control (1988).
    """

    _by_rank: dict[int, _Estimate] = attrs.field(factory=dict)

    def add(self, rank: int, latency_s: float) -> None:
        """Add the service time of one answer."""
        estimate = self._by_rank.setdefault(rank, _Estimate(latency_s))
        estimate.add(latency_s)

    def add_at_least(self, rank: int, latency_s: float) -> None:
        """Add a lower bound: the duration of a run that was aborted.

        Without aborted runs only quick answers would count, and requests with too
        little time left would still be started.
        """
        estimate = self._by_rank.get(rank)
        if estimate is not None and latency_s > estimate.mean_s:
            estimate.add(latency_s)

    def of(self, rank: int) -> float:
        """Return the usual service time in seconds, 0 if none was measured."""
        estimate = self._by_rank.get(rank)
        return 0.0 if estimate is None else estimate.usual_s
