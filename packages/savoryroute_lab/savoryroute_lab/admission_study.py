"""Study of limit kinds at one upstream that slows while demand surges.

Usage: python -m savoryroute_lab.admission_study [SEED [TROUBLE]]

Runs the real gate on a virtual clock and prints one JSON line per trouble, surge and
kind of control. ``none`` sends all to the upstream, which queues inside and goes on
with what its caller gave up; with ``cancel_only`` it stops such work.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable, Coroutine

import attrs

from savoryroute.coordination.admission import AdmissionGate
from savoryroute.coordination.limits import LIMITS, make_limit
from savoryroute.coordination.pressure import HIGHEST_LEVEL

from .virtual_clock import VirtualClockLoop

__all__ = ["main"]

SLOTS = 40
QUEUE_LENGTH = 80
SLOWNESS = 5.0
USUAL_LOAD = 0.7
WARM_UP_S, TROUBLE_S, AFTER_S = 10.0, 15.0, 25.0
DURATION_S = WARM_UP_S + TROUBLE_S + AFTER_S
ACTION_S = 6.0
RESEND_S = 0.2
N_ATTEMPTS = 8
SURGES = (2.0, 3.0, 5.0)
RECOVERED_FRACTION = 0.95
UNCONTROLLED = ("none", "cancel_only")
TROUBLES = ("slow", "thrashes", "sheds")


@attrs.frozen
class CallClass:
    """One class: ``share`` is that of the usual load, in slot seconds."""

    name: str
    rank: int
    share: float
    service_s: float
    queue_timeout_s: float


CLASSES = (
    CallClass("booking", 0, 0.1, 0.4, 1.5),
    CallClass("order", 1, 0.2, 0.3, 1.0),
    CallClass("price_check", 3, 0.7, 0.15, 0.3),
)


class Upstream:
    """Slots and a queue inside, with a trouble in the middle of the run.

    Troubles: ``slow`` takes five times as long; ``thrashes`` besides loses capacity
    with the square of the concurrency above half the slots; ``sheds`` has a fifth of
    the slots and sheds the rest.
    """

    def __init__(self, trouble: str, now: Callable[[], float]) -> None:
        self._trouble = trouble
        self._now = now
        self._slots = asyncio.Semaphore(SLOTS)
        self._n_inside = 0

    @property
    def is_shedding(self) -> bool:
        """Whether the upstream sheds what comes now."""
        has_trouble = self._trouble == "sheds" and is_trouble(self._now())
        return has_trouble and self._n_inside >= SLOTS / SLOWNESS

    async def run(self, service_s: float) -> None:
        """Serve one request."""
        self._n_inside += 1
        try:
            async with self._slots:
                await asyncio.sleep(service_s * self._slowness())
        finally:
            self._n_inside -= 1

    def least_slowness(self) -> float:
        """Return the factor on service times at the best concurrency."""
        has_trouble = self._trouble != "sheds" and is_trouble(self._now())
        return SLOWNESS if has_trouble else 1.0

    def _slowness(self) -> float:
        slowness = self.least_slowness()
        if slowness == 1.0 or self._trouble == "slow":
            return slowness
        return slowness * max(1.0, min(self._n_inside, SLOTS) * 2 / SLOTS) ** 2


def is_trouble(now: float) -> bool:
    """Return whether the upstream is in trouble and demand surges."""
    return WARM_UP_S <= now < WARM_UP_S + TROUBLE_S


def capacity(trouble: str, second: int) -> float:
    """Return the most slot seconds that can be served in one second."""
    if not is_trouble(second):
        return SLOTS
    return SLOTS / SLOWNESS / (2 if trouble == "thrashes" else 1)


@attrs.define
class Tally:
    """Actions of one class by the second of their arrival."""

    n_arrived: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))
    n_feasible: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))
    n_good: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))


class Run:
    """One run of one kind of control."""

    def __init__(self, kind: str, trouble: str, surge: float, seed: int) -> None:
        self._loop = VirtualClockLoop()
        self._surge = surge
        self._cancels = kind != "none"
        self._random = random.Random(seed)
        self._upstream = Upstream(trouble, self._loop.time)
        self._gate = self._make_gate(kind)
        self._tasks: set[asyncio.Task[None]] = set()
        self.tallies = {each.name: Tally() for each in CLASSES}
        self.level_restored_s = 0.0

    def _make_gate(self, kind: str) -> AdmissionGate | None:
        if kind in UNCONTROLLED:
            return None
        limit = make_limit(kind, 2, SLOTS, SLOTS)
        randomness = random.Random(0)
        return AdmissionGate(limit, QUEUE_LENGTH, self._loop.time, randomness)

    def run(self) -> None:
        """Run to the end of the study."""
        arrivals = [self._arrive(each) for each in CLASSES]
        self._loop.run_until_complete(self._run_all(arrivals))
        self._loop.close()

    async def _run_all(self, arrivals: list[Coroutine[None, None, None]]) -> None:
        await asyncio.gather(*arrivals, self._watch_level())
        await asyncio.sleep(ACTION_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch_level(self) -> None:
        while self._loop.time() < DURATION_S:
            await asyncio.sleep(0.1)
            if self._gate is not None and self._gate.level < HIGHEST_LEVEL:
                self.level_restored_s = self._loop.time()

    async def _arrive(self, each: CallClass) -> None:
        usual_per_s = USUAL_LOAD * each.share * SLOTS / each.service_s
        while True:
            surge = self._surge if is_trouble(self._loop.time()) else 1.0
            await asyncio.sleep(self._random.expovariate(usual_per_s * surge))
            if self._loop.time() >= DURATION_S:
                return
            self._spawn(self._act(each))

    def _spawn(self, action: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _act(self, each: CallClass) -> None:
        arrived_s = self._loop.time()
        tally = self.tallies[each.name]
        tally.n_arrived[int(arrived_s)] += 1
        service_s = self._random.gammavariate(2.0, each.service_s / 2.0)
        slowness = self._upstream.least_slowness()
        tally.n_feasible[int(arrived_s)] += service_s * slowness <= ACTION_S
        is_patient = self._random.random() < 0.5
        for _ in range(N_ATTEMPTS):
            left_s = arrived_s + ACTION_S - self._loop.time()
            if left_s <= 0.0:
                return
            again_s = await self._attempt(each, service_s, left_s)
            if again_s is None:
                tally.n_good[int(arrived_s)] += 1
                return
            await asyncio.sleep(again_s if is_patient else RESEND_S)

    async def _attempt(
        self, each: CallClass, service_s: float, left_s: float
    ) -> float | None:
        """Return None for an answer, else when to come back in seconds."""
        if self._gate is None:
            is_good = await self._call(service_s, left_s / 2)
            return None if is_good else RESEND_S
        result = await self._gate.admit(each.rank, False, each.queue_timeout_s, left_s)
        if result.is_err():
            return result.unwrap_err().retry_after_s
        started_s = self._loop.time()
        is_good = await self._call(service_s, left_s)
        result.unwrap().release(self._loop.time() - started_s, not is_good)
        return None if is_good else RESEND_S

    async def _call(self, service_s: float, timeout_s: float) -> bool:
        if self._upstream.is_shedding:
            await asyncio.sleep(0.001)
            return False
        call = self._spawn(self._upstream.run(service_s))
        done, _ = await asyncio.wait({call}, timeout=timeout_s)
        if self._cancels:
            call.cancel()
        return bool(done)


def oracle(run: Run, trouble: str) -> dict[str, list[float]]:
    """Return the actions a strict priority order can answer, second by second."""
    best: dict[str, list[float]] = {each.name: [] for each in CLASSES}
    for second in range(int(DURATION_S)):
        spare = capacity(trouble, second)
        for each in CLASSES:
            n_feasible = run.tallies[each.name].n_feasible[second]
            n_best = min(n_feasible, spare / each.service_s)
            best[each.name].append(n_best)
            spare -= n_best * each.service_s
    return best


def recovery_s(run: Run) -> float:
    """Return the seconds from the trouble's end to goodput that stays."""
    first = int(WARM_UP_S + TROUBLE_S)
    for second in reversed(range(first, int(DURATION_S))):
        n_arrived = sum(tally.n_arrived[second] for tally in run.tallies.values())
        n_good = sum(tally.n_good[second] for tally in run.tallies.values())
        if n_good < RECOVERED_FRACTION * n_arrived:
            return second + 1.0 - first
    return 0.0


def study(kind: str, trouble: str, surge: float, seed: int) -> dict[str, object]:
    """Run one case and return its line."""
    run = Run(kind, trouble, surge, seed)
    run.run()
    best = oracle(run, trouble)
    good = {name: sum(tally.n_good) for name, tally in run.tallies.items()}
    line: dict[str, object] = {"kind": kind, "trouble": trouble, "surge": surge}
    for name, n_good in good.items():
        line[name] = round(n_good / sum(best[name]), 3)
    line["all"] = round(sum(good.values()) / sum(map(sum, best.values())), 3)
    line["recovery_s"] = recovery_s(run)
    restored_s = run.level_restored_s - WARM_UP_S - TROUBLE_S
    line["level_recovery_s"] = round(max(0.0, restored_s), 1)
    return line


def main() -> None:
    """Run all cases."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for trouble in sys.argv[2:] or TROUBLES:
        for surge in SURGES:
            for kind in [*UNCONTROLLED, *map(str, LIMITS)]:
                print(json.dumps(study(kind, trouble, surge, seed)), flush=True)


if __name__ == "__main__":
    main()
