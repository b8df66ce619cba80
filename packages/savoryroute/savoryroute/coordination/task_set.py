"""Background tasks that are cancelled together."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["TaskSet"]


class TaskSet:
    """Tasks of one component, which run between its start and its stop."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()
        self._is_running = False

    @property
    def is_running(self) -> bool:
        """Whether tasks may be spawned."""
        return self._is_running

    def start(self) -> None:
        """Allow tasks to be spawned."""
        self._is_running = True

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self._is_running = False
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any] | None:
        """Run a coroutine as a task; close it and return None unless started."""
        if not self._is_running:
            coroutine.close()
            return None
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task
