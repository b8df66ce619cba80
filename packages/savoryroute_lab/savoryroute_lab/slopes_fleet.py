"""Measurements for the slopes of cost, on one fleet of processes on loopback."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
from collections.abc import Awaitable, Sequence

import aiohttp
import attrs

from .deployment import ClassSpec, Deployment, RouteSpec, ServiceSpec
from .http import LOOPBACK, client_session
from .launcher import Launcher, daemon_name
from .processes import read_usage
from .tally import quantile
from .wiring import OPERATOR_KEY, Wiring

__all__ = ["FleetSlopes"]

BODY_BYTES = 1024
IDLE_CONNECTION_COUNTS = (100, 400, 1100)
FAILURE_DOMAINS = ("a", "b", "c")
ACTIVATION_TIMEOUT_S = 15.0
ACTIVATION_POLL_S = 0.05
N_RESTARTS = 3
N_SERVICES = 2
SETTLE_S = 5.0
SLOTS = 64
TIMEOUT_S = 5.0
PRODUCTION = "documents/production"

Row = dict[str, object]


@attrs.frozen
class _Sample:
    """Resource usage and gauges of one daemon at one time."""

    time_s: float
    cpu_s: float
    rss_bytes: int
    n_sockets: int
    gauges: dict[str, float]


class FleetSlopes:
    """Daemon processes in three failure domains, each sampled separately.

    Args:
        n_hosts: Number of daemons.
        window_s: Duration of each measurement in seconds.
    """

    def __init__(self, n_hosts: int, window_s: float) -> None:
        self._n_hosts = n_hosts
        self._window_s = window_s
        self._deployment = _deployment(n_hosts)
        self._wiring = Wiring.new(self._deployment, shares_upstreams=True)
        settings = {"work_s": 0.0, "payload_bytes": BODY_BYTES}
        self._launcher = Launcher(self._wiring, settings)
        self._hosts = [upstream.host for upstream in self._deployment.upstreams]
        self._session: aiohttp.ClientSession | None = None
        self._version = 1
        self._revision = 0

    async def run(
        self,
        services: Sequence[int],
        changes: Sequence[float],
        rates: Sequence[float],
    ) -> list[Row]:
        """Return the rows of all measurements.

        Args:
            services: Numbers of services in the document; each is measured over five
                changes.
            changes: Changes of the document per second.
            rates: Calls per second through one daemon.
        """
        rows = []
        try:
            start_s = time.monotonic()
            await self._launcher.start()
            start_s = time.monotonic() - start_s
            self._session = client_session(connector=aiohttp.TCPConnector(limit=0))
            await asyncio.sleep(SETTLE_S)
            rows.append(await self._idle(start_s))
            for rate in rates:
                rows.append(await self._under_load(rate))
            for rate in changes:
                rows.append(await self._under_changes(rate))
            for n_services in services:
                rows.append(await self._by_document(n_services))
            for n_connections in IDLE_CONNECTION_COUNTS if rates else ():
                rows.append(await self._with_connections(n_connections))
            rows.append(await self._restart())
        finally:
            if self._session is not None:
                await self._session.close()
            await self._launcher.stop()
            self._launcher.remove_folder()
        return rows

    async def _idle(self, start_s: float) -> Row:
        """Measure all daemons without calls or changes.

        Args:
            start_s: Seconds that the start of the fleet took.
        """
        reads_before = await self._platform_calls()
        row = await self._measure(asyncio.sleep(self._window_s))
        n_reads = await self._platform_calls() - reads_before
        platform_per_s = round(n_reads / self._window_s, 2)
        row |= {"platform_calls_per_s": platform_per_s, "all_ready_s": round(start_s)}
        return {"measured": "idle", "n_hosts": self._n_hosts} | row

    async def _under_load(self, rate_per_s: float) -> Row:
        """Measure the entry daemon while it forwards calls to the other service."""
        latencies_s: list[float] = []
        entry = self._hosts[0]
        row = await self._measure(self._load(entry, rate_per_s, latencies_s), [entry])
        row["p50_ms"] = round(1000 * quantile(latencies_s, 0.5), 2)
        row["n_whole"] = len(latencies_s)
        n_called = self._n_hosts - self._n_hosts // N_SERVICES
        label = {"n_hosts": self._n_hosts, "n_called": n_called}
        return {"measured": "load", **label, "calls_per_s": rate_per_s} | row

    async def _under_changes(self, rate_per_s: float) -> Row:
        """Measure all daemons while the document changes at a rate."""
        n_changes = max(1, round(rate_per_s * self._window_s))
        row = await self._measure(self._publish_repeatedly(n_changes, rate_per_s))
        label = {"n_hosts": self._n_hosts, "changes_per_s": rate_per_s}
        return {"measured": "changes", **label} | row

    async def _by_document(self, n_services: int) -> Row:
        """Measure five changes of a document with ``n_services`` services."""
        times_s: list[float] = []
        n_bytes = await self._publish(n_services)
        await asyncio.sleep(1.0)

        async def change() -> None:
            for _ in range(5):
                times_s.append(await self._measure_activation(n_services))

        row = await self._measure(change())
        label = {"n_services": n_services, "document_bytes": n_bytes}
        row["in_force_last_s"] = round(max(times_s), 3)
        return {"measured": "document", "n_hosts": self._n_hosts, **label} | row

    async def _with_connections(self, n_connections: int) -> Row:
        """Measure the entry daemon while callers keep idle connections open."""
        entry = self._hosts[0]
        port = self._wiring.ports[entry].callers
        writers = []
        for _ in range(n_connections):
            reader, writer = await asyncio.open_connection(LOOPBACK, port)
            writer.write(b"GET /none/ HTTP/1.1\r\nHost: a\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            writers.append(writer)
        row = await self._measure(asyncio.sleep(self._window_s / 4), [entry])
        for writer in writers:
            writer.close()
        label = {"n_hosts": self._n_hosts, "n_connections": n_connections}
        return {"measured": "connections", **label} | row

    async def _restart(self) -> Row:
        """Measure the time until a killed daemon is ready after its restart."""
        name = daemon_name(self._hosts[-1])
        times_s = []
        for _ in range(N_RESTARTS):
            self._launcher.kill(name)
            start_s = time.monotonic()
            await self._launcher.restart(name)
            times_s.append(round(time.monotonic() - start_s, 2))
        row: Row = {"measured": "restart", "n_hosts": self._n_hosts}
        return row | {"ready_after_s": times_s}

    async def _measure(
        self, activity: Awaitable[None], hosts: Sequence[str] | None = None
    ) -> Row:
        """Return the mean figures of daemons during an activity, and the highest CPU.

        Args:
            activity: Runs for the duration of the measurement.
            hosts: Hosts of the measured daemons; None for all.
        """
        hosts = hosts or self._hosts
        before = [await self._sample(host) for host in hosts]
        await activity
        after = [await self._sample(host) for host in hosts]
        pairs = list(zip(before, after, strict=True))
        cpu = [(b.cpu_s - a.cpu_s) / (b.time_s - a.time_s) for a, b in pairs]
        row: Row = {
            "cpu_percent": round(100 * statistics.mean(cpu), 2),
            "cpu_percent_max": round(100 * max(cpu), 2),
            "rss_mb": round(statistics.mean(b.rss_bytes for b in after) / 1e6, 1),
            "sockets": round(statistics.mean(b.n_sockets for b in after), 1),
            "links": round(statistics.mean(b.gauges["links"] for b in after), 1),
        }
        for name in ("control_sent", "control_received"):
            for unit in ("bytes", "frames"):
                row[f"{name}_{unit}_per_s"] = _mean_rate_per_s(pairs, f"{name}_{unit}")
        return row

    async def _sample(self, host: str) -> _Sample:
        """Read the resource usage and gauges of one daemon."""
        gauges = await self._gauges(host)
        usage = read_usage(self._launcher.pid(daemon_name(host)))
        return _Sample(
            time.monotonic(), usage.cpu_s, usage.rss_bytes, usage.n_sockets, gauges
        )

    async def _gauges(self, host: str) -> dict[str, float]:
        """Return the gauges of a daemon by name."""
        port = self._wiring.ports[host].operators
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = f"http://{LOOPBACK}:{port}/metrics"
        async with self._session.get(url, headers=headers) as response:
            lines = (await response.text()).splitlines()
        pairs = (line.rsplit(" ", 1) for line in lines if "{" not in line)
        values = {name.removeprefix("savoryroute_"): value for name, value in pairs}
        return {
            name: float(value)
            for name, value in values.items()
            if not name.startswith("#")
        }

    async def _platform_calls(self) -> int:
        """Return the number of calls that the platform has received."""
        url = f"http://{LOOPBACK}:{self._wiring.platform_control_port}/lab/counts"
        async with self._session.get(url) as response:
            return sum((await response.json()).values())

    async def _load(
        self, entry: str, rate_per_s: float, latencies_s: list[float]
    ) -> None:
        """Send calls to one daemon in open loop for the duration of the window."""
        port = self._wiring.ports[entry].callers
        url = f"http://{LOOPBACK}:{port}/s1/items/1"
        start_s = time.monotonic()
        tasks = []
        for number in range(round(rate_per_s * self._window_s)):
            due_s = start_s + number / rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            tasks.append(asyncio.create_task(self._call(url, latencies_s)))
        await asyncio.gather(*tasks)

    async def _call(self, url: str, latencies_s: list[float]) -> None:
        """Send one call; record its latency if its answer is complete."""
        start_s = time.perf_counter()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                async with self._session.post(url, data=b"x" * BODY_BYTES) as response:
                    answer = await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return
        if response.status == 200 and len(answer) >= BODY_BYTES:
            latencies_s.append(time.perf_counter() - start_s)

    async def _publish_repeatedly(self, n_changes: int, rate_per_s: float) -> None:
        """Publish ``n_changes`` changes of the document at a rate."""
        for _ in range(n_changes):
            await self._publish(N_SERVICES)
            await asyncio.sleep(1 / rate_per_s)

    async def _measure_activation(self, n_services: int) -> float:
        """Publish a change and return the seconds until it is active on all daemons.

        Waiting ends after about ``ACTIVATION_TIMEOUT_S`` seconds in any case.
        """
        start_s = time.monotonic()
        await self._publish(n_services)
        pending = set(self._hosts)
        while pending and time.monotonic() - start_s < ACTIVATION_TIMEOUT_S:
            await asyncio.sleep(ACTIVATION_POLL_S)
            for host in list(pending):
                gauges = await self._gauges(host)
                if gauges["document_revision"] >= self._revision:
                    pending.discard(host)
        return time.monotonic() - start_s

    async def _publish(self, n_services: int) -> int:
        """Publish the next version of the document and return its size in bytes."""
        self._version += 1
        document = self._deployment.document("production", self._version)
        services = document["services"]
        for number in range(N_SERVICES, n_services):
            services[f"s{number}"] = services["s0"]
        # Each version differs in the queue length of one service.
        changed = dict(services["s0"], queue_length=100 + self._version)
        services["s0"] = changed
        text = json.dumps(document)
        self._revision = await self._launcher.publish(PRODUCTION, text)
        return len(text)


def _mean_rate_per_s(pairs: Sequence[tuple[_Sample, _Sample]], gauge: str) -> float:
    """Return the mean increase per second of a gauge over the measured daemons."""
    rates = [
        (b.gauges[gauge] - a.gauges[gauge]) / (b.time_s - a.time_s) for a, b in pairs
    ]
    return round(statistics.mean(rates), 2)


def _deployment(n_hosts: int) -> Deployment:
    """Return a deployment of two services in three failure domains."""
    routes = (RouteSpec("POST", "/", "view"),)
    halves = (n_hosts // N_SERVICES, n_hosts - n_hosts // N_SERVICES)
    services = tuple(
        ServiceSpec(f"s{number}", n_upstreams, SLOTS, 16 * SLOTS, routes, 0.0)
        for number, n_upstreams in enumerate(halves)
    )
    classes = (ClassSpec("view", 0, 1000, 5000),)
    return Deployment("r", FAILURE_DOMAINS, services, classes)
