"""Slots of a stand-in upstream, with a short queue in front."""

from __future__ import annotations

import asyncio
from collections import deque

__all__ = ["Slots"]


class Slots:
    """Bound on work in flight.

    Attributes:
        n_slots: Most requests at work at a time.
        queue_length: Most requests waiting; None for no bound.
    """

    def __init__(self, n_slots: int, queue_length: int | None) -> None:
        self.n_slots = n_slots
        self.queue_length = queue_length
        self._n_in_flight = 0
        self._waiting: deque[asyncio.Future[None]] = deque()

    @property
    def n_in_flight(self) -> int:
        """Requests at work."""
        return self._n_in_flight

    @property
    def n_waiting(self) -> int:
        """Requests waiting for a slot."""
        return len(self._waiting)

    async def acquire(self) -> bool:
        """Wait for a slot; False when the queue is full."""
        if self._n_in_flight < self.n_slots and not self._waiting:
            self._n_in_flight += 1
            return True
        if self.queue_length is not None and self.n_waiting >= self.queue_length:
            return False
        await self._wait()
        return True

    def release(self) -> None:
        """Give a slot back."""
        self._n_in_flight -= 1
        self._grant()

    async def _wait(self) -> None:
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            else:
                self._waiting.remove(turn)
            raise

    def _grant(self) -> None:
        while self._waiting and self._n_in_flight < self.n_slots:
            turn = self._waiting.popleft()
            if not turn.done():
                self._n_in_flight += 1
                turn.set_result(None)
