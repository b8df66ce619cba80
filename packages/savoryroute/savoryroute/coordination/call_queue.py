"""Call queue of one upstream: which calls run, which wait and which are refused.

Load pattern: a burst or a slow period that asks one upstream for more than its
slots, or than the rate that it named. Excess calls wait in order of rank, but only if
the wait is short enough to end in time; the others are refused at once, while their
callers still have time to try another upstream. If the upstream turns slow, calls at
the end of the queue whose wait became too long are returned, for the same reason.

Calls of one rank start in the order in which their waits end. In order of arrival,
calls that can wait for long fill the queue, and those that cannot are all refused.

Where calls carry an organisation, those of one rank start by its share of the work
(``fair_share``) instead, so that an organisation that sends too much delays only
itself.

Sources: earliest deadline first (Liu and Layland, 1973); bounded queues with a delay
target as in CoDel (Nichols and Jacobson, 2012); admission by class as in DAGOR (Zhou
and others, Overload Control for Scaling WeChat Microservices, 2018).
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Callable

import attrs

from ..verdict import Reason
from .fair_share import StartTags, Tag
from .rate_limit import RateLimit
from .service_times import ServiceTimes
from .switches import ALL_ON, Switches, switchable

__all__ = ["CallQueue", "QueuedCall"]

_Order = tuple[float, bool, float, int]


@attrs.define(eq=False, slots=True)
class QueuedCall:
    """One call offered to the queue.

    Attributes:
        rank: Priority, 0 the highest.
        group: Name of a group of calls with similar service times, such as a route.
        deadline_s: Monotonic time of the deadline.
        queue_timeout_s: Longest wait in the queue in seconds.
        start: Called to run the call once a slot is free.
        refuse: Called with the reason if the wait ends without a slot.
        admit: Called before ``start``; returns why the call may not start, or None.
        is_returnable: Whether its first hop can place it elsewhere if it is refused.
        has_progress: Whether the run that makes it has completed calls before.
        organisation: Name of the organisation that has a share, or an empty string;
            calls without one share the turn of one organisation.
        order: Rank, whether it lacks progress, turn and arrival number, the sort key;
            set by the queue.
        turn: Time at which the wait ends, or start tag if organisations have shares;
            the least starts first. Set by the queue.
        tag: Place among the calls of the same rank; set by the queue.
        expires_s: Monotonic time at which the wait ends; set by the queue.
        work_time: Factor that the upstream stated at the start; set by the queue.
        is_returned: Whether it was returned while it waited; set by the queue.
    """

    rank: float
    group: str
    deadline_s: float
    queue_timeout_s: float
    start: Callable[[], None]
    refuse: Callable[[Reason], None]
    admit: Callable[[], Reason | None] = lambda: None
    is_returnable: bool = False
    has_progress: bool = False
    organisation: str = ""
    order: _Order = (0, False, 0, 0)
    turn: float = 0.0
    tag: Tag | None = None
    expires_s: float = 0.0
    work_time: float = 1.0
    is_returned: bool = False


class CallQueue:
    """Slots of one upstream and the calls that wait for them.

    Args:
        slots: Calls that the upstream runs concurrently.
        clock: Monotonic clock in seconds.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self, slots: int, clock: Callable[[], float], switches: Switches = ALL_ON
    ) -> None:
        self._slots = slots
        self._clock = clock
        self._knows_organisations = switches.has("fair_shares")
        self._order_of = switches.pick(
            "rank_order",
            switches.pick("progress_order", order_by_progress, order_by_rank),
            order_by_arrival,
        )
        self._returns_late = switches.has("returned_calls")
        self._n_running = 0
        self._waiting: list[QueuedCall] = []
        self._n_arrivals = 0
        self._times = ServiceTimes()
        self._rate_limit = RateLimit(clock)
        self._tags = StartTags(clock)
        self._has_organisations = False
        # Factor for which the waits of the waiting calls were checked last.
        self._checked_factor = 1.0
        self._n_returned = 0

    @property
    def slots(self) -> int:
        """Calls that may run concurrently."""
        return self._slots

    @slots.setter
    def slots(self, value: int) -> None:
        self._slots = max(1, value)

    @property
    def rate_limit(self) -> RateLimit:
        """Rate at which calls may start."""
        return self._rate_limit

    @property
    def usable_slots(self) -> float:
        """Slots that the rate limit lets calls fill, at least 1 (Little's law)."""
        per_s = self._rate_limit.per_s
        if per_s is None:
            return self._slots
        return min(self._slots, max(1.0, per_s * self.mean_s))

    @property
    def times(self) -> ServiceTimes:
        """Service times, and the factor by which work is slower now."""
        return self._times

    @property
    def n_returned(self) -> int:
        """Waiting calls returned to their first hops since the start."""
        return self._n_returned

    @property
    def n_running(self) -> int:
        """Calls running at the upstream."""
        return self._n_running

    @property
    def n_waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def mean_s(self) -> float:
        """Moving average of the seconds for which a call holds its slot."""
        return self._times.mean_s

    def n_ahead_of(self, rank: float) -> int:
        """Return the waiting calls of this rank or better."""
        return bisect.bisect(self._waiting, (rank, math.inf), key=_order)

    def n_waiting_of(self, rank: float, organisation: str) -> int:
        """Return the waiting calls of an organisation in a rank."""
        return self._tags.n_waiting(rank, organisation)

    def usual_s(self, group: str) -> float:
        """Return the usual service time of a group in seconds, 0 if unknown."""
        return self._times.usual_s(group)

    def expected_wait_s(self, n_ahead: int) -> float:
        """Return the seconds until a call behind ``n_ahead`` others starts."""
        slot_wait_s = (n_ahead + 1) * self.mean_s / self._slots
        return max(slot_wait_s, self._rate_limit.wait_s(n_ahead))

    def offer(self, call: QueuedCall) -> Reason | None:
        """Start a call or queue it; return the reason if it is refused."""
        now_s = self._clock()
        if now_s >= call.deadline_s:
            return Reason.DEADLINE
        if not self._waiting and self._may_start():
            reason = call.admit()
            if reason is None:
                self._start(call)
            return reason
        slack_s = call.deadline_s - now_s - self.usual_s(call.group)
        max_wait_s = min(call.queue_timeout_s, slack_s)
        self._n_arrivals += 1
        work_s = self.usual_s(call.group) or self.mean_s
        organisation = call.organisation if self._knows_organisations else ""
        call.tag = self._tags.next_tag(call.rank, organisation, work_s)
        call.expires_s = now_s + max_wait_s
        if organisation and not self._has_organisations:
            self._has_organisations = True
            self._sort()
        self._set_order(call, self._n_arrivals)
        n_ahead = bisect.bisect(self._waiting, call.order, key=_order)
        if self.expected_wait_s(n_ahead) > max_wait_s:
            return Reason.OVERLOAD
        self._waiting.insert(n_ahead, call)
        self._tags.add(call.tag)
        return None

    def finish(
        self, group: str, latency_s: float | None, work_time: float = 1.0
    ) -> None:
        """Free the slot of a call and start the next.

        Args:
            group: Group of the call.
            latency_s: Seconds for which the call held the slot, or None if they say
                nothing about the service time, as after a cancellation.
            work_time: Factor that the upstream stated when the call started.
        """
        self._n_running -= 1
        if latency_s is not None:
            self._times.note(group, latency_s, work_time)
        self.start_waiting()
        factor = self._times.factor
        if factor > self._checked_factor and self._returns_late:
            self._return_late()
        self._checked_factor = factor

    @switchable("returned_calls", "waiting calls stay when the upstream turns slow")
    def _return_late(self) -> None:
        """Return calls whose expected wait has become too long, the last first.

        It ends at the first call that can wait, or that its first hop cannot place
        elsewhere: no call is returned while one with a later turn stays.
        """
        now_s = self._clock()
        while self._waiting:
            call = self._waiting[-1]
            wait_s = self.expected_wait_s(len(self._waiting) - 1)
            if not call.is_returnable or wait_s <= call.expires_s - now_s:
                return
            self._remove(call)
            self._n_returned += 1
            call.is_returned = True
            call.refuse(Reason.OVERLOAD)

    def start_waiting(self) -> None:
        """Start as many waiting calls as slots and rate limit allow."""
        now_s = self._clock()
        if self._may_start():
            self._retag()
        while self._waiting and self._may_start():
            call = self._waiting.pop(0)
            reason = Reason.DEADLINE
            if now_s + self.usual_s(call.group) <= call.deadline_s:
                reason = call.admit()
            if reason is not None:
                self._tags.remove(call.tag)
                call.refuse(reason)
                continue
            self._tags.start(call.tag)
            self._start(call)

    def _may_start(self) -> bool:
        return self._n_running < self._slots and self._rate_limit.allows_call

    def _start(self, call: QueuedCall) -> None:
        self._n_running += 1
        call.work_time = self._times.work_time
        self._rate_limit.take()
        call.start()

    def withdraw(self, call: QueuedCall) -> bool:
        """Remove a waiting call; return whether it was waiting."""
        if call in self._waiting:
            self._remove(call)
            return True
        return False

    def expire(self) -> None:
        """Refuse the calls whose wait has expired."""
        now_s = self._clock()
        expired = [call for call in self._waiting if call.expires_s <= now_s]
        for call in expired:
            self._remove(call)
            call.refuse(Reason.OVERLOAD)
        self._tags.sweep()

    def clear(self, reason: Reason) -> None:
        """Refuse all waiting calls."""
        waiting, self._waiting = self._waiting, []
        self._tags = StartTags(self._clock)
        for call in waiting:
            call.refuse(reason)

    def _remove(self, call: QueuedCall) -> None:
        self._waiting.remove(call)
        self._tags.remove(call.tag)

    def _retag(self) -> None:
        """Give the calls behind removed ones of their organisation earlier turns.

        Done before calls start, not at each removal, as a lost link withdraws many.
        """
        if not self._tags.has_gaps:
            return
        self._tags.retag([call.tag for call in self._waiting])
        self._sort()

    def _sort(self) -> None:
        for call in self._waiting:
            self._set_order(call, call.order[-1])
        self._waiting.sort(key=_order)

    def _set_order(self, call: QueuedCall, n_arrivals: int) -> None:
        call.turn = call.tag.start_s if self._has_organisations else call.expires_s
        call.order = self._order_of(call, n_arrivals)


def _order(call: QueuedCall) -> _Order:
    return call.order


@switchable("progress_order", "the first calls of a run start like its later ones")
def order_by_progress(call: QueuedCall, n_arrivals: int) -> _Order:
    """Order by rank, and calls of runs with completed calls first."""
    return call.rank, not call.has_progress, call.turn, n_arrivals


@switchable("rank_order", "waiting calls start in the order of their arrival")
def order_by_rank(call: QueuedCall, n_arrivals: int) -> _Order:
    """Order by rank alone."""
    return call.rank, False, call.turn, n_arrivals


def order_by_arrival(call: QueuedCall, n_arrivals: int) -> _Order:
    """Order by arrival, whatever the rank."""
    return 0.0, False, 0.0, n_arrivals
