"""Limit on the deliveries of one action within a sliding window."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

__all__ = ["ACTIONS_MAX", "DeliveryCounter"]

ACTIONS_MAX = 65536


class DeliveryCounter:
    """Counts the deliveries of each action to this daemon's upstream.

    A full counter refuses actions that it has not seen: evicting a known action
    would lift its limit. At 155 calls per second and a window of 60 s it holds
    9,300 actions.

    Args:
        window_s: Length of the sliding window in seconds.
        clock: Monotonic clock in seconds.
        actions_max: Number of actions tracked at the same time.
    """

    def __init__(
        self,
        window_s: float,
        clock: Callable[[], float],
        actions_max: int = ACTIONS_MAX,
    ) -> None:
        self._window_s = window_s
        self._clock = clock
        self._actions_max = actions_max
        self._deliveries: OrderedDict[str, tuple[float, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._deliveries)

    def count_delivery(self, action: str, maximum: int) -> bool:
        """Count one delivery, unless it would exceed the limit.

        Args:
            action: Idempotency key or trace id.
            maximum: Deliveries allowed within the window.

        Returns:
            Whether the delivery is allowed; a refused one is not counted.
        """
        now = self._clock()
        self._evict_old(now)
        since = now - self._window_s
        times = tuple(t for t in self._deliveries.get(action, ()) if t > since)
        if len(times) >= maximum:
            return False
        if action not in self._deliveries and len(self) >= self._actions_max:
            return False
        self._deliveries[action] = (*times, now)
        self._deliveries.move_to_end(action)
        return True

    def _evict_old(self, now: float) -> None:
        """Evict actions whose last delivery is older than the window."""
        while self._deliveries:
            action, times = next(iter(self._deliveries.items()))
            if times[-1] > now - self._window_s:
                return
            del self._deliveries[action]
