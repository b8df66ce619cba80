"""Demonstration on loopback: normal load, overload, recovery and faults.

Usage:
  demo [--seed=N] [--without-daemons] [--keep]

Options:
  --seed=N            Seed of arrivals and random choices [default: 1].
  --without-daemons   Callers and upstreams call upstreams directly.
  --keep              Keep the folder with logs and records.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections.abc import Mapping

import attrs
import docopt
import uvloop

from .action_templates import ActionTemplate, LoadClass, RetryMode
from .caller import Caller
from .calls import Mark, Plan
from .deployment import NAIROBI
from .explained import explain_refusal, latest_refusal
from .launcher import Launcher, NotReadyError, daemon_name, upstream_name
from .load import LoadGenerator
from .oracle import Findings, find_violations
from .report import Window, goodput, reasons_line, recovery_s, table
from .tally import LogicalRequest, Outcome, Tally, quantile, tally_by_class
from .wiring import Wiring
from .workloads import (
    CREW_BOOKING,
    CREW_CANCELLATION,
    NAIROBI_LOAD,
    VIEW_TIMEOUT_S,
)

__all__ = ["main"]

NOT_READY_EXIT_CODE = 2
SCALE = 0.1
COMPARISON_S = 4.0
WARM_UP_S = 1.0
COMPARISON_RATE_PER_S = 40.0
NORMAL_S = 5.0
OVERLOAD_S = 6.0
RECOVERY_S = 7.0
FAULTS_S = 6.0
TOTAL_S = NORMAL_S + OVERLOAD_S + RECOVERY_S + FAULTS_S
CANCEL_AFTER_S = 0.05
CANCEL_PAUSE_S = 0.3
SURGE_FACTOR = 3.0
SLOW_FACTOR = 8.0
SLOW_SERVICE = "crews"
KILLED_HOST = "nairobi-catalogue-1"
KILLED_S = 1.0
PAUSED_HOST = "nairobi-planner-2"
PAUSED_S = 3.0
RESTART_POLL_S = 0.5
UPSTREAM_SETTINGS = {
    "queue_length": 32,
    "payload_bytes": 1024,
    "connection_cost_s": 0.001,
}

CRASHING_VIEW = ActionTemplate(
    "crashing_view",
    "catalogue",
    "/items/crash",
    plan=Plan(mark=Mark.CRASH),
    timeout_s=VIEW_TIMEOUT_S,
    retry_mode=RetryMode.IMMEDIATE,
)
COMPARED_VIEW = ActionTemplate(
    "compared", "catalogue", "/items/{n}", timeout_s=VIEW_TIMEOUT_S
)


@attrs.frozen
class Comparison:
    """Latencies of calls through daemons and of direct calls, in seconds."""

    daemon_s: list[float]
    direct_s: list[float]

    def added_ms(self, fraction: float) -> float:
        """Return the latency that daemons add at a quantile, in milliseconds."""
        daemon_s = quantile(self.daemon_s, fraction)
        return (daemon_s - quantile(self.direct_s, fraction)) * 1000

    def ratio(self, fraction: float) -> float:
        """Return the added latency at a quantile as a ratio to the direct latency."""
        direct_s = quantile(self.direct_s, fraction)
        return (quantile(self.daemon_s, fraction) - direct_s) / direct_s


@attrs.frozen
class Phases:
    """Time windows of the phases of a run."""

    normal: Window
    overload: Window
    recovery: Window

    @classmethod
    def starting(cls, start_s: float) -> Phases:
        """Return the windows of a run that starts at ``start_s`` (monotonic)."""
        slow_s = start_s + NORMAL_S
        recovered_s = slow_s + OVERLOAD_S
        return cls(
            Window(start_s, slow_s),
            Window(slow_s, recovered_s),
            Window(recovered_s, recovered_s + RECOVERY_S),
        )


class Demo:
    """One run of the demonstration.

    Args:
        seed: Seed of arrivals and random choices.
        has_daemons: Whether calls go through daemons.
        keeps_folder: Whether logs and records are kept after a run without
            violations.
    """

    def __init__(self, seed: int, has_daemons: bool, keeps_folder: bool) -> None:
        self._keeps_folder = keeps_folder
        self._seed = seed
        self._has_daemons = has_daemons
        self._wiring = Wiring.new(NAIROBI.scaled(SCALE))
        self._launcher = Launcher(self._wiring, UPSTREAM_SETTINGS, has_daemons)
        self._callers: list[Caller] = []
        self._refusal_lines: list[str] = []

    async def run(self) -> int:
        """Run all phases, print the report and return the exit code."""
        print(f"logs and records during the run: {self._launcher.folder}", flush=True)
        try:
            await self._launcher.start()
            comparison = await self._compare()
            phases = await self._load()
        finally:
            for caller in self._callers:
                await caller.close()
            await self._launcher.stop()
        executions = self._launcher.executions()
        findings = find_violations(self._requests(), executions)
        n_crashes = sum(
            execution.path == CRASHING_VIEW.path for execution in executions
        )
        self._print(comparison, phases, findings, n_crashes)
        if not findings.is_clean:
            return 1
        if not self._keeps_folder:
            self._launcher.remove_folder()
        return 0

    def _caller(self, entries: Mapping[str, list[str]], mints_ahead: bool) -> Caller:
        caller = Caller(entries, self._seed, self._has_daemons, mints_ahead)
        self._callers.append(caller)
        return caller

    def _requests(self) -> list[LogicalRequest]:
        return [request for caller in self._callers for request in caller.requests]

    async def _compare(self) -> Comparison:
        direct_caller = Caller(self._wiring.upstream_addresses(), self._seed, False)
        daemon_caller = self._caller(self._entries(), mints_ahead=False)
        start_s = time.monotonic()
        load = [LoadClass(COMPARISON_RATE_PER_S, (COMPARED_VIEW,))]
        await asyncio.gather(
            LoadGenerator(direct_caller, load, self._seed).run(COMPARISON_S),
            LoadGenerator(daemon_caller, load, self._seed + 1).run(COMPARISON_S),
        )
        await direct_caller.close()
        measured_from_s = start_s + WARM_UP_S
        return Comparison(
            _latencies_s(daemon_caller, measured_from_s),
            _latencies_s(direct_caller, measured_from_s),
        )

    async def _load(self) -> Phases:
        service_caller = self._caller(self._entries(), mints_ahead=False)
        any_host_caller = self._caller(self._all_entries(), mints_ahead=True)
        phases = Phases.starting(time.monotonic())
        await asyncio.gather(
            LoadGenerator(service_caller, NAIROBI_LOAD, self._seed).run(
                TOTAL_S, _rate_factor
            ),
            LoadGenerator(any_host_caller, NAIROBI_LOAD, self._seed + 1).run(
                TOTAL_S, _rate_factor
            ),
            self._inject_faults(any_host_caller),
            self._cancel_bookings(any_host_caller),
        )
        return phases

    async def _inject_faults(self, caller: Caller) -> None:
        await asyncio.sleep(NORMAL_S)
        await self._launcher.set_service(SLOW_SERVICE, slow_factor=SLOW_FACTOR)
        await asyncio.sleep(OVERLOAD_S)
        await self._explain_refusal()
        await self._launcher.set_service(SLOW_SERVICE, slow_factor=1.0)
        await asyncio.sleep(RECOVERY_S)
        await asyncio.gather(
            self._kill_upstream(),
            self._pause_daemon(),
            self._send_crashing_view(caller),
        )

    async def _explain_refusal(self) -> None:
        """Store the daemons' explanation of the latest refusal under overload."""
        refusal = latest_refusal(self._requests())
        if self._has_daemons and refusal is not None:
            self._refusal_lines = await explain_refusal(self._wiring, refusal)

    async def _cancel_bookings(self, caller: Caller) -> None:
        rng = random.Random(self._seed)
        end_s = time.monotonic() + TOTAL_S
        while time.monotonic() < end_s:
            await self._cancel_booking(caller, rng.uniform(0, CANCEL_AFTER_S))
            await asyncio.sleep(CANCEL_PAUSE_S)

    async def _cancel_booking(self, caller: Caller, after_s: float) -> None:
        """Cancel a booking while it is sent: the cancellation may arrive first."""
        keys = await caller.mint(CREW_BOOKING.service, 1)
        if not keys:
            return
        key = keys[0]
        booking = caller.prepare(CREW_BOOKING)
        booked = asyncio.create_task(caller.send(CREW_BOOKING, key, booking))
        await asyncio.sleep(after_s)
        await caller.cancel(CREW_CANCELLATION, booking, key)
        await booked

    async def _kill_upstream(self) -> None:
        self._launcher.kill(upstream_name(KILLED_HOST))
        await asyncio.sleep(KILLED_S)
        end_s = time.monotonic() + FAULTS_S - KILLED_S
        while time.monotonic() < end_s:
            await self._launcher.restart_ended()
            await asyncio.sleep(RESTART_POLL_S)

    async def _pause_daemon(self) -> None:
        if not self._has_daemons:
            return
        self._launcher.pause(daemon_name(PAUSED_HOST))
        await asyncio.sleep(PAUSED_S)
        self._launcher.resume(daemon_name(PAUSED_HOST))

    async def _send_crashing_view(self, caller: Caller) -> None:
        await asyncio.sleep(FAULTS_S / 2)
        await caller.send(CRASHING_VIEW)

    def _entries(self) -> dict[str, list[str]]:
        if self._has_daemons:
            return self._wiring.service_entries()
        return self._wiring.upstream_addresses()

    def _all_entries(self) -> dict[str, list[str]]:
        if self._has_daemons:
            return self._wiring.all_entries()
        return self._wiring.upstream_addresses()

    def _print(
        self,
        comparison: Comparison,
        phases: Phases,
        findings: Findings,
        n_crashes: int,
    ) -> None:
        requests = self._requests()
        tallies = tally_by_class(requests)
        print(table(tallies.values()))
        for tally in tallies.values():
            if tally.reasons:
                print(reasons_line(tally))
        for name, n_executions in sorted(findings.executions.items()):
            n_sent = tallies[name].n_sent
            print(f"{name}: {n_executions} executions of {n_sent} actions")
        summary = _summary(requests, tallies, comparison, phases, findings)
        print(_goodput_line(summary))
        print(_latency_line(summary))
        print(*self._refusal_lines, sep="\n")
        print(f"executions of the request that crashes its upstream: {n_crashes}")
        print(json.dumps(summary | {"crashes_of_one_request": n_crashes}))


