"""Daemons in processes of their own, with stand-ins in the process of the soak."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

from savoryroute_lab.wiring import free_ports
from tests.savoryroute_platform.process_fleet import (
    ENDLESS_UPSTREAM,
    MB,
    MEMORY_CHECK_S,
    resident_bytes,
    spawn_daemon,
)
from tests.savoryroute_platform.stand_ins import (
    StoreStandIn,
    UpstreamStandIn,
    configuration,
    entry,
    path,
)

from .proxy import Proxy

__all__ = ["RETRY_RATIO", "RETRY_SLACK", "SoakFleet"]

STOP_TIMEOUT_S = 10.0
RETRY_RATIO = 0.2
RETRY_SLACK = 10.0
MEMORY_MB = 200
RESTART_S = 0.5


class SoakFleet:
    """Daemons of four services, each with proxies to its upstream and to the store.

    The upstream of ``faulty`` is a process that sends answers without end. A daemon
    above its memory is ended and started again, as is one that ended by itself.
    """

    SERVICES = ("front", "planner", "planner", "planner", "faulty", "steady")
    PLANNERS = range(1, 4)
    FAULTY = 4
    STEADY = 5

    def __init__(self, seed: int) -> None:
        self.subnet = 200 + seed % 50
        (
            self.port,
            self.link_port,
            self.ready_port,
            self.app_port,
            self.proxy_port,
            self.store_port,
            self.store_proxy_port,
            self.endless_port,
        ) = free_ports(8)
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreStandIn()
        self.upstreams: list[UpstreamStandIn] = []
        self.upstream_proxies: list[Proxy] = []
        self.store_proxies: list[Proxy] = []
        self.processes: list[subprocess.Popen] = []
        self.logs: list[pathlib.Path] = []
        self.version = 0
        # Promises that daemons broke during faults, most resident memory of any daemon
        # in bytes, and monotonic times of the last starts of and signals to each.
        self.problems: list[str] = []
        self.peak_bytes = 0
        self.disturbed_s = [0.0] * len(self.SERVICES)
        self._rng = random.Random(seed)
        self._signalled: set[subprocess.Popen] = set()
        self._endless: subprocess.Popen | None = None
        self._guards: list[asyncio.Task] = []
        # Index of the host, requests a second, and monotonic times of begin and end.
        self.limits: list[tuple[int, float, float, float]] = []

    def ip(self, index: int) -> str:
        return f"127.0.{self.subnet}.{index + 1}"

    async def start(self) -> None:
        await self.store.start("127.0.0.1", self.store_port)
        self.publish()
        self._endless = subprocess.Popen(
            [
                sys.executable,
                str(ENDLESS_UPSTREAM),
                self.ip(self.FAULTY),
                str(self.endless_port),
            ]
        )
        for index, service in enumerate(self.SERVICES):
            ip = self.ip(index)
            upstream = UpstreamStandIn(f"i-{index}", delay_s=0.02)
            await upstream.start(ip, self.app_port)
            self.upstreams.append(upstream)
            proxy = Proxy((ip, self.app_port), self._rng)
            await proxy.start(ip, self.proxy_port)
            self.upstream_proxies.append(proxy)
            store_proxy = Proxy(("127.0.0.1", self.store_port), self._rng)
            await store_proxy.start(ip, self.store_proxy_port)
            self.store_proxies.append(store_proxy)
            self.list_instance(index)
            self.logs.append(pathlib.Path(self.folder.name, f"daemon-{index}.log"))
            self.processes.append(self._spawn(index, service))
            self._guards.append(asyncio.create_task(self._guard(index)))

    def publish(self) -> None:
        """Publish the next version; it has a route named after its number."""
        self.version += 1
        paths = [
            path("/safe/", "planner", "safe"),
            path("/once/", "planner", "unsafe", priority=0),
            path("/upload/", "planner", "upload"),
            path(f"/v{self.version}/", "planner", "safe"),
            path("/steady/", "steady", "safe"),
            path("/faulty/", "faulty", "safe"),
        ]
        services = ["planner", "faulty", "steady"]
        source = configuration(self.version, {"shop.example": paths}, services)
        self.store.put("op/config", source)

    def list_instance(self, index: int, **changes) -> None:
        service = self.SERVICES[index]
        value = entry(service, self.ip(index), self.app_port, slots=20, **changes)
        self.store.put(f"servers/i-{index}", value)

    def signal(self, index: int, number: signal.Signals) -> None:
        process = self.processes[index]
        if process.poll() is None:
            process.send_signal(number)
            if number is not signal.SIGHUP:
                self.disturbed_s[index] = time.monotonic()
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._signalled.add(process)

    def is_undisturbed(
        self, index: int, process: subprocess.Popen, since_s: float
    ) -> bool:
        """Whether a daemon's process got no signals since a monotonic time."""
        return not self.was_ended(process) and self.disturbed_s[index] < since_s

    def was_ended(self, process: subprocess.Popen) -> bool:
        """Whether this fleet has sent a process a signal that ends it."""
        return process in self._signalled

    async def restart(self, index: int) -> None:
        """Wait until a daemon's process has ended, then start the daemon again."""
        process = self.processes[index]
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
        # An overlapping fault may have started it.
        if self.processes[index] is process:
            self.processes[index] = self._spawn(index, self.SERVICES[index])

    def stop(self) -> None:
        """Kill the daemons that this fleet started and stop proxies and stand-ins."""
        for guard in self._guards:
            guard.cancel()
        for process in [*self.processes, self._endless]:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for proxy in self.upstream_proxies + self.store_proxies:
            proxy.stop()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        self.folder.cleanup()

    async def _guard(self, index: int) -> None:
        """End and restart a daemon above its memory, or one that ended by itself."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            process = self.processes[index]
            n_bytes = resident_bytes(process.pid)
            self.peak_bytes = max(self.peak_bytes, n_bytes)
            is_over = n_bytes > MEMORY_MB * MB
            if is_over or process.poll() is not None and not self.was_ended(process):
                seen = f"{n_bytes / MB:.0f} MB, status {process.poll()}"
                self.problems.append(f"host {index} ended: {seen}")
                self._signalled.add(process)
                process.kill()
                await asyncio.sleep(RESTART_S)
                await self.restart(index)

    def _spawn(self, index: int, service: str) -> subprocess.Popen:
        ip = self.ip(index)
        is_faulty = index == self.FAULTY
        upstream_port = self.endless_port if is_faulty else self.proxy_port
        self.disturbed_s[index] = time.monotonic()
        settings = {
            "host": f"host-{index}",
            "ip": ip,
            "failure_domain": f"zone-{index % 2}",
            "service": service,
            "callers": f"{ip}:{self.port}",
            "links": f"{ip}:{self.link_port}",
            "readiness": f"{ip}:{self.ready_port}",
            "metrics_port": 0,
            "upstream": f"{ip}:{upstream_port}",
            "platform": f"{ip}:{self.store_proxy_port}",
            "seeds": [],
            "retry_ratio": RETRY_RATIO,
            "retry_slack": RETRY_SLACK,
            "grace_s": "6s",
            "memory_mb": MEMORY_MB,
        }
        return spawn_daemon(
            settings, self.folder.name, self.logs[index], f"settings-{index}"
        )
