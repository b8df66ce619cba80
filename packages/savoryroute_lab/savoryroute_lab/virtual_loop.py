"""Event loop in virtual time with simulated processes that can be paused."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

__all__ = ["PROCESS", "VirtualLoop", "run_virtual"]

T = TypeVar("T")

PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("process", default="")
"""Name of the simulated process that a task belongs to; empty for none."""


class _VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance the virtual time by ``timeout`` seconds and return no events."""
        if timeout is None:
            raise RuntimeError("no callback is ready and no timer is set")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that advances to the next timer without waiting; it does no I/O."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = 1e-6
        self._paused: dict[str, list[tuple[Callable, tuple, contextvars.Context]]] = {}

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.now_s

    def pause(self, process: str) -> None:
        """Defer the callbacks of a process; its clock keeps running."""
        self._paused.setdefault(process, [])

    def resume(self, process: str) -> None:
        """Schedule the deferred callbacks of a process in the order they were due."""
        for callback, args, context in self._paused.pop(process, []):
            super().call_soon(callback, *args, context=context)

    def resume_all(self) -> None:
        """Resume all paused processes."""
        for process in list(self._paused):
            self.resume(process)

    def call_soon(
        self,
        callback: Callable,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback, deferred while its process is paused."""
        context = context or contextvars.copy_context()
        return super().call_soon(
            self._run_unless_paused, callback, args, context, context=context
        )

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer, deferred while its process is paused."""
        context = context or contextvars.copy_context()
        return super().call_at(
            when, self._run_unless_paused, callback, args, context, context=context
        )

    def run_in_executor(
        self, executor: Any, func: Callable, *args: Any
    ) -> asyncio.Future[Any]:
        """Run a function immediately, since threads do not follow virtual time."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def _run_unless_paused(
        self, callback: Callable, args: tuple, context: contextvars.Context
    ) -> None:
        """Run a callback, or defer it if its process is paused."""
        deferred = self._paused.get(context.get(PROCESS, "")) if self._paused else None
        if deferred is None:
            callback(*args)
        else:
            deferred.append((callback, args, context))


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in virtual time in a new event loop."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_resumed_at_end(coroutine))


async def _resumed_at_end(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine, then resume all processes that are still paused."""
    loop = asyncio.get_running_loop()
    try:
        return await coroutine
    finally:
        loop.resume_all()  # type: ignore[attr-defined]
