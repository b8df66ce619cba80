"""HTTP helpers of the stand-ins and the load generator."""

from __future__ import annotations

import asyncio
import os
import signal

import aiohttp
from aiohttp import web

__all__ = [
    "IDEMPOTENCY_KEY",
    "LAB_REQUEST",
    "LOOPBACK",
    "Listener",
    "client_session",
    "format_timeout",
    "new_traceparent",
    "parse_timeout_s",
    "trace_id_of",
    "wait_for_signal",
]

LOOPBACK = "127.0.0.1"
LAB_REQUEST = "x-lab-request"
IDEMPOTENCY_KEY = "Idempotency-Key"
TIMEOUT_UNITS_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}


def client_session(**options: object) -> aiohttp.ClientSession:
    """Return a client session that never re-sends a request on its own.

    aiohttp re-sends idempotent methods once if a reused connection turns out to be
    closed, and has no public option to disable this.
    """
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session


def format_timeout(timeout_s: float) -> str:
    """Return a ``grpc-timeout`` value in milliseconds."""
    return f"{max(0, int(timeout_s * 1000))}m"


def parse_timeout_s(text: str | None) -> float | None:
    """Return the seconds of a ``grpc-timeout`` value, or None if it is invalid."""
    if not text or text[-1] not in TIMEOUT_UNITS_S or not text[:-1].isdigit():
        return None
    return int(text[:-1]) * TIMEOUT_UNITS_S[text[-1]]


def new_traceparent(trace_id: str) -> str:
    """Return a ``traceparent`` with the trace id and a new span id."""
    return f"00-{trace_id}-{os.urandom(8).hex()}-01"


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a ``traceparent``; empty if it is malformed."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""


async def wait_for_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    await stop_requested.wait()


class _RefusedConnection(asyncio.Protocol):
    """Aborts a connection accepted beyond the connection limit."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        transport.abort()


class Listener:
    """HTTP server on one loopback port; it can abort all connections and reopen.

    Attributes:
        connections: Limit of open connections; None for no limit.
    """

    def __init__(self, app: web.Application, connections: int | None = None) -> None:
        self.connections = connections
        self._runner = web.AppRunner(
            app, handler_cancellation=True, access_log=None, shutdown_timeout=2.0
        )
        self._server: asyncio.Server | None = None
        self._port = 0

    @property
    def port(self) -> int:
        """Port to listen on; 0 before the first ``open``."""
        return self._port

    @property
    def address(self) -> str:
        """Address as ``ip:port``."""
        return f"{LOOPBACK}:{self._port}"

    async def open(self, port: int = 0) -> None:
        """Start listening; 0 selects the previous port, or any free one at first."""
        if self._runner.server is None:
            await self._runner.setup()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._new_protocol, LOOPBACK, port or self._port, backlog=1024
        )
        self._port = self._server.sockets[0].getsockname()[1]

    def abort(self) -> None:
        """Stop listening and abort every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for handler in self._runner.server.connections:
            if handler.transport is not None:
                handler.transport.abort()

    async def close(self) -> None:
        """Stop listening and wait up to 2 s for requests in flight."""
        if self._server is not None:
            self._server.close()
            self._server = None
        await self._runner.cleanup()

    def _new_protocol(self) -> asyncio.BaseProtocol:
        server = self._runner.server
        if self.connections is not None:
            if len(server.connections) >= self.connections:
                return _RefusedConnection()
        return server()
