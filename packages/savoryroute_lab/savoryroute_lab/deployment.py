"""Deployments of the two example businesses: hosts, services, classes and routes."""

from __future__ import annotations

import attrs

__all__ = [
    "DEEP_SOUTH",
    "NAIROBI",
    "ClassSpec",
    "Deployment",
    "RouteSpec",
    "ServiceSpec",
    "UpstreamSpec",
]

QUEUE_PER_SLOT = 2
LEAF_WORK_S = 0.04


@attrs.frozen
class ClassSpec:
    """Class of calls; rank 0 has the highest priority and is refused last."""

    name: str
    rank: int
    queue_timeout_ms: int
    timeout_ms: int
    allowance: int = 64


@attrs.frozen
class RouteSpec:
    """Route of a service: the method and the path prefix determine the class."""

    method: str
    path: str
    class_name: str
    idempotent: bool = True


@attrs.frozen
class ServiceSpec:
    """Service, with the number and the capacity of its upstreams."""

    name: str
    n_upstreams: int
    slots: int
    connections: int
    routes: tuple[RouteSpec, ...]
    work_s: float = 0.01


@attrs.frozen
class UpstreamSpec:
    """Upstream host, with its failure domain and its capacity after scaling."""

    host: str
    service: ServiceSpec
    failure_domain: str
    slots: int
    connections: int


@attrs.frozen
class Deployment:
    """All services of one business.

    Attributes:
        region: Region of all failure domains.
        failure_domains: Names of the failure domains.
        services: Services; upstreams are assigned to failure domains in turn.
        classes: Classes of calls.
        scale: Factor on slots and connections.
    """

    region: str
    failure_domains: tuple[str, ...]
    services: tuple[ServiceSpec, ...]
    classes: tuple[ClassSpec, ...]
    scale: float = 1.0

    def scaled(self, scale: float) -> Deployment:
        """Return this deployment with another factor on slots and connections."""
        return attrs.evolve(self, scale=scale)

    def service(self, name: str) -> ServiceSpec:
        """Return the service with a name.

        Raises:
            KeyError: No service has this name.
        """
        for service in self.services:
            if service.name == name:
                return service
        raise KeyError(name)

    def slots(self, service: ServiceSpec) -> int:
        """Return the number of slots of each upstream of a service."""
        return max(1, round(service.slots * self.scale))

    def connections(self, service: ServiceSpec) -> int:
        """Return the connection limit of each upstream of a service."""
        return max(8, round(service.connections * self.scale))

    @property
    def upstreams(self) -> list[UpstreamSpec]:
        """All upstream hosts."""
        return [
            self._upstream(service, number)
            for service in self.services
            for number in range(service.n_upstreams)
        ]

    def document(self, environment: str, version: int) -> dict[str, object]:
        """Return the environment document as values that JSON can encode."""
        domains = {name: {"region": self.region} for name in self.failure_domains}
        return {
            "environment": environment,
            "version": version,
            "failure_domains": domains,
            "classes": {spec.name: _class_entry(spec) for spec in self.classes},
            "services": {spec.name: self._service(spec) for spec in self.services},
            "retries": {
                "budget_ratio": 0.1,
                "budget_minimum_per_s": 1.0,
                "attempts_per_hop": 3,
            },
            "ejection": {"maximum_fraction": 0.34, "base_s": 2.0},
            "quarantine": {"crashes": 2, "duration_s": 60.0},
            "spill_over": {"enabled": True},
        }

    def _upstream(self, service: ServiceSpec, number: int) -> UpstreamSpec:
        domain = self.failure_domains[number % len(self.failure_domains)]
        return UpstreamSpec(
            host=f"{self.region}-{service.name}-{number + 1}",
            service=service,
            failure_domain=domain,
            slots=self.slots(service),
            connections=self.connections(service),
        )

    def _service(self, service: ServiceSpec) -> dict[str, object]:
        slots = self.slots(service)
        return {
            "slots": slots,
            "connections": self.connections(service),
            "limit": {"kind": "gradient", "minimum": min(4, slots)},
            "queue_length": QUEUE_PER_SLOT * slots,
            "shed_statuses": [503],
            "request_bytes": 1 << 20,
            "answer_bytes": 4 << 20,
            "routes": [_route_entry(route) for route in service.routes],
        }


