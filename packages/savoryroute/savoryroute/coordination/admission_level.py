"""Admission levels of upstreams and call chains.

A level from 0 to 8 admits the ranks below it; a fractional part admits that share of
the rank at which it lies. Level 8 admits everything.
"""

from __future__ import annotations

import random

import attrs

__all__ = [
    "HIGHEST_LEVEL",
    "LevelController",
    "LevelKey",
    "LevelMap",
    "refusal_probability",
    "reported_level",
    "request_shape",
]

HIGHEST_LEVEL = 8.0
N_RANKS = 8
# Share of the requests that is admitted at any level, to detect recovery.
PROBE_FRACTION = 0.02

# The level is adjusted once per interval.
INTERVAL_S = 0.1
# A queue is standing if its delay stays above this for a whole interval.
DELAY_TARGET_S = 0.05
# Share of the arrivals to refuse because of a standing queue.
DELAY_CUT_FRACTION = 0.05
# First and largest rise of the level in an interval without excess; rises double.
FIRST_RISE = 0.05
HIGHEST_RISE = 1.0
# After this many rises the level is at its highest, so no more are computed.
FULL_RECOVERY_INTERVALS = 20

# A reported level holds for this time, then recovers at this rate.
HOLD_S = 0.5
RECOVERY_PER_S = 4.0
# Age from which the level of a request shape is no longer used.
SHAPE_MEMORY_S = 30.0
N_SHAPES_MAX = 4096


def refusal_probability(rank: int, level: float) -> float:
    """Return the share of first-hop requests of a rank that a level refuses.

    A small share of requests is always admitted as probes.
    """
    probability = min(max(rank + 1.0 - level, 0.0), 1.0)
    return min(probability, 1.0 - PROBE_FRACTION)


@attrs.define
class _Interval:
    """Statistics of an admission gate during one interval."""

    start_s: float
    min_delay_s: float
    n_arrived: list[int] = attrs.field(factory=lambda: [0] * N_RANKS)
    n_refused: int = 0

    @property
    def excess(self) -> float:
        """Requests in excess of the capacity.

        These are the refused ones; without any, a share of the arrivals if there was
        a standing queue.
        """
        if self.n_refused:
            return float(self.n_refused)
        if self.min_delay_s > DELAY_TARGET_S:
            return sum(self.n_arrived) * DELAY_CUT_FRACTION
        return 0.0


class LevelController:
    """Admission level that a gate asks first hops to apply.

    Each interval with load refusals, or with a queueing delay above the target
    throughout, cuts the level by exactly the excess, counted in arrivals from the
    lowest priority up. Other intervals raise it by steps that double.

    Sources: admission levels by histogram after DAGOR (Zhou and others, 2018);
    standing delay over an interval after CoDel (Nichols and Jacobson, RFC 8289).
    """

    def __init__(self, now_s: float) -> None:
        self._level = HIGHEST_LEVEL
        self._rise = FIRST_RISE
        self._delay_s = 0.0
        self._interval = _Interval(now_s, 0.0)

    def level(self, now_s: float) -> float:
        """Return the admission level, from 0 to 8."""
        self._close_intervals(now_s)
        return self._level

    def on_arrival(self, rank: int, now_s: float) -> None:
        """Count a request that arrived at the gate."""
        self._close_intervals(now_s)
        self._interval.n_arrived[rank] += 1

    def on_refusal(self, now_s: float) -> None:
        """Count a request that the gate refused because of load."""
        self._close_intervals(now_s)
        self._interval.n_refused += 1

    def on_delay(self, delay_s: float, now_s: float) -> None:
        """Record the queueing delay from ``now_s`` on."""
        self._close_intervals(now_s)
        self._delay_s = delay_s
        self._interval.min_delay_s = min(self._interval.min_delay_s, delay_s)

    def _close_intervals(self, now_s: float) -> None:
        n_due = int((now_s - self._interval.start_s) / INTERVAL_S)
        if n_due <= 0:
            return
        self._adjust(self._interval)
        start_s = self._interval.start_s + n_due * INTERVAL_S
        self._interval = _Interval(start_s, self._delay_s)
        if self._delay_s <= DELAY_TARGET_S:
            for _ in range(min(n_due - 1, FULL_RECOVERY_INTERVALS)):
                self._raise_level()

    def _adjust(self, interval: _Interval) -> None:
        if interval.excess > 0.0:
            self._rise = FIRST_RISE
            self._cut_level(interval.n_arrived, interval.excess)
        elif interval.min_delay_s <= DELAY_TARGET_S:
            self._raise_level()

    def _raise_level(self) -> None:
        self._level = min(HIGHEST_LEVEL, self._level + self._rise)
        self._rise = min(HIGHEST_RISE, self._rise * 2.0)

    def _cut_level(self, n_arrived: list[int], excess: float) -> None:
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


