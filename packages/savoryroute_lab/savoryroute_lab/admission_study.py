"""Study of the kinds of limit at one upstream that degrades while demand surges.

Usage: python -m savoryroute_lab.admission_study [SEED [FAULT ...]]

Runs the real admission gate on a virtual clock and prints one JSON line for each fault
(``trouble`` in the output), surge and kind of control. With ``none``, every call goes
to the upstream, which queues calls and continues those whose caller has given up; with
``cancel_only`` it stops those.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Callable, Coroutine

import attrs

from savoryroute.coordination.admission import AdmissionGate
from savoryroute.coordination.admission_level import HIGHEST_LEVEL
from savoryroute.coordination.limits import LIMITS, make_limit

from .virtual_clock import VirtualClockLoop

__all__ = ["main"]

SLOTS = 40
QUEUE_LENGTH = 80
SLOW_FACTOR = 5.0
NORMAL_LOAD = 0.7
WARM_UP_S, FAULT_S, AFTER_S = 10.0, 15.0, 25.0
DURATION_S = WARM_UP_S + FAULT_S + AFTER_S
ACTION_TIMEOUT_S = 6.0
RETRY_DELAY_S = 0.2
N_ATTEMPTS = 8
SURGES = (2.0, 3.0, 5.0)
RECOVERED_FRACTION = 0.95
UNCONTROLLED = ("none", "cancel_only")
FAULTS = ("slow", "thrashes", "sheds")


@attrs.frozen
class CallClass:
    """Class of calls.

    Attributes:
        name: Name in the output.
        rank: Rank at the admission gate; 0 is the highest priority.
        share: Share of the normal load, in slot seconds.
        service_s: Mean service time in seconds.
        queue_timeout_s: Longest wait in the gate's queue in seconds.
    """

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
    """Upstream with slots and an internal queue, and a fault in the middle of the run.

    Faults: with ``slow``, service takes five times as long. With ``thrashes``, service
    times also grow with the square of the concurrency above half the slots, so that
    capacity falls. With ``sheds``, a fifth of the slots is left and further calls are
    shed.
    """

    def __init__(self, fault: str, now: Callable[[], float]) -> None:
        self._fault = fault
        self._now = now
        self._slots = asyncio.Semaphore(SLOTS)
        self._n_inside = 0

    @property
    def is_shedding(self) -> bool:
        """Whether the upstream sheds a call that arrives now."""
        has_fault = self._fault == "sheds" and is_fault_active(self._now())
        return has_fault and self._n_inside >= SLOTS / SLOW_FACTOR

    async def run(self, service_s: float) -> None:
        """Serve one call whose service time is ``service_s`` without a fault."""
        self._n_inside += 1
        try:
            async with self._slots:
                await asyncio.sleep(service_s * self._slow_factor())
        finally:
            self._n_inside -= 1

    def min_slow_factor(self) -> float:
        """Return the current factor on service times at the best concurrency."""
        has_fault = self._fault != "sheds" and is_fault_active(self._now())
        return SLOW_FACTOR if has_fault else 1.0

    def _slow_factor(self) -> float:
        slow_factor = self.min_slow_factor()
        if slow_factor == 1.0 or self._fault == "slow":
            return slow_factor
        return slow_factor * max(1.0, min(self._n_inside, SLOTS) * 2 / SLOTS) ** 2


def is_fault_active(now: float) -> bool:
    """Return whether the fault and the surge are active at a time in seconds."""
    return WARM_UP_S <= now < WARM_UP_S + FAULT_S


def capacity(fault: str, second: int) -> float:
    """Return the maximum slot seconds that can be served in a second of the run."""
    if not is_fault_active(second):
        return SLOTS
    return SLOTS / SLOW_FACTOR / (2 if fault == "thrashes" else 1)


@attrs.define
class Tally:
    """Actions of one class by the second of their arrival.

    Attributes:
        n_arrived: All actions.
        n_feasible: Actions whose service time at the best concurrency is within
            ``ACTION_TIMEOUT_S``.
        n_answered: Actions answered within ``ACTION_TIMEOUT_S``.
    """

    n_arrived: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))
    n_feasible: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))
    n_answered: list[int] = attrs.field(factory=lambda: [0] * int(DURATION_S))


class Run:
    """One run with one kind of control.

    Args:
        kind: Kind of limit, or a member of ``UNCONTROLLED``.
        fault: Name in ``FAULTS``.
        surge: Factor on demand during the fault.
        seed: Seed of arrival times, service times and retries.

    Attributes:
        tallies: Counts of actions by class.
        level_restored_s: Last time in seconds at which the admission level was below
            the highest; 0 if it never was.
    """

    def __init__(self, kind: str, fault: str, surge: float, seed: int) -> None:
        self._loop = VirtualClockLoop()
        self._surge = surge
        self._cancels = kind != "none"
        self._random = random.Random(seed)
        self._upstream = Upstream(fault, self._loop.time)
        self._gate = self._make_gate(kind)
        self._tasks: set[asyncio.Task[None]] = set()
        self.tallies = {call_class.name: Tally() for call_class in CLASSES}
        self.level_restored_s = 0.0

    def _make_gate(self, kind: str) -> AdmissionGate | None:
        if kind in UNCONTROLLED:
            return None
        limit = make_limit(kind, 2, SLOTS, SLOTS)
        randomness = random.Random(0)
        return AdmissionGate(limit, QUEUE_LENGTH, self._loop.time, randomness)

    def run(self) -> None:
        """Run until all actions have ended."""
        arrivals = [self._arrive(call_class) for call_class in CLASSES]
        self._loop.run_until_complete(self._run_all(arrivals))
        self._loop.close()

    async def _run_all(self, arrivals: list[Coroutine[None, None, None]]) -> None:
        await asyncio.gather(*arrivals, self._watch_level())
        await asyncio.sleep(ACTION_TIMEOUT_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _watch_level(self) -> None:
        while self._loop.time() < DURATION_S:
            await asyncio.sleep(0.1)
            if self._gate is not None and self._gate.level < HIGHEST_LEVEL:
                self.level_restored_s = self._loop.time()

    async def _arrive(self, call_class: CallClass) -> None:
        normal_per_s = NORMAL_LOAD * call_class.share * SLOTS / call_class.service_s
        while True:
            surge = self._surge if is_fault_active(self._loop.time()) else 1.0
            await asyncio.sleep(self._random.expovariate(normal_per_s * surge))
            if self._loop.time() >= DURATION_S:
                return
            self._spawn(self._run_action(call_class))

    def _spawn(self, action: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(action)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _run_action(self, call_class: CallClass) -> None:
        arrived_s = self._loop.time()
        tally = self.tallies[call_class.name]
        tally.n_arrived[int(arrived_s)] += 1
        service_s = self._random.gammavariate(2.0, call_class.service_s / 2.0)
        slow_factor = self._upstream.min_slow_factor()
        tally.n_feasible[int(arrived_s)] += service_s * slow_factor <= ACTION_TIMEOUT_S
        honors_retry_after = self._random.random() < 0.5
        for _ in range(N_ATTEMPTS):
            time_left_s = arrived_s + ACTION_TIMEOUT_S - self._loop.time()
            if time_left_s <= 0.0:
                return
            retry_delay_s = await self._attempt(call_class, service_s, time_left_s)
            if retry_delay_s is None:
                tally.n_answered[int(arrived_s)] += 1
                return
            await asyncio.sleep(retry_delay_s if honors_retry_after else RETRY_DELAY_S)

    async def _attempt(
        self, call_class: CallClass, service_s: float, time_left_s: float
    ) -> float | None:
        """Return None for an answer, else the seconds to wait before a retry."""
        if self._gate is None:
            is_answered = await self._call(service_s, time_left_s / 2)
            return None if is_answered else RETRY_DELAY_S
        result = await self._gate.admit(
            call_class.rank, False, call_class.queue_timeout_s, time_left_s
        )
        if result.is_err():
            return result.unwrap_err().retry_after_s
        started_s = self._loop.time()
        is_answered = await self._call(service_s, time_left_s)
        result.unwrap().release(self._loop.time() - started_s, not is_answered)
        return None if is_answered else RETRY_DELAY_S

    async def _call(self, service_s: float, timeout_s: float) -> bool:
        if self._upstream.is_shedding:
            await asyncio.sleep(0.001)
            return False
        call = self._spawn(self._upstream.run(service_s))
        done, _ = await asyncio.wait({call}, timeout=timeout_s)
        if self._cancels:
            call.cancel()
        return bool(done)


def oracle(run: Run, fault: str) -> dict[str, list[float]]:
    """Return the actions that strict priority can answer, by class and second."""
    achievable: dict[str, list[float]] = {call_class.name: [] for call_class in CLASSES}
    for second in range(int(DURATION_S)):
        capacity_left = capacity(fault, second)
        for call_class in CLASSES:
            n_feasible = run.tallies[call_class.name].n_feasible[second]
            n_achievable = min(n_feasible, capacity_left / call_class.service_s)
            achievable[call_class.name].append(n_achievable)
            capacity_left -= n_achievable * call_class.service_s
    return achievable


def recovery_s(run: Run) -> float:
    """Return the seconds from the end of the fault to lasting recovery of goodput."""
    first = int(WARM_UP_S + FAULT_S)
    for second in reversed(range(first, int(DURATION_S))):
        n_arrived = sum(tally.n_arrived[second] for tally in run.tallies.values())
        n_answered = sum(tally.n_answered[second] for tally in run.tallies.values())
        if n_answered < RECOVERED_FRACTION * n_arrived:
            return second + 1.0 - first
    return 0.0


def study(kind: str, fault: str, surge: float, seed: int) -> dict[str, object]:
    """Run one case and return its row of the output."""
    run = Run(kind, fault, surge, seed)
    run.run()
    achievable = oracle(run, fault)
    answered = {name: sum(tally.n_answered) for name, tally in run.tallies.items()}
    row: dict[str, object] = {"kind": kind, "trouble": fault, "surge": surge}
    for name, n_answered in answered.items():
        row[name] = round(n_answered / sum(achievable[name]), 3)
    row["all"] = round(sum(answered.values()) / sum(map(sum, achievable.values())), 3)
    row["recovery_s"] = recovery_s(run)
    restored_s = run.level_restored_s - WARM_UP_S - FAULT_S
    row["level_recovery_s"] = round(max(0.0, restored_s), 1)
    return row


def main() -> None:
    """Run all cases."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for fault in sys.argv[2:] or FAULTS:
        for surge in SURGES:
            for kind in [*UNCONTROLLED, *map(str, LIMITS)]:
                print(json.dumps(study(kind, fault, surge, seed)), flush=True)


if __name__ == "__main__":
    main()
