"""Recent decisions by action, so that operators can see their reasons."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable

import attrs

__all__ = ["DecisionEntry", "DecisionLog"]

CAPACITY_DEFAULT = 20_000


@attrs.frozen
class DecisionEntry:
    """One decision about an action.

    Attributes:
        uptime_s: Seconds from the start of the process to the decision.
        what: Name of the decision.
        detail: Values on which the decision was based.
    """

    uptime_s: float
    what: str
    detail: str

    def to_plain(self) -> dict:
        """Return the entry in JSON form."""
        return attrs.asdict(self)


class DecisionLog:
    """Ring buffer of the latest decisions, indexed by action.

    Args:
        capacity: Number of decisions kept for all actions together.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        capacity: int = CAPACITY_DEFAULT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._capacity = capacity
        self._clock = clock
        self._started_s = clock()
        self._actions: collections.deque[str] = collections.deque()
        self._by_action: dict[str, list[DecisionEntry]] = {}

    def __len__(self) -> int:
        return len(self._actions)

    def note(self, action: str, what: str, detail: str) -> None:
        """Record one decision about an action."""
        entry = DecisionEntry(self._clock() - self._started_s, what, detail)
        entries = self._by_action.get(action)
        if entries is None:
            entries = self._by_action[action] = []
        entries.append(entry)
        self._actions.append(action)
        if len(self._actions) > self._capacity:
            self._evict_oldest()

    def explain(self, action: str) -> list[DecisionEntry]:
        """Return the decisions about an action, oldest first."""
        return list(self._by_action.get(action, ()))

    def _evict_oldest(self) -> None:
        action = self._actions.popleft()
        entries = self._by_action[action]
        del entries[0]
        if not entries:
            del self._by_action[action]
