"""What the first hop records of each request: a log line and a count."""

from __future__ import annotations

import time
from collections.abc import Callable

from ..protocol.mesh_frames import MeshAnswer
from ..state.event_log import EventLog
from ..state.fleet_view import FleetView
from ..state.metrics import Metrics
from ..state.route_table import RouteTable
from ..verdict import Reason, Verdict
from .forwarding import Forwarding

__all__ = ["RequestRecords"]


class RequestRecords:
    """Log lines and metrics of requests at their first hop.

    Args:
        log: Log of decisions.
        metrics: Counters and latencies.
        table: Returns the routes in force, or None before the first.
        view: Instances of upstreams.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        table: Callable[[], RouteTable | None],
        view: FleetView,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._table = table
        self._view = view

    def placed_again(self, forwarding: Forwarding, answer: MeshAnswer) -> None:
        """Record an attempt that is followed by another."""
        self._log.request(
            "placed_again",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
            instance=forwarding.instance.id,
            reason=answer.reason,
            verdict=answer.verdict,
            was_sent=answer.was_sent,
        )

    def answered(self, forwarding: Forwarding, answer: MeshAnswer) -> None:
        """Record an answer of an upstream that goes to the caller."""
        seconds = self._count(
            forwarding, Verdict.RAN, f"status {answer.status // 100}xx"
        )
        self._log.request(
            "answered",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
            rank=forwarding.call.rank,
            instance=forwarding.instance.id,
            status=answer.status,
            is_load=answer.is_load,
            pressure=round(answer.pressure, 2),
            arrivals=forwarding.n_arrivals,
            routes_version=self._version(),
            list_revision=self._view.revision,
            seconds=seconds,
        )

    def given_up(
        self,
        forwarding: Forwarding,
        verdict: Verdict,
        reason: Reason | None,
        status: int,
        detail: str,
    ) -> None:
        """Record a request that no upstream answered well."""
        seconds = self._count(forwarding, verdict, str(reason))
        self._log.request(
            "refused" if verdict is Verdict.NOT_RUN else "gave_up",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
            rank=forwarding.call.rank,
            service=forwarding.service,
            reason=reason,
            verdict=verdict,
            status=status,
            detail=detail,
            tried=forwarding.tried,
            arrivals=forwarding.n_arrivals,
            routes_version=self._version(),
            list_revision=self._view.revision,
            seconds=seconds,
        )

    def caller_gone(self, forwarding: Forwarding) -> None:
        """Record a request whose caller left before its answer."""
        self._log.request(
            "caller_gone",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
        )
        self._count(forwarding, "", "caller_gone")

    def _count(
        self, forwarding: Forwarding, verdict: Verdict | str, reason: str
    ) -> float:
        """Count an end; return the seconds that the request took."""
        seconds = time.monotonic() - forwarding.exchange.request.read_s
        self._metrics.count(forwarding.route.name, verdict, reason, seconds)
        return round(seconds, 4)

    def _version(self) -> int:
        table = self._table()
        return -1 if table is None else table.version
