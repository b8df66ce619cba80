"""Fluid oracle: what a scheduler that knows all capacities could serve."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..action_templates import ActionTemplate, LoadClass
from ..calls import Plan
from ..deployment import Deployment

__all__ = ["Capacity", "Kind", "kinds_of", "serve_by_rank", "whole_answers"]

EXHAUSTED = 1e-9


@attrs.frozen
class Kind:
    """One kind of request in the fluid model.

    Attributes:
        class_name: Class that it is counted under.
        rank: Rank of the class; 0 is served first.
        rate_per_s: Arrivals a second.
        latency_s: Time from start to answer without any waiting.
        demand_s: Seconds of a slot that one request takes, by service.
    """

    class_name: str
    rank: int
    rate_per_s: float
    latency_s: float
    demand_s: Mapping[str, float]


@attrs.frozen
class Capacity:
    """Slots and times of work of a deployment at one moment.

    Attributes:
        slots: Slots of all upstreams of a service, by service.
        work_s: Mean time of the work itself in seconds, by service.
    """

    slots: Mapping[str, float]
    work_s: Mapping[str, float]

    @classmethod
    def of(
        cls, deployment: Deployment, slow_service: str = "", slow_factor: float = 1.0
    ) -> Capacity:
        """Return the capacity of a deployment with one service slowed."""
        services = deployment.services
        slots = {s.name: float(s.n_upstreams * deployment.slots(s)) for s in services}
        work_s = {s.name: s.work_s for s in services}
        if slow_service:
            work_s[slow_service] *= slow_factor
        return cls(slots, work_s)

    def latency_s(self, service: str, plan: Plan) -> float:
        """Return the time of a request without waiting, in seconds.

        An upstream holds its slot while it waits for its children, which run
        side by side.
        """
        below = [
            self.latency_s(step.service, _plan_below(plan, position))
            for position, step in enumerate(plan.downstream_steps)
        ]
        return self.work_s[service] + max(below, default=0.0)

    def demand_s(self, service: str, plan: Plan) -> dict[str, float]:
        """Return the seconds of slots that a request takes, by service."""
        demand_s = {service: self.latency_s(service, plan)}
        for position, step in enumerate(plan.downstream_steps):
            below = self.demand_s(step.service, _plan_below(plan, position))
            for name, seconds in below.items():
                demand_s[name] = demand_s.get(name, 0.0) + seconds
        return demand_s


def kinds_of(
    load: Iterable[LoadClass],
    ranks: Mapping[str, int],
    capacity: Capacity,
    rates_per_s: Mapping[str, float],
) -> list[Kind]:
    """Return the kinds of a load.

    Args:
        load: What arrives; each send of a class is as likely as the next.
        ranks: Ranks by class.
        capacity: Times of work at the moment.
        rates_per_s: Arrivals a second by class.
    """
    by_class: dict[str, list[ActionTemplate]] = {}
    for load_class in load:
        for send in load_class.templates:
            by_class.setdefault(send.class_name, []).append(send)
    return [
        Kind(
            class_name=name,
            rank=ranks[name],
            rate_per_s=rates_per_s.get(name, 0.0) / len(sends),
            latency_s=capacity.latency_s(send.service, send.plan),
            demand_s=capacity.demand_s(send.service, send.plan),
        )
        for name, sends in by_class.items()
        for send in sends
    ]


def serve_by_rank(kinds: Sequence[Kind], slots: Mapping[str, float]) -> list[float]:
    """Return the rate at which each kind is served, rank by rank.

    Within a rank the served shares of all kinds rise together; a kind stops where
    a service that it needs has no slots left.

    Source: progressive filling for max-min fairness (Bertsekas and Gallager, Data
    Networks).
    """
    left = dict(slots)
    shares = [0.0] * len(kinds)
    for rank in sorted({kind.rank for kind in kinds}):
        _fill(rank, kinds, shares, left)
    return [share * kind.rate_per_s for share, kind in zip(shares, kinds, strict=True)]


def whole_answers(
    before: Kind, during: Kind, served_per_s: float, window_s: float
) -> float:
    """Return the whole answers of a kind in a window that begins with a change.

    What was under way at the change ends at the former pace; what starts after it
    ends a latency later.

    Args:
        before: The kind before the change, all of it served.
        during: The kind after the change.
        served_per_s: Rate at which it is served after the change.
        window_s: Length of the window in seconds.
    """
    n_under_way = before.rate_per_s * before.latency_s
    return n_under_way + served_per_s * max(0.0, window_s - during.latency_s)


def _fill(
    rank: int, kinds: Sequence[Kind], shares: list[float], left: dict[str, float]
) -> None:
    rising = {n for n, kind in enumerate(kinds) if kind.rank == rank}
    while rising:
        rising -= {n for n in rising if _is_blocked(kinds[n], left)}
        step = _step(rising, kinds, shares, left)
        for number in rising:
            shares[number] += step
            kind = kinds[number]
            for service, seconds in kind.demand_s.items():
                left[service] -= step * kind.rate_per_s * seconds
        rising -= {n for n in rising if shares[n] >= 1.0 - EXHAUSTED}


def _step(
    rising: set[int],
    kinds: Sequence[Kind],
    shares: Sequence[float],
    left: Mapping[str, float],
) -> float:
    pull: dict[str, float] = {}
    for number in rising:
        for service, seconds in kinds[number].demand_s.items():
            taken = kinds[number].rate_per_s * seconds
            pull[service] = pull.get(service, 0.0) + taken
    steps = [left[name] / taken for name, taken in pull.items() if taken > 0.0]
    steps += [1.0 - shares[number] for number in rising]
    return min(steps, default=0.0)


def _is_blocked(kind: Kind, left: Mapping[str, float]) -> bool:
    return any(
        seconds > 0.0 and left[service] <= EXHAUSTED
        for service, seconds in kind.demand_s.items()
    )


def _plan_below(plan: Plan, position: int) -> Plan:
    is_chain = bool(plan.chain) and position == 0
    return Plan(chain=plan.chain[1:]) if is_chain else Plan()
