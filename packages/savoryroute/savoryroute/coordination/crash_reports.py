"""Spreads reports of requests that crash upstreams among the daemons on a platform.

Load pattern: a request crashes each upstream that runs it and is sent again at any
host, also at one without a link to the reporting daemon, or one that was cut off or has
restarted since. The daemon beside the upstream reports a crash to all linked peers, a
daemon that learns something new forwards it to a few random peers, and each daemon
regularly compares a digest of the requests with several crashes with that of a peer.

Source: rumour mongering and anti-entropy of Demers et al., "Epidemic Algorithms for
Replicated Database Maintenance" (1987).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from ..protocol.mesh_frames import FrameKind
from ..state.event_log import EventLog
from ..state.quarantine import Quarantine

__all__ = ["CrashReports"]


class CrashReports:
    """Exchanges crash reports with the daemons of other hosts.

    Args:
        quarantine: Crashes and requests known to this daemon.
        log: Event log.
        broadcast: Sends a frame to all linked peers.
        forward: Sends a frame to a few random peers, except to the one at the given
            address.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        log: EventLog,
        broadcast: Callable[[list[Any]], None],
        forward: Callable[[list[Any], str], None],
    ) -> None:
        self._quarantine = quarantine
        self._log = log
        self._broadcast = broadcast
        self._forward = forward

    def report(self, suspects: set[bytes]) -> None:
        """Report a crash of the local upstream, which the quarantine has counted.

        Args:
            suspects: Fingerprints of the requests that were lost in it.
        """
        self._log.change("upstream_crashed", n_suspects=len(suspects))
        self._log_repeated(suspects, "upstream")
        while rows := self._quarantine.export_new():
            self._broadcast([FrameKind.SUSPECTS.value, rows])

    def merge(self, rows: list[Any], ip: str) -> None:
        """Merge the rows of a peer and forward what is new.

        Args:
            rows: Rows exported by the quarantine of the peer.
            ip: Address of the peer.
        """
        new = self._quarantine.merge(rows)
        if not new:
            return
        self._log_repeated(new, ip)
        while rows := self._quarantine.export_new():
            self._forward([FrameKind.SUSPECTS.value, rows], ip)

    def make_request(self) -> list[Any]:
        """Return the frame that asks a peer for reports missing here."""
        return [FrameKind.SUSPECTS_REQUEST.value, self._quarantine.repeated_digest()]

    def answer_to(self, digest: int) -> list[Any] | None:
        """Return the frame that answers a request, None if nothing differs.

        Args:
            digest: Digest of the peer's reports.
        """
        if digest == self._quarantine.repeated_digest():
            return None
        rows = self._quarantine.export_repeated()
        return [FrameKind.SUSPECTS.value, rows] if rows else None

    def _log_repeated(self, requests: set[bytes], origin: str) -> None:
        """Log the requests that were lost in more than one crash.

        Args:
            requests: Fingerprints of requests with a newly learned crash.
            origin: ``upstream`` for the local one, else the address of the peer.
        """
        for request in requests:
            n_crashes = self._quarantine.n_crashes(request)
            if n_crashes > 1:
                self._log.change(
                    "suspect",
                    fingerprint=request.hex(),
                    n_crashes=n_crashes,
                    is_quarantined=self._quarantine.check(request) is not None,
                    by=origin,
                )
