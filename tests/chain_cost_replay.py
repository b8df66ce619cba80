"""Replay of actions of one rank that cost a deep service differently.

Three kinds of actions enter at many first hops. Each makes 0, 4 or 8 calls, one after
the other, to one deep service that is short of slots. Throttle, call queue, instance
selection and retry rule are those of the product. Run as a program, prints the share of
each kind that is completed, beside an oracle that knows what each kind costs.
"""

from __future__ import annotations

import random
from collections import Counter

import attrs

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.instance_selector import InstanceSelector
from savoryroute.coordination.retry_rule import NextStep, next_step
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.coordination.upstream_room import UpstreamRoom
from savoryroute.protocol.mesh_frames import MeshAnswer
from savoryroute.state.fleet_view import Instance, ServiceInstances
from savoryroute.verdict import Reason, Verdict

from .virtual_time import VirtualTime

__all__ = ["KINDS", "ChainCostReplay", "Completed", "oracle_shares"]

# Calls that an action of each kind makes to the deep service.
KINDS = (0, 4, 8)
RANK = 1
CALL_S = 0.04
# Seconds of an action at the services before the deep one, which are not short.
OWN_S = 0.01
SLOTS = 37
# At speed 0.7, a call takes 1 / 0.7 of its usual time.
SPEEDS = (0.7, 0.7, 1.6, 0.7, 0.7)
CAPACITY_PER_S = SLOTS * sum(SPEEDS) / CALL_S
LATENCY_S = 0.0005
TIMEOUT_S = 1.5
# Half of a target latency of 1 s, as for calls of upstreams in first_hop.py.
QUEUE_TIMEOUT_S = 0.5
ATTEMPTS_MAX = 2
# The throttles need about 2 s to find the shares.
WARM_UP_S = 3.0


def oracle_shares(load: float) -> dict[int, float]:
    """Return the shares that complete most actions, the cheap ones first."""
    action_per_s = load * CAPACITY_PER_S / sum(KINDS)
    left_per_s = CAPACITY_PER_S
    shares = {}
    for n_calls in KINDS:
        wanted_per_s = n_calls * action_per_s
        shares[n_calls] = min(1.0, left_per_s / wanted_per_s) if n_calls else 1.0
        left_per_s -= shares[n_calls] * wanted_per_s
    return shares


@attrs.frozen
class Completed:
    """What was completed of the actions after the warm-up.

    Attributes:
        shares: Share by kind.
        all: Share of all actions.
        wasted: Share of the deep service's calls made for actions that failed.
    """

    shares: dict[int, float]
    all: float
    wasted: float


@attrs.define(eq=False)
class _Action:
    n_calls: int
    hop: int
    began_s: float
    n_done: int = 0
    share: float = 1.0
    rooms: list[float] = attrs.field(factory=list)
    n_arrivals: int = 0
    tried: list[str] = attrs.field(factory=list)
    is_over: bool = False


