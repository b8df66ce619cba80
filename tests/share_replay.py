"""Load of organisations of which one sends many times its usual, and its oracle.

Run as a program, prints the share in time of the hot organisation and of the others in
order of arrival, with shares, and by the oracle.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

import attrs

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.coordination.upstream_room import UpstreamRoom

from .load_replay import QueueReplay, ReplayedCall, draw_calls
from .virtual_time import VirtualTime

__all__ = [
    "N_ORGANISATIONS",
    "HopsReplay",
    "Outcome",
    "draw_organisations",
    "max_min",
    "play_hops",
    "play_queue",
    "rates",
    "replay_at_queue",
    "served_share",
]

N_ORGANISATIONS = 74
SIZE_EXPONENT = 1.2
HOT_FACTOR = 7.5
# The call queue starts empty and first hops admit everything at first.
WARM_UP_S = 0.5
SECONDS = 8.0
WORK_S = 0.04
SLOTS = 37
QUEUE_TIMEOUT_S = 0.15
# Requests a second at one first hop, by the number of first hops.
HOP_PER_S = {13: 40.0, 64: 20.0, 195: 10.0}


def rates(per_s: float, hot: int, factor: float = HOT_FACTOR) -> dict[str, float]:
    """Return calls a second by organisation.

    Args:
        per_s: Calls a second of all organisations together.
        hot: Number of the organisation that sends more than usual, from 0, the largest.
        factor: Factor by which it sends more.
    """
    sizes = [(k + 1) ** -SIZE_EXPONENT for k in range(N_ORGANISATIONS)]
    sizes[hot] *= factor
    return {f"o{k}": per_s * size / sum(sizes) for k, size in enumerate(sizes)}


def max_min(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min allocation of a capacity to known demands."""
    allocation = {}
    n_left = len(demands)
    for name, demand in sorted(demands.items(), key=lambda item: item[1]):
        allocation[name] = min(demand, capacity / n_left)
        capacity -= allocation[name]
        n_left -= 1
    return allocation


def draw_organisations(
    rng: random.Random,
    per_s: Mapping[str, float],
    seconds: float,
    work_s: float,
    start_s: float = 0.0,
    n_repeats: int = 0,
) -> list[ReplayedCall]:
    """Return random calls of organisations with the given calls a second."""
    calls = []
    for name, rate in per_s.items():
        drawn = draw_calls(rng, rate, seconds, work_s, 1, 1.0, 0.8, start_s)
        for call in drawn:
            call.organisation = name
            call.n_repeats = n_repeats
        calls += drawn
    calls.sort(key=lambda call: call.at_s)
    return calls


def served_share(calls: Iterable[ReplayedCall]) -> float:
    """Return the share of calls that were answered in time."""
    outcomes = [call.is_in_time for call in calls]
    return sum(outcomes) / max(1, len(outcomes))


@attrs.frozen
class Outcome:
    """Shares of calls in time after the warm-up.

    Attributes:
        hot: Share of the hot organisation.
        others: Share of all others together.
        all: Share of all.
        least: Least share of an organisation with at least 50 calls.
        n_served: Calls answered in time.
    """

    hot: float
    others: float
    all: float
    least: float
    n_served: int

    @classmethod
    def of(
        cls, calls: Iterable[ReplayedCall], hot: int, warm_up_s: float = WARM_UP_S
    ) -> Outcome:
        """Return the outcome of replayed calls."""
        by_name: dict[str, list[ReplayedCall]] = {}
        for call in calls:
            if call.at_s >= warm_up_s:
                by_name.setdefault(call.organisation, []).append(call)
        every = [call for calls in by_name.values() for call in calls]
        return cls(
            served_share(by_name[f"o{hot}"]),
            served_share(c for c in every if c.organisation != f"o{hot}"),
            served_share(every),
            min(served_share(c) for c in by_name.values() if len(c) >= 50),
            sum(call.is_in_time for call in every),
        )

    @classmethod
    def of_oracle(cls, load: float, hot: int) -> Outcome:
        """Return what the max-min allocation of the capacity gives."""
        demands = rates(load, hot)
        served = max_min(demands, 1.0)
        name = f"o{hot}"
        return cls(
            served[name] / demands[name],
            (1.0 - served[name]) / (load - demands[name]),
            1.0 / load,
            min(served[name] / demand for name, demand in demands.items()),
            0,
        )


def play_queue(
    load: float, hot: int, n_repeats: int, is_shared: bool, seed: int = 1
) -> Outcome:
    """Replay the load against one call queue.

    Args:
        load: Work that arrives over what the upstream can run.
        hot: Number of the organisation that sends too much.
        n_repeats: Times that callers repeat at once what was refused.
        is_shared: Whether the queue knows the organisations.
        seed: Seed of the load.
    """
    per_s = rates(load * SLOTS / WORK_S, hot)
    calls = draw_organisations(
        random.Random(seed), per_s, SECONDS, WORK_S, n_repeats=n_repeats
    )
    replay_at_queue(calls, is_shared)
    return Outcome.of(calls, hot)


