"""Bounded, non-blocking log of decisions and changes of belief as JSON lines."""

from __future__ import annotations

import contextlib
import json
import os
import time
from collections.abc import Callable

__all__ = ["EventLog"]

# Lines of one kind about requests that are written in one second: 0.2% of a core.
LINES_PER_SECOND = 100
# Bytes that wait for a slow reader; later lines are counted and left out.
BACKLOG_BYTES_MAX = 256 * 1024


class EventLog:
    """Writer of one JSON object a line that never blocks its process.

    Lines about requests are bounded per kind and second. Changes of what the process
    believes are left out only when the reader is behind by the whole backlog. What
    was left out is counted in the next line of its kind.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        fields: Fixed fields of each line.
        clock: Monotonic clock in seconds.
        wall_clock: Time of day in seconds, to put lines of several hosts in order.
        write: Replaces ``os.write``.
    """

    def __init__(
        self,
        descriptor: int,
        fields: dict[str, object],
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        write: Callable[[int, bytes], int] = os.write,
    ) -> None:
        self._descriptor = descriptor
        self._fields = fields
        self._clock = clock
        self._wall_clock = wall_clock
        self._write = write
        self._started_s = clock()
        self._backlog = bytearray()
        self._second = -1
        self._n_written: dict[str, int] = {}
        self._n_left_out: dict[str, int] = {}

    @property
    def n_left_out(self) -> int:
        """Lines left out and not yet told of."""
        return sum(self._n_left_out.values())

    def make_non_blocking(self) -> None:
        """Have writes return at once where the reader is slow."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)

    def request(self, event: str, request_id: str, **inputs: object) -> None:
        """Write a decision about a request, within the bound of its kind."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._n_written.clear()
        n_written = self._n_written.get(event, 0)
        if n_written >= LINES_PER_SECOND:
            self._n_left_out[event] = self._n_left_out.get(event, 0) + 1
            return
        self._n_written[event] = n_written + 1
        self._put(event, {"request": request_id, **inputs})

    def change(self, event: str, **inputs: object) -> None:
        """Write a change of what the process believes or does."""
        self._put(event, inputs)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        while self._backlog:
            try:
                n_bytes = self._write(self._descriptor, bytes(self._backlog[:65536]))
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self._backlog.clear()
                return
            del self._backlog[:n_bytes]

    def _put(self, event: str, inputs: dict[str, object]) -> None:
        if len(self._backlog) > BACKLOG_BYTES_MAX:
            self._n_left_out[event] = self._n_left_out.get(event, 0) + 1
            return
        line: dict[str, object] = {
            "time": round(self._wall_clock(), 4),
            "uptime": round(self._clock() - self._started_s, 4),
            "event": event,
        }
        line.update(self._fields)
        line.update(inputs)
        n_left_out = self._n_left_out.pop(event, 0)
        if n_left_out:
            line["left_out"] = n_left_out
        text = json.dumps(line, separators=(",", ":"), default=str)
        self._backlog += text.encode() + b"\n"
