"""A fleet of in-memory daemons in virtual time, as far as control goes."""

from __future__ import annotations

import asyncio
import contextvars
import json
import random
from collections.abc import Coroutine
from typing import Any

import attrs

from savoryroute.coordination.control import Control
from savoryroute.coordination.overlay import Overlay
from savoryroute.coordination.pause import PauseDetector
from savoryroute.protocol.frames import Hello
from savoryroute.protocol.memory_network import MemoryNetwork, NetworkSimulator
from savoryroute.state.member import Evidence, Member, MemberStatus, MemberUpdate
from savoryroute.state.members import MemberTable
from savoryroute.transport.platform_client import MemoryPlatform

from .virtual_loop import PROCESS, VirtualLoop

__all__ = ["Activation", "MemberChange", "MemoryFleet", "Node", "document_text"]

N_SEEDS = 2


@attrs.frozen
class MemberChange:
    """One change of a member table."""

    time_s: float
    observer: str
    old: Member | None
    new: Member
    evidence: Evidence


@attrs.frozen
class Activation:
    """A document that came into force at a node."""

    time_s: float
    environment: str
    revision: int


@attrs.define(eq=False)
class Node:
    """One daemon of the fleet."""

    host: str
    failure_domain: str
    index: int
    incarnation: int
    started_at_s: float
    table: MemberTable
    network: MemoryNetwork
    control: Control
    context: contextvars.Context
    activations: list[Activation] = attrs.Factory(list)
    audit: list[tuple[str, str, str]] = attrs.Factory(list)


