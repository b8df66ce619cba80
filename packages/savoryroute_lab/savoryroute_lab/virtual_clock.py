"""Event loop with a virtual clock that advances to the next timer without waiting.

``virtual_loop`` has one for simulated processes that can be paused.
"""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["StalledLoopError", "VirtualClockLoop"]


class StalledLoopError(RuntimeError):
    """No callback is ready and no timer is set, so the loop would wait forever."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise StalledLoopError("no callback is ready and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Event loop for simulations and tests; its ``time`` starts at 0 seconds."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Virtual time in seconds."""
        return self._virtual_selector.now
