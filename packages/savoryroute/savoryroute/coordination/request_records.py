"""Log lines and metrics that the first hop records for each request."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

from ..protocol.mesh_frames import MeshAnswer
from ..state.event_log import EventLog
from ..state.fleet_view import FleetView
from ..state.metrics import Metrics
from ..state.revision import revision_in_era
from ..state.route_table import RouteTable, TableRoute
from ..verdict import Reason, Verdict
from .caller_identity import IdentityRefusal
from .forwarded_request import ForwardedRequest
from .instance_record import SentCall
from .organisation_counters import OrganisationCounters

__all__ = ["RequestRecords"]


class RequestRecords:
    """Log lines and metrics of requests at their first hop.

    Args:
        log: Event log.
        metrics: Request counters and latency histograms.
        table: Returns the active routes, or None before the first are known.
        view: Instances of upstreams.
        organisations: Counts by organisation.
        proof_age_s: Returns the age of the proof of the configuration in seconds.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: Metrics,
        table: Callable[[], RouteTable | None],
        view: FleetView,
        organisations: OrganisationCounters,
        proof_age_s: Callable[[], float],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._table = table
        self._view = view
        self._organisations = organisations
        self._proof_age_s = proof_age_s

    def identified(self, organisation: str) -> None:
        """Record a request of a caller whose organisation is known."""
        if organisation:
            self._organisations.note_request(organisation)

    def turned_away(
        self,
        request_id: bytes,
        route: TableRoute,
        refusal: IdentityRefusal,
        read_s: float,
    ) -> None:
        """Record a request that is refused for the identity of its caller."""
        seconds = time.monotonic() - read_s
        self._metrics.count(route.name, Verdict.NOT_RUN, refusal.reason, seconds)
        self._organisations.note_refusal(refusal.organisation, refusal.status)
        self._log.request(
            "refused",
            request_id.decode("latin-1"),
            route=route.name,
            reason=refusal.reason,
            verdict=Verdict.NOT_RUN,
            status=refusal.status,
            detail=refusal.detail,
            routes_version=self._version(),
            seconds=round(seconds, 4),
            **self._of_organisation(refusal.organisation),
        )

    def placed(self, sent: SentCall) -> None:
        """Count the age of the report by which an instance was chosen."""
        self._metrics.observe_report_age(sent.report_age_s)

    def placed_again(self, forwarded: ForwardedRequest, answer: MeshAnswer) -> None:
        """Record an attempt that is followed by another one."""
        self._log.request(
            "placed_again",
            forwarded.request_id.decode("latin-1"),
            route=forwarded.route.name,
            reason=answer.reason,
            verdict=answer.verdict,
            was_sent=answer.was_sent,
            detail=answer.detail,
            **_placement_fields(forwarded.sent),
        )

    def answered(self, forwarded: ForwardedRequest, answer: MeshAnswer) -> None:
        """Record an upstream's answer that is sent to the caller."""
        seconds = self._count(
            forwarded, Verdict.RAN, f"status {answer.status // 100}xx"
        )
        self._log.request(
            "answered",
            forwarded.request_id.decode("latin-1"),
            route=forwarded.route.name,
            rank=forwarded.call.rank,
            instance=forwarded.instance.id,
            status=answer.status,
            is_load=answer.is_load,
            room=None if answer.room is None else round(answer.room, 2),
            arrivals=forwarded.n_arrivals,
            routes_version=self._version(),
            list_revision=revision_in_era(self._view.revision),
            seconds=seconds,
            **self._of_organisation(forwarded.call.organisation),
        )

    def given_up(
        self,
        forwarded: ForwardedRequest,
        verdict: Verdict,
        reason: Reason | None,
        status: int,
        detail: str,
    ) -> None:
        """Record a request that is refused or given up without an upstream's answer."""
        seconds = self._count(forwarded, verdict, str(reason))
        organisation = forwarded.call.organisation
        if organisation and forwarded.parent is None:
            self._organisations.note_refusal(organisation, status)
        self._log.request(
            "refused" if verdict is Verdict.NOT_RUN else "gave_up",
            forwarded.request_id.decode("latin-1"),
            route=forwarded.route.name,
            rank=forwarded.call.rank,
            service=forwarded.service,
            reason=reason,
            verdict=verdict,
            status=status,
            detail=detail,
            tried=forwarded.tried,
            arrivals=forwarded.n_arrivals,
            **_placement_fields(forwarded.sent),
            routes_version=self._version(),
            list_revision=revision_in_era(self._view.revision),
            seconds=seconds,
            **self._of_organisation(organisation),
        )

    def caller_gone(self, forwarded: ForwardedRequest) -> None:
        """Record a request whose caller closed the connection before the answer."""
        self._log.request(
            "caller_gone",
            forwarded.request_id.decode("latin-1"),
            route=forwarded.route.name,
        )
        self._count(forwarded, "", "caller_gone")

    def _count(
        self, forwarded: ForwardedRequest, verdict: Verdict | str, reason: str
    ) -> float:
        """Count a finished request; return the seconds that it took."""
        seconds = time.monotonic() - forwarded.exchange.request.read_s
        self._metrics.count(forwarded.route.name, verdict, reason, seconds)
        return round(seconds, 4)

    def _of_organisation(self, organisation: str) -> dict[str, object]:
        """Return the fields about the caller's organisation, none without any."""
        table = self._table()
        if table is None or table.organisations is None:
            return {}
        proof_age_s = self._proof_age_s()
        age_s = round(proof_age_s, 3) if math.isfinite(proof_age_s) else None
        return {"organisation": organisation, "proof_age_s": age_s}

    def _version(self) -> int:
        table = self._table()
        return -1 if table is None else table.version


def _placement_fields(sent: SentCall | None) -> dict[str, Any]:
    """Return the figures by which the instance of the last attempt was compared."""
    if sent is None:
        return {}
    age_s = sent.report_age_s
    return {
        "instance": sent.instance.id,
        "load": round(sent.load, 2),
        "wait_ms": sent.wait_ms,
        "factor": round(sent.factor, 2),
        "report_age": round(age_s, 3) if math.isfinite(age_s) else None,
    }
