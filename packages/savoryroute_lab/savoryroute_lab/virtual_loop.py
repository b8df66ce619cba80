"""Event loop whose time is virtual, with processes that can be paused."""

from __future__ import annotations

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

__all__ = ["PROCESS", "VirtualLoop", "run_virtual"]

T = TypeVar("T")

PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar("process", default="")
"""Name of the simulated process that a task belongs to."""


class _Selector(selectors.SelectSelector):
    """Selector that lets time pass instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return no events, and move the time on."""
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.now_s += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Loop that jumps to the next timer. No real input or output."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)
        self._clock_resolution = 1e-6
        self._paused: dict[str, list[tuple[Callable, tuple, contextvars.Context]]] = {}

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now_s

    def pause(self, process: str) -> None:
        """Stop to run what belongs to a process; its clock goes on."""
        self._paused.setdefault(process, [])

    def resume(self, process: str) -> None:
        """Run what was held back, in the order in which it fell due."""
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
        """Schedule a callback, held back while its process is paused."""
        context = context or contextvars.copy_context()
        return super().call_soon(self._run, callback, args, context, context=context)

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a timer, held back while its process is paused."""
        context = context or contextvars.copy_context()
        return super().call_at(
            when, self._run, callback, args, context, context=context
        )

    def run_in_executor(
        self, executor: Any, func: Callable, *args: Any
    ) -> asyncio.Future[Any]:
        """Run a function at once; threads have no part in virtual time."""
        future = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:
            future.set_exception(error)
        return future

    def _run(
        self, callback: Callable, args: tuple, context: contextvars.Context
    ) -> None:
        """Run a callback unless its process is paused."""
        held = self._paused.get(context.get(PROCESS, "")) if self._paused else None
        if held is None:
            callback(*args)
        else:
            held.append((callback, args, context))


def run_virtual(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine in a loop of its own, in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(_resumed_at_end(coroutine))


async def _resumed_at_end(coroutine: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine and resume all processes that it left paused."""
    loop = asyncio.get_running_loop()
    try:
        return await coroutine
    finally:
        loop.resume_all()  # type: ignore[attr-defined]
