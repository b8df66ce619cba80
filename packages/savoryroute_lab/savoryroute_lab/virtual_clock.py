"""Event loop whose clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import selectors

__all__ = ["StalledLoopError", "VirtualClockLoop"]


class StalledLoopError(RuntimeError):
    """Nothing is ready and no timer is set: waiting would never end."""


class _JumpingSelector(selectors.SelectSelector):
    """Selector that passes time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise StalledLoopError("nothing is ready and no timer is set")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualClockLoop(asyncio.SelectorEventLoop):
    """Loop for simulations and tests; its ``time`` starts at 0 seconds."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Virtual time in seconds."""
        return self._jumping.now
