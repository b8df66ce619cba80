"""Hosts and faults of the placement study."""

from __future__ import annotations

import attrs

from savoryroute.state.ledger import Ledger

__all__ = ["FAULTS", "FAULT_PERIOD_S", "N_DOMAINS", "Host", "World"]

N_DOMAINS = 3
N_HOSTS = 12
FAULT_PERIOD_S = (30.0, 60.0)
RESTART_S = 1.0
FAULTS = ("none", "partition", "restart", "stale_lists")


@attrs.define(eq=False)
class Host:
    """A daemon with its upstream; a restart clears ``executed`` and ``marks``.

    Attributes:
        name: Name of the host.
        domain: Number of its failure domain.
        start_s: Start of the current incarnation in seconds.
        end_s: Time in seconds at which the host is removed.
        incarnation: Incarnation of the daemon.
        executed: Numbers of the actions that it has run.
        marks: Numbers of the actions that an entry daemon announced to run.
        ledger: Ledger of the current incarnation.
        view_changed_s: Time of the last restart or change of ``view`` in seconds.
        view: Names of the hosts that it views as alive.
    """

    name: str
    domain: int
    start_s: float
    end_s: float = float("inf")
    incarnation: int = 1
    executed: set[int] = attrs.field(factory=set)
    marks: set[int] = attrs.field(factory=set)
    ledger: Ledger | None = None
    view_changed_s: float = float("-inf")
    view: frozenset[str] = frozenset()


class World:
    """Hosts, the clock and the fault of one simulation."""

    def __init__(self, fault: str) -> None:
        self.fault, self.now_s = fault, 0.0
        self.hosts: dict[str, Host] = {}
        for n in range(N_HOSTS):
            self.add(Host(f"h{n}", n % N_DOMAINS, -1000.0))
        self.restarts: dict[str, float] = {}
        step_s = (FAULT_PERIOD_S[1] - FAULT_PERIOD_S[0]) / N_HOSTS
        if fault == "restart":
            for n, name in enumerate(self.hosts):
                self.restarts[name] = FAULT_PERIOD_S[0] + n * step_s
        if fault == "stale_lists":
            self.replace_hosts()

    def add(self, host: Host) -> None:
        """Add a host with an empty ledger."""
        host.ledger = self.new_ledger(host)
        self.hosts[host.name] = host

    def new_ledger(self, host: Host) -> Ledger:
        """Return an empty ledger for the host's current incarnation."""
        start_s = host.start_s
        return Ledger(host.name, host.incarnation, lambda: self.now_s - start_s)

    def replace_hosts(self) -> None:
        """Replace every third host; half of the daemons keep the old list."""
        for n in range(0, N_HOSTS, 3):
            old = self.hosts[f"h{n}"]
            old.end_s = FAULT_PERIOD_S[0]
            self.add(Host(f"n{n}", old.domain, FAULT_PERIOD_S[0] + RESTART_S))

    def advance(self, now_s: float) -> None:
        """Advance the clock and perform the restarts that are due."""
        self.now_s = now_s
        for name, crash_s in list(self.restarts.items()):
            if now_s >= crash_s + RESTART_S:
                del self.restarts[name]
                host = self.hosts[name]
                host.start_s = crash_s + RESTART_S
                host.executed, host.marks = set(), set()
                host.incarnation += 1
                host.ledger = self.new_ledger(host)
                host.view_changed_s = host.start_s

    def is_dialled(self, host: Host) -> bool:
        """Return whether callers send to a host; calls during a restart fail."""
        return host.start_s - RESTART_S <= self.now_s < host.end_s

    def is_up(self, host: Host) -> bool:
        """Return whether a host is running."""
        is_down = self.restarts.get(host.name, float("inf")) <= self.now_s
        return host.start_s <= self.now_s < host.end_s and not is_down

    def can_reach(self, one: Host, other: Host) -> bool:
        """Return whether a message from one host reaches another."""
        is_cut = self.fault == "partition" and self._is_fault_active()
        if is_cut and (one.domain == 0) != (other.domain == 0):
            return False
        return self.is_up(other)

    def _is_fault_active(self) -> bool:
        return FAULT_PERIOD_S[0] <= self.now_s < FAULT_PERIOD_S[1]

    def published(self, reader: Host) -> list[Host]:
        """Return the started hosts in the published list that a daemon has read."""
        has_old_list = int(reader.name[1:]) % 2 == 0 and reader.name[0] == "h"
        names = [n for n in self.hosts if n[0] == "h" or not has_old_list]
        is_replaced = (
            self.fault == "stale_lists" and self.now_s >= FAULT_PERIOD_S[0] + RESTART_S
        )
        if is_replaced and not has_old_list:
            names = [n for n in names if self.hosts[n].end_s > self.now_s]
        return [self.hosts[n] for n in names if self.hosts[n].start_s <= self.now_s]
