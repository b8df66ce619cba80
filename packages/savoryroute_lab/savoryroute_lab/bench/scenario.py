"""Scenarios of the benchmark: scaled deployments, their load and phases."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from ..action_templates import ActionTemplate, LoadClass
from ..deployment import DEEP_SOUTH, LEAF_WORK_S, NAIROBI, Deployment, ServiceSpec
from ..report import Window
from ..workloads import DEEP_SOUTH_LOAD, NAIROBI_LOAD

__all__ = ["SCENARIOS", "SLOW_FACTOR", "Phases", "Scenario"]

SLOW_FACTOR = 4.0
LONG_LEAF_WORK_S = 0.25
RATE_FACTOR = 1.6
MAX_ATTEMPTS = 4
PROTECTED_RANK = 1


@attrs.frozen
class Phases:
    """Durations of the phases of one run.

    Attributes:
        steady_s: Seconds at normal load.
        trigger_s: Seconds with a surge of demand and a slowed service.
        recovery_s: Seconds of observation after the trigger.
    """

    steady_s: float = 3.0
    trigger_s: float = 6.0
    recovery_s: float = 8.0

    @property
    def total_s(self) -> float:
        """Seconds during which requests arrive."""
        return self.steady_s + self.trigger_s + self.recovery_s

    def surge(self, time_s: float, factor: float) -> float:
        """Return the factor on demand at a time in seconds since the start."""
        is_trigger = self.steady_s <= time_s < self.steady_s + self.trigger_s
        return factor if is_trigger else 1.0

    def steady(self, start_s: float) -> Window:
        """Return the window before the trigger of a run that began at ``start_s``."""
        return Window(start_s, start_s + self.steady_s)

    def trigger(self, start_s: float) -> Window:
        """Return the window of the trigger of a run that began at ``start_s``."""
        begin_s = start_s + self.steady_s
        return Window(begin_s, begin_s + self.trigger_s)

    def recovery(self, start_s: float) -> Window:
        """Return the window after the trigger of a run that began at ``start_s``."""
        begin_s = start_s + self.steady_s + self.trigger_s
        return Window(begin_s, begin_s + self.recovery_s)


@attrs.frozen
class Scenario:
    """One deployment with its load and the downstream service that is slowed.

    Attributes:
        deployment: Deployment, scaled to run on one machine.
        load: Load below capacity; the surge multiplies its rates.
        slow_service: Service that is slowed by ``SLOW_FACTOR`` during the trigger.
    """

    deployment: Deployment
    load: Sequence[LoadClass]
    slow_service: str

    @property
    def name(self) -> str:
        """Name of the scenario in the report."""
        return self.deployment.region

    @property
    def ranks(self) -> dict[str, int]:
        """Ranks by class."""
        return {spec.name: spec.rank for spec in self.deployment.classes}

    @property
    def protected(self) -> set[str]:
        """Classes up to ``PROTECTED_RANK``, which are refused last."""
        return {name for name, rank in self.ranks.items() if rank <= PROTECTED_RANK}

    @property
    def latency_limits_s(self) -> Mapping[str, float]:
        """Latency in seconds up to which an answer counts as timely, by class."""
        return {
            template.class_name: template.timeout_s + template.grace_s
            for load_class in self.load
            for template in load_class.templates
        }


def _scenario(
    deployment: Deployment, load: Sequence[LoadClass], scale: float, slow_service: str
) -> Scenario:
    services = tuple(_with_longer_work(spec) for spec in deployment.services)
    scaled = attrs.evolve(deployment, services=services).scaled(scale)
    return Scenario(scaled, [_scaled(item) for item in load], slow_service)


def _with_longer_work(spec: ServiceSpec) -> ServiceSpec:
    """Return a leaf service with longer work, others unchanged.

    Longer work on fewer slots gives the same utilization at a lower call rate, and so
    uses less processor time.
    """
    is_leaf = spec.work_s == LEAF_WORK_S
    return attrs.evolve(spec, work_s=LONG_LEAF_WORK_S) if is_leaf else spec


def _scaled(load_class: LoadClass) -> LoadClass:
    templates = tuple(_with_retries(template) for template in load_class.templates)
    return LoadClass(load_class.rate_per_s * RATE_FACTOR, templates)


def _with_retries(template: ActionTemplate) -> ActionTemplate:
    return attrs.evolve(template, max_attempts=MAX_ATTEMPTS, retries_failed=True)


SCENARIOS = (
    _scenario(NAIROBI, NAIROBI_LOAD, 0.1, "crews"),
    _scenario(DEEP_SOUTH, DEEP_SOUTH_LOAD, 0.2, "dispatch"),
)