class ChainCostReplay:
    """First hops and the upstreams of the deep service, in virtual time.

    Args:
        n_hops: Number of first hops; an action makes its calls from its first hop.
        load: Work that arrives for the deep service over what it can run.
        seed: Seed of arrivals, service times, placements and refusals.
        shares: Shares by kind that an oracle admits, None for the throttle.
    """

    def __init__(
        self,
        n_hops: int,
        load: float,
        seed: int,
        shares: dict[int, float] | None = None,
    ) -> None:
        self._per_s = load * CAPACITY_PER_S / sum(KINDS)
        self._shares = shares
        self._rng = random.Random(seed)
        self._time = VirtualTime()
        clock = self._time.now_s
        self._instances = ServiceInstances(
            [
                Instance(f"i{index}", "deep", f"ip{index}", "d", SLOTS, True)
                for index in range(len(SPEEDS))
            ]
        )
        self._queues = {f"i{index}": CallQueue(SLOTS, clock) for index in range(5)}
        self._rooms = {
            name: UpstreamRoom(queue, clock) for name, queue in self._queues.items()
        }
        self._speeds = {f"i{index}": speed for index, speed in enumerate(SPEEDS)}
        self._throttles = [
            ActionThrottle(clock, random.Random(seed * 1000 + hop))
            for hop in range(n_hops)
        ]
        self._selectors = [
            InstanceSelector(f"hop{hop}", "d", random.Random(seed * 1000 + hop), clock)
            for hop in range(n_hops)
        ]
        self._arrived: Counter[int] = Counter()
        self._completed: Counter[int] = Counter()
        self._n_calls = 0
        self._n_wasted = 0

    def play(self, seconds: float) -> Completed:
        """Replay the actions of a number of seconds until all have ended."""
        for n_calls in KINDS:
            at_s = 0.0
            while (at_s := at_s + self._rng.expovariate(self._per_s)) < seconds:
                self._time.at(at_s, lambda n_calls=n_calls: self._arrive(n_calls))
        self._time.run()
        return Completed(
            {n: self._completed[n] / self._arrived[n] for n in KINDS},
            self._completed.total() / self._arrived.total(),
            self._n_wasted / self._n_calls,
        )

    def _arrive(self, n_calls: int) -> None:
        now_s = self._time.now_s()
        action = _Action(n_calls, self._rng.randrange(len(self._throttles)), now_s)
        self._arrived[n_calls] += now_s >= WARM_UP_S
        if self._shares is not None:
            is_admitted = self._rng.random() < self._shares[n_calls]
        else:
            throttle = self._throttles[action.hop]
            share = throttle.admit(f"r{n_calls}", RANK)
            is_admitted = share is not None
            action.share = share or 0.0
        if is_admitted:
            self._time.after(OWN_S, lambda: self._next_call(action))
            self._time.after(TIMEOUT_S, lambda: self._end(action, False))

    def _next_call(self, action: _Action) -> None:
        if action.n_done == action.n_calls:
            self._end(action, True)
            return
        action.tried.clear()
        action.n_arrivals = 0
        self._place(action)

    def _place(self, action: _Action) -> None:
        selector = self._selectors[action.hop]
        instance = selector.choose(self._instances, action.tried, lambda ip: False)
        if action.is_over or instance is None:
            self._end(action, False)
            return
        action.tried.append(instance.id)
        sent = selector.note_sent(instance, "call")
        queue = self._queues[instance.id]

        def answer(reason: Reason | None) -> None:
            answer = MeshAnswer(
                0,
                Verdict.RAN if reason is None else Verdict.NOT_RUN,
                reason,
                status=200 if reason is None else 0,
                was_sent=reason is None,
                is_load=reason is not None,
                n_reported=queue.n_running + queue.n_waiting,
                limit=SLOTS,
                room=self._rooms[instance.id].share_for(RANK),
            )

            def arrive() -> None:
                selector.note_answer(sent, answer)
                self._on_answer(action, answer)

            self._time.after(LATENCY_S, arrive)

        def start() -> None:
            work_s = CALL_S * self._rng.uniform(0.5, 1.5) / self._speeds[instance.id]
            self._time.after(work_s, lambda: finish(work_s))

        def finish(work_s: float) -> None:
            queue.finish("call", work_s)
            answer(None)

        def offer() -> None:
            if len(action.tried) == 1:
                self._rooms[instance.id].note_offer(
                    RANK, "call", QUEUE_TIMEOUT_S, action.share
                )
            deadline_s = action.began_s + TIMEOUT_S
            call = QueuedCall(
                RANK,
                "call",
                deadline_s,
                QUEUE_TIMEOUT_S,
                start,
                answer,
                has_progress=action.n_done > 0,
            )
            reason = queue.offer(call)
            if reason is not None:
                answer(reason)
            elif call.expires_s:
                self._time.at(call.expires_s, queue.expire)

        self._time.after(LATENCY_S, offer)

    def _on_answer(self, action: _Action, answer: MeshAnswer) -> None:
        if action.is_over:
            return
        action.n_arrivals += answer.was_sent
        action.rooms.append(answer.room)
        n_placed = len(action.tried)
        step = next_step(answer, True, n_placed, action.n_arrivals, ATTEMPTS_MAX)
        if step is NextStep.RETURN_ANSWER:
            action.n_done += 1
            self._next_call(action)
        elif step is NextStep.GIVE_UP:
            self._end(action, False)
        else:
            self._place(action)

    def _end(self, action: _Action, is_completed: bool) -> None:
        if action.is_over:
            return
        action.is_over = True
        throttle = self._throttles[action.hop]
        throttle.note_end(f"r{action.n_calls}", action.rooms)
        if action.began_s >= WARM_UP_S:
            self._completed[action.n_calls] += is_completed
            self._n_calls += action.n_done
            self._n_wasted += 0 if is_completed else action.n_done


def main() -> None:
    """Print what is completed at 13 and 64 first hops."""
    load = 1.2
    shares = oracle_shares(load)
    total = sum(shares.values()) / len(KINDS)
    print("completed of kinds 0, 4, 8; of all; calls for actions that failed")
    print("bound  ", *(f"{shares[n]:.3f}" for n in KINDS), f"{total:.3f}")
    for n_hops in (13, 64):
        for seed in (1, 2, 3):
            for name, admitted in (("throttle", None), ("oracle", shares)):
                done = ChainCostReplay(n_hops, load, seed, admitted).play(13.0)
                figures = [f"{done.shares[n]:.3f}" for n in KINDS]
                figures += [f"{done.all:.3f}", f"{done.wasted:.3f}"]
                print(f"{n_hops} hops, seed {seed}, {name}:", *figures)


if __name__ == "__main__":
    main()
