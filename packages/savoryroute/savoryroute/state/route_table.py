"""Routes by virtual host and path prefix, with weighted traffic splits."""

from __future__ import annotations

import attrs

from .organisations import Organisation, Organisations

__all__ = [
    "CallerLimits",
    "RouteTable",
    "ServiceLimits",
    "TableRoute",
    "WeightedRoundRobin",
    "WeightedService",
]


# Lowest rank of a table with organisations: that of routes of the least importance in
# deployments without.
RANK_LOWEST = 2.0


@attrs.frozen
class WeightedService:
    """One part of a route's traffic.

    Attributes:
        service: Service that handles this part.
        weight: Share of the traffic, relative to the weights of the other parts.
    """

    service: str
    weight: float


@attrs.frozen
class TableRoute:
    """Route for requests whose path begins with a prefix.

    Attributes:
        name: Name of the route.
        prefix: Path prefix, starting and ending with a slash.
        is_idempotent: Whether a request may run more than once.
        rank: Priority, 0 is the highest.
        timeout_s: Maximum time in seconds until the final answer.
        target_latency_s: Target for the time until the answer, in seconds.
        attempts_max: Maximum number of upstreams to which one request is sent.
        parts: Services that handle the route, with their weights; none if they could
            not be read, so that its requests are refused.
        is_public: Whether its requests need no key of an organisation.
    """

    name: str
    prefix: str
    is_idempotent: bool
    rank: int
    timeout_s: float
    target_latency_s: float
    attempts_max: int
    parts: tuple[WeightedService, ...]
    is_public: bool = False


@attrs.frozen
class ServiceLimits:
    """Configured limits of a service.

    Attributes:
        connections_max: Number of connections that one upstream accepts.
    """

    connections_max: int


@attrs.frozen
class CallerLimits:
    """Limits on requests and connections of callers.

    Attributes:
        header_bytes_max: Maximum size of a request head in bytes.
        body_bytes_max: Maximum size of a request body in bytes.
        header_timeout_s: Time in seconds within which a head must be complete.
        idle_timeout_s: Time in seconds after which an idle connection is closed.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@attrs.frozen
class RouteTable:
    """One version of all routes.

    Attributes:
        version: Number that increases with each change.
        routes: Routes by host name in lower case.
        services: Limits of the services by name.
        limits: Limits on requests and connections of callers.
        defects: Fields of the published routes that could not be read, and what
            applies instead, one sentence each.
        is_complete: Whether host name and prefix of all published routes are known.
            If not, a request without a route may belong to a route that is missing.
        organisations: Organisations of callers; None if the configuration has none, so
            that no request needs a key.
    """

    version: int
    routes: dict[str, tuple[TableRoute, ...]]
    services: dict[str, ServiceLimits]
    limits: CallerLimits = CallerLimits()
    defects: tuple[str, ...] = ()
    is_complete: bool = True
    organisations: Organisations | None = None
    _by_prefix: dict[str, dict[str, TableRoute]] = attrs.field(
        init=False, repr=False, eq=False
    )
    _rank_positions: dict[int, int] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        by_prefix = {
            host: {route.prefix: route for route in routes}
            for host, routes in self.routes.items()
        }
        object.__setattr__(self, "_by_prefix", by_prefix)
        ranks = {route.rank for routes in self.routes.values() for route in routes}
        positions = {rank: i for i, rank in enumerate(sorted(ranks))}
        object.__setattr__(self, "_rank_positions", positions)

    def rank_of(self, route: TableRoute, organisation: Organisation | None) -> float:
        """Return the rank of a request, 0 the highest.

        Without organisations it is the rank of the route. With them the priority of
        the organisation goes before that of the route, on a scale from 0 to
        ``RANK_LOWEST``; a request of no organisation lies there by its route alone.

        Args:
            route: Route of this table that the request matched.
            organisation: Organisation of the caller, or None.
        """
        if self.organisations is None:
            return route.rank
        position = self._rank_positions[route.rank]
        n_positions = len(self._rank_positions)
        if organisation is not None:
            position += n_positions * self.organisations.rank_position(organisation)
            n_positions *= self.organisations.n_ranks
        return RANK_LOWEST * position / max(1, n_positions - 1)

    def find(self, host: str, target: str) -> TableRoute | None:
        """Return the route with the longest prefix that matches the path, or None.

        Args:
            host: Value of the ``Host`` header, with or without a port.
            target: Path and query of the request.
        """
        prefixes = self._by_prefix.get(host)
        if prefixes is None:
            prefixes = self._by_prefix.get(host.lower().partition(":")[0])
            if prefixes is None:
                return None
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Smooth weighted round robin over the parts of a route.

    Source: the smooth variant of weighted round robin in nginx.
    """

    def __init__(self) -> None:
        self._credits: dict[tuple[WeightedService, ...], list[float]] = {}

    def next_service(self, parts: tuple[WeightedService, ...]) -> str:
        """Return the service that handles the next request of a route."""
        if len(parts) == 1:
            return parts[0].service
        credits = self._credits.get(parts)
        if credits is None:
            credits = self._credits[parts] = [0.0] * len(parts)
        total = 0.0
        best = 0
        for index, part in enumerate(parts):
            credits[index] += part.weight
            total += part.weight
            if credits[index] > credits[best]:
                best = index
        credits[best] -= total
        return parts[best].service
