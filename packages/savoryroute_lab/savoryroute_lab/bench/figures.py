"""Figures of a run: goodput compared with the oracle, and recovery time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import attrs

from .fleet import Run
from .fluid import Capacity, Flow, complete_answers, flows_of, serve_by_rank
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
        after: Timely share in the last quarter of the recovery phase.
        complete: Complete answers during the trigger, by class.
        oracle: Complete answers of the oracle during the trigger, by class.
        settled_complete: Complete answers from ``SETTLED_AFTER_S`` after the start of
            the trigger to its end, by class.
        settled_oracle: Complete answers of the oracle in the same window, by class.
        endings: Attempts sent during the trigger, by class and result.
        recovery_s: Seconds to recovery, or None if the run did not recover.
    """

    run: Run
    steady: float
    after: float
    complete: Mapping[str, float]
    oracle: Mapping[str, float]
    settled_complete: Mapping[str, float]
    settled_oracle: Mapping[str, float]
    endings: Mapping[str, int]
    recovery_s: float | None

    @property
    def protected_ratio(self) -> float:
        """Ratio of the protected classes' goodput to the oracle's."""
        return _ratio(self.complete, self.oracle, self.run.scenario.protected)

    @property
    def settled_protected_ratio(self) -> float:
        """Protected ratio once requests from before the trigger have ended."""
        protected = self.run.scenario.protected
        return _ratio(self.settled_complete, self.settled_oracle, protected)

    @property
    def ratio(self) -> float:
        """Ratio of all classes' goodput to the oracle's."""
        return _ratio(self.complete, self.oracle, self.oracle)

    @property
    def is_recovered_in_time(self) -> bool:
        """Whether the run recovered within ``RECOVERY_TARGET_S``."""
        return self.recovery_s is not None and self.recovery_s <= RECOVERY_TARGET_S

    @property
    def meets_targets(self) -> bool:
        """Whether goodput, protected goodput and recovery meet the users' targets."""
        has_goodput = self.ratio >= GOODPUT_TARGET
        is_protected = self.protected_ratio >= PROTECTED_TARGET
        return has_goodput and is_protected and self.is_recovered_in_time


def figures_of(run: Run) -> Figures:
    """Return the figures of a run."""
    timeline = Timeline(run.requests, run.scenario.latency_limits_s)
    steady = run.phases.steady(run.start_s)
    trigger = run.phases.trigger(run.start_s)
    recovery = run.phases.recovery(run.start_s)
    baseline = timeline.timely_share(steady)
    last = attrs.evolve(recovery, start_s=recovery.end_s - run.phases.recovery_s / 4)
    settled = attrs.evolve(trigger, start_s=trigger.start_s + SETTLED_AFTER_S)
    oracle = _oracle(run, timeline)
    return Figures(
        run=run,
        steady=baseline,
        after=timeline.timely_share(last),
        complete=timeline.complete_by_class(trigger),
        oracle=oracle.complete(run.phases.trigger_s),
        settled_complete=timeline.complete_by_class(settled),
        settled_oracle=oracle.settled(settled.end_s - settled.start_s),
        endings=timeline.endings(trigger),
        recovery_s=recovery_s(timeline, baseline, recovery),
    )


def _ratio(
    complete: Mapping[str, float], oracle: Mapping[str, float], classes: Iterable[str]
) -> float:
    names = list(classes)
    served = sum(complete.get(name, 0.0) for name in names)
    possible = sum(oracle.get(name, 0.0) for name in names)
    return served / possible if possible else 1.0


@attrs.frozen
class _Oracle:
    """What the oracle serves during the trigger.

    Attributes:
        before: Flows before the trigger.
        during: Flows during the trigger.
        served_per_s: Requests served per second during the trigger, by flow.
    """

    before: list[Flow]
    during: list[Flow]
    served_per_s: list[float]

    def complete(self, window_s: float) -> dict[str, float]:
        """Return the complete answers by class in a window from the trigger's start."""
        counts: dict[str, float] = {}
        for old, new, rate_per_s in zip(
            self.before, self.during, self.served_per_s, strict=True
        ):
            count = complete_answers(old, new, rate_per_s, window_s)
            counts[new.class_name] = counts.get(new.class_name, 0.0) + count
        return counts

    def settled(self, window_s: float) -> dict[str, float]:
        """Return the complete answers by class in a window without a change."""
        counts: dict[str, float] = {}
        for flow, rate_per_s in zip(self.during, self.served_per_s, strict=True):
            name = flow.class_name
            counts[name] = counts.get(name, 0.0) + rate_per_s * window_s
        return counts


def _oracle(run: Run, timeline: Timeline) -> _Oracle:
    started = timeline.started_by_class(run.phases.trigger(run.start_s))
    during_per_s = {
        name: count / run.phases.trigger_s for name, count in started.items()
    }
    before_per_s = {
        name: rate_per_s / run.surge for name, rate_per_s in during_per_s.items()
    }
    deployment = run.scenario.deployment
    normal = Capacity.of(deployment)
    slowed = Capacity.of(deployment, run.scenario.slow_service, SLOW_FACTOR)
    during = _flows(run, slowed, during_per_s)
    served_per_s = serve_by_rank(during, slowed.slots)
    return _Oracle(_flows(run, normal, before_per_s), during, served_per_s)


def _flows(
    run: Run, capacity: Capacity, rates_per_s: Mapping[str, float]
) -> list[Flow]:
    scenario = run.scenario
    return flows_of(scenario.load, scenario.ranks, capacity, rates_per_s)
