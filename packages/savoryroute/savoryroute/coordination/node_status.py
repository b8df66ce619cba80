"""Status and gauges that a daemon reports to operators."""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..protocol.websocket_network import WebSocketNetwork
from ..state.ledger import Ledger
from ..state.members import MemberTable
from ..state.quarantine import Quarantine
from .active_document import ActiveDocument
from .admission import AdmissionGate
from .distribution import Distribution
from .document_store import PRODUCTION, TRIAL
from .shadow import ShadowGate
from .upstream_guard import UpstreamGuard

__all__ = ["NodeStatus"]


@attrs.frozen
class NodeStatus:
    """Collects the status and the gauges from the parts of one daemon.

    Attributes:
        host: Name of the host.
        incarnation: Random number that identifies this run of the daemon.
        uptime_s: Returns the seconds since the start.
        active_document: The active document.
        distribution: Distribution of the documents.
        gate: Admission gate of the upstream.
        guard: Guard of the upstream.
        ledger: Records of keyed actions.
        quarantine: Requests suspected of crashing upstreams.
        table: Members of the fleet.
        network: Links to peers.
        shadow: Shadow evaluation of the trial document.
    """

    host: str
    incarnation: int
    uptime_s: Callable[[], float]
    active_document: ActiveDocument
    distribution: Distribution
    gate: AdmissionGate
    guard: UpstreamGuard
    ledger: Ledger
    quarantine: Quarantine
    table: MemberTable
    network: WebSocketNetwork
    shadow: ShadowGate

    def not_ready(self) -> str:
        """Return why the daemon is not ready, or an empty string."""
        if self.active_document.document is None or not self.distribution.is_ready:
            return "no document: neither the platform nor a peer has given one"
        if self.guard.is_leaving:
            return "leaving"
        return ""

    def to_plain(self) -> dict:
        """Return the status as a dictionary that can be written as JSON."""
        document = self.active_document.document
        return {
            "host": self.host,
            "incarnation": self.incarnation,
            "uptime_s": round(self.uptime_s(), 3),
            "not_ready": self.not_ready(),
            "revision": self.active_document.revision,
            "version": None if document is None else document.version,
            "digest": self.distribution.digest(PRODUCTION).hex(),
            "enforced": self.active_document.is_enforced,
            "trial": self._trial(),
            "n_in_flight": self.gate.n_in_flight,
            "n_queued": self.gate.n_queued,
            "limit": self.gate.limit,
            "level": self.gate.level,
            "quarantine": list(map(attrs.asdict, self.quarantine.entries())),
            "members": {m.host: str(m.status) for m in self.table.members},
        }

    def gauges(self) -> dict[str, float]:
        """Return the gauges for a metrics scrape, by name."""
        return {
            "in_flight": self.gate.n_in_flight,
            "queued": self.gate.n_queued,
            "limit": self.gate.limit,
            "level": self.gate.level,
            "document_revision": self.active_document.revision,
            "ledger_records": self.ledger.n_records,
            "ledger_bytes": self.ledger.n_bytes,
            "quarantine_suspects": len(self.quarantine),
            "links": len(self.network.hosts),
            "ready": float(not self.not_ready()),
            "members": len(self.table),
            "document_history_bytes": self.distribution.history_bytes,
            **self.network.traffic.gauges(),
        }

    def _trial(self) -> dict | None:
        """Return the decisions of the trial document, or None without one."""
        document = self.shadow.document
        if document is None:
            return None
        return {
            "version": document.version,
            "revision": self.distribution.revision(TRIAL),
            "digest": self.distribution.digest(TRIAL).hex(),
            "would": self.shadow.counts,
        }
