"""Stand-in for an upstream.

Usage:
  upstream --port=N --control-port=N --settings=JSON [--record=PATH]
           [--upstream-side=ADDRESS] [--direct=SERVICE=ADDRESS]...

Options:
  --settings=JSON                 Fields of UpstreamSettings.
  --record=PATH                   File to record executions in.
  --upstream-side=ADDRESS         Upstream-side address of the host's daemon.
  --direct=SERVICE=ADDRESS        Address of another service to call directly.
"""

from __future__ import annotations

import asyncio
import hashlib
import math
import os
import pathlib
import random
import sys
import time
from collections.abc import Mapping, Sequence
from weakref import WeakSet

import attrs
import docopt
import json5
import uvloop
from aiohttp import web

from .answers import Answer, encode_answer
from .calls import Mark, Plan, parse_plan
from .downstream_client import DownstreamClient, DownstreamFailure
from .http import (
    IDEMPOTENCY_KEY,
    LAB_REQUEST,
    Listener,
    parse_timeout_s,
    trace_id_of,
    wait_for_signal,
)
from .load_meter import LOAD_REPORT_HEADER, LoadMeter
from .records import Execution, ExecutionRecord, ExecutionState
from .slots import Slots
from .upstream_settings import LoadReport, UpstreamSettings

__all__ = ["Upstream", "main"]

SHED_STATUS = 503
DOWNSTREAM_FAILED_STATUS = 502
CRASH_EXIT_CODE = 70
CRASH_MARKER = b"lab-crash"
STREAM_CHUNKS = 4
STREAM_PAUSE_S = 0.005


