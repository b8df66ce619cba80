"""Bound on the share of the event loop that the input of busy connections gets.

Load pattern: an upstream in trouble sends an answer without end, in chunks of one byte.
Each read takes milliseconds to parse and the next one is ready at once, so that timers
and other connections wait for seconds. A connection whose input has taken up a slice of
time is not read for a while; all such connections together get a fixed share of the
time.

Source: deficit round robin (Shreedhar and Varghese, 1995), with time in place of bytes.
"""

from __future__ import annotations

import asyncio
import time

__all__ = ["InputPacer", "PacedInput"]

# Seconds of processor time after which a connection waits for its next turn.
SLICE_S = 0.002
# Share of the time that the input of all waiting connections gets.
INPUT_SHARE = 0.25
# Shorter reads are not timed; a connection with more to read fills its buffer.
LONG_READ_BYTES = 4 * 1024


class InputPacer:
    """Turns of the connections whose input takes long to parse."""

    def __init__(self) -> None:
        self._next_turn_s = 0.0

    def delay_after(self, spent_s: float) -> float:
        """Return the seconds until the next turn of a connection.

        Args:
            spent_s: Seconds of processor time that its input has taken in this turn.
        """
        now_s = time.monotonic()
        pause_s = spent_s * (1.0 / INPUT_SHARE - 1.0)
        self._next_turn_s = max(self._next_turn_s, now_s) + pause_s
        return self._next_turn_s - now_s


class PacedInput:
    """Input of one connection; reading is paused between its turns.

    Args:
        pacer: Turns, shared with other connections.
        transport: Transport of the connection.
    """

    def __init__(self, pacer: InputPacer, transport: asyncio.ReadTransport) -> None:
        self._pacer = pacer
        self._transport = transport
        self._spent_s = 0.0
        self._is_stopped = False
        self._timer: asyncio.TimerHandle | None = None

    def stop(self) -> None:
        """Read nothing until ``go_on``, whatever the turns."""
        if not self._is_stopped and self._timer is None:
            self._transport.pause_reading()
        self._is_stopped = True

    def go_on(self) -> None:
        """Read again, in the next turn if one is waited for."""
        if self._is_stopped and self._timer is None:
            self._transport.resume_reading()
        self._is_stopped = False

    def begin_message(self) -> None:
        """Start a slice; short messages never use one up."""
        self._spent_s = 0.0

    def begin_read(self, n_bytes: int) -> float | None:
        """Return the time at which the handling of a read begins, None if it is short.

        Processor time of this thread in seconds: wall-clock time would also charge a
        connection for what other processes take of the processor.
        """
        return time.thread_time() if n_bytes >= LONG_READ_BYTES else None

    def end_read(self, began_s: float | None) -> None:
        """Count the time spent on a read, and pause reading after a slice.

        Args:
            began_s: What ``begin_read`` returned.
        """
        if began_s is None:
            return
        self._spent_s += time.thread_time() - began_s
        if self._spent_s < SLICE_S or self._timer or self._transport.is_closing():
            return
        if not self._is_stopped:
            self._transport.pause_reading()
        delay_s = self._pacer.delay_after(self._spent_s)
        self._spent_s = 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._resume)

    def close(self) -> None:
        """End the turns of a connection that was lost."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _resume(self) -> None:
        self._timer = None
        if not self._is_stopped and not self._transport.is_closing():
            self._transport.resume_reading()
