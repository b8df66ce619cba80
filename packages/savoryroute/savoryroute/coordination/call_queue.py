"""Which call runs at an upstream, which waits, and which is turned away.

Load pattern: a burst, or a slow spell, that asks one upstream for more than its
slots. Calls beyond the slots wait by rank, and only where the wait is short enough
that they still end in time; the others are turned away at once, while their caller
has time to go elsewhere.

Sources: bounded queues with a delay target as in CoDel (Nichols and Jacobson, 2012);
admission by class as in DAGOR (Zhou and others, Overload Control for Scaling WeChat
Microservices, 2018).
"""

from __future__ import annotations

import bisect
from collections.abc import Callable

import attrs

from ..verdict import Reason

__all__ = ["CallQueue", "QueuedCall"]

# Weight of one answer in the moving averages of service times.
LATENCY_WEIGHT = 0.1
# Service time in seconds that is assumed before any answer.
LATENCY_DEFAULT_S = 0.05


@attrs.define(eq=False, slots=True)
class QueuedCall:
    """One call in the queue.

    Attributes:
        rank: Importance, 0 the highest.
        group: Calls that take about the same time, such as those of one route.
        deadline_s: Monotonic time of the deadline.
        queue_timeout_s: Longest wait in seconds.
        start: Runs the call once a slot is free.
        refuse: Told the reason if its wait ends without a slot.
        order: Place in the queue; set by the queue.
        expires_s: Monotonic time at which its wait ends; set by the queue.
    """

    rank: int
    group: str
    deadline_s: float
    queue_timeout_s: float
    start: Callable[[], None]
    refuse: Callable[[Reason], None]
    order: tuple[int, int] = (0, 0)
    expires_s: float = 0.0


class CallQueue:
    """Slots of one upstream and the calls that wait for them.

    Args:
        slots: Calls that the upstream runs side by side.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, slots: int, clock: Callable[[], float]) -> None:
        self._slots = slots
        self._clock = clock
        self._n_running = 0
        self._waiting: list[QueuedCall] = []
        self._n_arrivals = 0
        self._mean_s = LATENCY_DEFAULT_S
        self._group_s: dict[str, float] = {}

    @property
    def slots(self) -> int:
        """Calls that may run side by side."""
        return self._slots

    @slots.setter
    def slots(self, value: int) -> None:
        self._slots = max(1, value)

    @property
    def n_running(self) -> int:
        """Calls at the upstream."""
        return self._n_running

    @property
    def n_waiting(self) -> int:
        """Calls that wait."""
        return len(self._waiting)

    @property
    def mean_s(self) -> float:
        """Moving average of the seconds for which a call holds its slot."""
        return self._mean_s

    def load_for(self, rank: int) -> float:
        """Return running calls, and waiting ones of this rank or better, over slots."""
        n_ahead = bisect.bisect(self._waiting, (rank + 1, 0), key=_order)
        return (self._n_running + n_ahead) / self._slots

    def usual_s(self, group: str) -> float:
        """Return the usual seconds of a group's calls, 0 where unknown."""
        return self._group_s.get(group, 0.0)

    def expected_wait_s(self, n_ahead: int) -> float:
        """Return the seconds until a call behind ``n_ahead`` others starts."""
        return (n_ahead + 1) * self._mean_s / self._slots

    def offer(self, call: QueuedCall) -> Reason | None:
        """Start a call, let it wait, or return why it is turned away."""
        now_s = self._clock()
        if now_s >= call.deadline_s:
            return Reason.DEADLINE
        if not self._waiting and self._n_running < self._slots:
            self._n_running += 1
            call.start()
            return None
        spare_s = call.deadline_s - now_s - self.usual_s(call.group)
        longest_s = min(call.queue_timeout_s, spare_s)
        self._n_arrivals += 1
        call.order = (call.rank, self._n_arrivals)
        n_ahead = bisect.bisect(self._waiting, call.order, key=_order)
        if self.expected_wait_s(n_ahead) > longest_s:
            return Reason.OVERLOAD
        call.expires_s = now_s + longest_s
        self._waiting.insert(n_ahead, call)
        return None

    def finish(self, group: str, latency_s: float | None) -> None:
        """Free the slot of a call and start the next.

        Args:
            group: Group of the call.
            latency_s: Seconds for which it held the slot, or None where the end
                tells nothing, as after a cancellation.
        """
        self._n_running -= 1
        if latency_s is not None:
            self._mean_s += (latency_s - self._mean_s) * LATENCY_WEIGHT
            usual_s = self._group_s.get(group, latency_s)
            self._group_s[group] = usual_s + (latency_s - usual_s) * LATENCY_WEIGHT
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start as many waiting calls as there are free slots."""
        now_s = self._clock()
        while self._waiting and self._n_running < self._slots:
            call = self._waiting.pop(0)
            if now_s + self.usual_s(call.group) > call.deadline_s:
                call.refuse(Reason.DEADLINE)
                continue
            self._n_running += 1
            call.start()

    def withdraw(self, call: QueuedCall) -> bool:
        """Take a waiting call out; return whether it was waiting."""
        if call in self._waiting:
            self._waiting.remove(call)
            return True
        return False

    def expire(self) -> None:
        """Turn away the calls whose wait has lasted too long."""
        now_s = self._clock()
        late = [call for call in self._waiting if call.expires_s <= now_s]
        for call in late:
            self._waiting.remove(call)
            call.refuse(Reason.OVERLOAD)

    def clear(self, reason: Reason) -> None:
        """Turn away all that wait."""
        waiting, self._waiting = self._waiting, []
        for call in waiting:
            call.refuse(reason)


def _order(call: QueuedCall) -> tuple[int, int]:
    return call.order
