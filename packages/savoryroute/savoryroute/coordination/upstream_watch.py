"""Health probes of the local upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..protocol.upstream_http import ProbeResult, UpstreamClient
from ..state.audit import AuditKind, AuditTrail

__all__ = ["UpstreamWatch"]

PROBE_INTERVAL_S = 0.5


class UpstreamWatch:
    """Probes the upstream and reports changes of its health.

    Args:
        client: Client of the upstream.
        audit: Audit trail for changes.
        host: Name of this host.
        on_change: Called with the new health after each change.
    """

    def __init__(
        self,
        client: UpstreamClient,
        audit: AuditTrail,
        host: str,
        on_change: Callable[[ProbeResult], None],
    ) -> None:
        self._client = client
        self._audit = audit
        self._host = host
        self._on_change = on_change
        self._health = ProbeResult(is_reachable=False, is_leaving=False)

    @property
    def health(self) -> ProbeResult:
        """Result of the latest probe."""
        return self._health

    async def run(self) -> None:
        """Probe the upstream until cancelled."""
        while True:
            health = await self._client.probe()
            if health != self._health:
                self._note(health)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _note(self, health: ProbeResult) -> None:
        self._health = health
        change = "reachable" if health.is_reachable else "unreachable"
        if health.is_leaving:
            change = "leaving"
        self._audit.record(AuditKind.READINESS, self._host, change, "health probe")
        self._on_change(health)
