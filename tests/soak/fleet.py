"""Daemons in processes of their own, with stand-ins in the process of the soak."""

from __future__ import annotations

import asyncio
import pathlib
import signal
import subprocess
import tempfile

from savoryroute_lab.wiring import free_ports
from tests.savoryroute_platform.process_fleet import spawn_daemon
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


class SoakFleet:
    """Daemons of two services, each with proxies to its upstream and to the store."""

    SERVICES = ("front", "planner", "planner", "planner")

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
        ) = free_ports(7)
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreStandIn()
        self.upstreams: list[UpstreamStandIn] = []
        self.upstream_proxies: list[Proxy] = []
        self.store_proxies: list[Proxy] = []
        self.processes: list[subprocess.Popen] = []
        self.logs: list[pathlib.Path] = []
        self.version = 0
        # Index of the host, requests a second, and monotonic times of begin and end.
        self.limits: list[tuple[int, float, float, float]] = []

    def ip(self, index: int) -> str:
        return f"127.0.{self.subnet}.{index + 1}"

    async def start(self) -> None:
        await self.store.start("127.0.0.1", self.store_port)
        self.publish()
        for index, service in enumerate(self.SERVICES):
            ip = self.ip(index)
            upstream = UpstreamStandIn(f"i-{index}", delay_s=0.02)
            await upstream.start(ip, self.app_port)
            self.upstreams.append(upstream)
            proxy = Proxy((ip, self.app_port))
            await proxy.start(ip, self.proxy_port)
            self.upstream_proxies.append(proxy)
            store_proxy = Proxy(("127.0.0.1", self.store_port))
            await store_proxy.start(ip, self.store_proxy_port)
            self.store_proxies.append(store_proxy)
            self.list_instance(index)
            self.logs.append(pathlib.Path(self.folder.name, f"daemon-{index}.log"))
            self.processes.append(self._spawn(index, service))

    def publish(self) -> None:
        """Publish the next version; it has a route named after its number."""
        self.version += 1
        paths = [
            path("/safe/", "planner", "safe"),
            path("/once/", "planner", "unsafe", priority=0),
            path("/upload/", "planner", "upload"),
            path(f"/v{self.version}/", "planner", "safe"),
        ]
        source = configuration(self.version, {"shop.example": paths}, ["planner"])
        self.store.put("op/config", source)

    def list_instance(self, index: int, **changes) -> None:
        service = self.SERVICES[index]
        value = entry(service, self.ip(index), self.app_port, slots=20, **changes)
        self.store.put(f"servers/i-{index}", value)

    def signal(self, index: int, number: signal.Signals) -> None:
        if self.processes[index].poll() is None:
            self.processes[index].send_signal(number)

    async def restart(self, index: int) -> None:
        """Wait until a daemon's process has ended, then start the daemon again."""
        process = self.processes[index]
        async with asyncio.timeout(STOP_TIMEOUT_S):
            while process.poll() is None:
                await asyncio.sleep(0.02)
        self.processes[index] = self._spawn(index, self.SERVICES[index])

    def stop(self) -> None:
        """Kill the daemons that this fleet started and stop proxies and stand-ins."""
        for process in self.processes:
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

    def _spawn(self, index: int, service: str) -> subprocess.Popen:
        ip = self.ip(index)
        settings = {
            "host": f"host-{index}",
            "ip": ip,
            "failure_domain": f"zone-{index % 2}",
            "service": service,
            "callers": f"{ip}:{self.port}",
            "links": f"{ip}:{self.link_port}",
            "readiness": f"{ip}:{self.ready_port}",
            "metrics_port": 0,
            "upstream": f"{ip}:{self.proxy_port}",
            "platform": f"{ip}:{self.store_proxy_port}",
            "seeds": [],
            "retry_ratio": RETRY_RATIO,
            "retry_slack": RETRY_SLACK,
            "grace_s": "6s",
            "memory_mb": 300,
        }
        return spawn_daemon(
            settings, self.folder.name, self.logs[index], f"settings-{index}"
        )
