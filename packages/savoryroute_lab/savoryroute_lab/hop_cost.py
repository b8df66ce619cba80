"""Cost of a hop: the same exchange bare, through one daemon and through two.

Usage:
  hop_cost [--rate=N] [--seconds=N] [--rounds=N] [--profile=FILE]

Options:
  --rate=N        Requests a second in open loop [default: 155].
  --seconds=N     Length of each measurement [default: 4].
  --rounds=N      Times that all ways are measured in turn [default: 3].
  --profile=FILE  Run the entry daemon under cProfile and print its stages.

Each way is measured in open loop at the rate, then in closed loop with one request
at a time. Prints one JSON object.
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
OWN = "own"
PEER = "peer"

Exchange = Callable[[], Awaitable[None]]


@attrs.define
class WayFigures:
    """Latencies of one way, and the processor time of both daemons.

    Attributes:
        open_s: Latencies in open loop in seconds.
        closed_s: Latencies in closed loop in seconds.
        n_failed: Exchanges without a whole answer.
        entry_cpu_s: Processor time of the entry daemon in open loop.
        peer_cpu_s: Processor time of the peer's daemon in open loop.
    """

    open_s: list[float] = attrs.Factory(list)
    closed_s: list[float] = attrs.Factory(list)
    n_failed: int = 0
    entry_cpu_s: float = 0.0
    peer_cpu_s: float = 0.0

    def summary(self, base: WayFigures) -> dict[str, float]:
        """Return the figures in milliseconds, with ratios to the bare exchange."""
        n_calls = max(1, len(self.open_s))
        return {
            "n_open": len(self.open_s),
            "n_failed": self.n_failed,
            "open_p50_ms": _ms(self.open_s, 0.5),
            "open_p99_ms": _ms(self.open_s, 0.99),
            "closed_p50_ms": _ms(self.closed_s, 0.5),
            "closed_p99_ms": _ms(self.closed_s, 0.99),
            "open_p50_ratio": _ratio(self.open_s, base.open_s, 0.5),
            "open_p99_ratio": _ratio(self.open_s, base.open_s, 0.99),
            "closed_p50_ratio": _ratio(self.closed_s, base.closed_s, 0.5),
            "added_open_p50_ms": _added_ms(self.open_s, base.open_s, 0.5),
            "added_open_p99_ms": _added_ms(self.open_s, base.open_s, 0.99),
            "entry_cpu_ms_per_call": round(1000 * self.entry_cpu_s / n_calls, 3),
            "peer_cpu_ms_per_call": round(1000 * self.peer_cpu_s / n_calls, 3),
        }


class HopCost:
    """One deployment of two hosts, measured in several ways.

    Args:
        rate_per_s: Requests a second in open loop.
        seconds: Length of each measurement.
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
        self._figures: dict[str, WayFigures] = {}

    async def run(self, n_rounds: int) -> dict[str, dict[str, float]]:
        """Measure all ways in turn and return their figures."""
        try:
            await self._launcher.start()
            await self._echo.start()
            self._session = client_session(
                connector=aiohttp.TCPConnector(limit=CONNECTIONS)
            )
            await asyncio.sleep(SETTLE_S)
            ways = self._ways()
            for exchange in ways.values():
                for _ in range(WARM_UP_CALLS):
                    await exchange()
            for _ in range(n_rounds):
                for name, exchange in ways.items():
                    await self._measure(name, exchange)
        finally:
            await self._stop()
        bare = self._figures["bare"]
        return {name: found.summary(bare) for name, found in self._figures.items()}

    async def _stop(self) -> None:
        if self._session is not None:
            await self._session.close()
        await self._echo.stop()
        await self._launcher.stop()
        self._launcher.remove_folder()

    def _ways(self) -> dict[str, Exchange]:
        """Return what is exchanged in each way."""
        ports = self._wiring.ports[self._entry_host]
        bare = f"http://127.0.0.1:{ports.upstream}/items/1"
        entry = f"http://127.0.0.1:{ports.callers}"
        return {
            "bare": self._post(bare),
            "one_daemon": self._post(f"{entry}/{OWN}/items/1"),
            "two_daemons": self._post(f"{entry}/{PEER}/items/1"),
            "bare_websocket": self._echo.exchange,
        }

    def _post(self, url: str) -> Exchange:
        """Return one HTTP exchange with an address."""
        body = b"x" * BODY_BYTES

        async def exchange() -> None:
            async with self._session.post(url, data=body) as response:
                answer = await response.read()
                if response.status != 200 or len(answer) < BODY_BYTES:
                    raise aiohttp.ClientPayloadError(f"status {response.status}")

        return exchange

    async def _measure(self, name: str, exchange: Exchange) -> None:
        """Measure one way in open loop, then in closed loop."""
        figures = self._figures.setdefault(name, WayFigures())
        before = self._usages()
        await self._open_loop(figures, exchange)
        after = self._usages()
        figures.entry_cpu_s += after[0].cpu_s - before[0].cpu_s
        figures.peer_cpu_s += after[1].cpu_s - before[1].cpu_s
        for _ in range(CLOSED_CALLS):
            await self._timed(figures, figures.closed_s, exchange)

    async def _open_loop(self, figures: WayFigures, exchange: Exchange) -> None:
        """Send at the rate whatever the answers; wait for the last ones."""
        tasks = []
        start_s = time.monotonic()
        for number in range(round(self._rate_per_s * self._seconds)):
            due_s = start_s + number / self._rate_per_s
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            timed = self._timed(figures, figures.open_s, exchange)
            tasks.append(asyncio.create_task(timed))
        await asyncio.gather(*tasks)

    async def _timed(
        self, figures: WayFigures, latencies_s: list[float], exchange: Exchange
    ) -> None:
        """Keep the latency of one exchange, or count it as failed."""
        start_s = time.perf_counter()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await exchange()
        except (aiohttp.ClientError, OSError, TimeoutError):
            figures.n_failed += 1
            return
        latencies_s.append(time.perf_counter() - start_s)

    def _usages(self) -> tuple[ProcessUsage, ProcessUsage]:
        """Return the resource use of the entry's and the peer's daemon."""
        hosts = (self._entry_host, self._peer_host)
        entry, peer = (read_usage(self._launcher.pid(daemon_name(h))) for h in hosts)
        return entry, peer


def _deployment() -> Deployment:
    """Return two services of one host each in one failure domain."""
    routes = (RouteSpec("POST", "/", "view"),)
    services = tuple(
        ServiceSpec(name, 1, CONNECTIONS, 4 * CONNECTIONS, routes, 0.0)
        for name in (OWN, PEER)
    )
    classes = (ClassSpec("view", 0, 1000, 5000),)
    return Deployment("r", ("d",), services, classes)


def _ms(latencies_s: list[float], q: float) -> float:
    return round(1000 * quantile(latencies_s, q), 3)


def _ratio(latencies_s: list[float], base_s: list[float], q: float) -> float:
    return round(quantile(latencies_s, q) / (quantile(base_s, q) or 1.0), 2)


def _added_ms(latencies_s: list[float], base_s: list[float], q: float) -> float:
    return round(1000 * (quantile(latencies_s, q) - quantile(base_s, q)), 3)


def main() -> int:
    """Measure and print."""
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
