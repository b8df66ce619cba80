"""Cost of a hop: latency of the same exchange directly, via one daemon and via two.

Usage:
  hop_cost [--rate=N] [--seconds=N] [--rounds=N] [--profile=FILE]

Options:
  --rate=N        Requests per second in open loop [default: 155].
  --seconds=N     Duration of each measurement [default: 4].
  --rounds=N      Rounds; each measures all paths in turn [default: 3].
  --profile=FILE  Run the entry daemon under cProfile and print its time by stage.

Each path is measured in open loop at the given rate, then in closed loop with one
request at a time. Prints one JSON object; it lists the paths under ``ways``.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
import docopt
import uvloop

from .deployment import ClassSpec, Deployment, RouteSpec, ServiceSpec
from .hop_echo import EchoPeer
from .hop_stages import stage_shares
from .http import client_session
from .launcher import Launcher, daemon_name
from .processes import ProcessUsage, read_usage
from .tally import quantile
from .wiring import Wiring

__all__ = ["HopCost", "main"]

BODY_BYTES = 1024
CLOSED_CALLS = 300
CONNECTIONS = 64
WARM_UP_CALLS = 200
SETTLE_S = 1.0
TIMEOUT_S = 5.0
LOCAL_SERVICE = "own"
PEER_SERVICE = "peer"

Exchange = Callable[[], Awaitable[None]]


@attrs.define
class PathFigures:
    """Latencies of one path, and the processor time of both daemons.

    Attributes:
        open_s: Latencies in open loop in seconds.
        closed_s: Latencies in closed loop in seconds.
        n_failed: Exchanges without a complete answer.
        entry_cpu_s: Processor seconds of the entry daemon in open loop.
        peer_cpu_s: Processor seconds of the peer daemon in open loop.
    """

    open_s: list[float] = attrs.Factory(list)
    closed_s: list[float] = attrs.Factory(list)
    n_failed: int = 0
    entry_cpu_s: float = 0.0
    peer_cpu_s: float = 0.0

    def summary(self, bare: PathFigures) -> dict[str, float]:
        """Return the figures in milliseconds, compared with those without daemons."""
        n_calls = max(1, len(self.open_s))
        return {
            "n_open": len(self.open_s),
            "n_failed": self.n_failed,
            "open_p50_ms": _ms(self.open_s, 0.5),
            "open_p99_ms": _ms(self.open_s, 0.99),
            "closed_p50_ms": _ms(self.closed_s, 0.5),
            "closed_p99_ms": _ms(self.closed_s, 0.99),
            "open_p50_ratio": _ratio(self.open_s, bare.open_s, 0.5),
            "open_p99_ratio": _ratio(self.open_s, bare.open_s, 0.99),
            "closed_p50_ratio": _ratio(self.closed_s, bare.closed_s, 0.5),
            "added_open_p50_ms": _added_ms(self.open_s, bare.open_s, 0.5),
            "added_open_p99_ms": _added_ms(self.open_s, bare.open_s, 0.99),
            "entry_cpu_ms_per_call": round(1000 * self.entry_cpu_s / n_calls, 3),
            "peer_cpu_ms_per_call": round(1000 * self.peer_cpu_s / n_calls, 3),
        }


class HopCost:
    """Deployment of two hosts, measured over several paths.

    Args:
        rate_per_s: Requests per second in open loop.
        seconds: Duration of each measurement in seconds.
        profile: File for the profile of the entry daemon; empty for none.
    """

    def __init__(self, rate_per_s: float, seconds: float, profile: str) -> None:
        self._rate_per_s = rate_per_s
        self._seconds = seconds
        self._wiring = Wiring.new(_deployment())
        entry, peer = self._wiring.deployment.upstreams
        self._entry_host, self._peer_host = entry.host, peer.host
        interpreter_options = {}
        if profile:
            interpreter_options[daemon_name(entry.host)] = [
                "-m",
                "cProfile",
                "-o",
                profile,
            ]
        settings = {"work_s": 0.0, "payload_bytes": BODY_BYTES}
        self._launcher = Launcher(
            self._wiring, settings, interpreter_options=interpreter_options
        )
        self._echo = EchoPeer()
        self._session: aiohttp.ClientSession | None = None
        self._figures: dict[str, PathFigures] = {}

    async def run(self, n_rounds: int) -> dict[str, dict[str, float]]:
        """Measure all paths in turn and return their figures by path.

        Args:
            n_rounds: Rounds; each measures all paths.
        """
        try:
            await self._launcher.start()
            await self._echo.start()
            self._session = client_session(
                connector=aiohttp.TCPConnector(limit=CONNECTIONS)
            )
            await asyncio.sleep(SETTLE_S)
            paths = self._paths()
            for exchange in paths.values():
                for _ in range(WARM_UP_CALLS):
                    await exchange()
            for _ in range(n_rounds):
                for name, exchange in paths.items():
                    await self._measure(name, exchange)
        finally:
            await self._stop()
        bare = self._figures["bare"]
        return {name: figures.summary(bare) for name, figures in self._figures.items()}

    async def _stop(self) -> None:
        if self._session is not None:
            await self._session.close()
        await self._echo.stop()
        await self._launcher.stop()
        self._launcher.remove_folder()

    def _paths(self) -> dict[str, Exchange]:
        """Return the exchange to run for each path."""
        ports = self._wiring.ports[self._entry_host]
        bare = f"http://127.0.0.1:{ports.upstream}/items/1"
        entry = f"http://127.0.0.1:{ports.callers}"
        return {
            "bare": self._post(bare),
            "one_daemon": self._post(f"{entry}/{LOCAL_SERVICE}/items/1"),
            "two_daemons": self._post(f"{entry}/{PEER_SERVICE}/items/1"),
            "bare_websocket": self._echo.exchange,
        }

    def _post(self, url: str) -> Exchange:
        """Return an exchange that posts a request to a URL."""
        body = b"x" * BODY_BYTES

        async def exchange() -> None:
            async with self._session.post(url, data=body) as response:
                answer = await response.read()
                if response.status != 200 or len(answer) < BODY_BYTES:
                    raise aiohttp.ClientPayloadError(f"status {response.status}")

        return exchange

    async def _measure(self, name: str, exchange: Exchange) -> None:
        """Measure one path in open loop, then in closed loop."""
        figures = self._figures.setdefault(name, PathFigures())
        before = self._usages()
        await self._open_loop(figures, exchange)
        after = self._usages()
        figures.entry_cpu_s += after[0].cpu_s - before[0].cpu_s
        figures.peer_cpu_s += after[1].cpu_s - before[1].cpu_s
        for _ in range(CLOSED_CALLS):
            await self._time_exchange(figures, figures.closed_s, exchange)

    async def _open_loop(self, figures: PathFigures, exchange: Exchange) -> None:
        """Start exchanges at a constant rate and wait until all have ended."""
        tasks = []
        start_s = time.monotonic()
        for number in range(round(self._rate_per_s * self._seconds)):
            due_s = start_s + number / self._rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            timed = self._time_exchange(figures, figures.open_s, exchange)
            tasks.append(asyncio.create_task(timed))
        await asyncio.gather(*tasks)

    async def _time_exchange(
        self, figures: PathFigures, latencies_s: list[float], exchange: Exchange
    ) -> None:
        """Record the latency of one exchange, or count it as failed."""
        start_s = time.perf_counter()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await exchange()
        except (aiohttp.ClientError, OSError, TimeoutError):
            figures.n_failed += 1
            return
        latencies_s.append(time.perf_counter() - start_s)

    def _usages(self) -> tuple[ProcessUsage, ProcessUsage]:
        """Return the resource usage of the entry daemon and the peer daemon."""
        hosts = (self._entry_host, self._peer_host)
        entry, peer = (read_usage(self._launcher.pid(daemon_name(h))) for h in hosts)
        return entry, peer


def _deployment() -> Deployment:
    """Return a deployment of two services with one host each in one failure domain."""
    routes = (RouteSpec("POST", "/", "view"),)
    services = tuple(
        ServiceSpec(name, 1, CONNECTIONS, 4 * CONNECTIONS, routes, 0.0)
        for name in (LOCAL_SERVICE, PEER_SERVICE)
    )
    classes = (ClassSpec("view", 0, 1000, 5000),)
    return Deployment("r", ("d",), services, classes)


def _ms(latencies_s: list[float], fraction: float) -> float:
    return round(1000 * quantile(latencies_s, fraction), 3)


def _ratio(latencies_s: list[float], bare_s: list[float], fraction: float) -> float:
    return round(
        quantile(latencies_s, fraction) / (quantile(bare_s, fraction) or 1.0), 2
    )


def _added_ms(latencies_s: list[float], bare_s: list[float], fraction: float) -> float:
    return round(
        1000 * (quantile(latencies_s, fraction) - quantile(bare_s, fraction)), 3
    )


def main() -> int:
    """Run all measurements and print them; return the exit status."""
    options = docopt.docopt(__doc__)
    profile = options["--profile"] or ""
    study = HopCost(float(options["--rate"]), float(options["--seconds"]), profile)
    figures: dict[str, object] = {}
    figures["ways"] = uvloop.run(study.run(int(options["--rounds"])))
    if profile:
        figures["entry_daemon_stages"] = stage_shares(profile)
    print(json.dumps(figures, indent=1))
    return 0


if __name__ == "__main__":
    sys.exit(main())
