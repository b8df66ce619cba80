"""Actions in the order of a virtual clock, for replays without an event loop."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

__all__ = ["VirtualTime"]


class VirtualTime:
    """Clock that jumps to the next action; equal times keep their order."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._actions: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._now_s

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heapq.heappush(self._actions, (at_s, next(self._numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action some seconds from now."""
        self.at(self._now_s + delay_s, action)

    def run(self) -> None:
        """Run all actions, also those that are added meanwhile."""
        while self._actions:
            self._now_s, _, action = heapq.heappop(self._actions)
            action()
