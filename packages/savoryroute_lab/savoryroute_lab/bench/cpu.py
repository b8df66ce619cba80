"""Processor usage of the machine during a run."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator

import attrs

__all__ = ["CpuUsage", "measure_cpu_usage"]

SAMPLE_S = 0.5
PROC_STAT = pathlib.Path("/proc/stat")
# Indices of the idle and iowait ticks in the first line of /proc/stat.
IDLE_FIELDS = (3, 4)
MACHINE_BUSY_SHARE = 0.9


@attrs.define
class CpuUsage:
    """Busy share of the processors, and the lag of the callers' event loop.

    Attributes:
        shares: Busy share of all processors, by sample.
        lags_s: Seconds by which the callers' event loop woke up late, by sample.
    """

    shares: list[float] = attrs.field(factory=list)
    lags_s: list[float] = attrs.field(factory=list)

    @property
    def mean(self) -> float:
        """Mean busy share of all samples."""
        return sum(self.shares) / len(self.shares) if self.shares else 0.0

    @property
    def highest(self) -> float:
        """Highest busy share in one sample."""
        return max(self.shares, default=0.0)

    @property
    def highest_lag_s(self) -> float:
        """Highest lag of the callers' event loop in seconds."""
        return max(self.lags_s, default=0.0)

    @property
    def was_saturated(self) -> bool:
        """Whether the machine, and not the upstreams, may have limited goodput."""
        return self.mean >= MACHINE_BUSY_SHARE


@attrs.frozen
class _Ticks:
    busy: int
    total: int


@contextlib.asynccontextmanager
async def measure_cpu_usage() -> AsyncIterator[CpuUsage]:
    """Sample processor usage while the body runs."""
    usage = CpuUsage()
    task = asyncio.create_task(_sample(usage))
    try:
        yield usage
    finally:
        task.cancel()


async def _sample(usage: CpuUsage) -> None:
    last = _read_ticks()
    while True:
        due_s = time.monotonic() + SAMPLE_S
        await asyncio.sleep(SAMPLE_S)
        usage.lags_s.append(time.monotonic() - due_s)
        now = _read_ticks()
        elapsed = max(1, now.total - last.total)
        usage.shares.append((now.busy - last.busy) / elapsed)
        last = now


def _read_ticks() -> _Ticks:
    fields = [int(text) for text in PROC_STAT.read_text().split("\n")[0].split()[1:]]
    total = sum(fields)
    return _Ticks(total - sum(fields[n] for n in IDLE_FIELDS), total)
