"""Grouping of requests that were lost in the same crash of the upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..state.quarantine import Quarantine

__all__ = ["CrashWatch"]

# Requests lost within this time after the first one count as one crash.
GROUP_S = 0.03


class CrashWatch:
    """Collects lost requests and reports those lost together as one crash.

    Args:
        quarantine: Records the requests lost in each crash.
        on_crash: Called after each crash with the number of distinct requests lost.
    """

    def __init__(self, quarantine: Quarantine, on_crash: Callable[[int], None]) -> None:
        self._quarantine = quarantine
        self._on_crash = on_crash
        self._lost: set[bytes] = set()

    def note_lost(self, fingerprint: bytes) -> None:
        """Record a request whose connection to the upstream was lost.

        Args:
            fingerprint: Digest of the request content.
        """
        if not self._lost:
            asyncio.get_running_loop().call_later(GROUP_S, self._close_group)
        self._lost.add(fingerprint)

    def _close_group(self) -> None:
        lost, self._lost = self._lost, set()
        self._quarantine.note_crash(lost)
        self._on_crash(len(lost))
