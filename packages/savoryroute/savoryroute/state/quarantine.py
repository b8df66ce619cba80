"""Temporary quarantine of requests that crash the upstreams that run them."""

from __future__ import annotations

import hashlib
import heapq
import itertools
import secrets
import struct
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from ..verdict import Reason, Refusal, Verdict

__all__ = ["Quarantine", "SuspectEntry", "fingerprint"]

FINGERPRINT_BYTES = 16
_NAME_LENGTHS = struct.Struct(">QQQ")
CRASH_ID_BYTES = 8

# Events remembered, sent in one heartbeat, and accepted from one heartbeat.
EVENTS_MAX = 4096
EXPORTED_MAX = 32
MERGED_MAX = 256

# After this many exports an event counts as old. Heartbeats with few new events carry
# old ones too, up to ``OLD_EVENTS_MAX`` events in total.
NEW_EXPORTS_MAX = 8
OLD_EVENTS_MAX = 2

# A crash is remembered for this many times the length of a first quarantine, after the
# last crash if the request is quarantined.
MEMORY_FACTOR = 10
# Each further crash doubles the length of a quarantine, up to this many times: the
# crashes must be remembered for longer than the quarantine lasts.
DOUBLINGS_MAX = 3
# Hosts run a request again at different times after its quarantine. The last of them
# follows the first within this share of the length of the quarantine.
SPREAD_SHARE = 0.3

# Fingerprint of a request and identity of a crash during which it was in flight.
_Key = tuple[bytes, int]


