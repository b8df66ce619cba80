"""Levels of importance that an upstream or a chain admits."""

from __future__ import annotations

import random

import attrs

__all__ = [
    "HIGHEST_LEVEL",
    "LevelController",
    "PressureKey",
    "PressureMap",
    "refusal_probability",
]

HIGHEST_LEVEL = 8.0
N_RANKS = 8
PROBE_FRACTION = 0.02

INTERVAL_S = 0.1
DELAY_TARGET_S = 0.05
DELAY_CUT_FRACTION = 0.05
FIRST_RISE = 0.05
HIGHEST_RISE = 1.0
FULL_RECOVERY_INTERVALS = 20

HOLD_S = 0.5
RECOVERY_PER_S = 4.0


def refusal_probability(rank: int, level: float) -> float:
    """Return the share of first-hop requests of a rank that a level refuses.

    A small share of probes is always let through.
    """
    probability = min(max(rank + 1.0 - level, 0.0), 1.0)
    return min(probability, 1.0 - PROBE_FRACTION)


@attrs.define
class _Interval:
    """What a gate saw during one interval."""

    start_s: float
    least_delay_s: float
    n_arrived: list[int] = attrs.field(factory=lambda: [0] * N_RANKS)
    n_refused: int = 0

    @property
    def excess(self) -> float:
        """Requests to be kept away, by refusals or else by a standing queue."""
        if self.n_refused:
            return float(self.n_refused)
        if self.least_delay_s > DELAY_TARGET_S:
            return sum(self.n_arrived) * DELAY_CUT_FRACTION
        return 0.0


class LevelController:
    """Level of importance that a gate asks first hops to admit.

    Every interval with load refusals, or with a queue whose delay stayed above
    target throughout, cuts the level by just the excess, counted in arrivals from
    the worst rank up. Calm intervals raise it by steps that double.

    Sources: admission levels by histogram after DAGOR (Zhou and others, 2018);
    standing delay over an interval after CoDel (Nichols and Jacobson, RFC 8289).
    """

    def __init__(self, now: float) -> None:
        self._level = HIGHEST_LEVEL
        self._rise = FIRST_RISE
        self._delay_s = 0.0
        self._interval = _Interval(now, 0.0)

    def level(self, now: float) -> float:
        """Level admitted, from 0 to 8."""
        self._close_intervals(now)
        return self._level

    def on_arrival(self, rank: int, now: float) -> None:
        """Count a request that came to the gate."""
        self._close_intervals(now)
        self._interval.n_arrived[rank] += 1

    def on_refusal(self, now: float) -> None:
        """Count a request that the gate refused for load."""
        self._close_intervals(now)
        self._interval.n_refused += 1

    def on_delay(self, delay_s: float, now: float) -> None:
        """Take note of the queueing delay from ``now`` on."""
        self._close_intervals(now)
        self._delay_s = delay_s
        self._interval.least_delay_s = min(self._interval.least_delay_s, delay_s)

    def _close_intervals(self, now: float) -> None:
        n_due = int((now - self._interval.start_s) / INTERVAL_S)
        if n_due <= 0:
            return
        self._adjust(self._interval)
        start_s = self._interval.start_s + n_due * INTERVAL_S
        self._interval = _Interval(start_s, self._delay_s)
        if self._delay_s <= DELAY_TARGET_S:
            for _ in range(min(n_due - 1, FULL_RECOVERY_INTERVALS)):
                self._raise()

    def _adjust(self, interval: _Interval) -> None:
        if interval.excess > 0.0:
            self._rise = FIRST_RISE
            self._cut(interval.n_arrived, interval.excess)
        elif interval.least_delay_s <= DELAY_TARGET_S:
            self._raise()

    def _raise(self) -> None:
        self._level = min(HIGHEST_LEVEL, self._level + self._rise)
        self._rise = min(HIGHEST_RISE, self._rise * 2.0)

    def _cut(self, n_arrived: list[int], excess: float) -> None:
        for rank in reversed(range(N_RANKS)):
            admitted = min(max(self._level - rank, 0.0), 1.0)
            if not admitted:
                continue
            if n_arrived[rank] > excess:
                self._level = rank + admitted * (1.0 - excess / n_arrived[rank])
                return
            excess -= n_arrived[rank]
            self._level = float(rank)


@attrs.frozen
class PressureKey:
    """Chain that a level is known for.

    Attributes:
        service: Name of the service called.
        class_name: Class of the action.
    """

    service: str
    class_name: str


@attrs.frozen
class _Note:
    level: float
    noted_s: float


class PressureMap:
    """Levels that a daemon learned from replies, by service and class.

    The last reply counts: over several upstreams of a service the levels alternate,
    so that requests are refused in proportion to the upstreams under pressure.
    """

    def __init__(self) -> None:
        self._notes: dict[PressureKey, _Note] = {}

    def note(self, key: PressureKey, level: float, now: float) -> None:
        """Learn the level on a reply.

        Args:
            key: Service and class called.
            level: Lowest level along the chain, from 0 to 8.
            now: Time of the reply in seconds.
        """
        if level >= HIGHEST_LEVEL:
            self._notes.pop(key, None)
        else:
            self._notes[key] = _Note(max(level, 0.0), now)

    def level(self, key: PressureKey, now: float) -> float:
        """Return the level, which recovers after the last reply."""
        note = self._notes.get(key)
        if note is None:
            return HIGHEST_LEVEL
        calm_s = max(0.0, now - note.noted_s - HOLD_S)
        level = note.level + calm_s * RECOVERY_PER_S
        if level < HIGHEST_LEVEL:
            return level
        del self._notes[key]
        return HIGHEST_LEVEL

    def admits(
        self, key: PressureKey, rank: int, now: float, randomness: random.Random
    ) -> bool:
        """Decide whether a first-hop request may go down the chain."""
        probability = refusal_probability(rank, self.level(key, now))
        return randomness.random() >= probability