class Upstream:
    """Upstream on one port, with a second port for settings and executions.

    Args:
        settings: Initial settings.
        record: Record of executions; None for one in memory.
        upstream_side: Address of the daemon on the same host; empty for none.
        direct: Addresses of other services, used without a daemon.
    """

    def __init__(
        self,
        settings: UpstreamSettings,
        record: ExecutionRecord | None = None,
        upstream_side: str = "",
        direct: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        self._settings = settings
        self._record = record or ExecutionRecord()
        self._downstream = DownstreamClient(
            upstream_side, direct or {}, lambda: self._settings
        )
        self._slots = Slots(settings.slots, settings.queue_length)
        self._listener = Listener(self._work_app(), settings.connections)
        self._control = Listener(self._control_app())
        self._known_connections: WeakSet[asyncio.BaseTransport] = WeakSet()
        self._meter = LoadMeter()
        self._started_s = 0.0
        self._n_crashes = 0
        self._detached_tasks: set[asyncio.Task[web.StreamResponse]] = set()
        self._restart_task: asyncio.Task[None] | None = None
        self._random = random.Random(settings.host)

    @property
    def settings(self) -> UpstreamSettings:
        """Current settings."""
        return self._settings

    @property
    def address(self) -> str:
        """Address for requests."""
        return self._listener.address

    @property
    def control_address(self) -> str:
        """Address of the control port."""
        return self._control.address

    @property
    def executions(self) -> list[Execution]:
        """Executions started so far."""
        return self._record.executions

    @property
    def n_crashes(self) -> int:
        """Number of simulated crashes, which do not end the process."""
        return self._n_crashes

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Start listening on both ports."""
        self._started_s = time.monotonic()
        await self._listener.open(port)
        await self._control.open(control_port)

    async def stop(self) -> None:
        """Let requests in flight end and stop listening on both ports."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self._listener.close()
        await self._control.close()
        await self._downstream.close()
        self._record.close()

    def set(self, changes: Mapping[str, object]) -> None:
        """Change fields of the settings.

        Raises:
            TypeError: A field is unknown.
            ValueError: The value of an enum field is unknown.
        """
        self._settings = attrs.evolve(self._settings, **changes)
        self._slots.n_slots = self._settings.slots
        self._slots.queue_length = self._settings.queue_length
        self._listener.connections = self._settings.connections

    def crash(self) -> None:
        """Exit the process, or abort all connections and listen again later.

        The time until then is ``restart_s`` of the settings.
        """
        if self._settings.exits_on_crash:
            os._exit(CRASH_EXIT_CODE)
        self._n_crashes += 1
        self._listener.abort()
        if self._restart_task is None or self._restart_task.done():
            self._restart_task = asyncio.create_task(self._restart_listener())

    async def _restart_listener(self) -> None:
        await asyncio.sleep(self._settings.restart_s)
        self._started_s = time.monotonic()
        await self._listener.open()

    def _work_app(self) -> web.Application:
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:.*}", self._handle)
        return app

    def _control_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/lab/executions", self._control_executions)
        app.router.add_get("/lab/settings", self._control_settings)
        app.router.add_post("/lab/set", self._control_set)
        app.router.add_post("/lab/crash", self._control_crash)
        return app

    async def _health(self, request: web.Request) -> web.Response:
        status = "leaving" if self._settings.leaving else "ok"
        return web.json_response(
            {"status": status}, headers=self._load_report_headers()
        )

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        arrived_s = time.monotonic()
        body = await request.read()
        if not self._settings.outlasts_callers:
            return await self._serve(request, body, _deadline_s(request, arrived_s))
        task = asyncio.create_task(self._serve(request, body, math.inf))
        self._detached_tasks.add(task)
        task.add_done_callback(self._detached_tasks.discard)
        return await asyncio.shield(task)

    async def _serve(
        self, request: web.Request, body: bytes, deadline_s: float
    ) -> web.StreamResponse:
        if self._settings.sheds:
            return self._shed("shedding load")
        if not await self._slots.acquire():
            return self._shed("all slots are in use and the queue is full")
        try:
            self._sample_utilization()
            if time.monotonic() >= deadline_s:
                return self._shed("the deadline has passed")
            return await self._run(request, body, deadline_s)
        finally:
            self._slots.release()
            self._sample_utilization()

    async def _run(
        self, request: web.Request, body: bytes, deadline_s: float
    ) -> web.StreamResponse:
        execution = self._new_execution(request)
        self._record.add(execution)
        try:
            plan = parse_plan(request.query)
            mark = self._requested_fault(plan, body)
            if mark is Mark.CRASH:
                self.crash()
            await asyncio.sleep(self._work_time_s(request))
            failures = await self._downstream.call(plan, request.headers, deadline_s)
        except asyncio.CancelledError:
            self._record.end(execution, ExecutionState.CANCELLED)
            raise
        self._record.end(execution, ExecutionState.FINISHED)
        if failures:
            return self._downstream_failed(failures)
        return await self._answer(request, mark)

    def _requested_fault(self, plan: Plan, body: bytes) -> Mark:
        if CRASH_MARKER in body:
            return Mark.CRASH
        return plan.mark_for(self._settings.service)

    def _new_execution(self, request: web.Request) -> Execution:
        headers = request.headers
        return Execution(
            number=self._record.next_number,
            service=self._settings.service,
            host=self._settings.host,
            method=request.method,
            path=request.path,
            key=headers.get(IDEMPOTENCY_KEY, ""),
            trace_id=trace_id_of(headers.get("traceparent", "")),
            request_id=headers.get(LAB_REQUEST, ""),
        )

    def _work_time_s(self, request: web.Request) -> float:
        settings = self._settings
        jitter = 1 + settings.work_jitter * self._random.uniform(-1, 1)
        work_s = settings.work_s * settings.slow_factor * jitter
        if time.monotonic() - self._started_s < settings.cold_start_s:
            work_s *= settings.cold_factor
        if request.transport not in self._known_connections:
            self._known_connections.add(request.transport)
            work_s += settings.connection_cost_s
        return work_s

    async def _answer(self, request: web.Request, mark: Mark) -> web.StreamResponse:
        body = self._body(request)
        if mark is Mark.DROP:
            return await self._send_partial(request, b"", len(body))
        if mark is Mark.TRUNCATE:
            return await self._send_partial(request, body[: len(body) // 2], len(body))
        if mark is Mark.TRUNCATE_CHUNKED:
            return await self._send_partial(request, body[: len(body) // 2], None)
        if mark is Mark.STREAM:
            return await self._stream(request, body)
        return web.Response(body=body, headers=self._load_report_headers())

    def _body(self, request: web.Request) -> bytes:
        request_id = request.headers.get(LAB_REQUEST, "")
        seed = hashlib.shake_128(request_id.encode())
        answer = Answer(
            request_id=request_id,
            service=self._settings.service,
            host=self._settings.host,
            payload=seed.digest(self._settings.payload_bytes),
        )
        return encode_answer(answer)

    async def _send_partial(
        self, request: web.Request, part: bytes, length: int | None
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._load_report_headers())
        if part:
            response.content_length = length
            await response.prepare(request)
            await response.write(part)
            await asyncio.sleep(STREAM_PAUSE_S)
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _stream(self, request: web.Request, body: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers=self._load_report_headers())
        await response.prepare(request)
        size = -(-len(body) // STREAM_CHUNKS)
        for start in range(0, len(body), size):
            await response.write(body[start : start + size])
            await asyncio.sleep(STREAM_PAUSE_S)
        await response.write_eof()
        return response

    def _shed(self, detail: str) -> web.Response:
        return web.Response(
            status=SHED_STATUS, text=detail, headers=self._load_report_headers()
        )

    def _downstream_failed(self, failures: list[DownstreamFailure]) -> web.Response:
        headers = self._load_report_headers()
        for failure in failures:
            if failure.retry_after:
                headers["Retry-After"] = failure.retry_after
        text = "; ".join(failure.detail for failure in failures)
        return web.Response(status=DOWNSTREAM_FAILED_STATUS, text=text, headers=headers)

    def _sample_utilization(self) -> None:
        self._meter.add_sample(self._slots.n_in_flight / max(1, self._slots.n_slots))

    def _load_report_headers(self) -> dict[str, str]:
        if self._settings.load_report is LoadReport.NONE:
            return {}
        value = self._meter.reported_utilization(self._settings)
        return {LOAD_REPORT_HEADER: f"TEXT cpu_utilization={value:.3f}"}

    async def _control_executions(self, request: web.Request) -> web.Response:
        return web.json_response([attrs.asdict(e) for e in self.executions])

    async def _control_settings(self, request: web.Request) -> web.Response:
        return web.json_response(attrs.asdict(self._settings))

    async def _control_set(self, request: web.Request) -> web.Response:
        try:
            self.set(await request.json())
        except (TypeError, ValueError) as error:
            return web.Response(status=400, text=str(error))
        return web.json_response(attrs.asdict(self._settings))

    async def _control_crash(self, request: web.Request) -> web.Response:
        self.crash()
        return web.json_response({})


def _deadline_s(request: web.Request, arrived_s: float) -> float:
    timeout_s = parse_timeout_s(request.headers.get("grpc-timeout"))
    return math.inf if timeout_s is None else arrived_s + timeout_s


async def _serve(upstream: Upstream, port: int, control_port: int) -> None:
    await upstream.start(port, control_port)
    await wait_for_signal()
    upstream.set({"leaving": True})
    await upstream.stop()


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    options = docopt.docopt(__doc__)
    settings = UpstreamSettings(**json5.loads(options["--settings"]))
    settings.exits_on_crash = True
    path = options["--record"]
    record = ExecutionRecord(pathlib.Path(path) if path else None)
    direct: dict[str, list[str]] = {}
    for entry in options["--direct"]:
        service, _, address = entry.partition("=")
        direct.setdefault(service, []).append(address)
    upstream = Upstream(settings, record, options["--upstream-side"] or "", direct)
    uvloop.run(_serve(upstream, int(options["--port"]), int(options["--control-port"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
