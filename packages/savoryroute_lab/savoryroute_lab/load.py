"""Open-loop load generator."""

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
    """Open-loop load: actions start on schedule, whether or not earlier ones ended.

    Args:
        caller: Caller that sends the actions.
        classes: Templates of the actions and their rates.
        seed: Seed of arrival times and of the choice of templates.
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
        """Start actions for ``duration_s``, then wait until all have ended.

        Args:
            duration_s: Seconds during which actions arrive.
            factor: Factor on all rates, given the seconds since the start.
        """
        arrivals = [
            self._generate_arrivals(load_class, number, duration_s, factor)
            for number, load_class in enumerate(self._classes)
        ]
        await asyncio.gather(*arrivals)
        await asyncio.gather(*self._tasks)

    async def _generate_arrivals(
        self,
        load_class: LoadClass,
        number: int,
        duration_s: float,
        factor: Callable[[float], float],
    ) -> None:
        rng = random.Random(self._seed * 1000 + number)
        start_s = time.monotonic()
        arrival_s = 0.0
        while True:
            rate_per_s = load_class.rate_per_s * factor(arrival_s)
            arrival_s += rng.expovariate(rate_per_s)
            if arrival_s >= duration_s:
                return
            await asyncio.sleep(start_s + arrival_s - time.monotonic())
            self._start(rng.choice(load_class.templates))

    def _start(self, template: ActionTemplate) -> None:
        task = asyncio.create_task(self._caller.send(template))
        self._tasks.add(task)
        task.add_done_callback(self._discard_if_succeeded)

    def _discard_if_succeeded(self, task: asyncio.Task[LogicalRequest]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._tasks.discard(task)
