"""Bounded, non-blocking log of decisions and state changes as JSON lines."""

from __future__ import annotations

import contextlib
import json
import logging
import os
import time
from collections.abc import Callable

__all__ = ["EventLog", "EventLogHandler"]

# Maximum lines per second for each event about requests. One event at this rate takes
# 0.2% of a core.
LINES_PER_SECOND = 100
# Maximum bytes buffered for a slow reader; further lines are dropped and counted.
BACKLOG_BYTES_MAX = 256 * 1024
# Longest text of a record of a library.
MESSAGE_LENGTH_MAX = 400


class EventLog:
    """Writes one JSON object per line and never blocks its process.

    The rate of lines about requests is limited per event. State changes are dropped
    only if the backlog is full because the reader is too slow. The next line of the
    same event states how many lines were dropped, in the field ``left_out``.

    Args:
        descriptor: File descriptor to write to; it is made non-blocking.
        fields: Constant fields of each line.
        clock: Monotonic clock in seconds.
        wall_clock: Time of day in seconds, used to order lines of several hosts.
        write: Replacement for ``os.write``.
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
        """Number of dropped lines that no later line has reported yet."""
        return sum(self._n_left_out.values())

    def make_non_blocking(self) -> None:
        """Make writes return immediately if the reader is slow."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)

    def request(self, event: str, request_id: str, **inputs: object) -> None:
        """Write a decision about a request, within the rate limit of its event."""
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
        """Write a change of the process's state or behaviour."""
        self._put(event, inputs)

    def flush(self) -> None:
        """Write as much of the backlog as the reader accepts."""
        while self._backlog:
            try:
                n_bytes = self._write(self._descriptor, bytes(self._backlog[:65536]))
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is no other place to log to.
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


class EventLogHandler(logging.Handler):
    """Passes records of libraries to an event log.

    By default they go to standard error, where a reader that has stopped reading
    blocks the whole process.
    """

    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.WARNING)
        self._log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        self._log.request(
            "library",
            "",
            logger=record.name,
            message=record.getMessage()[:MESSAGE_LENGTH_MAX],
            error=repr(record.exc_info[1])[:MESSAGE_LENGTH_MAX]
            if record.exc_info
            else "",
        )
