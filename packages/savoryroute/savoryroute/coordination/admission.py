"""Admission of requests to one upstream: the order of refusal is decided here."""

from __future__ import annotations

import asyncio
import bisect
import random as random_module
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..verdict import Reason, Refusal
from .limits import ConcurrencyLimit
from .pressure import LevelController
from .retry_after import spread_retry_after_s
from .service_rate import RecentCount, ServiceRate, UsualLatency

__all__ = ["AdmissionGate", "Permit"]

SPILL_OVER_FRACTION = 0.8
LEAVING_RETRY_AFTER_S = 0.1


class Permit:
    """Right to have one request in flight at the upstream."""

    def __init__(self, gate: AdmissionGate, rank: int) -> None:
        self._gate = gate
        self._rank = rank
        self._is_released = False

    @property
    def is_released(self) -> bool:
        """Whether the permit was given back."""
        return self._is_released

    def release(
        self,
        latency_s: float | None,
        is_dropped: bool,
        self_time_s: float | None = None,
    ) -> None:
        """Give the permit back; later calls do nothing.

        Args:
            latency_s: Seconds at the upstream, or None where nothing was learned:
                the caller hung up, or the request never started.
            is_dropped: Whether the upstream failed, timed out or shed it.
            self_time_s: Seconds of these that the upstream did not spend waiting for
                further services; None for all.
        """
        if self._is_released:
            return
        self._is_released = True
        self._gate._release(self._rank, latency_s, is_dropped, self_time_s)

    def release_incomplete(self, latency_s: float) -> None:
        """Give the permit back for a run that was cut off before its end.

        Args:
            latency_s: Seconds at the upstream so far.
        """
        if not self._is_released:
            self._gate._usual.add_at_least(self._rank, latency_s)
        self.release(None, False)


@attrs.define(eq=False)
class _Entry:
    """Request that waits; order is that of starting."""

    rank: int
    is_under_way: bool
    arrival: int
    expiry_reason: Reason
    answer: asyncio.Future[Result[Permit, Refusal]]

    @property
    def order(self) -> tuple[int, bool, int]:
        return (self.rank, not self.is_under_way, self.arrival)


