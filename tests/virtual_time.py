"""Virtual clock that runs scheduled actions, for replays without an event loop."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

__all__ = ["VirtualTime"]


class VirtualTime:
    """Clock that jumps to the next action; equal times run in the order added."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a virtual time in seconds."""
        heapq.heappush(self._actions, (at_s, next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.at(self._now_s + delay_s, action)

    def run(self, until_s: float = float("inf")) -> None:
        """Run all actions up to a time, including those added meanwhile."""
        while self._actions and self._actions[0][0] <= until_s:
            self._now_s, _, action = heapq.heappop(self._actions)
            action()
        if until_s < float("inf"):
            self._now_s = until_s
