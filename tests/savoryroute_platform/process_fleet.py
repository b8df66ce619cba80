"""Daemons as processes that are ended above their memory, as a platform does."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile

from savoryroute_lab.wiring import free_ports

from .stand_ins import StoreStandIn, UpstreamStandIn, configuration, entry, path

__all__ = ["ProcessFleet", "spawn_daemon"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = ROOT / "platform" / "main.py"
ENDLESS_UPSTREAM = pathlib.Path(__file__).with_name("endless_upstream.py")
MEMORY_CHECK_S = 0.02
SLOTS = 32
MB = 1_000_000


def spawn_daemon(
    settings: dict, folder: str, log: pathlib.Path, name: str
) -> subprocess.Popen:
    """Start a daemon with the code of this repository.

    Args:
        settings: Settings of the daemon.
        folder: Folder for its settings file.
        log: File to which its output is appended.
        name: Name of the settings file.
    """
    file = pathlib.Path(folder, f"{name}.json")
    file.write_text(json.dumps(settings))
    packages = [ROOT / "packages" / "savoryroute", ROOT / "platform"]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(map(str, packages))}
    with log.open("ab") as output:
        return subprocess.Popen(
            [sys.executable, str(PROGRAM), str(file)],
            stdout=output,
            stderr=subprocess.STDOUT,
            env=environment,
        )


class ProcessFleet:
    """Daemons of the services front, steady and faulty, one of each.

    The upstream of the last one is a process that sends answers without end. A daemon
    above its memory is ended and started again.
    """

    SERVICES = ("front", "steady", "faulty")

    def __init__(self, subnet: int, memory_mb: int = 200) -> None:
        self.subnet = subnet
        self.memory_mb = memory_mb
        (
            self.port,
            self.link_port,
            self.ready_port,
            self.metrics_port,
            self.app_port,
            self.store_port,
        ) = free_ports(6)
        self.folder = tempfile.TemporaryDirectory()
        self.store = StoreStandIn()
        self.upstreams: list[UpstreamStandIn] = []
        self.daemons: list[subprocess.Popen] = []
        # Most resident memory in bytes of each daemon, and indexes of ended daemons.
        self.peak_bytes = [0] * len(self.SERVICES)
        self.ends: list[int] = []
        self._endless: subprocess.Popen | None = None
        self._guards: list[asyncio.Task] = []

    def ip(self, index: int) -> str:
        return f"127.0.{self.subnet}.{index + 1}"

    async def start(self) -> None:
        await self.store.start("127.0.0.1", self.store_port)
        paths = [path(f"/{name}/", name, timeout="4000ms") for name in self.SERVICES]
        source = configuration(1, {"shop.example": paths}, [*self.SERVICES])
        self.store.put("op/config", source)
        faulty = len(self.SERVICES) - 1
        for index, service in enumerate(self.SERVICES):
            if index != faulty:
                upstream = UpstreamStandIn(f"i-{index}", delay_s=0.02)
                upstream.slots = SLOTS
                await upstream.start(self.ip(index), self.app_port)
                self.upstreams.append(upstream)
            value = entry(service, self.ip(index), self.app_port, slots=SLOTS)
            self.store.put(f"servers/i-{index}", value)
            self.daemons.append(self._spawn(index))
            self._guards.append(asyncio.create_task(self._guard(index)))
        self._endless = subprocess.Popen(
            [
                sys.executable,
                str(ENDLESS_UPSTREAM),
                self.ip(faulty),
                str(self.app_port),
            ]
        )
        async with asyncio.timeout(20.0):
            for index in range(len(self.SERVICES)):
                while not await self.is_ready(index):
                    await asyncio.sleep(0.05)
        # Instances are known a moment after the routes.
        await asyncio.sleep(1.0)

    def signal(self, index: int, number: signal.Signals) -> None:
        self.daemons[index].send_signal(number)

    def log_of(self, index: int) -> str:
        return self._log(index).read_text()

    async def metrics(self, index: int) -> dict[str, float]:
        """Return the metrics without labels of a daemon."""
        reader, writer = await asyncio.open_connection(
            self.ip(index), self.metrics_port
        )
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
        text = (await reader.read()).decode()
        writer.close()
        rows = (line.split() for line in text.splitlines() if line[:1] != "#")
        return {
            row[0].split("{")[0].removeprefix("savoryroute_"): float(row[1])
            for row in rows
            if len(row) == 2 and row[0].startswith("savoryroute_")
        }

    async def stop(self) -> None:
        for guard in self._guards:
            guard.cancel()
        for process in [*self.daemons, self._endless]:
            if process is not None:
                if process.poll() is None:
                    process.kill()
                process.wait()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()
        self.folder.cleanup()

    def _log(self, index: int) -> pathlib.Path:
        return pathlib.Path(self.folder.name, f"daemon-{index}.log")

    def _spawn(self, index: int) -> subprocess.Popen:
        ip = self.ip(index)
        settings = {
            "host": f"host-{index}",
            "ip": ip,
            "failure_domain": f"zone-{index}",
            "service": self.SERVICES[index],
            "callers": f"{ip}:{self.port}",
            "links": f"{ip}:{self.link_port}",
            "readiness": f"{ip}:{self.ready_port}",
            "metrics_port": self.metrics_port,
            "upstream": f"{ip}:{self.app_port}",
            "platform": f"127.0.0.1:{self.store_port}",
            "seeds": [],
            "retry_ratio": 0.2,
            "retry_slack": 49.0,
            "grace_s": "6s",
            "memory_mb": self.memory_mb,
        }
        return spawn_daemon(
            settings, self.folder.name, self._log(index), f"settings-{index}"
        )

    async def _guard(self, index: int) -> None:
        """End and restart a daemon above its memory, or one that ended by itself."""
        while True:
            process = self.daemons[index]
            n_bytes = resident_bytes(process.pid)
            self.peak_bytes[index] = max(self.peak_bytes[index], n_bytes)
            if n_bytes > self.memory_mb * MB or process.poll() is not None:
                self.ends.append(index)
                process.kill()
                process.wait()
                await asyncio.sleep(0.5)
                self.daemons[index] = self._spawn(index)
            await asyncio.sleep(MEMORY_CHECK_S)

    async def is_ready(self, index: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.ip(index), self.ready_port
            )
        except OSError:
            return False
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes, 0 if it has ended."""
    try:
        pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    except (OSError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")
