"""Replay of a load on several first hops and instances, in virtual time.

Instance selection, call queue and retry rule are those of the product. Network,
upstreams and callers are simulated. For comparison an oracle that knows all speeds,
work and faults places the same calls.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable

import attrs

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.instance_record import SentCall
from savoryroute.coordination.instance_selector import InstanceSelector
from savoryroute.coordination.retry_rule import NextStep, n_placements_left, next_step
from savoryroute.protocol.mesh_frames import MeshAnswer
from savoryroute.state.fleet_view import Instance, ServiceInstances
from savoryroute.verdict import Reason, Verdict

from .virtual_time import VirtualTime

__all__ = ["Fault", "FleetReplay", "Load", "Outcome", "Spec"]

# One-way network latency in seconds, within a failure domain and between two.
SAME_DOMAIN_LATENCY_S = 0.0003
OTHER_DOMAIN_LATENCY_S = 0.0012
# Queue timeout as a share of the target latency, as in coordination/first_hop.py.
QUEUE_TIMEOUT_SHARE = 0.15
ATTEMPTS_MAX = 2
WAVE_S = 15.0
# Interval in seconds at which the waiting work is compared.
SAMPLE_S = 0.1


@attrs.frozen
class Fault:
    """A fault of some instances for a limited time.

    Attributes:
        instances: Indices of the instances in the list.
        from_s: Start of the fault.
        to_s: End of the fault.
        slowness: Factor on the work of calls that start during the fault.
        shed_share: Share of the calls that the upstream sheds.
        is_draining: Whether the instances take no new calls.
        is_stated: Whether the upstreams state the slowness.
    """

    instances: tuple[int, ...]
    from_s: float
    to_s: float
    slowness: float = 1.0
    shed_share: float = 0.0
    is_draining: bool = False
    is_stated: bool = False


@attrs.frozen
class Spec:
    """Instances of a service and their faults.

    Attributes:
        speeds: Speed of each instance; at 2, a call takes half the time.
        slots: Slots of each instance.
        n_domains: Failure domains; instances and first hops are assigned in turn.
        n_hops: Number of first hops.
        faults: Faults of the instances.
        stated: Returns the work time that an instance states, from its index, the time
            and the true factor; None if instances state nothing.
    """

    speeds: tuple[float, ...]
    slots: int
    n_domains: int
    n_hops: int
    faults: tuple[Fault, ...] = ()
    stated: Callable[[int, float, float], float] | None = None

    def active_faults(self, index: int, now_s: float) -> list[Fault]:
        """Return the faults of an instance that are active at a time."""
        return [
            fault
            for fault in self.faults
            if index in fault.instances and fault.from_s <= now_s < fault.to_s
        ]

    def work_s(self, index: int, work_s: float, now_s: float) -> float:
        """Return the seconds that a call starting now takes at an instance."""
        factor = 1.0
        for fault in self.active_faults(index, now_s):
            factor *= fault.slowness
        return work_s * factor / self.speeds[index]

    def stated_factor(self, index: int, now_s: float) -> float:
        """Return the work time that an instance states, which may be false."""
        true = math.prod(
            fault.slowness
            for fault in self.active_faults(index, now_s)
            if fault.is_stated
        )
        return self.stated(index, now_s, true)

    def is_draining(self, index: int, now_s: float) -> bool:
        """Return whether an instance takes no new calls."""
        return any(fault.is_draining for fault in self.active_faults(index, now_s))


@attrs.frozen
class Load:
    """Calls of one route.

    Attributes:
        per_s: Calls per second over all first hops.
        work_s: Mean seconds of a call at an instance of speed 1.
        target_s: Target latency in seconds.
        timeout_s: Timeout of a call in seconds.
        seconds: Length of the load in seconds.
        burst: Start and end of a burst in seconds, and the factor on the rate.
        hop_weights: Weight of each first hop in the load; None for equal weights.
        queue_timeout_share: Longest wait for a slot as a share of the target latency.
        wave: Part by which the rate of a failure domain rises and falls, with another
            phase in each.
        clump: Mean number of calls that arrive together at one first hop.
    """

    per_s: float
    work_s: float
    target_s: float
    timeout_s: float
    seconds: float
    burst: tuple[float, float, float] = (0.0, 0.0, 1.0)
    hop_weights: tuple[float, ...] | None = None
    queue_timeout_share: float = QUEUE_TIMEOUT_SHARE
    wave: float = 0.0
    clump: float = 1.0

    def draw(
        self, rng: random.Random, n_hops: int, n_domains: int
    ) -> list[tuple[float, float, int]]:
        """Return arrival time, work and first hop of each call."""
        if self.wave:
            return self._draw_wave(rng, n_hops, n_domains)
        calls = []
        at_s = 0.0
        hops = range(n_hops)
        while True:
            from_s, to_s, factor = self.burst
            rate = self.per_s * (factor if from_s <= at_s < to_s else 1.0)
            at_s += rng.expovariate(rate)
            if at_s >= self.seconds:
                return calls
            work_s = self.work_s * rng.lognormvariate(-0.125, 0.5)
            (hop,) = rng.choices(hops, self.hop_weights)
            calls.append((at_s, work_s, hop))

    def _draw_wave(
        self, rng: random.Random, n_hops: int, n_domains: int
    ) -> list[tuple[float, float, int]]:
        calls = []
        at_s = 0.0
        while True:
            at_s += rng.expovariate(self.per_s * (1.0 + self.wave) / self.clump)
            if at_s >= self.seconds:
                return calls
            hop = rng.randrange(n_hops)
            turns = at_s / WAVE_S + hop % n_domains / n_domains
            rate = 1.0 + self.wave * math.sin(2 * math.pi * turns)
            if rng.random() * (1.0 + self.wave) >= rate:
                continue
            n_calls = 1
            while rng.random() >= 1.0 / self.clump:
                n_calls += 1
            for _ in range(n_calls):
                work_s = self.work_s * rng.lognormvariate(-0.125, 0.5)
                calls.append((at_s, work_s, hop))


@attrs.define
class Outcome:
    """Counts and latencies of a replay.

    ``waits_s`` are the seconds from the arrival of a call to its start at an upstream,
    ``spreads_s`` the differences over time between the longest and the shortest time
    in which an upstream's slots can do its waiting work.
    """

    n_calls: int = 0
    n_in_target: int = 0
    n_refused: int = 0
    n_timeouts: int = 0
    n_arrivals: int = 0
    latencies_s: list[float] = attrs.field(factory=list)
    waits_s: list[float] = attrs.field(factory=list)
    spreads_s: list[float] = attrs.field(factory=list)

    @property
    def in_target(self) -> float:
        """Share of calls answered within the target latency."""
        return self.n_in_target / self.n_calls


@attrs.define(eq=False)
class _Call:
    at_s: float
    work_s: float
    hop: int
    tried: list[str] = attrs.field(factory=list)
    n_arrivals: int = 0
    sent: SentCall | None = None
    index: int = -1
    is_over: bool = False


class FleetReplay:
    """One service, its first hops and a load, in virtual time."""

    def __init__(self, spec: Spec, load: Load, seed: int) -> None:
        self._spec = spec
        self._load = load
        self._rng = random.Random(seed)
        self._time = VirtualTime()
        self._instances = [
            Instance(
                f"i{index}", "s", f"ip{index}", self._domain(index), spec.slots, True
            )
            for index in range(len(spec.speeds))
        ]
        clock = self._time.now_s
        self._index = {item.id: i for i, item in enumerate(self._instances)}
        self._has_draining = any(fault.is_draining for fault in spec.faults)
        self._all = ServiceInstances(self._instances)
        self._queues = [CallQueue(spec.slots, clock) for _ in spec.speeds]
        self._waiting_s = [0.0] * len(spec.speeds)
        self.selectors = [
            InstanceSelector(
                f"hop{hop}", self._domain(hop), random.Random(seed + hop), clock
            )
            for hop in range(spec.n_hops)
        ]

    def play(self) -> Outcome:
        """Replay all calls until each is answered, refused or timed out."""
        outcome = Outcome()
        for at_s, work_s, hop in self._draw():
            call = _Call(at_s, work_s, hop)
            outcome.n_calls += 1
            self._time.at(at_s, lambda call=call: self._place(call, outcome))
            self._time.at(
                at_s + self._load.timeout_s,
                lambda call=call: self._on_timeout(call, outcome),
            )
        for number in range(int(self._load.seconds / SAMPLE_S)):
            self._time.at(number * SAMPLE_S, lambda: self._sample(outcome))
        self._time.run()
        return outcome

    @property
    def n_returned(self) -> int:
        """Waiting calls that were returned to their first hops."""
        return sum(queue.n_returned for queue in self._queues)

    def _draw(self) -> list[tuple[float, float, int]]:
        spec = self._spec
        return self._load.draw(self._rng, spec.n_hops, spec.n_domains)

    def _sample(self, outcome: Outcome) -> None:
        waiting_s = [work / self._spec.slots for work in self._waiting_s]
        outcome.spreads_s.append(max(waiting_s) - min(waiting_s))

    def play_oracle(self) -> Outcome:
        """Place each call where it ends first, knowing all speeds, work and faults."""
        spec, outcome = self._spec, Outcome()
        free_s = [[0.0] * spec.slots for _ in spec.speeds]
        for at_s, work_s, hop in self._draw():
            outcome.n_calls += 1
            best: tuple[float, int, float] | None = None
            for index, free in enumerate(free_s):
                latency_s = self._latency_s(hop, index)
                start_s = max(at_s + latency_s, free[0])
                if spec.is_draining(index, at_s):
                    continue
                if any(
                    fault.shed_share for fault in spec.active_faults(index, start_s)
                ):
                    continue
                end_s = start_s + spec.work_s(index, work_s, start_s) + latency_s
                if best is None or end_s < best[0]:
                    best = end_s, index, start_s
            if best is None or best[0] - at_s > self._load.target_s:
                outcome.n_refused += 1
                continue
            end_s, index, start_s = best
            heapq.heapreplace(free_s[index], end_s - self._latency_s(hop, index))
            outcome.n_in_target += 1
            outcome.waits_s.append(start_s - at_s)
            outcome.latencies_s.append(end_s - at_s)
        return outcome

    def _domain(self, number: int) -> str:
        return f"d{number % self._spec.n_domains}"

    def _latency_s(self, hop: int, index: int) -> float:
        is_near = self._domain(hop) == self._domain(index)
        return SAME_DOMAIN_LATENCY_S if is_near else OTHER_DOMAIN_LATENCY_S

    def _place(self, call: _Call, outcome: Outcome) -> None:
        if call.is_over:
            return
        listed = self._all
        if self._has_draining:
            listed = ServiceInstances(
                [
                    instance
                    for index, instance in enumerate(self._instances)
                    if not self._spec.is_draining(index, self._time.now_s())
                ]
            )
        selector = self.selectors[call.hop]
        instance = selector.choose(listed, call.tried, lambda ip: False)
        if instance is None:
            self._refuse(call, outcome)
            return
        call.index = self._index[instance.id]
        call.tried.append(instance.id)
        call.sent = selector.note_sent(instance, "r")
        latency_s = self._latency_s(call.hop, call.index)
        self._time.after(latency_s, lambda: self._offer(call, outcome))

    def _offer(self, call: _Call, outcome: Outcome) -> None:
        spec, index = self._spec, call.index
        queue = self._queues[index]
        sent = call.sent
        is_queued = False

        def leave_queue() -> None:
            if is_queued:
                self._waiting_s[index] -= call.work_s / spec.speeds[index]

        def start() -> None:
            leave_queue()
            now_s = self._time.now_s()
            outcome.waits_s.append(now_s - call.at_s)
            shed_share = sum(
                fault.shed_share for fault in spec.active_faults(index, now_s)
            )
            outcome.n_arrivals += 1
            if self._rng.random() < shed_share:
                self._time.after(0.0, lambda: finish(None, was_sent=True))
                return
            work_s = spec.work_s(index, call.work_s, now_s)
            self._time.after(work_s, lambda: finish(work_s))

        def finish(work_s: float | None, was_sent: bool = False) -> None:
            if spec.stated is not None:
                queue.times.report(spec.stated_factor(index, self._time.now_s()))
                queue.finish("r", work_s, queued_call.work_time)
            else:
                queue.finish("r", work_s)
            if work_s is None:
                self._answer(call, sent, index, outcome, Reason.OVERLOAD, was_sent)
            else:
                self._answer(call, sent, index, outcome, None, True)

        def refuse(reason: Reason) -> None:
            leave_queue()
            self._answer(call, sent, index, outcome, reason, False)

        timeout_s = call.at_s + self._load.timeout_s
        queue_timeout_s = self._load.target_s * self._load.queue_timeout_share
        queued_call = QueuedCall(1, "r", timeout_s, queue_timeout_s, start, refuse)
        if spec.stated is not None:
            n_untried = len(spec.speeds) - len(call.tried)
            n_left = n_placements_left(len(call.tried), n_untried)
            queued_call.is_returnable = n_left > 0
        reason = queue.offer(queued_call)
        if reason is not None:
            refuse(reason)
        elif queued_call.expires_s:
            is_queued = True
            self._waiting_s[index] += call.work_s / spec.speeds[index]
            self._time.at(queued_call.expires_s, queue.expire)

    def _answer(
        self,
        call: _Call,
        sent: SentCall,
        index: int,
        outcome: Outcome,
        reason: Reason | None,
        was_sent: bool,
    ) -> None:
        """Send an answer to the first hop."""
        queue = self._queues[index]
        factor = 1.0 if self._spec.stated is None else queue.times.factor
        verdict = Verdict.RAN if reason is None else Verdict.NOT_RUN
        answer = MeshAnswer(
            0,
            verdict,
            reason,
            was_sent=was_sent,
            status=200 if reason is None else 0,
            n_reported=queue.n_running + queue.n_waiting,
            limit=queue.slots,
            wait_ms=int(queue.expected_wait_s(queue.n_waiting) * 1000),
            work_time=round(factor, 2),
            is_load=reason is not None,
        )
        self._time.after(
            self._latency_s(call.hop, index),
            lambda: self._on_answer(call, sent, index, answer, outcome),
        )

    def _on_answer(
        self,
        call: _Call,
        sent: SentCall,
        index: int,
        answer: MeshAnswer,
        outcome: Outcome,
    ) -> None:
        if call.is_over:
            # The call timed out and was cancelled before this answer arrived.
            return
        self.selectors[call.hop].note_answer(sent, answer)
        call.n_arrivals += answer.was_sent
        step = next_step(answer, True, len(call.tried), call.n_arrivals, ATTEMPTS_MAX)
        if step is NextStep.RETURN_ANSWER:
            call.is_over = True
            total_s = self._time.now_s() - call.at_s
            outcome.n_in_target += total_s <= self._load.target_s
            outcome.latencies_s.append(total_s)
        elif step is NextStep.GIVE_UP:
            self._refuse(call, outcome)
        else:
            self._place(call, outcome)

    def _refuse(self, call: _Call, outcome: Outcome) -> None:
        call.is_over = True
        outcome.n_refused += 1

    def _on_timeout(self, call: _Call, outcome: Outcome) -> None:
        if call.is_over:
            return
        call.is_over = True
        outcome.n_timeouts += 1
        if call.sent is not None:
            self.selectors[call.hop].note_timeout(call.sent)
            self.selectors[call.hop].note_cancelled(call.sent)
