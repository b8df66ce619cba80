"""Measured rates and service times of one upstream."""

from __future__ import annotations

import math

import attrs

__all__ = ["RecentCount", "ServiceRate", "UsualLatency"]

RATE_MEMORY_S = 2.0
SHORTEST_BUSY_S = 1e-3
COUNT_MEMORY_S = 1.0
LATENCY_WEIGHT = 0.1


@attrs.define
class ServiceRate:
    """Answers per second of a saturated upstream, by exponential decay.

    Only time during which all capacity was in use counts.
    """

    _last_s: float
    _n_answers: float = 0.0
    _busy_s: float = 0.0

    def advance(self, now: float, is_saturated: bool) -> None:
        """Close the time up to ``now``.

        Args:
            now: Time in seconds.
            is_saturated: Whether all capacity was in use since the last call.
        """
        elapsed_s = max(0.0, now - self._last_s)
        self._last_s = now
        if is_saturated:
            self._n_answers, self._busy_s = self._decayed(elapsed_s)
        elif elapsed_s > RATE_MEMORY_S:
            self._n_answers, self._busy_s = 0.0, 0.0

    def count(self) -> None:
        """Count one answer of a saturated upstream."""
        self._n_answers += 1.0

    @property
    def per_s(self) -> float | None:
        """Answers per second, or None before any were measured."""
        if self._n_answers == 0.0 or self._busy_s < SHORTEST_BUSY_S:
            return None
        return self._n_answers / self._busy_s

    def _decayed(self, elapsed_s: float) -> tuple[float, float]:
        kept = math.exp(-elapsed_s / RATE_MEMORY_S)
        busy_s = self._busy_s * kept + RATE_MEMORY_S * (1.0 - kept)
        return self._n_answers * kept, busy_s


@attrs.define
class RecentCount:
    """Events of about the last second, by exponential decay."""

    _last_s: float
    _count: float = 0.0

    def add(self, now: float) -> None:
        """Count one event."""
        self._count = self.value(now) + 1.0
        self._last_s = now

    def value(self, now: float) -> float:
        """Return the decayed number of events."""
        elapsed_s = max(0.0, now - self._last_s)
        return self._count * math.exp(-elapsed_s / COUNT_MEMORY_S)


@attrs.define
class UsualLatency:
    """Usual service time in seconds, by rank."""

    _by_rank: dict[int, float] = attrs.field(factory=dict)

    def add(self, rank: int, latency_s: float) -> None:
        """Learn from one answer."""
        usual_s = self._by_rank.get(rank, latency_s)
        self._by_rank[rank] = usual_s + (latency_s - usual_s) * LATENCY_WEIGHT

    def of(self, rank: int) -> float:
        """Return the usual service time, 0 where none was measured."""
        return self._by_rank.get(rank, 0.0)