def fingerprint(method: str, scope: str, target: str, body: bytes) -> bytes:
    """Return the digest that identifies equal requests as the same suspect.

    Args:
        method: HTTP method.
        scope: Service or virtual host in which the target is defined.
        target: Path and query.
        body: The complete body.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    names = (method.encode(), scope.encode(), target.encode())
    digest.update(_NAME_LENGTHS.pack(*map(len, names)))
    digest.update(b"".join(names))
    digest.update(body)
    return digest.digest()


@attrs.define
class _Event:
    """One request that was in flight during one crash.

    Attributes:
        at_s: Time of the crash on this daemon's clock in seconds, or of a later
            one that quarantined the request.
        is_alone: Whether no other request was in flight.
        is_cleared: Whether the request has since completed successfully.
        n_exports: How often the event was sent to peers in its present state.
    """

    at_s: float
    is_alone: bool
    is_cleared: bool = False
    n_exports: int = 0


@attrs.frozen
class SuspectEntry:
    """One suspect as shown to operators.

    Attributes:
        fingerprint: Digest of the request, in hexadecimal.
        n_crashes: Number of crashes that count against the request.
        age_s: Seconds since the last of these crashes.
        is_quarantined: Whether the request is currently refused.
    """

    fingerprint: str
    n_crashes: int
    age_s: float
    is_quarantined: bool


class Quarantine:
    """Crash evidence from this daemon and, by gossip, from its peers.

    Every request in flight during a crash becomes a suspect. An upstream runs at most
    one suspect at a time, and a suspect that completes is cleared. After
    ``crashes_max`` crashes a suspect is refused until ``duration_s`` after the last
    crash. It then remains a suspect; one further crash renews the quarantine, for twice
    as long each time. As with a circuit breaker that is half open, it is on probation
    until a run of it completes: hosts open to it one after the other, in an order that
    all daemons know.
    ``docs/design/poison.md`` states the resulting bound on crashes.

    Crashes are merged as a set of identities, so a crash that is reported twice
    counts once.

    Args:
        clock: Monotonic clock in seconds.
        crashes_max: Number of crashes after which a request is quarantined.
        duration_s: Length of a first quarantine in seconds.
    """

    def __init__(
        self, clock: Callable[[], float], crashes_max: int, duration_s: float
    ) -> None:
        self._clock = clock
        self._crashes_max = max(1, crashes_max)
        self._duration_s = duration_s
        self._events: OrderedDict[_Key, _Event] = OrderedDict()
        self._crash_ids: dict[bytes, set[int]] = {}
        # Requests with one event, the oldest first: the first to be evicted.
        self._with_one_event: OrderedDict[bytes, None] = OrderedDict()
        self._in_flight: Counter[bytes] = Counter()
        self._in_flight_lost: set[bytes] = set()
        # Requests with crashes that completed after their quarantine.
        self._passed: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._events)

    def set_policy(self, crashes_max: int, duration_s: float) -> None:
        """Apply the quarantine policy of a new document."""
        self._crashes_max = max(1, crashes_max)
        self._duration_s = duration_s

    def note_crash(self, in_flight: Iterable[bytes]) -> None:
        """Count a crash of the local upstream against all requests in flight."""
        suspects = set(in_flight)
        crash_id = int.from_bytes(secrets.token_bytes(CRASH_ID_BYTES), "big")
        is_alone = len(suspects) == 1
        for suspect in suspects:
            self._add(suspect, crash_id, _Event(self._clock(), is_alone))

    def note_success(self, request: bytes) -> None:
        """Clear a suspect that completed successfully.

        A quarantine is not lifted, and a crash during which no other request was in
        flight is not cleared.
        """
        if self._is_quarantined(request):
            return
        if self.has_crashed_enough(request):
            self._passed.add(request)
        for crash_id in self._crash_ids.get(request, ()):
            event = self._events[request, crash_id]
            if not event.is_alone and not event.is_cleared:
                event.is_cleared = True
                event.n_exports = 0

    def check(self, request: bytes) -> Refusal | None:
        """Return the refusal of a quarantined request, or None."""
        if not self._is_quarantined(request):
            return None
        return Refusal(
            verdict=Verdict.NOT_RUN,
            reason=Reason.QUARANTINED,
            detail="upstreams crashed each time that this request ran",
            retry_after_s=self._left_s(request),
        )

    def is_on_probation(self, request: bytes) -> bool:
        """Return whether no run of a request completed here since its quarantine."""
        return self.has_crashed_enough(request) and request not in self._passed

    def wait_s(self, request: bytes, host: str) -> float:
        """Return the seconds until a host may run a request, at most 0 if it may now.

        Args:
            request: Fingerprint of the request.
            host: Address of the host.
        """
        if not self.has_crashed_enough(request):
            return 0.0
        wait_s = self._left_s(request)
        if request not in self._passed:
            digest = hashlib.blake2b(request + host.encode(), digest_size=8).digest()
            share = int.from_bytes(digest, "big") / 2**64
            wait_s += share * self.spread_s(request)
        return wait_s

    def spread_s(self, request: bytes) -> float:
        """Return the seconds over which hosts open to a request on probation."""
        return self._length_s(request) * SPREAD_SHARE

    def must_run_alone(self, request: bytes) -> bool:
        """Return whether the request must not run beside another suspect."""
        return request in self._in_flight_lost or bool(self._counted(request))

    def try_start(self, request: bytes, was_lost: bool = False) -> bool:
        """Count a request as in flight, unless two suspects would run together.

        Args:
            request: Fingerprint of the request.
            was_lost: Whether an earlier attempt was lost. The request is then treated
                as a suspect even before the evidence of that crash arrives.

        Returns:
            Whether the request may be delivered now. If so, call ``end`` afterwards.
        """
        is_suspect = was_lost or self.must_run_alone(request)
        if is_suspect and self._is_suspect_in_flight():
            return False
        if was_lost:
            self._in_flight_lost.add(request)
        self._in_flight[request] += 1
        return True

    def end(self, request: bytes) -> None:
        """Count a request as no longer in flight."""
        self._in_flight[request] -= 1
        if self._in_flight[request] <= 0:
            del self._in_flight[request]
            self._in_flight_lost.discard(request)

    def _is_suspect_in_flight(self) -> bool:
        """Return whether any request in flight is now a suspect."""
        return any(self.must_run_alone(request) for request in self._in_flight)

    def export(self) -> list[Any]:
        """Return the least exported events, for one heartbeat.

        Returns:
            Rows of fingerprint, crash identity, age in milliseconds, whether the
            request was the only one in flight, and whether it has been cleared.
        """
        self._evict_expired()
        return self._rows(self._least_exported())

    def export_new(self) -> list[Any]:
        """Return rows of events that were never exported, at most ``MERGED_MAX``."""
        self._evict_expired()
        new = (item for item in self._events.items() if not item[1].n_exports)
        return self._rows(list(itertools.islice(new, MERGED_MAX)))

    def export_repeated(self) -> list[Any]:
        """Return rows of the requests that were in flight at several crashes.

        At most ``MERGED_MAX``: requests with more crashes go first, and among equals
        the events that were exported less often.
        """
        self._evict_expired()
        repeated = self._repeated()
        repeated.sort(
            key=lambda item: (-len(self._counted(item[0][0])), item[1].n_exports)
        )
        return self._rows(repeated[:MERGED_MAX])

    def repeated_digest(self) -> int:
        """Return a digest of what ``export_repeated`` chooses from; 0 for nothing."""
        self._evict_expired()
        digest = 0
        for (request, crash_id), event in self._repeated():
            text = b"%b %d %d" % (request, crash_id, event.is_cleared)
            row = hashlib.blake2b(text, digest_size=CRASH_ID_BYTES).digest()
            digest ^= int.from_bytes(row, "big")
        return digest

    def _repeated(self) -> list[tuple[_Key, _Event]]:
        """Return the events of requests with several of them."""
        return [
            ((request, crash_id), self._events[request, crash_id])
            for request, crash_ids in self._crash_ids.items()
            if len(crash_ids) > 1
            for crash_id in crash_ids
        ]

    def _rows(self, items: list[tuple[_Key, _Event]]) -> list[Any]:
        """Return the rows of events, and count them as exported."""
        rows = []
        for (request, crash_id), event in items:
            event.n_exports += 1
            age_ms = int((self._clock() - event.at_s) * 1000)
            rows.append([request, crash_id, age_ms, event.is_alone, event.is_cleared])
        return rows

    def _least_exported(self) -> list[tuple[_Key, _Event]]:
        """Return the events for one heartbeat: new ones, else a few old ones."""
        chosen = heapq.nsmallest(
            EXPORTED_MAX, self._events.items(), key=lambda item: item[1].n_exports
        )
        new = [item for item in chosen if item[1].n_exports < NEW_EXPORTS_MAX]
        return chosen[: max(len(new), OLD_EVENTS_MAX)]

    def merge(self, rows: list[Any]) -> set[bytes]:
        """Merge the rows that a peer exported, ignoring malformed ones.

        Returns:
            The requests with crashes that were not known before.
        """
        return {
            row[0]
            for row in rows[:MERGED_MAX]
            if _is_row(row) and self._merge_row(*row)
        }

    def has_crashed_enough(self, request: bytes) -> bool:
        """Return whether a request is quarantined, or was and may run again."""
        return self.n_crashes(request) >= self._crashes_max

    def n_crashes(self, request: bytes) -> int:
        """Return the number of crashes that count against a request."""
        return len(self._counted(request))

    def entries(self) -> list[SuspectEntry]:
        """Return the suspects, those with the most crashes first."""
        self._evict_expired()
        found = [self._entry(request) for request in self._crash_ids]
        suspects = [entry for entry in found if entry.n_crashes]
        return sorted(suspects, key=lambda entry: -entry.n_crashes)

    def _entry(self, request: bytes) -> SuspectEntry:
        """Return the entry of one request that is shown to operators."""
        return SuspectEntry(
            fingerprint=request.hex(),
            n_crashes=len(self._counted(request)),
            age_s=self._last_age_s(request),
            is_quarantined=self._is_quarantined(request),
        )

    def _merge_row(
        self,
        request: bytes,
        crash_id: int,
        age_ms: int,
        is_alone: bool,
        is_cleared: bool,
    ) -> bool:
        """Add one event, or mark a known one as cleared; return whether it is new."""
        known = self._events.get((request, crash_id))
        if known is None:
            at_s = self._clock() - age_ms / 1000
            return self._add(request, crash_id, _Event(at_s, is_alone, is_cleared))
        if is_cleared and not known.is_cleared and not known.is_alone:
            known.is_cleared = True
            known.n_exports = 0
        return False

    def _add(self, request: bytes, crash_id: int, event: _Event) -> bool:
        """Add an event unless it has expired; return whether it was added."""
        self._evict_expired()
        if self._clock() - event.at_s >= self._memory_s:
            return False
        while len(self._events) >= EVENTS_MAX:
            self._remove(self._least_needed())
        self._events[request, crash_id] = event
        self._crash_ids.setdefault(request, set()).add(crash_id)
        self._passed.discard(request)
        self._note_n_events(request)
        if self.has_crashed_enough(request):
            self._renew(request)
        return True

    def _renew(self, request: bytes) -> None:
        """Remember the crashes of a quarantined request for as long as the last one.

        Otherwise the first ones would be forgotten, and so the quarantine shortened,
        while a longer one lasts.
        """
        counted = self._counted(request)
        last_s = max(event.at_s for event in counted)
        for event in counted:
            event.at_s = last_s
        for crash_id in self._crash_ids[request]:
            self._events.move_to_end((request, crash_id))

    def _least_needed(self) -> _Key:
        """Return the event to evict when there are too many.

        Oldest first: events of requests that were lost once, else of requests without
        a quarantine, else of any.
        """
        for request in self._with_one_event:
            if not self._is_quarantined(request):
                return request, next(iter(self._crash_ids[request]))
        for key in self._events:
            if not self._is_quarantined(key[0]):
                return key
        return next(iter(self._events))

    def _note_n_events(self, request: bytes) -> None:
        """Update whether a request has a single event."""
        if len(self._crash_ids.get(request, ())) == 1:
            self._with_one_event[request] = None
        else:
            self._with_one_event.pop(request, None)

    @property
    def _memory_s(self) -> float:
        """Time in seconds for which a crash is remembered."""
        return self._duration_s * MEMORY_FACTOR

    def _counted(self, request: bytes) -> list[_Event]:
        """Return the crashes that count against a request."""
        if request not in self._crash_ids:
            return []
        since_s = self._clock() - self._memory_s
        events = (
            self._events[request, crash_id] for crash_id in self._crash_ids[request]
        )
        return [event for event in events if _counts(event, since_s)]

    def _is_quarantined(self, request: bytes) -> bool:
        """Return whether a request is currently quarantined."""
        if not self.has_crashed_enough(request):
            return False
        return self._last_age_s(request) < self._length_s(request)

    def _left_s(self, request: bytes) -> float:
        """Return the seconds left of the latest quarantine, negative after it."""
        return self._length_s(request) - self._last_age_s(request)

    def _length_s(self, request: bytes) -> float:
        """Return the length of the latest quarantine of a request in seconds."""
        n_renewals = max(0, self.n_crashes(request) - self._crashes_max)
        return self._duration_s * 2 ** min(n_renewals, DOUBLINGS_MAX)

    def _last_age_s(self, request: bytes) -> float:
        """Return the seconds since the last crash that counts against a request."""
        times = [event.at_s for event in self._counted(request)]
        return self._clock() - max(times, default=0.0)

    def _evict_expired(self) -> None:
        """Evict expired events, in the order in which they were added."""
        since_s = self._clock() - self._memory_s
        while self._events:
            key, event = next(iter(self._events.items()))
            if event.at_s > since_s:
                return
            self._remove(key)

    def _remove(self, key: tuple[bytes, int]) -> None:
        """Remove one event."""
        del self._events[key]
        request, crash_id = key
        crash_ids = self._crash_ids[request]
        crash_ids.discard(crash_id)
        if not crash_ids:
            del self._crash_ids[request]
            self._passed.discard(request)
        self._note_n_events(request)


def _counts(event: _Event, since_s: float) -> bool:
    """Return whether an event still counts against its request."""
    return event.at_s > since_s and not event.is_cleared


def _is_row(row: Any) -> bool:
    """Return whether a value received from a peer is a well-formed event row."""
    if type(row) is not list or len(row) != 5:
        return False
    request, crash_id, age_ms, is_alone, is_cleared = row
    return (
        type(request) is bytes
        and len(request) == FINGERPRINT_BYTES
        and type(crash_id) is int
        and 0 <= crash_id < 2 ** (8 * CRASH_ID_BYTES)
        and type(age_ms) is int
        and age_ms >= 0
        and type(is_alone) is bool
        and type(is_cleared) is bool
    )
