"""Replay of a fleet that proves its configuration, in virtual time.

The synchronizers and the task that reads are those of the daemons. The store, the links
and their delays are simulated. Run as a program it prints reads and polls per second.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from unittest import mock

from result import Err, Ok, Result
from savoryroute_platform.store import READ_TIMEOUT_S
from savoryroute_platform.watchers import prove_configuration

from savoryroute.coordination.configuration_proof import ConfigurationProof
from savoryroute.coordination.peer_polls import PeerPolls
from savoryroute.coordination.view_synchronizer import ViewSynchronizer
from savoryroute.errors import DocumentError, PlatformError
from savoryroute.protocol.mesh_frames import ViewRequest, ViewUpdate
from savoryroute.state.event_log import EventLog
from savoryroute.state.organisations import Organisations
from savoryroute.state.route_table import RouteTable
from savoryroute_lab.virtual_loop import PROCESS, VirtualLoop, run_virtual

__all__ = ["ProofReplay", "replay"]

LIMIT_S = 4.75
TICK_S = 0.05
DELAY_MAX_S = 0.005


def _decode(source: bytes) -> RouteTable:
    if not source.isdigit():
        raise DocumentError("configuration", "root", "text", "digits")
    return RouteTable(int(source), {}, {}, organisations=Organisations([]))


class _Client:
    """Client of the store at one daemon; ``fault`` is an error, or a longer delay."""

    def __init__(self, fleet: ProofReplay) -> None:
        self._fleet = fleet
        self.fault: str | float = 0.0

    async def read_item(self, key: str) -> Result[bytes, PlatformError]:
        """Read the item, as ``StoreClient`` does."""
        self._fleet.reads_s.append(self._fleet.now_s)
        await asyncio.sleep(self._fleet.delay_s())
        if isinstance(self.fault, str):
            return Err(PlatformError(self.fault))
        value = self._fleet.value
        await asyncio.sleep(min(self.fault, READ_TIMEOUT_S) + self._fleet.delay_s())
        if self.fault >= READ_TIMEOUT_S:
            return Err(PlatformError("the store did not answer in time"))
        return Ok(value)


class ProofReplay:
    """Daemons that all have links to each other.

    Attributes:
        value: Configuration in the store.
        daemons: Synchronizers of the daemons; their addresses are their numbers.
        clients: Their clients of the store.
        cut: Daemons without a path to the others.
        reads_s: Time of each read.
        n_polls: Polls sent.
        lines: Events about proofs.
    """

    def __init__(self, n_daemons: int, seed: int = 1) -> None:
        self._rng = random.Random(seed)
        self._loop: VirtualLoop = asyncio.get_running_loop()
        self.value = b"1"
        self.reads_s: list[float] = []
        self.n_polls = 0
        self.cut: set[int] = set()
        self.lines: list[tuple[int, str, dict]] = []
        self.clients = [_Client(self) for _ in range(n_daemons)]
        self.daemons: list[ViewSynchronizer] = []
        self._tasks: list[asyncio.Task] = []
        self._names = [str(number) for number in range(n_daemons)]
        for number in range(n_daemons):
            self.daemons.append(self._make(number))

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self._loop.time()

    def delay_s(self) -> float:
        """Return the time that a message takes."""
        return self._rng.uniform(0.0002, DELAY_MAX_S)

    def ages_s(self) -> list[float]:
        """Return the age of each daemon's proof."""
        return [daemon.proof_age_s for daemon in self.daemons]

    def start(self) -> None:
        """Give all daemons the routes, and start their tasks."""
        for number, daemon in enumerate(self.daemons):
            daemon.set_platform_reachable(True)
            daemon.merge_routes(self.value, "platform")
            name = PROCESS.set(self._names[number])
            read = prove_configuration(self.clients[number], daemon)
            self._tasks += [
                asyncio.create_task(read),
                asyncio.create_task(self._poll(number)),
            ]
            PROCESS.reset(name)

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.cancel()

    def _make(self, number: int) -> ViewSynchronizer:
        def change(event: str, **fields: object) -> None:
            if "proof" in event:
                self.lines.append((number, event, fields))

        log = mock.create_autospec(EventLog, instance=True)
        log.change.side_effect = change
        rng = random.Random(self._rng.random())
        proof = ConfigurationProof(log, rng, LIMIT_S, self._loop.time)
        return ViewSynchronizer(
            _decode, log, rng, lambda: None, lambda update, origin: None, proof
        )

    async def _poll(self, number: int) -> None:
        """Sweep and poll as ``MeshNode`` does."""
        daemon = self.daemons[number]
        polls = PeerPolls(self._rng, lambda: daemon.is_disconnected)
        others = [name for name in self._names if name != self._names[number]]
        while True:
            await asyncio.sleep(TICK_S)
            daemon.expire()
            if not polls.is_due():
                continue
            for peer in map(int, polls.select(others, [])):
                request = ViewRequest.from_frame(daemon.make_request().to_frame())
                self.n_polls += 1
                self._send(number, peer, self._answer, number, peer, request)

    def _answer(self, number: int, peer: int, request: ViewRequest) -> None:
        update = self.daemons[peer].update_for(request)
        if update is not None:
            update = ViewUpdate.from_frame(update.to_frame())
            merge = self.daemons[number].merge_update
            self._send(peer, number, merge, self._names[peer], update)

    def _send(self, sender: int, receiver: int, callback, *arguments) -> None:
        if sender in self.cut or receiver in self.cut:
            return
        name = PROCESS.set(self._names[receiver])
        self._loop.call_later(self.delay_s(), callback, *arguments)
        PROCESS.reset(name)


def replay(n_daemons: int, scenario, seed: int = 1):
    """Run a scenario, a coroutine function of the fleet, and return its result."""

    async def run():
        loop = asyncio.get_running_loop()
        with mock.patch.object(time, "monotonic", loop.time):
            fleet = ProofReplay(n_daemons, seed)
            fleet.start()
            try:
                return await scenario(fleet)
            finally:
                fleet.stop()

    return run_virtual(run())


def rates(n_daemons: int, n_refused: int, duration_s: float = 45.0):
    """Return reads and polls per second of a fleet, and the oldest proof of a daemon.

    Args:
        n_daemons: Number of daemons.
        n_refused: Daemons that the store turns away.
        duration_s: Time of the measurement, from 15 s after the start on; until then
            more reads fall together, as all daemons start at the same time.
    """

    async def scenario(fleet: ProofReplay):
        for client in fleet.clients[:n_refused]:
            client.fault = "the store answered 503"
        await asyncio.sleep(15.0)
        n_reads, n_polls = len(fleet.reads_s), fleet.n_polls
        oldest_s = 0.0
        for _ in range(int(duration_s / TICK_S)):
            await asyncio.sleep(TICK_S)
            oldest_s = max(oldest_s, *fleet.ages_s())
        n_reads, n_polls = len(fleet.reads_s) - n_reads, fleet.n_polls - n_polls
        return n_reads / duration_s, n_polls / duration_s, oldest_s

    return replay(n_daemons, scenario)


def main() -> int:
    """Print the rates at several sizes."""
    for n_daemons in map(int, sys.argv[1:] or ("13", "64", "195")):
        for n_refused in (0, n_daemons // 3):
            n_reads, n_polls, oldest_s = rates(n_daemons, n_refused)
            print(
                f"{n_daemons} daemons, {n_refused} turned away: {n_reads:.2f} reads/s, "
                f"{n_polls / n_daemons:.2f} polls/s each, oldest proof {oldest_s:.2f} s"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
