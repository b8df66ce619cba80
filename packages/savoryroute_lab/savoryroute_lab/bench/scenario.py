"""Scenarios: deployments scaled to one machine, their load and phases."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from ..action_templates import ActionTemplate, LoadClass
from ..deployment import DEEP_SOUTH, LEAF_WORK_S, NAIROBI, Deployment, ServiceSpec
from ..report import Window
from ..workloads import DEEP_SOUTH_LOAD, NAIROBI_LOAD

__all__ = ["SCENARIOS", "SLOW_FACTOR", "Phases", "Scenario"]

SLOW_FACTOR = 4.0
SLOW_WORK_S = 0.25
RATE_FACTOR = 1.6
MAXIMUM_SENDS = 4
PROTECTED_RANK = 1


@attrs.frozen
class Phases:
    """Lengths of the phases of one run in seconds."""

    steady_s: float = 3.0
    trigger_s: float = 6.0
    recovery_s: float = 8.0

    @property
    def total_s(self) -> float:
        """Time during which load arrives."""
        return self.steady_s + self.trigger_s + self.recovery_s

    def surge(self, time_s: float, factor: float) -> float:
        """Return the factor on demand at a time since the start."""
        is_trigger = self.steady_s <= time_s < self.steady_s + self.trigger_s
        return factor if is_trigger else 1.0

    def steady(self, start_s: float) -> Window:
        """Return the window before the trigger."""
        return Window(start_s, start_s + self.steady_s)

    def trigger(self, start_s: float) -> Window:
        """Return the window of the trigger."""
        begin_s = start_s + self.steady_s
        return Window(begin_s, begin_s + self.trigger_s)

    def recovery(self, start_s: float) -> Window:
        """Return the window after the trigger."""
        begin_s = start_s + self.steady_s + self.trigger_s
        return Window(begin_s, begin_s + self.recovery_s)


@attrs.frozen
class Scenario:
    """One deployment with its load and its deep service.

    Attributes:
        deployment: Deployment, scaled.
        load: Load below capacity; the surge multiplies it.
        slow_service: Service that the trigger slows.
    """

    deployment: Deployment
    load: Sequence[LoadClass]
    slow_service: str

    @property
    def name(self) -> str:
        """Name in the report."""
        return self.deployment.region

    @property
    def ranks(self) -> dict[str, int]:
        """Ranks by class."""
        return {spec.name: spec.rank for spec in self.deployment.classes}

    @property
    def protected(self) -> set[str]:
        """Classes that are refused last."""
        return {name for name, rank in self.ranks.items() if rank <= PROTECTED_RANK}

    @property
    def patience_s(self) -> Mapping[str, float]:
        """Seconds within which a first send has to be answered, by class."""
        return {
            send.class_name: send.timeout_s + send.grace_s
            for load_class in self.load
            for send in load_class.templates
        }


def _scenario(
    deployment: Deployment, load: Sequence[LoadClass], scale: float, slow_service: str
) -> Scenario:
    services = tuple(_with_longer_work(spec) for spec in deployment.services)
    scaled = attrs.evolve(deployment, services=services).scaled(scale)
    return Scenario(scaled, [_scaled(item) for item in load], slow_service)


def _with_longer_work(spec: ServiceSpec) -> ServiceSpec:
    """Return the service; longer work on fewer slots spares the machine."""
    is_deep = spec.work_s == LEAF_WORK_S
    return attrs.evolve(spec, work_s=SLOW_WORK_S) if is_deep else spec


def _scaled(load_class: LoadClass) -> LoadClass:
    sends = tuple(_bounded(send) for send in load_class.templates)
    return LoadClass(load_class.rate_per_s * RATE_FACTOR, sends)


def _bounded(send: ActionTemplate) -> ActionTemplate:
    return attrs.evolve(send, max_attempts=MAXIMUM_SENDS, retries_failed=True)


SCENARIOS = (
    _scenario(NAIROBI, NAIROBI_LOAD, 0.1, "crews"),
    _scenario(DEEP_SOUTH, DEEP_SOUTH_LOAD, 0.2, "dispatch"),
)
