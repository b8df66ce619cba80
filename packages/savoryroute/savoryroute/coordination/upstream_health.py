"""Whether the local upstream accepts connections, and which requests crashed it.

Load pattern: one request crashes each upstream that runs it, and is retried. A lost
answer alone does not show a crash, as some upstreams drop answers; connections that
are refused soon afterwards do. A connection is therefore tried soon after a loss:
while calls are rare, a request could crash many upstreams before the next call notices.
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

# A connection refused within this time after a lost call shows a crash.
CRASH_WINDOW_S = 1.5
# Lost calls that are kept; upstreams have fewer slots than this.
LOST_CALLS_MAX = 512
# Calls are refused at once for this long after a connection was refused.
DOWN_PAUSE_S = 0.25
# Time for a crashing process to release its port before a connection is tried.
CHECK_DELAY_S = 0.02


@attrs.define
class _LostCall:
    at_s: float
    fingerprint: bytes


class UpstreamHealth:
    """Health of the upstream on this host, from the outcomes of calls to it.

    Args:
        service: Service of the upstream.
        pool: Connections to the upstream.
        quarantine: Records which requests were lost in each crash.
        log: Log of changes.
        on_crash: Called after each crash with the fingerprints of the lost requests.
    """

    def __init__(
        self,
        service: str,
        pool: HttpPool,
        quarantine: Quarantine,
        log: EventLog,
        on_crash: Callable[[set[bytes]], None],
    ) -> None:
        self._service = service
        self._pool = pool
        self._quarantine = quarantine
        self._log = log
        self._on_crash = on_crash
        self._lost_calls: deque[_LostCall] = deque(maxlen=LOST_CALLS_MAX)
        self._down_until_s = 0.0
        self._is_reported_down = False
        self._is_checking = False

    @property
    def is_down(self) -> bool:
        """Whether the upstream refused a connection within ``DOWN_PAUSE_S``."""
        return time.monotonic() < self._down_until_s

    @property
    def n_lost_calls(self) -> int:
        """Lost calls that are kept as possible causes of a crash."""
        return len(self._lost_calls)

    def note_answer(self) -> None:
        """Record that the upstream answered."""
        if self._is_reported_down:
            self._is_reported_down = False
            self._log.change("upstream_back", service=self._service)

    def note_lost(self, fingerprint: bytes) -> None:
        """Record a call whose connection was lost; check the upstream soon.

        A request whose quarantine has ended counts as having crashed the upstream at
        once. Until the check, it could be sent to others.
        """
        if fingerprint and self._quarantine.has_crashed_enough(fingerprint):
            self._quarantine.note_crash([fingerprint])
            self._on_crash({fingerprint})
            fingerprint = b""
        self._lost_calls.append(_LostCall(time.monotonic(), fingerprint))
        if not self._is_checking:
            self._is_checking = True
            asyncio.get_running_loop().call_later(CHECK_DELAY_S, self._check)

    def note_refused(self, detail: str) -> None:
        """Record a refused connection, and a crash if calls were lost shortly before.

        Args:
            detail: Why the connection failed.
        """
        now_s = time.monotonic()
        self._down_until_s = now_s + DOWN_PAUSE_S
        if not self._is_reported_down:
            self._is_reported_down = True
            self._log.change("upstream_down", service=self._service, error=detail)
        suspects = {
            lost.fingerprint
            for lost in self._lost_calls
            if lost.at_s >= now_s - CRASH_WINDOW_S and lost.fingerprint
        }
        self._lost_calls.clear()
        if suspects:
            self._quarantine.note_crash(suspects)
            self._on_crash(suspects)

    def _check(self) -> None:
        self._pool.open_spare(self._on_checked)

    def _on_checked(self, error: str | None) -> None:
        self._is_checking = False
        if error is not None:
            self.note_refused(error)
