"""Open-loop load."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence

from .action_templates import ActionTemplate, LoadClass
from .caller import Caller
from .tally import LogicalRequest

__all__ = ["LoadGenerator"]


class LoadGenerator:
    """Open-loop arrivals: actions start by the clock, whatever became of others.

    Args:
        caller: Caller that carries the actions.
        classes: What arrives, and how often.
        seed: Seed of arrival times and of the choice of actions.
    """

    def __init__(
        self, caller: Caller, classes: Sequence[LoadClass], seed: int = 0
    ) -> None:
        self._caller = caller
        self._classes = list(classes)
        self._seed = seed
        self._tasks: set[asyncio.Task[LogicalRequest]] = set()

    async def run(
        self, duration_s: float, factor: Callable[[float], float] = lambda _: 1.0
    ) -> None:
        """Send for a time, then wait until every action has ended.

        Args:
            duration_s: Time during which actions arrive.
            factor: Factor on all rates by time since the start in seconds.
        """
        arrivals = [
            self._arrive(load_class, number, duration_s, factor)
            for number, load_class in enumerate(self._classes)
        ]
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self._tasks)

    async def _arrive(
        self,
        load_class: LoadClass,
        number: int,
        duration_s: float,
        factor: Callable[[float], float],
    ) -> None:
        source = random.Random(self._seed * 1000 + number)
        start_s = time.monotonic()
        due_s = 0.0
        while True:
            rate_per_s = load_class.rate_per_s * factor(due_s)
            due_s += source.expovariate(rate_per_s)
            if due_s >= duration_s:
                return
            await asyncio.sleep(start_s + due_s - time.monotonic())
            self._start(source.choice(load_class.templates))

    def _start(self, send: ActionTemplate) -> None:
        task = asyncio.create_task(self._caller.send(send))
        self._tasks.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task[LogicalRequest]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._tasks.discard(task)
