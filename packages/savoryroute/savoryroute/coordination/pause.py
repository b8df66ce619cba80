"""Detection of pauses of this process, after which its view is stale."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable

__all__ = ["PauseDetector"]

TICK_INTERVAL_S = 0.2
PAUSE_MIN_S = 0.45


class PauseDetector:
    """Detects that the process did not run for a while.

    A task ticks every ``TICK_INTERVAL_S``. A gap of more than ``PAUSE_MIN_S``
    between two ticks is a pause (SIGSTOP, a stalled host, a blocked event loop).
    The task itself may run late after a pause, so all code that acts on the view
    calls ``check`` first, which costs one clock read.

    Args:
        on_pause: Called with the seconds of each pause.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        on_pause: Callable[[float], None] | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._on_pause = [on_pause] if on_pause else []
        self._clock = clock
        self._last_tick_s = clock()
        self._is_view_stale = False
        self._n_pauses = 0
        self._task: asyncio.Task[None] | None = None

    @property
    def is_view_stale(self) -> bool:
        """Whether a pause was detected and the view was not refreshed since."""
        return self._is_view_stale

    @property
    def n_pauses(self) -> int:
        """Pauses detected so far."""
        return self._n_pauses

    def add_callback(self, on_pause: Callable[[float], None]) -> None:
        """Add a function that is called with the seconds of each pause."""
        self._on_pause.append(on_pause)

    def check(self) -> bool:
        """Detect a pause, and return whether the view may be acted upon."""
        now_s = self._clock()
        gap_s = now_s - self._last_tick_s
        if gap_s > PAUSE_MIN_S:
            self._note_pause(now_s, gap_s)
        return not self._is_view_stale

    def mark_refreshed(self) -> None:
        """Record that the view was refreshed after the latest pause."""
        self._is_view_stale = False

    async def start(self) -> None:
        """Start the ticking task."""
        self._last_tick_s = self._clock()
        self._task = asyncio.create_task(self._tick())

    async def stop(self) -> None:
        """Stop the ticking task."""
        task, self._task = self._task, None
        if task is None:
            return
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def _tick(self) -> None:
        """Check for a pause and record the time, until cancelled."""
        while True:
            self.check()
            self._last_tick_s = self._clock()
            await asyncio.sleep(TICK_INTERVAL_S)

    def _note_pause(self, now_s: float, gap_s: float) -> None:
        """Mark the view as stale and call the callbacks."""
        self._last_tick_s = now_s
        self._is_view_stale = True
        self._n_pauses += 1
        for on_pause in self._on_pause:
            on_pause(gap_s)
