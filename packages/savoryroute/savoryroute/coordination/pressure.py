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
    "reported_level",
    "request_shape",
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
SHAPE_MEMORY_S = 30.0
N_SHAPES_MAX = 4096


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
            if excess <= 0.0:
                return


def reported_level(depth: int, below: float, own: float) -> float:
    """Return the level that an answer carries.

    A first hop hears of what lies below the upstream it called, and no more. The gate
    of that upstream refuses before any work is done, and it alone knows who else
    waits there; a level at the first hop would refuse in its place requests that it
    prefers to those that it still gets.

    Args:
        depth: Hops above the call.
        below: Lowest level that further calls met.
        own: Level of the gate itself.
    """
    return below if depth == 0 else min(below, own)


def request_shape(target: str) -> str:
    """Return what requests for the same resource have in common.

    Requests of one class may take different ways down the chain. Their path, with
    ``*`` for each segment that has a digit, and the names of their query tell these
    apart.

    Args:
        target: Path and query.
    """
    path, _, query = target.partition("?")
    segments = ("*" if _has_digit(part) else part for part in path.split("/"))
    names = {part.partition("=")[0] for part in query.split("&") if part}
    return "/".join(segments) + "?" + "&".join(sorted(names))


def _has_digit(text: str) -> bool:
    return any(character.isdigit() for character in text)


@attrs.frozen
class PressureKey:
    """Chain that a level is known for.

    Attributes:
        service: Name of the service called.
        class_name: Class of the action.
        shape: Shape of the request, or an empty string for all of the class.
    """

    service: str
    class_name: str
    shape: str = ""

    @property
    def of_class(self) -> PressureKey:
        """Key of all requests of the class."""
        return PressureKey(self.service, self.class_name)


@attrs.frozen
class _Note:
    level: float
    noted_s: float

    def level_at(self, now: float) -> float:
        """Return the level, which recovers after the note."""
        calm_s = max(0.0, now - self.noted_s - HOLD_S)
        return min(HIGHEST_LEVEL, self.level + calm_s * RECOVERY_PER_S)


class PressureMap:
    """Levels that a daemon learned from replies.

    The level of a request's own shape counts where one is known, so that requests
    that need no service under pressure are not refused for the others of their
    class. A shape without replies of late has the level of its class.

    The last reply counts: over several upstreams of a service the levels alternate,
    so that requests are refused in proportion to the upstreams under pressure.
    """

    def __init__(self) -> None:
        self._by_class: dict[PressureKey, _Note] = {}
        self._by_shape: dict[PressureKey, _Note] = {}

    def note(self, key: PressureKey, level: float, now: float) -> None:
        """Learn the level on a reply.

        Args:
            key: Service, class and shape called.
            level: Lowest level along the chain, from 0 to 8.
            now: Time of the reply in seconds.
        """
        note = _Note(min(max(level, 0.0), HIGHEST_LEVEL), now)
        self._by_class[key.of_class] = note
        if not key.shape:
            return
        # Newest last, so that the oldest gives way.
        self._by_shape.pop(key, None)
        self._by_shape[key] = note
        if len(self._by_shape) > N_SHAPES_MAX:
            del self._by_shape[next(iter(self._by_shape))]

    def level(self, key: PressureKey, now: float) -> float:
        """Return the level, which recovers after the last reply."""
        note = self._by_shape.get(key)
        if note is None or now - note.noted_s > SHAPE_MEMORY_S:
            note = self._by_class.get(key.of_class)
        return HIGHEST_LEVEL if note is None else note.level_at(now)

    def admits(
        self, key: PressureKey, rank: int, now: float, randomness: random.Random
    ) -> bool:
        """Decide whether a first-hop request may go down the chain."""
        probability = refusal_probability(rank, self.level(key, now))
        return randomness.random() >= probability
