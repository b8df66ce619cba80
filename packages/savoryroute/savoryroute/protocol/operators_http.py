"""HTTP server for operators: health, metrics, status, audit and explanations."""

from __future__ import annotations

import hmac
from collections.abc import Callable

from aiohttp import web

from ..state.audit import AuditTrail
from ..state.decisions import DecisionLog
from ..state.metrics import Metrics
from ..state.settings import Address

__all__ = ["OperatorsServer"]

AUDIT_ENTRIES_MAX = 1000
OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})


class OperatorsServer:
    """Listening port for operators.

    All paths except health, readiness and metrics require the operator key.

    Args:
        address: Where to listen.
        operator_key: Key that operators send as a bearer token.
        status: Returns the content of ``/status``.
        not_ready: Returns why the daemon is not ready, or an empty string.
        audit: Audit trail served at ``/audit``.
        decisions: Decision log served at ``/explain``.
        metrics: Metrics served at ``/metrics``.
    """

    def __init__(
        self,
        address: Address,
        operator_key: str,
        status: Callable[[], dict],
        not_ready: Callable[[], str],
        audit: AuditTrail,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self._address = address
        self._expected = f"Bearer {operator_key}".encode()
        self._status = status
        self._not_ready = not_ready
        self._audit = audit
        self._decisions = decisions
        self._metrics = metrics
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen for operators."""
        app = web.Application(middlewares=[self._check_key])
        app.router.add_get("/healthz", self._get_health)
        app.router.add_get("/readyz", self._get_readiness)
        app.router.add_get("/metrics", self._get_metrics)
        app.router.add_get("/status", self._get_status)
        app.router.add_get("/audit", self._get_audit)
        app.router.add_get("/explain/{action}", self._get_explanation)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, self._address.ip, self._address.port).start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _check_key(self, http: web.Request, handler) -> web.StreamResponse:
        if http.path not in OPEN_PATHS:
            offered = http.headers.get("Authorization", "").encode()
            if not hmac.compare_digest(offered, self._expected):
                return web.json_response({"error": "operator key required"}, status=401)
        return await handler(http)

    async def _get_health(self, http: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _get_readiness(self, http: web.Request) -> web.Response:
        cause = self._not_ready()
        if cause:
            return web.json_response({"ready": False, "cause": cause}, status=503)
        return web.json_response({"ready": True})

    async def _get_metrics(self, http: web.Request) -> web.Response:
        accept = http.headers.get("Accept", "text/plain")
        content, fields = self._metrics.render(accept)
        return web.Response(body=content, headers=fields)

    async def _get_status(self, http: web.Request) -> web.Response:
        return web.json_response(self._status())

    async def _get_audit(self, http: web.Request) -> web.Response:
        after = http.query.get("after", "0")
        if not after.isdecimal():
            return web.json_response({"error": "after must be a number"}, status=400)
        entries = self._audit.after(int(after), AUDIT_ENTRIES_MAX)
        return web.json_response(
            {
                "entries": [entry.to_plain() for entry in entries],
                "last_sequence": self._audit.last_sequence,
            }
        )

    async def _get_explanation(self, http: web.Request) -> web.Response:
        entries = self._decisions.explain(http.match_info["action"])
        return web.json_response({"decisions": [e.to_plain() for e in entries]})
