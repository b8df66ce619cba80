"""Replay of a load against the call queue of one upstream, in virtual time."""

from __future__ import annotations

import random

import attrs

from savoryroute.coordination.call_queue import CallQueue, QueuedCall

from .virtual_time import VirtualTime

# Time in seconds from a refusal to the repeat of a caller that repeats at once.
REPEAT_DELAY_S = 0.001


@attrs.define
class ReplayedCall:
    """One call of a recorded or random load, and its outcome.

    Attributes:
        at_s: Time of arrival in seconds.
        work_s: Seconds for which the call holds a slot.
        rank: Priority, 0 is the highest.
        target_s: Target latency in seconds.
        timeout_s: Timeout in seconds; a later answer has no value.
        organisation: Name of the organisation, or an empty string.
        n_repeats: Times that its caller repeats it at once after a refusal.
        ended_s: Time of the answer, None if the call was refused.
        refused_s: Time of the last refusal, None if the call was not refused.
    """

    at_s: float
    work_s: float
    rank: int
    target_s: float
    timeout_s: float
    organisation: str = ""
    n_repeats: int = 0
    ended_s: float | None = None
    refused_s: float | None = None

    @property
    def is_in_target(self) -> bool:
        """Whether the answer came within the target latency."""
        return self.ended_s is not None and self.ended_s - self.at_s <= self.target_s

    @property
    def is_in_time(self) -> bool:
        """Whether the answer came within the timeout."""
        return self.ended_s is not None and self.ended_s - self.at_s <= self.timeout_s


class QueueReplay:
    """A call queue and an upstream with a fixed number of slots, in virtual time."""

    def __init__(self, slots: int, queue_timeout_share: float) -> None:
        self._time = VirtualTime()
        self._queue_timeout_share = queue_timeout_share
        self.n_refused_while_free = 0
        self.queue = CallQueue(slots, self._time.now_s)

    def play(self, calls: list[ReplayedCall]) -> None:
        """Replay all calls until each is answered or refused."""
        for call in calls:
            self._time.at(call.at_s, lambda call=call: self._arrive(call))
        self._time.run()

    def _arrive(self, call: ReplayedCall) -> None:
        queued_call = QueuedCall(
            call.rank,
            str(call.rank),
            call.at_s + call.timeout_s,
            call.target_s * self._queue_timeout_share,
            lambda: self._time.after(call.work_s, lambda: self._end(call)),
            lambda reason: self._refuse(call),
            organisation=call.organisation,
        )
        if self.queue.offer(queued_call) is not None:
            self._refuse(call)
        elif queued_call.expires_s:
            self._time.at(queued_call.expires_s, self.queue.expire)

    def _end(self, call: ReplayedCall) -> None:
        call.ended_s = self._time.now_s()
        self.queue.finish(str(call.rank), call.work_s)

    def _refuse(self, call: ReplayedCall) -> None:
        call.refused_s = self._time.now_s()
        if self.queue.n_running < self.queue.slots and not self.queue.n_waiting:
            self.n_refused_while_free += 1
        if call.n_repeats:
            call.n_repeats -= 1
            self._time.after(REPEAT_DELAY_S, lambda: self._arrive(call))


def draw_calls(
    rng: random.Random,
    per_s: float,
    seconds: float,
    work_s: float,
    rank: int,
    target_s: float,
    timeout_s: float,
    start_s: float = 0.0,
) -> list[ReplayedCall]:
    """Return random calls with exponential gaps and log-normal work."""
    calls = []
    at_s = start_s
    while (at_s := at_s + rng.expovariate(per_s)) < start_s + seconds:
        work = work_s * rng.lognormvariate(-0.125, 0.5)
        calls.append(ReplayedCall(at_s, work, rank, target_s, timeout_s))
    return calls
