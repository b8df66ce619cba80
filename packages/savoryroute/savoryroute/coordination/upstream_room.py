"""Room of an upstream for new actions, and what callers offer it.

Load pattern: demand for a deep service rises far above its capacity within a second,
and falls again as fast. First hops that search for the share to admit by trial and
error refuse too few at first, and refuse while slots are free afterwards.

Each call carries the share of the actions of its kind that its first hop admits, and
stands for the inverse number of offered ones. The daemon beside the upstream thus knows
the offered work while most of it is refused, whichever first hops refuse it, and
answers with the share of it that fits. The estimate does not get worse as the fleet
grows, since every call to the upstream contributes to it.

Slots are divided by priority, and by least shares while a shortage lasts
(``rank_shares``).

Sources: inverse probability weighting (Horvitz and Thompson, 1952); credits by the
receiver as in Breakwater (Cho and others, Overload Control for us-scale RPCs, 2020);
priorities as in DAGOR (Zhou and others, Overload Control for Scaling WeChat
Microservices, 2018).
"""

from __future__ import annotations

import math
from collections.abc import Callable

import attrs

from .call_queue import CallQueue
from .rank_shares import RankDemand, ServedShare, grants_by_least_share
from .switches import ALL_ON, Switches

__all__ = ["ROOM_MAX", "UpstreamRoom"]

# Time constant in seconds with which offered work decays.
MEMORY_S = 0.25
# Room beyond this says no more than that all actions fit.
ROOM_MAX = 4.0
# Least admitted share that counts. A single call that stands for more offered ones
# would move the estimate too far.
SHARE_MIN = 0.05
# Wait that is aimed at, as a share of the shortest queue timeout in a rank. A queue
# absorbs short overloads, and an empty one leaves slots idle between arrivals.
AIMED_WAIT_SHARE = 0.15
# Factor by which the shortest queue timeout may grow with each call, so that it follows
# when calls with a shorter one end.
TIMEOUT_GROWTH = 1.002
# Least time in seconds within which excess waiting calls are worked off, and more if
# the calls take longer. Actions that fail in a full queue make fewer calls than they
# would, so that the offered work is underestimated until the queue is short again.
DRAIN_S = 0.1
# Ranks are counted in steps of this inverse, and none beyond the last.
STEPS_PER_RANK = 4
RANK_LAST = 16


@attrs.define(slots=True)
class _OfferedWork:
    """Work offered in one rank in about the last ``MEMORY_S``, in slot-seconds."""

    noted_s: float
    served: ServedShare
    slot_s: float = 0.0
    queue_timeout_s: float = math.inf

    @property
    def aimed_wait_s(self) -> float:
        """Wait in the queue that is aimed at."""
        return self.queue_timeout_s * AIMED_WAIT_SHARE

    def add(self, slot_s: float, queue_timeout_s: float, now_s: float) -> None:
        self.slot_s = self._left(now_s) + slot_s
        self.queue_timeout_s = min(
            self.queue_timeout_s * TIMEOUT_GROWTH, queue_timeout_s
        )
        self.noted_s = now_s

    def load(self, now_s: float) -> float:
        """Return the slots that the offered work would fill."""
        return self._left(now_s) / MEMORY_S

    def _left(self, now_s: float) -> float:
        return self.slot_s * math.exp(-(now_s - self.noted_s) / MEMORY_S)