def _summary(
    requests: list[LogicalRequest],
    tallies: Mapping[str, Tally],
    comparison: Comparison,
    phases: Phases,
    findings: Findings,
) -> dict[str, object]:
    before = goodput(requests, phases.normal)
    return {
        "requests": len(requests),
        "whole": _count(tallies, Outcome.COMPLETE),
        "refused": _count(tallies, Outcome.REFUSED),
        "may_have_run": _count(tallies, Outcome.MAY_HAVE_RUN),
        "failed": _count(tallies, Outcome.FAILED),
        "wrong": len(findings.wrong),
        "ran_twice": len(findings.ran_twice),
        "not_run_but_ran": len(findings.not_run_but_ran),
        "ran_cancelled": len(findings.ran_cancelled),
        "unended": findings.unended,
        "most_unended": findings.most_unended,
        "most_executions": findings.most_executions,
        "goodput_before": round(before, 3),
        "goodput_during": round(goodput(requests, phases.overload), 3),
        "goodput_after": round(goodput(requests, phases.recovery), 3),
        "recovery_s": recovery_s(requests, before, phases.recovery),
        "added_p50_ms": round(comparison.added_ms(0.5), 2),
        "added_p99_ms": round(comparison.added_ms(0.99), 2),
        "added_p99_ratio": round(comparison.ratio(0.99), 3),
    }


