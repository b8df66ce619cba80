"""Watch over the health of the host's own upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..protocol.upstream_http import UpstreamClient, UpstreamHealth
from ..state.audit import AuditKind, AuditTrail

__all__ = ["UpstreamWatch"]

PROBE_INTERVAL_S = 0.5


class UpstreamWatch:
    """One task that probes the upstream and tells of changes."""

    def __init__(
        self,
        client: UpstreamClient,
        audit: AuditTrail,
        host: str,
        on_change: Callable[[UpstreamHealth], None],
    ) -> None:
        self._client = client
        self._audit = audit
        self._host = host
        self._on_change = on_change
        self._health = UpstreamHealth(is_reachable=False, is_leaving=False)

    @property
    def health(self) -> UpstreamHealth:
        """What the latest probe said."""
        return self._health

    async def run(self) -> None:
        """Probe for ever."""
        while True:
            health = await self._client.probe()
            if health != self._health:
                self._note(health)
            await asyncio.sleep(PROBE_INTERVAL_S)

    def _note(self, health: UpstreamHealth) -> None:
        self._health = health
        change = "reachable" if health.is_reachable else "unreachable"
        if health.is_leaving:
            change = "leaving"
        self._audit.record(AuditKind.READINESS, self._host, change, "health probe")
        self._on_change(health)