def _class_entry(spec: ClassSpec) -> dict[str, object]:
    return {
        "rank": spec.rank,
        "patience_ms": spec.queue_timeout_ms,
        "timeout_ms": spec.timeout_ms,
        "allowance": spec.allowance,
    }


def _route_entry(route: RouteSpec) -> dict[str, object]:
    return {
        "method": route.method,
        "path": route.path,
        "class": route.class_name,
        "idempotent": route.idempotent,
    }


NAIROBI = Deployment(
    region="nairobi",
    failure_domains=("nairobi-a", "nairobi-b", "nairobi-c"),
    classes=(
        ClassSpec("print_order", 0, 4000, 8000),
        ClassSpec("crew_booking", 0, 4000, 8000),
        ClassSpec("cancellation", 0, 4000, 8000),
        ClassSpec("plan_view", 2, 500, 3000),
        ClassSpec("catalogue_view", 3, 300, 2000),
    ),
    services=(
        ServiceSpec(
            "planner",
            4,
            170,
            1100,
            (
                RouteSpec("GET", "/plans/", "plan_view"),
                RouteSpec("GET", "/", "plan_view"),
            ),
        ),
        ServiceSpec(
            "printshop",
            3,
            220,
            1400,
            (
                RouteSpec("POST", "/orders", "print_order", idempotent=False),
                RouteSpec("DELETE", "/orders/", "cancellation", idempotent=False),
                RouteSpec("POST", "/cancellations", "cancellation", idempotent=False),
                RouteSpec("GET", "/", "plan_view"),
            ),
        ),
        ServiceSpec(
            "catalogue",
            3,
            220,
            1400,
            (RouteSpec("GET", "/", "catalogue_view"),),
        ),
        ServiceSpec(
            "crews",
            3,
            40,
            340,
            (
                RouteSpec("POST", "/bookings", "crew_booking", idempotent=False),
                RouteSpec("DELETE", "/bookings/", "cancellation", idempotent=False),
                RouteSpec("POST", "/cancellations", "cancellation", idempotent=False),
                RouteSpec("GET", "/", "plan_view"),
            ),
            LEAF_WORK_S,
        ),
    ),
)

DEEP_SOUTH = Deployment(
    region="deep-south",
    failure_domains=("yard-1", "yard-2", "yard-3", "yard-4"),
    classes=(
        ClassSpec("pour_booking", 0, 4000, 8000),
        ClassSpec("cancellation", 0, 4000, 8000),
        ClassSpec("dispatch_status", 1, 1000, 4000),
        ClassSpec("ticket_lookup", 2, 500, 3000),
        ClassSpec("price_check", 3, 300, 2000),
    ),
    services=(
        ServiceSpec(
            "counter",
            4,
            75,
            550,
            (
                RouteSpec("GET", "/prices/", "price_check"),
                RouteSpec("GET", "/", "price_check"),
            ),
        ),
        ServiceSpec(
            "booking",
            4,
            75,
            550,
            (
                RouteSpec("POST", "/pours", "pour_booking", idempotent=False),
                RouteSpec("DELETE", "/loads/", "cancellation", idempotent=False),
                RouteSpec("GET", "/", "ticket_lookup"),
            ),
        ),
        ServiceSpec(
            "tickets",
            5,
            60,
            460,
            (
                RouteSpec("GET", "/tickets/", "ticket_lookup"),
                RouteSpec("GET", "/", "ticket_lookup"),
            ),
        ),
        ServiceSpec(
            "dispatch",
            4,
            17,
            200,
            (
                RouteSpec("GET", "/status", "dispatch_status"),
                RouteSpec("GET", "/", "dispatch_status"),
            ),
            LEAF_WORK_S,
        ),
    ),
)
