"""Audit trail: what changed on this host, when, and on what evidence."""

from __future__ import annotations

import collections
import enum
import itertools
import time
from collections.abc import Callable

import attrs

__all__ = ["AuditEntry", "AuditKind", "AuditTrail"]

CAPACITY_DEFAULT = 10_000


class AuditKind(enum.StrEnum):
    """Kind of change that an entry records."""

    DOCUMENT = "document"
    MEMBER = "member"
    LIMIT = "limit"
    EJECTION = "ejection"
    QUARANTINE = "quarantine"
    READINESS = "readiness"
    LEAVING = "leaving"


@attrs.frozen
class AuditEntry:
    """One change.

    Attributes:
        sequence: Sequence number in the trail, starting at 1.
        uptime_s: Seconds from the start of the process to the change.
        wall_time_s: Seconds since the Unix epoch, for display only.
        kind: Kind of change.
        subject: Name of what changed.
        change: Description of the change.
        evidence: Reason for the change.
    """

    sequence: int
    uptime_s: float
    wall_time_s: float
    kind: AuditKind
    subject: str
    change: str
    evidence: str

    def to_plain(self) -> dict:
        """Return the entry in JSON form."""
        return attrs.asdict(self) | {"kind": str(self.kind)}


class AuditTrail:
    """Ring buffer of the latest changes on this host.

    Args:
        capacity: Number of entries kept.
        clock: Monotonic clock in seconds.
        on_record: Called with each new entry.
    """

    def __init__(
        self,
        capacity: int = CAPACITY_DEFAULT,
        clock: Callable[[], float] = time.monotonic,
        on_record: Callable[[AuditEntry], None] = lambda entry: None,
    ) -> None:
        self._on_record = on_record
        self._entries: collections.deque[AuditEntry] = collections.deque(
            maxlen=capacity
        )
        self._clock = clock
        self._started_s = clock()
        self._last_sequence = 0

    @property
    def last_sequence(self) -> int:
        """Sequence number of the latest entry; 0 before the first."""
        return self._last_sequence

    def record(
        self, kind: AuditKind, subject: str, change: str, evidence: str
    ) -> AuditEntry:
        """Add an entry and return it."""
        self._last_sequence += 1
        entry = AuditEntry(
            sequence=self._last_sequence,
            uptime_s=self._clock() - self._started_s,
            wall_time_s=time.time(),
            kind=kind,
            subject=subject,
            change=change,
            evidence=evidence,
        )
        self._entries.append(entry)
        self._on_record(entry)
        return entry

    def after(self, sequence: int, limit: int) -> list[AuditEntry]:
        """Return the oldest entries after a sequence number.

        Args:
            sequence: Sequence number of the last entry that the reader has.
            limit: Maximum number of entries to return.
        """
        oldest = self._last_sequence - len(self._entries) + 1
        first = max(0, sequence + 1 - oldest)
        stop = first + max(0, limit)
        return list(itertools.islice(self._entries, first, stop))
