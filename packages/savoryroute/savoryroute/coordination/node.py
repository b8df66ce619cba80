"""One daemon: creates and connects its parts, and starts and stops them in order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time

from result import Err

from ..protocol.callers_http import CallersServer, Outcome
from ..protocol.frames import Hello
from ..protocol.operators_http import OperatorsServer
from ..protocol.request import Request
from ..protocol.upstream_http import ProbeResult, UpstreamClient
from ..protocol.websocket_network import WebSocketNetwork
from ..state.audit import AuditEntry, AuditKind, AuditTrail
from ..state.decisions import DecisionLog
from ..state.delivery_counter import DeliveryCounter
from ..state.document import Document
from ..state.ledger import Ledger
from ..state.member import Evidence, Member
from ..state.members import MemberTable
from ..state.metrics import Metrics
from ..state.quarantine import Quarantine
from ..state.settings import Settings
from ..transport.platform_client import HttpPlatform
from ..verdict import Refusal, Verdict
from .action import ActionOpener
from .active_document import ActiveDocument
from .admission import AdmissionGate
from .admission_level import LevelMap
from .attempts import Attempts
from .call_sender import CallSender
from .control import Control
from .hops import HopTable
from .inbound import Inbound
from .keys import KeyManager
from .limits import make_limit
from .node_status import NodeStatus
from .outbound import Outbound
from .pause import PauseDetector
from .placement import Placement
from .shadow import ShadowGate
from .upstream_guard import UpstreamGuard
from .upstream_watch import UpstreamWatch

__all__ = ["Node"]

# Window in which the deliveries of one action are counted.
ACTION_WINDOW_S = 60.0
CLOSE_TIMEOUT_S = 0.2
# Seconds after a stop was announced in which callers can still connect.
DRAIN_LISTEN_S = 3.0
# Seconds after that in which work in flight may finish.
DRAIN_MAX_S = 60.0
DRAIN_POLL_S = 0.05
# Member updates carry incarnations of up to 63 bits; 0 stands for an unknown one.
INCARNATION_BITS = 62
READY_WAIT_S = 2.0
# Values until a document is active.
SLOTS_DEFAULT = 16
QUEUE_DEFAULT = 32
CRASHES_DEFAULT = 2
QUARANTINE_DEFAULT_S = 60.0

_logger = logging.getLogger(__name__)


class Node:
    """One daemon beside one upstream.

    Args:
        settings: Settings of the daemon.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._incarnation = secrets.randbits(INCARNATION_BITS) + 1
        self._started_s = time.monotonic()
        self._rng = random.Random(self._incarnation)
        self._is_stopping = False
        self._was_reachable = False
        self._audit = AuditTrail(on_record=_log_audit)
        self._shadow = ShadowGate(settings.service)
        self._decisions = DecisionLog()
        self._table = MemberTable(settings.host, self._on_member)
        self._hops = HopTable()
        self._pause = PauseDetector()
        self._ledger = Ledger(settings.host, self._incarnation, self._uptime_s)
        self._quarantine = Quarantine(
            time.monotonic, CRASHES_DEFAULT, QUARANTINE_DEFAULT_S
        )
        self._gate = AdmissionGate(
            make_limit("fixed", 1, SLOTS_DEFAULT, SLOTS_DEFAULT), QUEUE_DEFAULT
        )
        self._active_document = ActiveDocument(
            settings.host,
            settings.service,
            self._gate,
            self._quarantine,
            self._shadow,
            self._audit,
        )
        self._client = UpstreamClient(settings.upstream, 0)
        self._guard = UpstreamGuard(
            settings.service,
            self._gate,
            self._client,
            self._quarantine,
            DeliveryCounter(ACTION_WINDOW_S, time.monotonic),
            self._hops,
            self._decisions,
            self._ready_document,
            self._on_crash,
            self._shadow,
        )
        self._inbound = Inbound(
            settings.service,
            self._guard,
            self._gate,
            self._ledger,
            self._pause,
            self._decisions,
        )
        self._network = WebSocketNetwork(
            settings.peers,
            settings.fleet_key,
            self._make_hello,
            self._inbound.run,
            self._inbound.fence,
        )
        self._placement = Placement(
            settings.host,
            settings.failure_domain,
            self._table.of_service,
            self._audit,
            self._rng,
        )
        self._keys = KeyManager(
            settings.host,
            self._incarnation,
            self._ledger,
            self._network,
            self._placement,
            self._table,
            lambda: self._active_document.ejection,
        )
        levels = LevelMap()
        self._outbound = Outbound(
            ActionOpener(self._ready_document),
            Attempts(
                CallSender(settings.host, self._network, self._inbound.run),
                self._placement,
                levels,
                self._pause,
                self._decisions,
            ),
            self._placement,
            levels,
            self._hops,
            self._keys,
            self._quarantine,
            self._decisions,
            self._rng,
        )
        self._callers = CallersServer(
            settings.callers,
            self._serve_caller,
            self._keys.mint,
            self._keys.confirm,
            self._active_document.body_limit,
        )
        self._upstream_side = CallersServer(
            settings.upstream_side,
            self._outbound.from_upstream,
            self._keys.mint,
            self._keys.confirm,
            self._active_document.body_limit,
            is_upstream_side=True,
        )
        self._watch = UpstreamWatch(
            self._client, self._audit, settings.host, self._on_health
        )
        self._platform = HttpPlatform(
            [str(address) for address in settings.platform], settings.host
        )
        self._control = Control(
            self._make_hello,
            self._table,
            self._network,
            self._platform,
            self._pause,
            self._active_document.apply,
            seeds=[str(address) for address in settings.seeds],
            get_suspects=self._quarantine.export,
            on_suspects=self._on_suspects,
            on_audit=self._on_document_audit,
            rng=self._rng,
        )
        self._status = NodeStatus(
            host=settings.host,
            incarnation=self._incarnation,
            uptime_s=self._uptime_s,
            active_document=self._active_document,
            distribution=self._control.distribution,
            gate=self._gate,
            guard=self._guard,
            ledger=self._ledger,
            quarantine=self._quarantine,
            table=self._table,
            network=self._network,
            shadow=self._shadow,
        )
        self._metrics = Metrics(self._status.gauges)
        self._operators = OperatorsServer(
            settings.operators,
            settings.operator_key,
            self._status.to_plain,
            self._status.not_ready,
            self._audit,
            self._decisions,
            self._metrics,
        )
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Open all ports and start all tasks."""
        await self._client.start()
        await self._network.start()
        await self._control.start()
        await self._operators.start()
        await self._wait_ready()
        await self._callers.start()
        await self._upstream_side.start()
        self._tasks.append(asyncio.create_task(self._watch.run()))

    async def _wait_ready(self) -> None:
        """Wait for a document, since a daemon refuses all callers without one.

        After ``READY_WAIT_S`` the ports for callers are opened regardless, and callers
        are refused with the reason ``not_ready``.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_WAIT_S):
                await self._control.distribution.wait_ready()

    async def stop(self) -> None:
        """Stop gracefully: refuse new work, finish the work in flight, then close."""
        self._audit.record(
            AuditKind.LEAVING, self._settings.host, "leaving", "planned stop"
        )
        self._is_stopping = True
        self._guard.is_leaving = True
        self._gate.drain()
        await self._control.membership.announce_leaving()
        self._callers.announce_leaving()
        await asyncio.sleep(DRAIN_LISTEN_S)
        self._callers.stop_listening()
        deadline_s = time.monotonic() + DRAIN_MAX_S
        while self._n_open and time.monotonic() < deadline_s:
            await asyncio.sleep(DRAIN_POLL_S)
        await self.close()

    async def close(self) -> None:
        """Stop at once, without waiting for work in flight."""
        for task in self._tasks:
            task.cancel()
        await self._callers.stop(CLOSE_TIMEOUT_S)
        await self._upstream_side.stop(CLOSE_TIMEOUT_S)
        await self._control.stop()
        await self._network.stop()
        await self._client.stop()
        await self._platform.close()
        await self._operators.stop()

    @property
    def _n_open(self) -> int:
        return self._callers.n_open + self._upstream_side.n_open + self._inbound.n_open

    def _uptime_s(self) -> float:
        return time.monotonic() - self._started_s

    def _make_hello(self) -> Hello:
        settings = self._settings
        return Hello(
            host=settings.host,
            incarnation=self._incarnation,
            service=settings.service,
            failure_domain=settings.failure_domain,
            region=settings.region,
            peers=str(settings.peers),
            uptime_ms=int(self._uptime_s() * 1000),
        )

    def _ready_document(self) -> Document | None:
        """Return the active document once peers and the platform were asked for it."""
        if not self._control.distribution.is_ready:
            return None
        return self._active_document.document

    def _on_health(self, health: ProbeResult) -> None:
        """Apply the upstream's state: leaving, unreachable, or reachable and cold."""
        self._guard.is_leaving = health.is_leaving or self._is_stopping
        is_back = health.is_reachable and not self._was_reachable
        self._was_reachable = health.is_reachable
        if is_back:
            self._active_document.start_cold()

    async def _serve_caller(self, request: Request) -> Outcome:
        """Serve a request of a caller and count its outcome."""
        started_s = time.monotonic()
        outcome = await self._outbound.from_caller(request)
        latency_s = time.monotonic() - started_s
        verdict, reason = Verdict.RAN, ""
        if isinstance(outcome.result, Err):
            refusal = outcome.result.err_value
            verdict, reason = refusal.verdict, refusal.reason
            self._log_refusal(outcome.action, refusal)
        self._metrics.count(outcome.class_name, verdict, reason, latency_s)
        return outcome

    def _log_refusal(self, action: str, refusal: Refusal) -> None:
        """Log a refusal: as a warning if the call may have run, else for debugging."""
        level = logging.DEBUG
        if refusal.verdict is Verdict.MAY_HAVE_RUN:
            level = logging.WARNING
        fields = {"action": action, "reason": refusal.reason}
        _logger.log(level, "%s: %s", refusal.verdict, refusal.detail, extra=fields)

    def _on_crash(self, n_lost: int) -> None:
        """Audit a crash, and notify peers at once of the requests lost in it."""
        self._audit.record(
            AuditKind.QUARANTINE,
            self._settings.host,
            f"{n_lost} requests are suspects",
            "their connections to the upstream were lost together",
        )
        self._control.membership.flush()

    def _on_suspects(self, host: str, suspects: list) -> None:
        """Merge a peer's suspects, the requests suspected of crashing upstreams."""
        self._quarantine.merge(suspects)

    def _on_document_audit(self, subject: str, change: str, evidence: str) -> None:
        self._audit.record(AuditKind.DOCUMENT, subject, change, evidence)

    def _on_member(
        self, host: str, old: Member | None, new: Member, evidence: Evidence
    ) -> None:
        self._audit.record(
            AuditKind.MEMBER,
            host,
            f"{old.status if old else 'unknown'} to {new.status}",
            evidence.value,
        )


def _log_audit(entry: AuditEntry) -> None:
    """Write an entry of the audit trail to the log."""
    fields = {"kind": entry.kind, "subject": entry.subject, "evidence": entry.evidence}
    _logger.info("%s", entry.change, extra=fields)