class UpstreamRoom:
    """Shares of the offered actions that one upstream can serve, by rank.

    Args:
        queue: Slots of the upstream and the calls that wait for them.
        clock: Monotonic clock in seconds.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        queue: CallQueue,
        clock: Callable[[], float],
        switches: Switches = ALL_ON,
    ) -> None:
        self._queue = queue
        self._clock = clock
        self._has_least_shares = switches.has("least_shares")
        # By step of the rank, the best rank first.
        self._offered: dict[int, _OfferedWork] = {}

    @property
    def offered_load(self) -> float:
        """Offered work over the capacity of the usable slots."""
        now_s = self._clock()
        load = sum(work.load(now_s) for work in self._offered.values())
        return load / self._queue.usable_slots

    @property
    def shares(self) -> dict[float, float]:
        """Share of the offered actions that fits, by rank."""
        ranks = [step / STEPS_PER_RANK for step in self._offered]
        return {rank: round(self.share_for(rank), 2) for rank in ranks}

    @property
    def served_shares(self) -> dict[float, float]:
        """Share of the offered actions that was served in the last seconds, by rank."""
        return {
            step / STEPS_PER_RANK: round(work.served.value, 2)
            for step, work in self._offered.items()
        }

    def note_offer(
        self,
        rank: float,
        group: str,
        queue_timeout_s: float,
        admitted_share: float,
        is_first_call: bool = True,
    ) -> None:
        """Count a call that is offered to the upstream, whether it runs or not.

        Args:
            rank: Rank of the call, 0 the highest.
            group: Group of calls with similar service times, such as a route.
            queue_timeout_s: Longest wait of the call in the queue in seconds.
            admitted_share: Share of the actions of its kind that were admitted.
            is_first_call: Whether it is the first call that its action makes here.
        """
        now_s = self._clock()
        work_s = self._queue.usual_s(group) or self._queue.mean_s
        offered = self._work_of(rank, now_s)
        n_offered = 1.0 / max(SHARE_MIN, admitted_share)
        offered.add(work_s * n_offered, queue_timeout_s, now_s)
        if is_first_call:
            offered.served.note_offer(n_offered, now_s)

    def note_start(self, rank: float) -> None:
        """Count the first call of an action, which got a slot.

        Args:
            rank: Rank of the call, 0 the highest.
        """
        now_s = self._clock()
        self._work_of(rank, now_s).served.note_start(now_s)

    def share_for(self, rank: float) -> float:
        """Return the share of the offered actions of a rank that fits, 0 or above.

        Above 1 all fit, with capacity to spare. The means over several upstreams of a
        service are meaningful: one with spare capacity balances one that is too full.

        Args:
            rank: Rank of the actions, 0 the highest.
        """
        now_s = self._clock()
        queue = self._queue
        own_step = _step(rank)
        loads = {step: work.load(now_s) for step, work in self._offered.items()}
        own = loads.get(own_step, 0.0)
        aimed_wait_s = self._offered[own_step].aimed_wait_s if own else 0.0
        left = self._budget(rank, aimed_wait_s)
        left -= sum(load for step, load in loads.items() if step < own_step)
        is_short = queue.n_waiting or sum(loads.values()) > queue.usable_slots
        if is_short and self._has_least_shares:
            grant = self._grants(loads)[own_step] if own else None
            left = left if grant is None else grant
        # Failed calls hold their slots for less than the usual time, which the offered
        # work does not show: with free slots nothing is refused.
        has_free_slots = queue.n_running + 1 < queue.usable_slots
        least = 1.0 if has_free_slots and not queue.n_waiting else 0.0
        if left >= own * ROOM_MAX:
            return ROOM_MAX
        return max(least, left / own) if own else least

    def _work_of(self, rank: float, now_s: float) -> _OfferedWork:
        step = _step(rank)
        if step not in self._offered:
            self._offered[step] = _OfferedWork(now_s, ServedShare(now_s))
            self._offered = dict(sorted(self._offered.items()))
        return self._offered[step]

    def _budget(self, rank: float, aimed_wait_s: float) -> float:
        """Return the slots that the offered work up to a rank may fill."""
        queue = self._queue
        n_aimed = aimed_wait_s * queue.slots / queue.mean_s
        # Slots to add or take so that the queue has this length after the drain time.
        n_excess = queue.n_ahead_of(rank) - n_aimed
        return queue.usable_slots - n_excess * min(1.0, queue.mean_s / DRAIN_S)

    def _grants(self, loads: dict[int, float]) -> dict[int, float | None]:
        """Return the slots of ranks that least shares change, by step of the rank."""
        demands = [
            RankDemand(
                loads[step],
                self._budget(step / STEPS_PER_RANK, work.aimed_wait_s),
                work.served.value,
            )
            for step, work in self._offered.items()
        ]
        return dict(zip(self._offered, grants_by_least_share(demands), strict=True))


def _step(rank: float) -> int:
    return round(min(max(rank, 0.0), RANK_LAST) * STEPS_PER_RANK)