class MemoryFleet:
    """Daemons of several failure domains at one platform.

    Args:
        n_domains: Failure domains.
        n_hosts: Hosts in each.
        seed: Seed of all that is random.
        n_services: Services that the hosts are spread over.
        is_all_to_all: Whether each daemon heartbeats with all others.
    """

    def __init__(
        self,
        n_domains: int,
        n_hosts: int,
        seed: int,
        n_services: int = 2,
        is_all_to_all: bool = False,
    ) -> None:
        self._is_all_to_all = is_all_to_all
        self._seed = seed
        self._rng = random.Random(seed)
        self._n_services = n_services
        self.simulator = NetworkSimulator(seed)
        self.platform = MemoryPlatform()
        self.nodes: dict[str, Node] = {}
        self.changes: list[MemberChange] = []
        self.names = [
            (f"h{domain}-{number}", f"d{domain}")
            for domain in range(n_domains)
            for number in range(n_hosts)
        ]
        self._index = {host: index for index, (host, _) in enumerate(self.names)}
        self._domain = dict(self.names)
        self._is_listed_leaving: set[str] = set()

    @property
    def loop(self) -> VirtualLoop:
        """The running loop."""
        return asyncio.get_running_loop()  # type: ignore[return-value]

    def publish_hosts(self) -> int:
        """Publish the list of all hosts and return its revision."""
        entries = []
        for host, failure_domain in self.names:
            is_leaving = host in self._is_listed_leaving
            entries.append(
                {
                    "host": host,
                    "service": self._service(host),
                    "failure_domain": failure_domain,
                    "region": "r",
                    "peers": self._address(host),
                    "status": "leaving" if is_leaving else "live",
                }
            )
        return self.platform.publish("hosts", json.dumps({"hosts": entries}))

    def mark_leaving(self, host: str) -> None:
        """Have the next published list call a host leaving."""
        self._is_listed_leaving.add(host)

    async def start_all(self, is_warm: bool = False) -> None:
        """Start all nodes; warm ones know of each other before."""
        for host, _ in self.names:
            self._build(host)
        if is_warm:
            self._introduce()
        for node in list(self.nodes.values()):
            await self._start(node)

    async def start(self, host: str) -> Node:
        """Start a host's daemon with empty memory, in place of a former one."""
        await self.stop(host)
        node = self._build(host)
        await self._start(node)
        return node

    async def stop(self, host: str) -> None:
        """End a host's daemon without a word, as by SIGKILL."""
        node = self.nodes.pop(host, None)
        if node is None:
            return
        self.loop.resume(host)
        self.simulator.leave(node.network)
        await node.control.stop()

    async def stop_all(self) -> None:
        """End all daemons."""
        for host in list(self.nodes):
            await self.stop(host)

    def cut_domains(self, one: str, other: str) -> None:
        """Cut two failure domains off from each other."""
        for left, right in self._pairs(one, other):
            self.simulator.cut(left, right)

    def heal_domains(self, one: str, other: str) -> None:
        """End the cut between two failure domains."""
        for left, right in self._pairs(one, other):
            self.simulator.heal(left, right)

    def in_domain(self, failure_domain: str) -> list[str]:
        """Return the names of a failure domain's hosts."""
        return [host for host, domain in self.names if domain == failure_domain]

    def address(self, host: str) -> str:
        """Return the address at which a host takes peers."""
        return self._address(host)

    def _build(self, host: str) -> Node:
        """Build a host's daemon in a context of its own."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, host)
        node = context.run(self._make, host, context)
        self.nodes[host] = node
        return node

    async def _start(self, node: Node) -> None:
        """Start a daemon's tasks."""
        await self._run_in(node.context, node.network.start())
        await self._run_in(node.context, node.control.start())

    def _introduce(self) -> None:
        """Tell every table of every daemon."""
        for node in self.nodes.values():
            update = MemberUpdate(_member_of(node.network.own_hello), 0)
            for other in self.nodes.values():
                other.table.merge_update(update)

    def _pairs(self, one: str, other: str) -> list[tuple[str, str]]:
        """Return all pairs of hosts of two failure domains."""
        return [
            (left, right)
            for left in self.in_domain(one)
            for right in self.in_domain(other)
        ]

    def _make(self, host: str, context: contextvars.Context) -> Node:
        """Build a daemon."""
        loop = self.loop
        rng = random.Random(self._rng.getrandbits(64))
        incarnation = rng.getrandbits(63)
        started_at_s = loop.time()
        failure_domain = self._domain[host]

        def make_hello() -> Hello:
            return Hello(
                host,
                incarnation,
                self._service(host),
                failure_domain,
                "r",
                self._address(host),
                round((loop.time() - started_at_s) * 1000),
            )

        def on_change(
            name: str, old: Member | None, new: Member, evidence: Evidence
        ) -> None:
            if old is not None:
                self.changes.append(MemberChange(loop.time(), host, old, new, evidence))

        activations: list[Activation] = []
        audit: list[tuple[str, str, str]] = []

        def on_document(
            environment: str, document: Any, revision: int, plain: dict
        ) -> None:
            activations.append(Activation(loop.time(), environment, revision))

        table = MemberTable(host, on_change, loop.time)
        network = MemoryNetwork(self.simulator, make_hello)
        seeds = [self._address(name) for name, _ in self._seeds()]
        control = Control(
            make_hello,
            table,
            network,
            self.platform.reader(host),
            PauseDetector(clock=loop.time),
            on_document,
            seeds=seeds,
            overlay=self._overlay(host),
            on_audit=lambda *entry: audit.append(entry),
            rng=rng,
        )
        return Node(
            host,
            failure_domain,
            self._index[host],
            incarnation,
            started_at_s,
            table,
            network,
            control,
            context,
            activations,
            audit,
        )

    async def _run_in(
        self, context: contextvars.Context, coroutine: Coroutine[Any, Any, None]
    ) -> None:
        """Run a coroutine in a node's context."""
        await self.loop.create_task(coroutine, context=context)

    def _overlay(self, host: str) -> Overlay | None:
        """Return the choice of peers, None for the usual one."""
        if not self._is_all_to_all:
            return None
        n_hosts = len(self.names)
        return Overlay(host, self._domain[host], n_hosts, n_hosts)

    def _seeds(self) -> list[tuple[str, str]]:
        """Return the hosts that every daemon begins with."""
        return self.names[:: max(1, len(self.names) // N_SEEDS)][:N_SEEDS]

    def _service(self, host: str) -> str:
        """Return the service of a host."""
        return f"s{self._index[host] % self._n_services}"

    def _address(self, host: str) -> str:
        """Return the address of a host."""
        index = self._index[host]
        return f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:1"


def _member_of(hello: Hello) -> Member:
    """Return the sender of a first frame as a member."""
    return Member(
        hello.host,
        hello.service,
        hello.failure_domain,
        hello.region,
        hello.peers,
        hello.incarnation,
        MemberStatus.ALIVE,
    )


def document_text(
    version: int, environment: str = "production", n_services: int = 1
) -> str:
    """Return the text of a valid document; versions differ in one value."""
    plain = {
        "environment": environment,
        "version": version,
        "classes": {"order": {"rank": 0, "timeout_ms": 1000 + version}},
        "services": {f"s{index}": {"slots": 4} for index in range(n_services)},
    }
    return json.dumps(plain)
