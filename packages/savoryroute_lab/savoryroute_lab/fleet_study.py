"""Cost and speed of membership and distribution at several sizes.

Usage:
    fleet_study [--domains=N] [--hosts=N] [--seed=N] [--all-to-all] [--brief]

Options:
    --domains=N   Failure domains [default: 3].
    --hosts=N     Hosts in each [default: 12].
    --seed=N      Seed of all that is random [default: 1].
    --all-to-all  Heartbeat with all hosts instead of a small overlay.
    --brief       Leave pauses and losses out.

All daemons run in one process in virtual time over the in-memory network, with
delays of 0.5 to 8 ms. Prints one line of JSON for each measurement.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import docopt

from savoryroute.state.members import MemberStatus

from .memory_fleet import MemoryFleet, document_text
from .virtual_loop import run_virtual

__all__ = ["main"]

DELAY_S = (0.0005, 0.008)
SETTLE_S = 6.0
STEADY_S = 10.0
IN_FORCE_S = 3.0
DETECT_S = 14.0
LEAVE_S = 3.0
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
        self._fleet.switchboard.delay_s = DELAY_S
        self._label = {
            "way": "all_to_all" if is_all else "overlay",
            "n_hosts": n_domains * n_hosts,
            "n_domains": n_domains,
            "seed": seed,
        }

    async def run(self, is_brief: bool) -> None:
        """Measure everything."""
        self._fleet.publish_hosts()
        self._publish(1)
        await self._fleet.start_all(is_warm=True)
        await asyncio.sleep(SETTLE_S)
        await self._measure_steady()
        await self._measure_change()
        await self._measure_leaving()
        await self._measure_detection()
        if not is_brief:
            await self._measure_false_positives()
        await self._fleet.stop_all()

    def _publish(self, version: int) -> int:
        """Publish a document and return its revision."""
        text = document_text(version, n_services=N_SERVICES)
        return self._fleet.platform.publish(KEY, text)

    def _print(self, measured: str, **values: float) -> None:
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
            for item in node.in_force
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
        fleet.switchboard.drop_fraction = LOSS_FRACTION
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
    run_virtual(study.run(arguments["--brief"]))


if __name__ == "__main__":
    main()