def _goodput_line(summary: Mapping[str, object]) -> str:
    return (
        f"goodput: before {summary['goodput_before']}, during overload "
        f"{summary['goodput_during']}, after {summary['goodput_after']}; "
        f"recovery {summary['recovery_s']} s"
    )


def _latency_line(summary: Mapping[str, object]) -> str:
    return (
        f"latency added to direct calls: p50 {summary['added_p50_ms']} ms, "
        f"p99 {summary['added_p99_ms']} ms"
    )


def _count(tallies: Mapping[str, Tally], outcome: Outcome) -> int:
    return sum(tally.outcomes[outcome] for tally in tallies.values())


def _latencies_s(caller: Caller, since_s: float) -> list[float]:
    complete = (r for r in caller.requests if r.outcome is Outcome.COMPLETE)
    return [request.latency_s for request in complete if request.started_s >= since_s]


def _rate_factor(time_s: float) -> float:
    is_surge = NORMAL_S <= time_s < NORMAL_S + OVERLOAD_S
    # Two load generators each send half of the rate.
    return (SURGE_FACTOR if is_surge else 1.0) / 2


def main() -> int:
    """Run the demonstration."""
    options = docopt.docopt(__doc__)
    has_daemons = not options["--without-daemons"]
    demo = Demo(int(options["--seed"]), has_daemons, options["--keep"])
    try:
        return uvloop.run(demo.run())
    except NotReadyError as error:
        print(error, file=sys.stderr)
        return NOT_READY_EXIT_CODE


if __name__ == "__main__":
    sys.exit(main())
