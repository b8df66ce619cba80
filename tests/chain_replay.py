"""Replay of actions that make calls to one service with too few slots."""

from __future__ import annotations

import random
from collections import defaultdict

import attrs

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.switches import ALL_ON
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.coordination.upstream_room import UpstreamRoom

from .virtual_time import VirtualTime

__all__ = ["CALLS", "CALL_S", "SLOTS", "ActionKind", "ChainReplay"]

CALLS = 4
CALL_S = 0.03
SLOTS = 40
TIMEOUT_S = 0.8
QUEUE_TIMEOUT_S = 0.045
N_FIRST_HOPS = 6


@attrs.frozen
class ActionKind:
    """Calls that the actions of one kind make, one after the other.

    Attributes:
        n_calls: Calls of one action.
        call_s: Mean seconds of a call.
        queue_timeout_s: Longest wait of a call for a slot in seconds.
        n_returns: How often a caller returns after a refusal at the first hop.
        return_s: Longest time in seconds after which it returns.
        rank: Rank of the actions, None for the key of the kind.
    """

    n_calls: int = CALLS
    call_s: float = CALL_S
    queue_timeout_s: float = QUEUE_TIMEOUT_S
    n_returns: int = 0
    return_s: float = 0.6
    rank: int | None = None


@attrs.define
class _Action:
    """One admitted action; times are in seconds."""

    hop: int
    key: int | str
    began_s: float
    deadline_s: float
    share: float
    n_done: int = 0


class ChainReplay:
    """Actions of sequential calls to one service with too few slots.

    Args:
        seed: Seed of arrivals, service times and refusals.
        is_throttled: Whether the first hops refuse whole actions.
        slow: Factor by which calls take longer, as a function of the time.
        n_first_hops: Number of first hops; an action enters at a random one.
        is_by_progress: Whether calls of actions with completed calls start first.
        slots: Slots of the upstream.
        kinds: Calls of the actions of each kind, by its rank or another key.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        seed,
        is_throttled,
        slow=lambda now_s: 1.0,
        n_first_hops=N_FIRST_HOPS,
        is_by_progress=True,
        slots=SLOTS,
        kinds=None,
        switches=ALL_ON,
    ):
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.kinds = defaultdict(ActionKind, kinds or {})
        self.queue = CallQueue(slots, self.time.now_s)
        self.room = UpstreamRoom(self.queue, self.time.now_s, switches)
        self.throttles = [
            ActionThrottle(self.time.now_s, self.rng) for _ in range(n_first_hops)
        ]
        self.is_throttled, self.slow = is_throttled, slow
        self.is_by_progress = is_by_progress
        self.served = []
        self.arrived = []
        self.busy = []
        self.n_wasted = 0

    def play(self, per_s, seconds):
        self.schedule(per_s, 0.0, seconds)
        self.time.run()
        return self

    def schedule(self, per_s, start_s, end_s):
        for key, rate in per_s.items():
            at_s = start_s
            while (at_s := at_s + self.rng.expovariate(rate)) < end_s:
                self.time.at(at_s, lambda key=key: self.arrive(key))

    def rank_of(self, key):
        kind = self.kinds[key]
        return key if kind.rank is None else kind.rank

    def arrive(self, key):
        self.arrived.append((self.time.now_s(), key))
        self.enter(key, self.time.now_s(), self.kinds[key].n_returns)

    def enter(self, key, began_s, n_returns):
        hop = self.rng.randrange(len(self.throttles))
        share = 1.0
        if self.is_throttled:
            share = self.throttles[hop].admit(f"r{key}", self.rank_of(key))
        if share is not None:
            deadline_s = self.time.now_s() + TIMEOUT_S
            self.call(_Action(hop, key, began_s, deadline_s, share))
        elif n_returns:
            self.time.after(
                self.rng.uniform(0.1, self.kinds[key].return_s),
                lambda: self.enter(key, began_s, n_returns - 1),
            )

    def call(self, action):
        kind = self.kinds[action.key]
        if action.n_done == kind.n_calls:
            self.served.append((action.began_s, action.key))
            self.end(action)
            return
        group = f"call{action.key}"
        rank = self.rank_of(action.key)
        is_first = action.n_done == 0
        self.room.note_offer(rank, group, kind.queue_timeout_s, action.share, is_first)
        call = QueuedCall(
            rank,
            group,
            action.deadline_s,
            kind.queue_timeout_s,
            lambda: self.start(action),
            lambda reason: self.fail(action),
            has_progress=self.is_by_progress and not is_first,
        )
        if self.queue.offer(call) is not None:
            self.fail(action)
        elif call.expires_s:
            self.time.at(call.expires_s, self.queue.expire)

    def start(self, action):
        if action.n_done == 0:
            self.room.note_start(self.rank_of(action.key))
        work_s = self.work_s(action) * self.rng.uniform(0.5, 1.5)
        self.time.after(work_s, lambda: self.finish(action))

    def work_s(self, action):
        return self.kinds[action.key].call_s * self.slow(self.time.now_s())

    def finish(self, action):
        self.queue.finish(f"call{action.key}", self.work_s(action))
        action.n_done += 1
        self.call(action)

    def fail(self, action):
        self.n_wasted += action.n_done
        self.end(action)

    def end(self, action):
        rank = self.rank_of(action.key)
        rooms = [self.room.share_for(rank)]
        self.throttles[action.hop].note_end(f"r{action.key}", rooms, rank)

    def share(self, key, start_s, end_s):
        arrived = sum(start_s <= t < end_s and r == key for t, r in self.arrived)
        served = sum(start_s <= t < end_s and r == key for t, r in self.served)
        return served / arrived

    def n_served(self, start_s, end_s):
        return sum(start_s <= t < end_s for t, _ in self.served)

    def watch_slots(self, end_s, interval_s=0.005):
        for number in range(int(end_s / interval_s)):
            at_s = number * interval_s
            self.time.at(
                at_s,
                lambda at_s=at_s: self.busy.append(
                    (at_s, self.queue.n_running / self.queue.slots)
                ),
            )

    def busy_share(self, start_s, end_s):
        shares = [share for at_s, share in self.busy if start_s <= at_s < end_s]
        return sum(shares) / len(shares)

    def wasted_share(self):
        """Return the share of the calls that were run for actions that failed."""
        n_useful = sum(self.kinds[key].n_calls for _, key in self.served)
        return self.n_wasted / (self.n_wasted + n_useful)
