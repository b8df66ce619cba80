"""Cost and speed of membership and distribution at several sizes.

Usage:
    fleet_study [--domains=N] [--hosts=N] [--seed=N] [--all-to-all]
                [--brief | --domain-loss]

Options:
    --domains=N   Failure domains [default: 3].
    --hosts=N     Hosts in each [default: 12].
    --seed=N      Seed of all that is random [default: 1].
    --all-to-all  Heartbeat with all hosts instead of a small overlay.
    --brief       Leave pauses and losses out.
    --domain-loss  Measure only the cut and the restart of a failure domain.

All daemons run in one process in virtual time over the in-memory network, with
delays of 0.5 to 8 ms. Prints one line of JSON for each measurement.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter

import docopt

from savoryroute.state.member import MemberStatus

from .memory_fleet import MemoryFleet, document_text
from .virtual_loop import run_virtual

__all__ = ["main"]

DELAY_S = (0.0005, 0.008)
SETTLE_S = 6.0
STEADY_S = 10.0
IN_FORCE_S = 3.0
DETECT_S = 14.0
LEAVE_S = 3.0
CUT_S = 25.0
PAUSE_S = 5.0
DISTURBED_S = 15.0
PAUSED_FRACTION = 0.03
LOSS_FRACTION = 0.01
N_SERVICES = 130
KEY = "documents/production"


class FleetStudy:
    """One fleet and its measurements."""

    def __init__(self, n_domains: int, n_hosts: int, seed: int, is_all: bool) -> None:
        self._fleet = MemoryFleet(n_domains, n_hosts, seed, is_all_to_all=is_all)
        self._fleet.simulator.delay_s = DELAY_S
        self._label = {
            "way": "all_to_all" if is_all else "overlay",
            "n_hosts": n_domains * n_hosts,
            "n_domains": n_domains,
            "seed": seed,
        }

    async def run(self, is_brief: bool) -> None:
        """Measure everything but the loss of a failure domain."""
        await self._start()
        await self._measure_steady()
        await self._measure_change()
        await self._measure_leaving()
        await self._measure_detection()
        if not is_brief:
            await self._measure_false_positives()
        await self._fleet.stop_all()

    async def run_domain_loss(self) -> None:
        """Measure the cut and the restart of a failure domain."""
        await self._start()
        await self._measure_cut()
        await self._measure_domain_restart()
        await self._fleet.stop_all()

    async def _start(self) -> None:
        """Start the fleet and wait until it is quiet."""
        self._fleet.publish_hosts()
        self._publish(1)
        await self._fleet.start_all(is_warm=True)
        await asyncio.sleep(SETTLE_S)

    def _publish(self, version: int) -> int:
        """Publish a document and return its revision."""
        text = document_text(version, n_services=N_SERVICES)
        return self._fleet.platform.publish(KEY, text)

    def _print(self, measured: str, **values: object) -> None:
        """Print one measurement."""
        line = self._label | {"measured": measured} | values
        print(json.dumps(line), flush=True)

    async def _measure_steady(self) -> None:
        """Measure traffic, reads and processor time without events."""
        before = self._totals()
        start_s = time.process_time()
        await asyncio.sleep(STEADY_S)
        processor_s = time.process_time() - start_s
        n_bytes, n_messages, n_reads = (
            (new - old) / STEADY_S
            for new, old in zip(self._totals(), before, strict=True)
        )
        n_hosts = len(self._fleet.nodes)
        self._print(
            "steady",
            sent_bytes_per_s=round(n_bytes / n_hosts, 1),
            sent_messages_per_s=round(n_messages / n_hosts, 2),
            platform_calls_per_s=round(n_reads, 2),
            processor_ms_per_s=round(1000 * processor_s / STEADY_S / n_hosts, 2),
        )

    async def _measure_change(self) -> None:
        """Measure the time until a document is in force everywhere."""
        before = self._totals()
        start_s = self._fleet.loop.time()
        revision = self._publish(2)
        await asyncio.sleep(IN_FORCE_S)
        times_s = [
            item.time_s - start_s
            for node in self._fleet.nodes.values()
            for item in node.activations
            if item.revision == revision
        ]
        n_bytes = self._totals()[0] - before[0]
        self._print(
            "change",
            n_in_force=len(times_s),
            last_s=round(max(times_s, default=-1), 4),
            sent_bytes_per_host=round(n_bytes / len(self._fleet.nodes)),
        )

    async def _measure_leaving(self) -> None:
        """Measure the time until all know that a host leaves."""
        host = self._fleet.names[1][0]
        start_s = self._fleet.loop.time()
        await self._fleet.nodes[host].control.membership.announce_leaving()
        await asyncio.sleep(LEAVE_S)
        self._print_changes("leaving", host, MemberStatus.LEAVING, start_s)

    async def _measure_detection(self) -> None:
        """Measure the time until all give up a host that fell silent."""
        host = self._fleet.names[2][0]
        before = self._totals()
        start_s = self._fleet.loop.time()
        self._fleet.loop.pause(host)
        await asyncio.sleep(DETECT_S)
        n_bytes = (self._totals()[0] - before[0]) / DETECT_S
        self._print_changes("suspected", host, MemberStatus.SUSPECT, start_s)
        self._print_changes("gone", host, MemberStatus.GONE, start_s)
        per_host = n_bytes / len(self._fleet.nodes)
        self._print("traffic_in_detection", sent_bytes_per_s=round(per_host, 1))
        self._fleet.loop.resume(host)
        await asyncio.sleep(SETTLE_S)

    async def _measure_false_positives(self) -> None:
        """Pause some hosts for a while, with loss, and count wrong verdicts."""
        fleet = self._fleet
        n_paused = max(1, round(PAUSED_FRACTION * len(fleet.names)))
        paused = [host for host, _ in fleet.names[5 :: len(fleet.names) // n_paused]]
        start_s = fleet.loop.time()
        before = self._totals()
        fleet.simulator.drop_fraction = LOSS_FRACTION
        for host in paused:
            fleet.loop.pause(host)
        await asyncio.sleep(PAUSE_S)
        fleet.loop.resume_all()
        await asyncio.sleep(DISTURBED_S - PAUSE_S)
        changes = [item for item in fleet.changes if item.time_s > start_s]
        gone = [item for item in changes if item.new.status is MemberStatus.GONE]
        n_bytes = (self._totals()[0] - before[0]) / DISTURBED_S
        self._print(
            "pauses_and_loss",
            n_paused=len(paused),
            n_gone_paused=sum(item.new.host in paused for item in gone),
            n_gone_running=sum(item.new.host not in paused for item in gone),
            sent_bytes_per_s=round(n_bytes / len(fleet.nodes), 1),
        )

    async def _measure_cut(self) -> None:
        """Cut a failure domain off, then heal, and count verdicts."""
        fleet = self._fleet
        lost = fleet.in_domain("d0")
        others = sorted({domain for _, domain in fleet.names} - {"d0"})
        for domain in others:
            fleet.cut_domains("d0", domain)
        before = self._totals()
        await asyncio.sleep(CUT_S)
        n_bytes = (self._totals()[0] - before[0]) / CUT_S / len(fleet.nodes)
        self._print(
            "domain_cut",
            views_from_outside=self._views(lost, False),
            views_within=self._views(lost, True),
            sent_bytes_per_s=round(n_bytes, 1),
        )
        fleet.simulator.heal_all()
        before = self._totals()
        await asyncio.sleep(CUT_S)
        n_bytes = (self._totals()[0] - before[0]) / CUT_S / len(fleet.nodes)
        self._print(
            "domain_healed",
            views_from_outside=self._views(lost, False),
            sent_bytes_per_s=round(n_bytes, 1),
        )

    async def _measure_domain_restart(self) -> None:
        """Restart all hosts of a failure domain at once."""
        fleet = self._fleet
        hosts = fleet.in_domain("d0")
        n_peers = len(fleet.nodes) - len(hosts)
        for host in hosts:
            await fleet.stop(host)
        held = self._totals()
        start_s = fleet.loop.time()
        for host in hosts:
            await fleet.start(host)
        waits = [fleet.nodes[host].control.distribution for host in hosts]
        for wait in waits:
            await wait.wait_ready()
        ready_s = fleet.loop.time() - start_s
        await asyncio.sleep(CUT_S)
        others = [node for node in fleet.nodes.values() if node.host not in hosts]
        n_current = sum(
            node.table.get(host).incarnation in (0, fleet.nodes[host].incarnation)
            for node in others
            for host in hosts
        )
        self._print(
            "domain_restart",
            n_peers=n_peers,
            all_ready_s=round(ready_s, 3),
            share_current=round(n_current / len(others) / len(hosts), 4),
            views_from_outside=self._views(hosts, False),
            sent_bytes_per_s=round(
                (self._totals()[0] - held[0]) / CUT_S / len(fleet.nodes), 1
            ),
            platform_calls=self._totals()[2] - held[2],
        )

    def _views(self, hosts: list[str], is_within: bool) -> dict[str, int]:
        """Count what hosts of a failure domain are believed to be."""
        views: Counter[str] = Counter()
        for node in self._fleet.nodes.values():
            if (node.host in hosts) is is_within:
                views.update(node.table.get(host).status.value for host in hosts)
        return dict(views)

    def _print_changes(
        self, measured: str, host: str, status: MemberStatus, start_s: float
    ) -> None:
        """Print when observers came to a status of a host."""
        times_s: dict[str, float] = {}
        for item in self._fleet.changes:
            if item.new.host != host or item.new.status is not status:
                continue
            if item.time_s >= start_s and item.observer != host:
                times_s.setdefault(item.observer, item.time_s - start_s)
        self._print(
            measured,
            n_observers=len(times_s),
            first_s=round(min(times_s.values(), default=-1), 3),
            last_s=round(max(times_s.values(), default=-1), 3),
        )

    def _totals(self) -> tuple[int, int, int]:
        """Return bytes, messages and platform calls so far."""
        traffic = [node.network.traffic for node in self._fleet.nodes.values()]
        n_bytes = sum(item.n_bytes for item in traffic)
        n_messages = sum(item.n_messages for item in traffic)
        return n_bytes, n_messages, sum(self._fleet.platform.n_reads.values())


def main() -> None:
    """Run the study of one size."""
    arguments = docopt.docopt(__doc__, sys.argv[1:])
    study = FleetStudy(
        int(arguments["--domains"]),
        int(arguments["--hosts"]),
        int(arguments["--seed"]),
        arguments["--all-to-all"],
    )
    if arguments["--domain-loss"]:
        run_virtual(study.run_domain_loss())
    else:
        run_virtual(study.run(arguments["--brief"]))


if __name__ == "__main__":
    main()
