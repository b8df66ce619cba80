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


@attrs.frozen
class Figures:
    """Measured goodput and recovery of one run.

    Attributes:
        run: The run.
        steady: Timely share before the trigger.
        after: Timely share in the last bin-lengths of the observation.
        whole: Whole answers during the trigger, by class.
        oracle: Whole answers of the oracle during the trigger, by class.
        endings: How often attempts of the trigger ended in which way.
        recovery_s: Seconds to recovery, or None for none in the observation.
    """

    run: Run
    steady: float
    after: float
    whole: Mapping[str, float]
    oracle: Mapping[str, float]
    endings: Mapping[str, int]
    recovery_s: float | None

    @property
    def protected_ratio(self) -> float:
        """Goodput of the protected classes over the oracle's."""
        return self._ratio(self.run.scenario.protected)

    @property
    def ratio(self) -> float:
        """Goodput of all classes over the oracle's."""
        return self._ratio(self.oracle)

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

    def _ratio(self, classes: Iterable[str]) -> float:
        names = list(classes)
        served = sum(self.whole.get(name, 0.0) for name in names)
        possible = sum(self.oracle.get(name, 0.0) for name in names)
        return served / possible if possible else 1.0


def figures_of(run: Run) -> Figures:
    """Return the figures of a run."""
    timeline = Timeline(run.requests, run.scenario.patience_s)
    steady = run.phases.steady(run.start_s)
    trigger = run.phases.trigger(run.start_s)
    recovery = run.phases.recovery(run.start_s)
    former = timeline.timely_share(steady)
    last = attrs.evolve(recovery, start_s=recovery.end_s - run.phases.recovery_s / 4)
    return Figures(
        run=run,
        steady=former,
        after=timeline.timely_share(last),
        whole=timeline.whole_by_class(trigger),
        oracle=_oracle(run, timeline),
        endings=timeline.endings(trigger),
        recovery_s=recovery_s(timeline, former, recovery),
    )


def _oracle(run: Run, timeline: Timeline) -> dict[str, float]:
    """Return what the oracle brings to its end during the trigger, by class."""
    trigger = run.phases.trigger(run.start_s)
    length_s = run.phases.trigger_s
    begun = timeline.begun_by_class(trigger)
    during_per_s = {name: count / length_s for name, count in begun.items()}
    before_per_s = {
        name: rate_per_s / run.surge for name, rate_per_s in during_per_s.items()
    }
    usual = Capacity.of(run.scenario.deployment)
    slowed = Capacity.of(
        run.scenario.deployment, run.scenario.slow_service, SLOW_FACTOR
    )
    before = _kinds(run, usual, before_per_s)
    during = _kinds(run, slowed, during_per_s)
    served_per_s = serve_by_rank(during, slowed.slots)
    whole: dict[str, float] = {}
    for old, new, rate_per_s in zip(before, during, served_per_s, strict=True):
        count = whole_answers(old, new, rate_per_s, length_s)
        whole[new.class_name] = whole.get(new.class_name, 0.0) + count
    return whole


def _kinds(
    run: Run, capacity: Capacity, rates_per_s: Mapping[str, float]
) -> list[Kind]:
    scenario = run.scenario
    return kinds_of(scenario.load, scenario.ranks, capacity, rates_per_s)
