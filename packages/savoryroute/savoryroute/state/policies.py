"""What an environment document says, as typed objects."""

from __future__ import annotations

import urllib.parse

import attrs

__all__ = [
    "ClassPolicy",
    "EjectionPolicy",
    "FailureDomainPolicy",
    "LimitPolicy",
    "QuarantinePolicy",
    "RetryPolicy",
    "Route",
    "ServicePolicy",
    "SpillOverPolicy",
]

MS_PER_S = 1000


@attrs.frozen
class ClassPolicy:
    """How much the actions of one class matter and how patient they are.

    Attributes:
        name: Name of the class.
        rank: 0 is refused last, 7 first.
        queue_timeout_s: Longest wait at one upstream.
        timeout_s: Default and most time of a whole action.
        allowance: Deliveries to upstreams that an action may cause.
    """

    name: str
    rank: int
    queue_timeout_s: float
    timeout_s: float
    allowance: int

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {
            "rank": self.rank,
            "patience_ms": round(self.queue_timeout_s * MS_PER_S),
            "timeout_ms": round(self.timeout_s * MS_PER_S),
            "allowance": self.allowance,
        }


@attrs.frozen
class LimitPolicy:
    """How the concurrency limit of an upstream is found.

    Attributes:
        kind: Name of the limit's algorithm.
        minimum: Lowest limit.
    """

    kind: str
    minimum: int

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {"kind": self.kind, "minimum": self.minimum}


@attrs.frozen
class Route:
    """Class and idempotency of the requests under one path.

    Attributes:
        method: HTTP method.
        path: Prefix of the path, whole segments.
        class_name: Class of the actions that begin here.
        is_idempotent: Whether a request may run more than once.
    """

    method: str
    path: str
    class_name: str
    is_idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request falls under this route."""
        if method != self.method or not path.startswith(self.path):
            return False
        if self.path.endswith("/") or len(path) == len(self.path):
            return True
        return path[len(self.path)] == "/"

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {
            "method": self.method,
            "path": self.path,
            "class": self.class_name,
            "idempotent": self.is_idempotent,
        }


@attrs.frozen
class ServicePolicy:
    """Sizes and routes of one service.

    Attributes:
        name: Name of the service.
        slots: Requests that one upstream runs at once.
        connections: Connections that one upstream accepts.
        limit: How the concurrency limit is found.
        queue_length: Requests that may wait for one upstream.
        shed_statuses: HTTP statuses by which an upstream says that it shed a
            request without running it.
        request_bytes: Largest body of a request.
        answer_bytes: Largest body of an answer.
        routes: Routes in the order in which they are tried.
    """

    name: str
    slots: int
    connections: int
    limit: LimitPolicy
    queue_length: int
    shed_statuses: frozenset[int]
    request_bytes: int
    answer_bytes: int
    routes: tuple[Route, ...]

    def find_route(self, method: str, path: str) -> Route | None:
        """Return the first route that a request falls under.

        A path with a dot segment falls under none: an upstream that resolves it
        would run another route than the one that was found.

        Args:
            method: HTTP method of the request.
            path: Path below the service, without the query.
        """
        if _has_dot_segment(path):
            return None
        for route in self.routes:
            if route.matches(method, path):
                return route
        return None

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {
            "slots": self.slots,
            "connections": self.connections,
            "limit": self.limit.to_plain(),
            "queue_length": self.queue_length,
            "shed_statuses": sorted(self.shed_statuses),
            "request_bytes": self.request_bytes,
            "answer_bytes": self.answer_bytes,
            "routes": [route.to_plain() for route in self.routes],
        }


@attrs.frozen
class FailureDomainPolicy:
    """Where a failure domain lies.

    Attributes:
        name: Name of the failure domain.
        region: Name of its region.
    """

    name: str
    region: str

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {"region": self.region}


@attrs.frozen
class RetryPolicy:
    """Bounds on retries.

    Attributes:
        budget_ratio: Retries that each first try adds to the budget.
        budget_minimum_per_s: Retries a second that are always in the budget.
        attempts_per_hop: Deliveries of one action to one upstream per minute.
    """

    budget_ratio: float
    budget_minimum_per_s: float
    attempts_per_hop: int

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return attrs.asdict(self)


@attrs.frozen
class EjectionPolicy:
    """Ejection of upstreams that fail more than their peers.

    Attributes:
        maximum_fraction: Largest part of a service that may be ejected at once.
        base_s: Length of the first ejection.
    """

    maximum_fraction: float
    base_s: float

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return attrs.asdict(self)


@attrs.frozen
class QuarantinePolicy:
    """Quarantine of requests that crash the upstreams that run them.

    Attributes:
        crashes: Crashes after which a request is quarantined.
        duration_s: Length of the quarantine.
    """

    crashes: int
    duration_s: float

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return attrs.asdict(self)


@attrs.frozen
class SpillOverPolicy:
    """Whether requests may go to other failure domains.

    Attributes:
        is_enabled: Whether they may.
    """

    is_enabled: bool

    def to_plain(self) -> dict:
        """Return the members as the document writes them."""
        return {"enabled": self.is_enabled}


def _has_dot_segment(path: str) -> bool:
    if "." not in path and "%" not in path:
        return False
    segments = urllib.parse.unquote(path).split("/")
    return "." in segments or ".." in segments
