"""A small deployment on loopback: a store, backends, and daemons as processes.

Daemons are started with the command of ``deploy/system.toml`` at the repository root,
with settings filled into ``deploy/settings.json5``.
"""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

from standins import Backend, Connection, Request, Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
SECTION = re.compile(r"\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/\1\}\}", re.S)
FIELD = re.compile(r"\{\{([a-z0-9.-]+)\|json\}\}")


def free_ports(n: int) -> list[int]:
    """Return free ports outside of the range from which the system takes them."""
    found, port = [], 20_000 + os.getpid() * 7 % 9_000
    while len(found) < n:
        port += 1
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
        found.append(port)
    return found


def fill(template: str, fields: dict) -> str:
    """Fill a template of the deploy file."""

    def value(name: str) -> object:
        found: object = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    template = SECTION.sub(
        lambda m: m[2] if value(m[1]) is not None else "", template
    )
    return FIELD.sub(lambda m: json.dumps(value(m[1])), template)


class Fleet:
    """One deployment.

    Args:
        folder: Folder of the case, for ``record.txt``.
        services: Service of each machine.
        zones: Zones, given to the machines in turn.
        memory_mb: Memory of a process.
    """

    BOUNDS = {
        "contact": "3000ms",
        "drain": "2000ms",
        "grace": "6s",
        "loss-slack": "200ms",
        "config-apply": "2000ms",
        "retry-budget-ratio": 0.2,
        "budget-window": "10s",
        "retry-slack": 49,
        "recovery": "15s",
    }

    def __init__(
        self, folder, services, zones=("nbo-a", "nbo-b", "nbo-c"), memory_mb=300
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.services = services
        self.zones = zones
        self.memory_mb = memory_mb
        self.started_s = time.monotonic()
        self.subnet = 20 + os.getpid() % 200
        (
            self.port,
            self.link_port,
            self.ready_port,
            self.metrics_port,
            self.app_port,
            self.store_port,
        ) = free_ports(6)
        self.store = Store()
        self.backends: list[Backend | None] = []
        self.processes: dict[int, subprocess.Popen] = {}
        self.arrivals: list[tuple[float, Backend, Request]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._record = (self.folder / "record.txt").open("w")

    def ip(self, index: int) -> str:
        return f"127.71.{self.subnet}.{index + 1}"

    def zone(self, index: int) -> str:
        return self.zones[index % len(self.zones)]

    @property
    def now_s(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self.started_s

    def note(self, *words: object) -> None:
        """Write a line to record.txt."""
        print(f"{self.now_s:8.3f}", *words, file=self._record, flush=True)

    def note_arrival(self, backend: Backend, request: Request) -> None:
        self.arrivals.append((self.now_s, backend, request))

    async def start(
        self, works: list, paths: list[dict], receive_buffer: int | None = None
    ) -> None:
        """Start the store, the backends and the daemons.

        Args:
            works: What the backend of each machine does, None for no backend.
            paths: Routes of the configuration.
            receive_buffer: Size of the receive buffers of the backends' sockets.
        """
        await self.store.start("127.0.0.1", self.store_port)
        self.store.put("op/config", self.configuration(1, paths))
        for index, work in enumerate(works):
            backend = None
            if work is not None:
                backend = Backend(self, index, self.services[index], work)
                backend.receive_buffer = receive_buffer
                await backend.start()
            self.backends.append(backend)
        for index in range(len(self.services)):
            self.spawn(index)
        async with asyncio.timeout(20):
            for index in range(len(self.services)):
                while not await self.is_ready(index):
                    await asyncio.sleep(0.1)
        # Instances are known a moment after the routes.
        await asyncio.sleep(1.0)
        self.note("ready", len(self.services), "daemons")

    def configuration(self, version: int, paths: list[dict]) -> dict:
        return {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "health-path": "/health", "max-connections": 600}
                for name in sorted(set(self.services))
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1_000_000,
                "header-timeout": "3s",
                "idle-timeout": "15s",
            },
            "virtual-hosts": [{"hostname": "shop.example", "paths": paths}],
        }

    def spawn(self, index: int) -> None:
        """Start the daemon of a machine as the deploy file says."""
        ip = self.ip(index)
        fields = {
            "node-name": f"sidecar-{self.zone(index)}-{index + 1}",
            "ip": ip,
            "zone": self.zone(index),
            "service": self.services[index],
            "listen": {
                "outbound": f"{ip}:{self.port}",
                "inbound": f"{ip}:{self.link_port}",
                "readiness": f"{ip}:{self.ready_port}",
            },
            "port-range": [self.metrics_port, self.metrics_port],
            "app-addr": f"{ip}:{self.app_port}",
            "platform": {"address": f"127.0.0.1:{self.store_port}"},
            "seeds": [],
            "bounds": self.BOUNDS,
            "limits": {"memory-mb": self.memory_mb},
        }
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        settings = pathlib.Path(self._temporary.name, f"settings-{index}")
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SAVORYROUTE_NODE_FILE": str(settings),
        }
        log = open(pathlib.Path(self._temporary.name, f"daemon-{index}.log"), "ab")
        with log:
            self.processes[index] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def log_of(self, index: int) -> str:
        return pathlib.Path(self._temporary.name, f"daemon-{index}.log").read_text()

    def signal(self, index: int, number: signal.Signals) -> None:
        self.note("signal", number.name, "to the daemon of machine", index + 1)
        self.processes[index].send_signal(number)

    async def is_ready(self, index: int) -> bool:
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip(index), self.ready_port
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def client(self, index: int) -> Connection:
        return Connection(self, index)

    def stop(self) -> None:
        """End all processes that were started, and the stand-ins."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for backend in self.backends:
            if backend is not None:
                backend.stop()
        self.store.stop()
        self._record.close()
        self._temporary.cleanup()


def path(prefix: str, service: str, kind: str = "safe", **changes) -> dict:
    """Return a route."""
    return {
        "name": "r" + prefix.strip("/"),
        "prefix": prefix,
        "kind": kind,
        "timeout": "5000ms",
        "target-latency": "1500ms",
        "priority": 1,
        "service": service,
        "max-attempts": 2,
    } | changes


def run(main) -> None:
    """Run a case and exit with its result, 2 if it could not run."""
    try:
        result = asyncio.run(main())
    except (Exception, KeyboardInterrupt) as error:
        print(f"the case could not run: {error!r}")
        result = 2
    raise SystemExit(result)