def replay_at_queue(calls: list[ReplayedCall], is_shared: bool) -> None:
    """Replay calls at one queue, which knows their organisations or not."""
    names = [call.organisation for call in calls]
    if not is_shared:
        for call in calls:
            call.organisation = ""
    QueueReplay(SLOTS, QUEUE_TIMEOUT_S).play(calls)
    for call, name in zip(calls, names, strict=True):
        call.organisation = name


class HopsReplay:
    """First hops with throttles in front of one call queue, in virtual time.

    Args:
        n_hops: Number of first hops; a request enters at a random one.
        slots: Slots of the upstream.
        is_shared: Whether throttles and queue know the organisations.
        seed: Seed of the choice of first hops and of refusals.
    """

    def __init__(self, n_hops: int, slots: int, is_shared: bool, seed: int) -> None:
        self._time = VirtualTime()
        self._rng = random.Random(seed)
        self._queue = CallQueue(slots, self._time.now_s)
        self._is_shared = is_shared
        self.throttles = [
            ActionThrottle(self._time.now_s, self._rng) for _ in range(n_hops)
        ]
        self._room = UpstreamRoom(self._queue, self._time.now_s)

    def play(self, calls: list[ReplayedCall]) -> None:
        """Replay all calls until each is answered or refused for good."""
        for call in calls:
            self._time.at(call.at_s, lambda call=call: self._arrive(call))
        self._time.run()

    def _arrive(self, call: ReplayedCall) -> None:
        throttle = self._rng.choice(self.throttles)
        organisation = call.organisation if self._is_shared else ""
        share = throttle.admit("r", call.rank, organisation)
        if share is None:
            self._refuse(call)
            return
        self._room.note_offer(call.rank, "r", QUEUE_TIMEOUT_S, share)
        now_s = self._time.now_s()
        queued_call = QueuedCall(
            call.rank,
            "r",
            now_s + call.timeout_s,
            QUEUE_TIMEOUT_S,
            lambda: self._time.after(call.work_s, lambda: self._end(call, throttle)),
            lambda reason: self._fail(call, throttle),
            organisation=organisation,
        )
        if self._queue.offer(queued_call) is not None:
            self._fail(call, throttle)
        elif queued_call.expires_s:
            self._time.at(queued_call.expires_s, self._queue.expire)

    def _end(self, call: ReplayedCall, throttle: ActionThrottle) -> None:
        call.ended_s = self._time.now_s()
        self._note_end(call, throttle)
        self._queue.finish("r", call.work_s)

    def _fail(self, call: ReplayedCall, throttle: ActionThrottle) -> None:
        self._note_end(call, throttle)
        self._refuse(call)

    def _note_end(self, call: ReplayedCall, throttle: ActionThrottle) -> None:
        rooms = [self._room.share_for(call.rank)]
        organisation = call.organisation if self._is_shared else ""
        throttle.note_end("r", rooms, call.rank, organisation)

    def _refuse(self, call: ReplayedCall) -> None:
        if call.n_repeats:
            call.n_repeats -= 1
            self._time.after(0.001, lambda: self._arrive(call))


def play_hops(
    n_hops: int, load: float, hot: int, n_repeats: int, is_shared: bool, seed: int = 1
) -> Outcome:
    """Replay the load at first hops, as ``play_queue`` does at one queue."""
    per_s = n_hops * HOP_PER_S[n_hops]
    calls = draw_organisations(
        random.Random(seed), rates(per_s, hot), SECONDS, WORK_S, n_repeats=n_repeats
    )
    slots = round(per_s / load * WORK_S)
    HopsReplay(n_hops, slots, is_shared, seed).play(calls)
    # The throttles need about 2 s to find the share.
    return Outcome.of(calls, hot, 2.0)


def _print_row(title: str, oracle: Outcome, *outcomes: Outcome) -> None:
    figures = [
        f"{o.hot:.3f} {o.others:.3f} {o.least:.3f} {o.n_served:5}" for o in outcomes
    ]
    print(f"{title}: {' | '.join(figures)} | {oracle.hot:.3f} {oracle.others:.3f}")


def main() -> None:
    """Print the outcomes of all loads."""
    print("hot, others, least, served: by arrival | with shares | oracle hot, others")
    for load in (1.2, 1.5, 1.8):
        for hot in (0, 2, 20):
            oracle = Outcome.of_oracle(load, hot)
            for n_repeats in (0, 3):
                title = f"load {load}, hot o{hot}, {n_repeats} repeats"
                both = [play_queue(load, hot, n_repeats, s) for s in (False, True)]
                _print_row(f"queue, {title}", oracle, *both)
                for n_hops in HOP_PER_S:
                    both = [
                        play_hops(n_hops, load, hot, n_repeats, s)
                        for s in (False, True)
                    ]
                    _print_row(f"{n_hops} hops, {title}", oracle, *both)


if __name__ == "__main__":
    main()
