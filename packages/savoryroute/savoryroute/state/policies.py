"""Typed members of an environment document."""

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
    """Priority, timeouts and allowance of the actions of one class.

    Attributes:
        name: Name of the class.
        rank: Priority from 0, refused last, to 7, refused first.
        queue_timeout_s: Maximum time in the queue of one upstream, in seconds.
        timeout_s: Default and maximum time of an entire action, in seconds.
        allowance: Number of deliveries to upstreams that an action may cause.
    """

    name: str
    rank: int
    queue_timeout_s: float
    timeout_s: float
    allowance: int

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return {
            "rank": self.rank,
            "patience_ms": round(self.queue_timeout_s * MS_PER_S),
            "timeout_ms": round(self.timeout_s * MS_PER_S),
            "allowance": self.allowance,
        }


@attrs.frozen
class LimitPolicy:
    """How the concurrency limit of an upstream is determined.

    Attributes:
        kind: Name of the algorithm.
        minimum: Lower bound of the limit, in requests.
    """

    kind: str
    minimum: int

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return {"kind": self.kind, "minimum": self.minimum}


@attrs.frozen
class Route:
    """Class and idempotency of the requests under one path.

    Attributes:
        method: HTTP method.
        path: Path prefix; it matches complete segments only.
        class_name: Class of the actions that begin with such a request.
        is_idempotent: Whether a request may run more than once.
    """

    method: str
    path: str
    class_name: str
    is_idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request matches this route."""
        if method != self.method or not path.startswith(self.path):
            return False
        if self.path.endswith("/") or len(path) == len(self.path):
            return True
        return path[len(self.path)] == "/"

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return {
            "method": self.method,
            "path": self.path,
            "class": self.class_name,
            "idempotent": self.is_idempotent,
        }


@attrs.frozen
class ServicePolicy:
    """Limits and routes of one service.

    Attributes:
        name: Name of the service.
        slots: Number of requests that one upstream runs concurrently.
        connections: Number of connections that one upstream accepts.
        limit: How the concurrency limit is determined.
        queue_length: Number of requests that may wait for one upstream.
        shed_statuses: HTTP statuses with which an upstream reports that it shed a
            request without running it.
        request_bytes: Maximum size of a request body in bytes.
        answer_bytes: Maximum size of an answer body in bytes.
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
        """Return the first route that matches a request, or None.

        A path with a dot segment matches no route, because an upstream that resolves
        the segment would handle the request under a different route.

        Args:
            method: HTTP method of the request.
            path: Path within the service, without the query.
        """
        if _has_dot_segment(path):
            return None
        for route in self.routes:
            if route.matches(method, path):
                return route
        return None

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
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
    """Location of a failure domain.

    Attributes:
        name: Name of the failure domain.
        region: Name of the region that contains it.
    """

    name: str
    region: str

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return {"region": self.region}


@attrs.frozen
class RetryPolicy:
    """Limits on retries.

    Attributes:
        budget_ratio: Retries that each first attempt adds to the budget.
        budget_minimum_per_s: Retries per second that the budget always allows.
        attempts_per_hop: Maximum deliveries of one action to one upstream per minute.
    """

    budget_ratio: float
    budget_minimum_per_s: float
    attempts_per_hop: int

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return attrs.asdict(self)


@attrs.frozen
class EjectionPolicy:
    """Ejection of upstreams that fail more often than their peers.

    Attributes:
        maximum_fraction: Maximum fraction of a service's upstreams that may be
            ejected at the same time.
        base_s: Length of the first ejection in seconds.
    """

    maximum_fraction: float
    base_s: float

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return attrs.asdict(self)


@attrs.frozen
class QuarantinePolicy:
    """Quarantine of requests that crash the upstreams that run them.

    Attributes:
        crashes: Number of crashes after which a request is quarantined.
        duration_s: Length of the quarantine in seconds.
    """

    crashes: int
    duration_s: float

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return attrs.asdict(self)


@attrs.frozen
class SpillOverPolicy:
    """Use of upstreams in other failure domains.

    Attributes:
        is_enabled: Whether requests may be sent to other failure domains.
    """

    is_enabled: bool

    def to_plain(self) -> dict:
        """Return the members in the form that the document has."""
        return {"enabled": self.is_enabled}


def _has_dot_segment(path: str) -> bool:
    if "." not in path and "%" not in path:
        return False
    segments = urllib.parse.unquote(path).split("/")
    return "." in segments or ".." in segments