def reported_level(depth: int, downstream: float, local: float) -> float:
    """Return the admission level that an answer reports.

    A first hop only gets the level downstream of the upstream it called. The gate of
    that upstream refuses requests before any work is done, and only it knows the
    other requests in its queue; if the first hop applied the level of this gate, it
    could refuse requests that the gate would prefer to others that it still receives.

    Args:
        depth: Number of hops before the call, 0 if a first hop made it.
        downstream: Lowest level that downstream calls reported.
        local: Level of the gate of the called upstream.
    """
    return downstream if depth == 0 else min(downstream, local)


def request_shape(target: str) -> str:
    """Return a pattern that is equal for requests to the same kind of resource.

    Requests of one class may call different downstream services. The pattern tells
    them apart: their path, with ``*`` for each segment that contains a digit, and the
    sorted names of their query parameters.

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
class LevelKey:
    """Call chain to which a level applies.

    Attributes:
        service: Name of the called service.
        class_name: Class of the action.
        shape: Pattern from ``request_shape``, or an empty string for the whole class.
    """

    service: str
    class_name: str
    shape: str = ""

    @property
    def of_class(self) -> LevelKey:
        """Key for all requests of the class."""
        return LevelKey(self.service, self.class_name)


@attrs.frozen
class _LevelReport:
    level: float
    reported_s: float

    def level_at(self, now_s: float) -> float:
        """Return the level at a time; it recovers as the report ages."""
        recovery_s = max(0.0, now_s - self.reported_s - HOLD_S)
        return min(HIGHEST_LEVEL, self.level + recovery_s * RECOVERY_PER_S)


class LevelMap:
    """Admission levels that a daemon received in answers.

    A request is subject to the level of its own shape if one is known, so that
    requests that need no overloaded service are not refused because of others of
    their class. A shape without recent answers has the level of its class.

    The last answer counts. If a service has several upstreams, their levels
    alternate, so that requests are refused in proportion to the overloaded ones.
    """

    def __init__(self) -> None:
        self._by_class: dict[LevelKey, _LevelReport] = {}
        self._by_shape: dict[LevelKey, _LevelReport] = {}

    def note(self, key: LevelKey, level: float, now_s: float) -> None:
        """Record the level that an answer reported.

        Args:
            key: Service, class and shape called.
            level: Lowest level along the chain, from 0 to 8.
            now_s: Monotonic time of the answer in seconds.
        """
        report = _LevelReport(min(max(level, 0.0), HIGHEST_LEVEL), now_s)
        self._by_class[key.of_class] = report
        if not key.shape:
            return
        # The newest entry is last, so that the oldest is evicted.
        self._by_shape.pop(key, None)
        self._by_shape[key] = report
        if len(self._by_shape) > N_SHAPES_MAX:
            del self._by_shape[next(iter(self._by_shape))]

    def level(self, key: LevelKey, now_s: float) -> float:
        """Return the current level; it recovers after the last answer."""
        report = self._by_shape.get(key)
        if report is None or now_s - report.reported_s > SHAPE_MEMORY_S:
            report = self._by_class.get(key.of_class)
        return HIGHEST_LEVEL if report is None else report.level_at(now_s)

    def admits(
        self, key: LevelKey, rank: int, now_s: float, rng: random.Random
    ) -> bool:
        """Return whether a first-hop request may be sent downstream."""
        probability = refusal_probability(rank, self.level(key, now_s))
        return rng.random() >= probability
