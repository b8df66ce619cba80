"""Admission control for one upstream: a priority queue with a concurrency limit."""

from __future__ import annotations

import asyncio
import bisect
import random
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..verdict import Reason, Refusal
from .admission_level import LevelController
from .limits import ConcurrencyLimit
from .retry_after import spread_retry_after_s
from .service_rate import RecentCount, ServiceRate, UsualLatency

__all__ = ["AdmissionGate", "Permit"]

# Share of the limit up to which requests from other failure domains are admitted.
SPILL_OVER_FRACTION = 0.8
# Short, as another host can run the request at once.
LEAVING_RETRY_AFTER_S = 0.1


class Permit:
    """Permission to have one request in flight at the upstream."""

    def __init__(self, gate: AdmissionGate, rank: int) -> None:
        self._gate = gate
        self._rank = rank
        self._is_released = False

    @property
    def is_released(self) -> bool:
        """Whether the permit has been released."""
        return self._is_released

    def release(
        self,
        latency_s: float | None,
        is_dropped: bool,
        self_time_s: float | None = None,
    ) -> None:
        """Release the permit; later calls do nothing.

        Args:
            latency_s: Seconds at the upstream, or None if there is no measurement:
                the caller hung up, or the request never started.
            is_dropped: Whether the upstream shed the request or timed out on it.
            self_time_s: Part of ``latency_s`` that the upstream did not spend waiting
                for downstream services; None if that is all of it.
        """
        if self._is_released:
            return
        self._is_released = True
        self._gate._release(self._rank, latency_s, is_dropped, self_time_s)

    def release_incomplete(self, latency_s: float) -> None:
        """Release the permit of a request that was aborted before its answer.

        Args:
            latency_s: Seconds that the request spent at the upstream; a lower bound
                of its service time.
        """
        if not self._is_released:
            self._gate._usual.add_at_least(self._rank, latency_s)
        self.release(None, False)


@attrs.define(eq=False)
class _Entry:
    """Queued request; entries start in ascending ``order``."""

    rank: int
    is_under_way: bool
    arrival: int
    expiry_reason: Reason
    answer: asyncio.Future[Result[Permit, Refusal]]

    @property
    def order(self) -> tuple[int, bool, int]:
        return (self.rank, not self.is_under_way, self.arrival)


