"""Whether the own upstream takes connections, and which requests crashed it.

Load pattern: one request crashes each upstream that runs it, and is sent again. A
lost answer alone says little, as some upstreams drop answers; connections that are
refused soon after show a crash. They are tried for at once, since with few calls a
request could crash many upstreams before the next call finds out.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable

import attrs

from ..state.event_log import EventLog
from ..state.quarantine import Quarantine
from ..transport.http_client import HttpPool

__all__ = ["UpstreamHealth"]

# Refused connections within this time after lost ones show that the upstream crashed.
CRASH_WINDOW_S = 1.5
# Lost calls that are remembered: more than an upstream has slots today.
LOST_CALLS_MAX = 512
# Calls are refused at once for this long after a connection was refused.
DOWN_PAUSE_S = 0.25
# Time for a crashing process to give up its port before a connection is tried.
CHECK_DELAY_S = 0.02


@attrs.define
class _LostCall:
    at_s: float
    fingerprint: bytes


class UpstreamHealth:
    """State of the upstream on this host, by what became of calls to it.

    Args:
        service: Service of the upstream.
        pool: Connections to it.
        quarantine: Told which requests were lost in a crash.
        log: Log of changes.
        on_crash: Told after each crash in which requests were lost.
    """

    def __init__(
        self,
        service: str,
        pool: HttpPool,
        quarantine: Quarantine,
        log: EventLog,
        on_crash: Callable[[], None],
    ) -> None:
        self._service = service
        self._pool = pool
        self._quarantine = quarantine
        self._log = log
        self._on_crash = on_crash
        self._lost_calls: deque[_LostCall] = deque(maxlen=LOST_CALLS_MAX)
        self._down_until_s = 0.0
        self._was_down = False
        self._is_checking = False

    @property
    def is_down(self) -> bool:
        """Whether it refused a connection a moment ago."""
        return time.monotonic() < self._down_until_s

    @property
    def n_lost_calls(self) -> int:
        """Lost calls that would count in a crash."""
        return len(self._lost_calls)

    def note_answer(self) -> None:
        """Take note that the upstream answered."""
        if self._was_down:
            self._was_down = False
            self._log.change("upstream_back", service=self._service)

    def note_lost(self, fingerprint: bytes) -> None:
        """Take note of a call whose connection was lost; check the upstream soon."""
        self._lost_calls.append(_LostCall(time.monotonic(), fingerprint))
        if not self._is_checking:
            self._is_checking = True
            asyncio.get_running_loop().call_later(CHECK_DELAY_S, self._check)

    def note_refused(self, detail: str) -> None:
        """Take note of a refused connection, and of a crash that it shows."""
        now_s = time.monotonic()
        self._down_until_s = now_s + DOWN_PAUSE_S
        if not self._was_down:
            self._was_down = True
            self._log.change("upstream_down", service=self._service, error=detail)
        victims = {
            lost.fingerprint
            for lost in self._lost_calls
            if lost.at_s >= now_s - CRASH_WINDOW_S and lost.fingerprint
        }
        self._lost_calls.clear()
        if victims:
            self._quarantine.note_crash(victims)
            self._on_crash()

    def _check(self) -> None:
        self._pool.open_spare(self._on_checked)

    def _on_checked(self, error: str | None) -> None:
        self._is_checking = False
        if error is not None:
            self.note_refused(error)