class AdmissionGate:
    """Strict priority queue before the slots of one upstream.

    A request starts at once where a slot is free and nobody waits. Else it waits in
    the order of rank, actions under way first, then arrival. Refused at once are: a
    request whose expected wait is longer than it can bear while others of its rank or
    better are ahead; the last in order when the queue is full. A waiting request is
    refused at the time when its patience ends or its deadline can no longer be met.
    Nothing is refused for load while a slot is free, and no request starts while a
    better one waits.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue_length: int,
        clock: Callable[[], float] = time.monotonic,
        random: random_module.Random | None = None,
    ) -> None:
        self._limit = limit
        self._queue_length = queue_length
        self._clock = clock
        self._random = random or random_module.Random()
        self._queue: list[_Entry] = []
        self._n_in_flight = 0
        self._n_arrivals = 0
        self._is_leaving = False
        self._idle: list[asyncio.Future[None]] = []
        now = clock()
        self._rate = ServiceRate(now)
        self._usual = UsualLatency()
        self._refused = RecentCount(now)
        self._controller = LevelController(now)

    @property
    def n_in_flight(self) -> int:
        """Requests at the upstream."""
        return self._n_in_flight

    @property
    def n_queued(self) -> int:
        """Requests that wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests allowed at the upstream."""
        return self._limit.limit

    @property
    def level(self) -> float:
        """Level of importance, 0 to 8, that first hops are asked to admit."""
        return self._controller.level(self._clock())

    @property
    def is_leaving(self) -> bool:
        """Whether new requests are refused because of a planned stop."""
        return self._is_leaving

    @property
    def service_rate_per_s(self) -> float | None:
        """Answers per second when saturated, or None where not measured."""
        self._advance()
        return self._rate.per_s

    async def admit(
        self,
        rank: int,
        is_under_way: bool,
        queue_timeout_s: float,
        time_left_s: float,
        is_spill_over: bool = False,
    ) -> Result[Permit, Refusal]:
        """Wait for a slot, or refuse.

        Cancelling the call leaves nothing behind.

        Args:
            rank: Rank of the class, 0 the most important.
            is_under_way: Whether the action has already run at another hop.
            queue_timeout_s: Longest wait in seconds.
            time_left_s: Seconds to the deadline of the action.
            is_spill_over: Whether it came from another failure domain and may take
                idle capacity only.

        Returns:
            A permit that must be released, or a refusal with verdict ``NOT_RUN``.
        """
        if self._is_leaving:
            return Err(_leaving())
        if time_left_s <= 0.0:
            return Err(
                Refusal.not_run(Reason.DEADLINE, "the deadline has passed", None)
            )
        if is_spill_over:
            return self._admit_spill_over(rank)
        self._controller.on_arrival(rank, self._clock())
        if self._is_free():
            return Ok(self._start(rank))
        return await self._queue_up(rank, is_under_way, queue_timeout_s, time_left_s)

    def reconfigure(self, limit: ConcurrencyLimit, queue_length: int) -> None:
        """Take over a new limit and queue length; what waits or runs goes on."""
        self._limit = limit
        self._queue_length = queue_length
        while len(self._queue) > queue_length:
            self._refuse_entry(self._queue[-1], Reason.QUEUE_FULL)
        self._dispatch()

    def drain(self) -> None:
        """Refuse new and waiting requests; those at the upstream go on.

        Nothing of the waiting ones has run, so another host can run them at once.
        """
        self._is_leaving = True
        waiting, self._queue = self._queue, []
        for entry in waiting:
            entry.answer.set_result(Err(_leaving()))
        self._wake_idle()

    async def wait_idle(self) -> None:
        """Wait until nothing is in flight and nothing waits."""
        while self._n_in_flight or self._queue:
            idle = asyncio.get_running_loop().create_future()
            self._idle.append(idle)
            try:
                await idle
            finally:
                if idle in self._idle:
                    self._idle.remove(idle)

    def _is_free(self) -> bool:
        return not self._queue and self._n_in_flight < self.limit

    def _admit_spill_over(self, rank: int) -> Result[Permit, Refusal]:
        is_quiet = self._n_in_flight <= self.limit * SPILL_OVER_FRACTION
        if self._is_free() and is_quiet:
            return Ok(self._start(rank))
        detail = "no idle capacity for another failure domain"
        return Err(self._load_refusal(Reason.OVERLOAD, detail))

    async def _queue_up(
        self, rank: int, is_under_way: bool, queue_timeout_s: float, time_left_s: float
    ) -> Result[Permit, Refusal]:
        spare_s = max(0.0, time_left_s - self._usual.of(rank))
        is_patient = queue_timeout_s >= spare_s
        reason = Reason.DEADLINE if is_patient else Reason.OVERLOAD
        self._n_arrivals += 1
        answer = asyncio.get_running_loop().create_future()
        entry = _Entry(rank, is_under_way, self._n_arrivals, reason, answer)
        longest_wait_s = min(queue_timeout_s, spare_s)
        if self._expected_wait_s(entry) > longest_wait_s:
            return Err(self._count_refusal(reason))
        if not self._make_room(entry):
            return Err(self._count_refusal(Reason.QUEUE_FULL))
        return await self._wait(entry, longest_wait_s)

    def _expected_wait_s(self, entry: _Entry) -> float:
        n_ahead = self._n_ahead(entry)
        self._advance()
        rate_per_s = self._rate.per_s
        if n_ahead == 0 or rate_per_s is None:
            return 0.0
        return (n_ahead + 1) / rate_per_s

    def _n_ahead(self, entry: _Entry) -> int:
        return bisect.bisect(self._queue, entry.order, key=_order)

    def _make_room(self, entry: _Entry) -> bool:
        if len(self._queue) < self._queue_length:
            return True
        if not self._queue or self._queue[-1].order < entry.order:
            return False
        self._refuse_entry(self._queue[-1], Reason.QUEUE_FULL)
        return True

    async def _wait(
        self, entry: _Entry, longest_wait_s: float
    ) -> Result[Permit, Refusal]:
        bisect.insort(self._queue, entry, key=_order)
        self._note_delay()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(longest_wait_s, self._expire, entry)
        try:
            return await entry.answer
        except asyncio.CancelledError:
            self._withdraw(entry)
            raise
        finally:
            timer.cancel()

    def _expire(self, entry: _Entry) -> None:
        if not entry.answer.done():
            self._refuse_entry(entry, entry.expiry_reason)

    def _withdraw(self, entry: _Entry) -> None:
        if entry in self._queue:
            self._queue.remove(entry)
            self._note_delay()
            self._wake_idle()
            return
        answered = entry.answer.done() and not entry.answer.cancelled()
        if answered and entry.answer.result().is_ok():
            entry.answer.result().unwrap().release(None, is_dropped=False)

    def _refuse_entry(self, entry: _Entry, reason: Reason) -> None:
        self._queue.remove(entry)
        entry.answer.set_result(Err(self._count_refusal(reason)))
        self._note_delay()
        self._wake_idle()

    def _count_refusal(self, reason: Reason) -> Refusal:
        now = self._clock()
        self._refused.add(now)
        self._controller.on_refusal(now)
        return self._load_refusal(reason, _DETAILS[reason])

    def _load_refusal(self, reason: Reason, detail: str) -> Refusal:
        self._advance()
        n_backlog = len(self._queue) + self._refused.value(self._clock())
        rate_per_s = self._rate.per_s
        retry_after_s = spread_retry_after_s(n_backlog, rate_per_s, self._random)
        return Refusal.not_run(reason, detail, retry_after_s, is_load=True)

    def _start(self, rank: int) -> Permit:
        self._advance()
        self._n_in_flight += 1
        return Permit(self, rank)

    def _release(
        self,
        rank: int,
        latency_s: float | None,
        is_dropped: bool,
        self_time_s: float | None,
    ) -> None:
        self._advance()
        if self._n_in_flight >= self.limit:
            self._rate.count()
        if latency_s is not None:
            seen_s = latency_s if self_time_s is None else self_time_s
            self._limit.on_answer(seen_s, self._n_in_flight, is_dropped)
            if is_dropped:
                self._usual.add_at_least(rank, latency_s)
            else:
                self._usual.add(rank, latency_s)
        self._n_in_flight -= 1
        self._dispatch()
        self._wake_idle()

    def _dispatch(self) -> None:
        while self._queue and self._n_in_flight < self.limit:
            entry = self._queue.pop(0)
            if entry.answer.done():
                continue
            entry.answer.set_result(Ok(self._start(entry.rank)))
        self._note_delay()

    def _advance(self) -> None:
        self._rate.advance(self._clock(), self._n_in_flight >= self.limit)

    def _note_delay(self) -> None:
        rate_per_s = self._rate.per_s
        delay_s = len(self._queue) / rate_per_s if rate_per_s else 0.0
        self._controller.on_delay(delay_s, self._clock())

    def _wake_idle(self) -> None:
        if self._n_in_flight or self._queue:
            return
        idle, self._idle = self._idle, []
        for future in idle:
            if not future.done():
                future.set_result(None)


_DETAILS = {
    Reason.OVERLOAD: "the wait would be longer than the patience of the class",
    Reason.DEADLINE: "the deadline cannot be met after the wait",
    Reason.QUEUE_FULL: "the queue is full of requests as important or more",
}


def _order(entry: _Entry) -> tuple[int, bool, int]:
    return entry.order


def _leaving() -> Refusal:
    detail = "the upstream is leaving"
    return Refusal.not_run(Reason.LEAVING, detail, LEAVING_RETRY_AFTER_S)