class AdmissionGate:
    """Strict priority queue in front of the slots of one upstream.

    A request starts at once if a slot is free and the queue is empty. Otherwise it is
    queued by rank; within a rank, requests of actions under way come first, then
    earlier arrivals. Two cases are refused at once: a request with others ahead of it
    whose expected wait exceeds its queue timeout or the time left to its deadline,
    and the last request in the queue order when the queue is full. A queued request
    is refused when its queue timeout expires or its deadline can no longer be met.
    Apart from spill-over, no request is refused for load while a slot is free, and
    none starts while one with a better rank is queued.
    """

    def __init__(
        self,
        limit: ConcurrencyLimit,
        queue_length: int,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self._limit = limit
        self._queue_length = queue_length
        self._clock = clock
        self._rng = rng or random.Random()
        self._queue: list[_Entry] = []
        self._n_in_flight = 0
        self._n_arrivals = 0
        self._is_leaving = False
        self._idle: list[asyncio.Future[None]] = []
        now_s = clock()
        self._rate = ServiceRate(now_s)
        self._usual = UsualLatency()
        self._refused = RecentCount(now_s)
        self._controller = LevelController(now_s)

    @property
    def n_in_flight(self) -> int:
        """Requests in flight at the upstream."""
        return self._n_in_flight

    @property
    def n_queued(self) -> int:
        """Requests in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Requests allowed in flight at the upstream."""
        return self._limit.limit

    @property
    def level(self) -> float:
        """Admission level, 0 to 8, that first hops are asked to apply."""
        return self._controller.level(self._clock())

    @property
    def is_leaving(self) -> bool:
        """Whether new requests are refused because of a planned stop."""
        return self._is_leaving

    @property
    def service_rate_per_s(self) -> float | None:
        """Answers per second of the saturated upstream, or None if not measured."""
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
        """Wait for a slot, or refuse the request.

        Cancelling this coroutine removes the request from the queue or frees its slot.

        Args:
            rank: Rank of the class, 0 the highest priority.
            is_under_way: Whether another hop has already worked on the action.
            queue_timeout_s: Longest wait in the queue in seconds.
            time_left_s: Seconds to the deadline of the action.
            is_spill_over: Whether the request comes from another failure domain and may
                only take idle capacity.

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
        """Apply a new limit and queue length.

        Requests in flight go on; queued ones beyond the new length are refused.
        """
        self._limit = limit
        self._queue_length = queue_length
        while len(self._queue) > queue_length:
            self._refuse_entry(self._queue[-1], Reason.QUEUE_FULL)
        self._dispatch()

    def drain(self) -> None:
        """Refuse new and queued requests; those in flight go on.

        Queued requests have not run, so another host can run them at once.
        """
        self._is_leaving = True
        waiting, self._queue = self._queue, []
        for entry in waiting:
            entry.answer.set_result(Err(_leaving()))
        self._wake_idle()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight or queued."""
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
        has_spare_capacity = self._n_in_flight <= self.limit * SPILL_OVER_FRACTION
        if self._is_free() and has_spare_capacity:
            return Ok(self._start(rank))
        detail = "no idle capacity for a request from another failure domain"
        return Err(self._load_refusal(Reason.OVERLOAD, detail))

    async def _queue_up(
        self, rank: int, is_under_way: bool, queue_timeout_s: float, time_left_s: float
    ) -> Result[Permit, Refusal]:
        slack_s = max(0.0, time_left_s - self._usual.of(rank))
        is_deadline_first = queue_timeout_s >= slack_s
        reason = Reason.DEADLINE if is_deadline_first else Reason.OVERLOAD
        self._n_arrivals += 1
        answer = asyncio.get_running_loop().create_future()
        entry = _Entry(rank, is_under_way, self._n_arrivals, reason, answer)
        max_wait_s = min(queue_timeout_s, slack_s)
        if self._expected_wait_s(entry) > max_wait_s:
            return Err(self._count_refusal(reason))
        if not self._make_room(entry):
            return Err(self._count_refusal(Reason.QUEUE_FULL))
        return await self._wait(entry, max_wait_s)

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

    async def _wait(self, entry: _Entry, max_wait_s: float) -> Result[Permit, Refusal]:
        bisect.insort(self._queue, entry, key=_order)
        self._report_delay()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(max_wait_s, self._expire, entry)
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
            self._report_delay()
            self._wake_idle()
            return
        answered = entry.answer.done() and not entry.answer.cancelled()
        if answered and entry.answer.result().is_ok():
            entry.answer.result().unwrap().release(None, is_dropped=False)

    def _refuse_entry(self, entry: _Entry, reason: Reason) -> None:
        self._queue.remove(entry)
        entry.answer.set_result(Err(self._count_refusal(reason)))
        self._report_delay()
        self._wake_idle()

    def _count_refusal(self, reason: Reason) -> Refusal:
        now_s = self._clock()
        self._refused.add(now_s)
        self._controller.on_refusal(now_s)
        return self._load_refusal(reason, _DETAILS[reason])

    def _load_refusal(self, reason: Reason, detail: str) -> Refusal:
        self._advance()
        n_backlog = len(self._queue) + self._refused.value(self._clock())
        rate_per_s = self._rate.per_s
        retry_after_s = spread_retry_after_s(n_backlog, rate_per_s, self._rng)
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
            sample_s = latency_s if self_time_s is None else self_time_s
            self._limit.on_answer(sample_s, self._n_in_flight, is_dropped)
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
        self._report_delay()

    def _advance(self) -> None:
        self._rate.advance(self._clock(), self._n_in_flight >= self.limit)

    def _report_delay(self) -> None:
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
    Reason.OVERLOAD: "the wait exceeds the queue timeout of the class",
    Reason.DEADLINE: "the deadline cannot be met after the wait",
    Reason.QUEUE_FULL: "the queue is full of requests of the same or higher priority",
}


def _order(entry: _Entry) -> tuple[int, bool, int]:
    return entry.order


def _leaving() -> Refusal:
    detail = "the upstream is leaving"
    return Refusal.not_run(Reason.LEAVING, detail, LEAVING_RETRY_AFTER_S)
