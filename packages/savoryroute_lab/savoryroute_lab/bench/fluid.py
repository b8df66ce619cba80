"""Fluid model of a scheduler that knows all capacities, as an oracle of goodput."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

import attrs

from ..action_templates import ActionTemplate, LoadClass
from ..calls import Plan
from ..deployment import Deployment

__all__ = ["Capacity", "Flow", "complete_answers", "flows_of", "serve_by_rank"]

TOLERANCE = 1e-9


@attrs.frozen
class Flow:
    """Requests of one template as a flow in the fluid model.

    Attributes:
        class_name: Class of the requests.
        rank: Rank of the class; 0 is served first.
        rate_per_s: Arrivals per second.
        latency_s: Seconds from start to answer without queueing.
        demand_s: Seconds that one request occupies a slot, by service.
    """

    class_name: str
    rank: int
    rate_per_s: float
    latency_s: float
    demand_s: Mapping[str, float]


@attrs.frozen
class Capacity:
    """Slots and processing times of a deployment.

    Attributes:
        slots: Slots of all upstreams of a service, by service.
        work_s: Mean processing time in seconds without downstream calls, by service.
    """

    slots: Mapping[str, float]
    work_s: Mapping[str, float]

    @classmethod
    def of(
        cls, deployment: Deployment, slow_service: str = "", slow_factor: float = 1.0
    ) -> Capacity:
        """Return the capacity of a deployment.

        Args:
            deployment: Deployment with its services.
            slow_service: Service that is slowed; empty for none.
            slow_factor: Factor on the processing time of that service.
        """
        services = deployment.services
        slots = {s.name: float(s.n_upstreams * deployment.slots(s)) for s in services}
        work_s = {s.name: s.work_s for s in services}
        if slow_service:
            work_s[slow_service] *= slow_factor
        return cls(slots, work_s)

    def latency_s(self, service: str, plan: Plan) -> float:
        """Return the latency of a request without queueing, in seconds.

        An upstream occupies its slot while it waits for its downstream calls, which run
        concurrently.
        """
        downstream = [
            self.latency_s(step.service, _downstream_plan(plan, position))
            for position, step in enumerate(plan.downstream_steps)
        ]
        return self.work_s[service] + max(downstream, default=0.0)

    def demand_s(self, service: str, plan: Plan) -> dict[str, float]:
        """Return the seconds that a request occupies slots, by service."""
        demand_s = {service: self.latency_s(service, plan)}
        for position, step in enumerate(plan.downstream_steps):
            downstream = self.demand_s(step.service, _downstream_plan(plan, position))
            for name, seconds in downstream.items():
                demand_s[name] = demand_s.get(name, 0.0) + seconds
        return demand_s


def flows_of(
    load: Iterable[LoadClass],
    ranks: Mapping[str, int],
    capacity: Capacity,
    rates_per_s: Mapping[str, float],
) -> list[Flow]:
    """Return the flows of a load, one for each template.

    Args:
        load: Templates by class; those of one class are equally likely.
        ranks: Ranks by class.
        capacity: Current processing times.
        rates_per_s: Arrivals per second by class.
    """
    by_class: dict[str, list[ActionTemplate]] = {}
    for load_class in load:
        for template in load_class.templates:
            by_class.setdefault(template.class_name, []).append(template)
    return [
        Flow(
            class_name=name,
            rank=ranks[name],
            rate_per_s=rates_per_s.get(name, 0.0) / len(templates),
            latency_s=capacity.latency_s(template.service, template.plan),
            demand_s=capacity.demand_s(template.service, template.plan),
        )
        for name, templates in by_class.items()
        for template in templates
    ]


def serve_by_rank(flows: Sequence[Flow], slots: Mapping[str, float]) -> list[float]:
    """Return the served requests per second of each flow, better ranks first.

    Within a rank the served shares of all flows rise together; the share of a flow
    stops rising when a service that it needs has no free slots.

    Source: progressive filling for max-min fairness (Bertsekas and Gallager, Data
    Networks).
    """
    free_slots = dict(slots)
    shares = [0.0] * len(flows)
    for rank in sorted({flow.rank for flow in flows}):
        _fill_rank(rank, flows, shares, free_slots)
    return [share * flow.rate_per_s for share, flow in zip(shares, flows, strict=True)]


def complete_answers(
    before: Flow, during: Flow, served_per_s: float, window_s: float
) -> float:
    """Return the complete answers of a flow in a window that begins with a change.

    Requests in flight at the change are all answered; requests that start after it are
    answered one latency later.

    Args:
        before: The flow before the change, fully served.
        during: The flow after the change.
        served_per_s: Requests served per second after the change.
        window_s: Length of the window in seconds.
    """
    n_in_flight = before.rate_per_s * before.latency_s
    return n_in_flight + served_per_s * max(0.0, window_s - during.latency_s)


def _fill_rank(
    rank: int, flows: Sequence[Flow], shares: list[float], free_slots: dict[str, float]
) -> None:
    active = {n for n, flow in enumerate(flows) if flow.rank == rank}
    while active:
        active -= {n for n in active if _is_blocked(flows[n], free_slots)}
        step = _next_increment(active, flows, shares, free_slots)
        for number in active:
            shares[number] += step
            flow = flows[number]
            for service, seconds in flow.demand_s.items():
                free_slots[service] -= step * flow.rate_per_s * seconds
        active -= {n for n in active if shares[n] >= 1.0 - TOLERANCE}


def _next_increment(
    active: set[int],
    flows: Sequence[Flow],
    shares: Sequence[float],
    free_slots: Mapping[str, float],
) -> float:
    slots_per_share: dict[str, float] = {}
    for number in active:
        for service, seconds in flows[number].demand_s.items():
            n_slots = flows[number].rate_per_s * seconds
            slots_per_share[service] = slots_per_share.get(service, 0.0) + n_slots
    steps = [
        free_slots[name] / n_slots
        for name, n_slots in slots_per_share.items()
        if n_slots > 0.0
    ]
    steps += [1.0 - shares[number] for number in active]
    return min(steps, default=0.0)


def _is_blocked(flow: Flow, free_slots: Mapping[str, float]) -> bool:
    return any(
        seconds > 0.0 and free_slots[service] <= TOLERANCE
        for service, seconds in flow.demand_s.items()
    )


def _downstream_plan(plan: Plan, position: int) -> Plan:
    is_chain = bool(plan.chain) and position == 0
    return Plan(chain=plan.chain[1:]) if is_chain else Plan()
