"""Fleet of in-memory daemons in virtual time, with their control functions only."""

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
    """Change of one entry in a member table.

    Attributes:
        time_s: Virtual time in seconds.
        observer: Host whose table changed.
        old: Member before the change.
        new: Member after the change.
        evidence: Reason for the change.
    """

    time_s: float
    observer: str
    old: Member | None
    new: Member
    evidence: Evidence


@attrs.frozen
class Activation:
    """Document that became active at a node.

    Attributes:
        time_s: Virtual time in seconds.
        environment: Environment of the document.
        revision: Revision of the document.
    """

    time_s: float
    environment: str
    revision: int


@attrs.define(eq=False)
class Node:
    """One daemon of the fleet.

    Attributes:
        host: Name of its host.
        failure_domain: Failure domain of its host.
        index: Position of its host in ``MemoryFleet.hosts``.
        incarnation: Incarnation of the daemon.
        started_at_s: Virtual time of its start in seconds.
        table: Its member table.
        network: Its connection to the in-memory network.
        control: Its control functions.
        context: Context that its tasks run in, with ``PROCESS`` set to the host.
        activations: Documents that became active, oldest first.
        audit: Audit entries, oldest first.
    """

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
    """Daemons of several failure domains with one platform.

    Args:
        n_domains: Number of failure domains.
        n_hosts: Hosts in each failure domain.
        seed: Seed of all random choices.
        n_services: Number of services; hosts are assigned in turn.
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
        self.hosts = [
            (f"h{domain}-{number}", f"d{domain}")
            for domain in range(n_domains)
            for number in range(n_hosts)
        ]
        self._index = {host: index for index, (host, _) in enumerate(self.hosts)}
        self._domain = dict(self.hosts)
        self._leaving_hosts: set[str] = set()

    @property
    def loop(self) -> VirtualLoop:
        """The running event loop."""
        return asyncio.get_running_loop()  # type: ignore[return-value]

    def publish_hosts(self) -> int:
        """Publish the list of all hosts and return its revision."""
        entries = []
        for host, failure_domain in self.hosts:
            is_leaving = host in self._leaving_hosts
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
        """Set a host's status to leaving in lists published from now on."""
        self._leaving_hosts.add(host)

    async def start_all(self, is_warm: bool = False) -> None:
        """Start all nodes.

        Args:
            is_warm: Whether the nodes know all members from the start.
        """
        for host, _ in self.hosts:
            self._build(host)
        if is_warm:
            self._share_members()
        for node in list(self.nodes.values()):
            await self._start(node)

    async def start(self, host: str) -> Node:
        """Start a daemon without state on a host, in place of a running one."""
        await self.stop(host)
        node = self._build(host)
        await self._start(node)
        return node

    async def stop(self, host: str) -> None:
        """Stop a host's daemon without notice to peers, as SIGKILL does."""
        node = self.nodes.pop(host, None)
        if node is None:
            return
        self.loop.resume(host)
        self.simulator.leave(node.network)
        await node.control.stop()

    async def stop_all(self) -> None:
        """Stop all daemons without notice to peers."""
        for host in list(self.nodes):
            await self.stop(host)

    def cut_domains(self, one: str, other: str) -> None:
        """Partition two failure domains from each other."""
        for left, right in self._pairs(one, other):
            self.simulator.cut(left, right)

    def heal_domains(self, one: str, other: str) -> None:
        """End the partition between two failure domains."""
        for left, right in self._pairs(one, other):
            self.simulator.heal(left, right)

    def in_domain(self, failure_domain: str) -> list[str]:
        """Return the names of a failure domain's hosts."""
        return [host for host, domain in self.hosts if domain == failure_domain]

    def address(self, host: str) -> str:
        """Return the address at which a host accepts peers."""
        return self._address(host)

    def _build(self, host: str) -> Node:
        """Build a host's daemon in a new context and add it to the fleet."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, host)
        node = context.run(self._make_node, host, context)
        self.nodes[host] = node
        return node

    async def _start(self, node: Node) -> None:
        """Start a daemon's network and control tasks."""
        await self._run_in(node.context, node.network.start())
        await self._run_in(node.context, node.control.start())

    def _share_members(self) -> None:
        """Add every daemon to the member tables of all daemons."""
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

    def _make_node(self, host: str, context: contextvars.Context) -> Node:
        """Build a daemon whose tasks run in ``context``."""
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
        """Return an overlay of all hosts, or None for the daemon's default overlay."""
        if not self._is_all_to_all:
            return None
        n_hosts = len(self.hosts)
        return Overlay(host, self._domain[host], n_hosts, n_hosts)

    def _seeds(self) -> list[tuple[str, str]]:
        """Return the hosts that every daemon contacts first, with their domains."""
        return self.hosts[:: max(1, len(self.hosts) // N_SEEDS)][:N_SEEDS]

    def _service(self, host: str) -> str:
        """Return the service of a host."""
        return f"s{self._index[host] % self._n_services}"

    def _address(self, host: str) -> str:
        """Return the address of a host."""
        index = self._index[host]
        return f"10.{index // 65536}.{index // 256 % 256}.{index % 256}:1"


def _member_of(hello: Hello) -> Member:
    """Return the sender of a hello frame as an alive member."""
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
    """Return the text of a valid document; its timeout differs by version."""
    plain = {
        "environment": environment,
        "version": version,
        "classes": {"order": {"rank": 0, "timeout_ms": 1000 + version}},
        "services": {f"s{index}": {"slots": 4} for index in range(n_services)},
    }
    return json.dumps(plain)
