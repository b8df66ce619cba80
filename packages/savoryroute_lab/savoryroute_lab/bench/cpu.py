"""Use of the machine's processors during a run."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import time
from collections.abc import AsyncIterator

import attrs

__all__ = ["CpuUse", "cpu_use"]

SAMPLE_S = 0.5
PROC_STAT = pathlib.Path("/proc/stat")
IDLE_FIELDS = (3, 4)
MACHINE_BUSY_SHARE = 0.9


@attrs.define
class CpuUse:
    """Shares of the machine that were busy, and how late the callers' loop ran.

    Attributes:
        shares: Busy share of all processors, by sample.
        lags_s: Seconds by which the callers' loop woke too late, by sample.
    """

    shares: list[float] = attrs.field(factory=list)
    lags_s: list[float] = attrs.field(factory=list)

    @property
    def mean(self) -> float:
        """Mean busy share."""
        return sum(self.shares) / len(self.shares) if self.shares else 0.0

    @property
    def highest(self) -> float:
        """Highest busy share of a sample."""
        return max(self.shares, default=0.0)

    @property
    def highest_lag_s(self) -> float:
        """Most seconds by which the callers' loop woke too late."""
        return max(self.lags_s, default=0.0)

    @property
    def was_full(self) -> bool:
        """Whether the machine and not the upstreams may have set the limit."""
        return self.mean >= MACHINE_BUSY_SHARE


@attrs.frozen
class _Ticks:
    busy: int
    total: int


@contextlib.asynccontextmanager
async def cpu_use() -> AsyncIterator[CpuUse]:
    """Measure while the body runs."""
    use = CpuUse()
    task = asyncio.create_task(_sample(use))
    try:
        yield use
    finally:
        task.cancel()


async def _sample(use: CpuUse) -> None:
    last = _read_ticks()
    while True:
        due_s = time.monotonic() + SAMPLE_S
        await asyncio.sleep(SAMPLE_S)
        use.lags_s.append(time.monotonic() - due_s)
        now = _read_ticks()
        elapsed = max(1, now.total - last.total)
        use.shares.append((now.busy - last.busy) / elapsed)
        last = now


def _read_ticks() -> _Ticks:
    fields = [int(text) for text in PROC_STAT.read_text().split("\n")[0].split()[1:]]
    total = sum(fields)
    return _Ticks(total - sum(fields[n] for n in IDLE_FIELDS), total)
