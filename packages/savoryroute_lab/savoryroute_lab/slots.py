"""Concurrency limit of a stand-in upstream, with a queue."""

from __future__ import annotations

import asyncio
from collections import deque

__all__ = ["Slots"]


class Slots:
    """Slots that limit the requests in flight; further requests wait in order.

    Attributes:
        n_slots: Limit of requests in flight.
        queue_length: Limit of waiting requests; None for no limit.
    """

    def __init__(self, n_slots: int, queue_length: int | None) -> None:
        self.n_slots = n_slots
        self.queue_length = queue_length
        self._n_in_flight = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def n_in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return self._n_in_flight

    @property
    def n_waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._waiting)

    async def acquire(self) -> bool:
        """Wait for a slot; return False at once if the queue is full."""
        if self._n_in_flight < self.n_slots and not self._waiting:
            self._n_in_flight += 1
            return True
        if self.queue_length is not None and self.n_waiting >= self.queue_length:
            return False
        await self._wait_for_slot()
        return True

    def release(self) -> None:
        """Release a slot and grant it to the next waiting request."""
        self._n_in_flight -= 1
        self._grant_slots()

    async def _wait_for_slot(self) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self.release()
            else:
                self._waiting.remove(waiter)
            raise

    def _grant_slots(self) -> None:
        while self._waiting and self._n_in_flight < self.n_slots:
            waiter = self._waiting.popleft()
            if not waiter.done():
                self._n_in_flight += 1
                waiter.set_result(None)
