"""Figures of a run: goodput beside the oracle, and recovery."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from .fleet import Run
from .fluid import Capacity, Kind, kinds_of, serve_by_rank, whole_answers
from .recovery import Timeline, recovery_s
from .scenario import SLOW_FACTOR

__all__ = [
    "GOODPUT_TARGET",
    "PROTECTED_TARGET",
    "RECOVERY_TARGET_S",
    "Figures",
    "figures_of",
]

PROTECTED_TARGET = 0.99
GOODPUT_TARGET = 0.90
RECOVERY_TARGET_S = 5.0
SETTLED_AFTER_S = 2.0


@attrs.frozen
class Figures:
    """Measured goodput and recovery of one run.

    Attributes:
        run: The run.
        steady: Timely share before the trigger.
        after: Timely share in the last bin-lengths of the observation.
        whole: Whole answers during the trigger, by class.
        oracle: Whole answers of the oracle during the trigger, by class.
        settled_whole: Whole answers once the trigger has lasted ``SETTLED_AFTER_S``.
        settled_oracle: The oracle's for the same time.
        endings: How often attempts of the trigger ended in which way.
        recovery_s: Seconds to recovery, or None for none in the observation.
    """

    run: Run
    steady: float
    after: float
    whole: Mapping[str, float]
    oracle: Mapping[str, float]
    settled_whole: Mapping[str, float]
    settled_oracle: Mapping[str, float]
    endings: Mapping[str, int]
    recovery_s: float | None

    @property
    def protected_ratio(self) -> float:
        """Goodput of the protected classes over the oracle's."""
        return _ratio(self.whole, self.oracle, self.run.scenario.protected)

    @property
    def settled_protected_ratio(self) -> float:
        """The same once what had started before the trigger has ended."""
        protected = self.run.scenario.protected
        return _ratio(self.settled_whole, self.settled_oracle, protected)

    @property
    def ratio(self) -> float:
        """Goodput of all classes over the oracle's."""
        return _ratio(self.whole, self.oracle, self.oracle)

    @property
    def is_recovered_in_time(self) -> bool:
        """Whether recovery came within the target."""
        return self.recovery_s is not None and self.recovery_s <= RECOVERY_TARGET_S

    @property
    def meets_targets(self) -> bool:
        """Whether all targets of the users are met."""
        has_goodput = self.ratio >= GOODPUT_TARGET
        is_protected = self.protected_ratio >= PROTECTED_TARGET
        return has_goodput and is_protected and self.is_recovered_in_time


def figures_of(run: Run) -> Figures:
    """Return the figures of a run."""
    timeline = Timeline(run.requests, run.scenario.patience_s)
    steady = run.phases.steady(run.start_s)
    trigger = run.phases.trigger(run.start_s)
    recovery = run.phases.recovery(run.start_s)
    former = timeline.timely_share(steady)
    last = attrs.evolve(recovery, start_s=recovery.end_s - run.phases.recovery_s / 4)
    settled = attrs.evolve(trigger, start_s=trigger.start_s + SETTLED_AFTER_S)
    oracle = _oracle(run, timeline)
    return Figures(
        run=run,
        steady=former,
        after=timeline.timely_share(last),
        whole=timeline.whole_by_class(trigger),
        oracle=oracle.whole(run.phases.trigger_s),
        settled_whole=timeline.whole_by_class(settled),
        settled_oracle=oracle.settled(settled.end_s - settled.start_s),
        endings=timeline.endings(trigger),
        recovery_s=recovery_s(timeline, former, recovery),
    )


def _ratio(
    whole: Mapping[str, float], oracle: Mapping[str, float], classes: Iterable[str]
) -> float:
    names = list(classes)
    served = sum(whole.get(name, 0.0) for name in names)
    possible = sum(oracle.get(name, 0.0) for name in names)
    return served / possible if possible else 1.0


@attrs.frozen
class _Oracle:
    """What the oracle serves during the trigger.

    Attributes:
        before: Kinds before the trigger.
        during: Kinds during the trigger.
        served_per_s: Rate at which each kind is served during the trigger.
    """

    before: list[Kind]
    during: list[Kind]
    served_per_s: list[float]

    def whole(self, window_s: float) -> dict[str, float]:
        """Return the whole answers by class in a window from the trigger's start."""
        counts: dict[str, float] = {}
        for old, new, rate_per_s in zip(
            self.before, self.during, self.served_per_s, strict=True
        ):
            count = whole_answers(old, new, rate_per_s, window_s)
            counts[new.class_name] = counts.get(new.class_name, 0.0) + count
        return counts

    def settled(self, window_s: float) -> dict[str, float]:
        """Return the whole answers by class in a window without a change."""
        counts: dict[str, float] = {}
        for kind, rate_per_s in zip(self.during, self.served_per_s, strict=True):
            name = kind.class_name
            counts[name] = counts.get(name, 0.0) + rate_per_s * window_s
        return counts


def _oracle(run: Run, timeline: Timeline) -> _Oracle:
    begun = timeline.begun_by_class(run.phases.trigger(run.start_s))
    during_per_s = {name: count / run.phases.trigger_s for name, count in begun.items()}
    before_per_s = {
        name: rate_per_s / run.surge for name, rate_per_s in during_per_s.items()
    }
    deployment = run.scenario.deployment
    usual = Capacity.of(deployment)
    slowed = Capacity.of(deployment, run.scenario.slow_service, SLOW_FACTOR)
    during = _kinds(run, slowed, during_per_s)
    served_per_s = serve_by_rank(during, slowed.slots)
    return _Oracle(_kinds(run, usual, before_per_s), during, served_per_s)


def _kinds(
    run: Run, capacity: Capacity, rates_per_s: Mapping[str, float]
) -> list[Kind]:
    scenario = run.scenario
    return kinds_of(scenario.load, scenario.ranks, capacity, rates_per_s)
