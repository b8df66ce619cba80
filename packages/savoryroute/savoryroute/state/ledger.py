"""The rule of at most once: which key may run, decided at its home alone."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Callable

import attrs
from result import Err

from ..verdict import Reason, Refusal, Verdict
from . import ledger_refusals as refusals
from .idempotency_key import IdempotencyKey, mint_key, parse_key
from .ledger_entry import (
    BeginResult,
    Entry,
    Outcome,
    RecordedAnswer,
    Refuse,
    Replay,
    Run,
    UnrecordedAnswer,
    Wait,
)

__all__ = [
    "RECORDED_BODY_BYTES_MAX",
    "RECORD_BYTES",
    "RECORD_RETENTION_S",
    "RUN_WINDOW_S",
    "Ledger",
]

RUN_WINDOW_S = 300.0
RECORD_RETENTION_S = 360.0
MINT_AHEAD_MAX_S = 1.0

# Time that an upstream may take to notice a closed connection and stop.
CANCEL_GRACE_S = 2.0

RETRY_AFTER_S = 1.0
RECORDED_BODY_BYTES_MAX = 64 * 1024
CAPACITY_BYTES = 55_000_000

# Memory of one record without headers and body.
RECORD_BYTES = 512

# Answers may take this share of the capacity, one answer a small part of what is
# left of it, so that they crowd out neither new keys nor each other.
ANSWERS_SHARE = 1 / 2
ANSWER_DIVISOR = 256


@attrs.define
class _Settled:
    """Record of a key whose action has ended or was fenced.

    Attributes:
        settled_s: Uptime of the last change in seconds.
        minted_s: Uptime at which the key was minted in seconds.
        fingerprint: What copies must equal, or None if no copy was seen.
        outcome: How the action ended.
    """

    settled_s: float
    minted_s: float
    fingerprint: bytes | None
    outcome: Outcome

    @property
    def answer_bytes(self) -> int:
        """Bytes of the answer, 0 without one."""
        if isinstance(self.outcome, RecordedAnswer):
            return self.outcome.n_bytes
        return 0

    @property
    def verdict(self) -> Verdict:
        """What is known about the execution."""
        if isinstance(self.outcome, Refusal):
            return self.outcome.verdict
        return Verdict.RAN


class Ledger:
    """Records of the actions whose home is this host in this incarnation.

    A key runs only here, only within ``RUN_WINDOW_S`` of its minting and only
    without a record. A record outlives that window, so a forgotten key is past it.

    A full ledger takes no new key. What it refuses it can't record one by one, so
    it fences every unseen key minted up to the refused one.

    Args:
        host: Name of this host.
        incarnation: Number drawn at this start of the daemon.
        uptime_s: Seconds since this start; never goes back.
        capacity_bytes: Bytes that the records may take.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        uptime_s: Callable[[], float],
        capacity_bytes: int = CAPACITY_BYTES,
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._uptime_s = uptime_s
        self._capacity_bytes = capacity_bytes
        self._running: dict[str, Entry] = {}
        self._settled: OrderedDict[str, _Settled] = OrderedDict()
        self._n_bytes = 0
        self._n_answer_bytes = 0
        self._n_unrecorded_answers = 0
        self._fenced_to_ms = -1

    @property
    def n_records(self) -> int:
        """Keys with a record."""
        return len(self._running) + len(self._settled)

    @property
    def n_running(self) -> int:
        """Actions in flight."""
        return len(self._running)

    @property
    def n_bytes(self) -> int:
        """Bytes counted for all records."""
        return self._n_bytes

    @property
    def n_unrecorded_answers(self) -> int:
        """Answers that were too large to keep."""
        return self._n_unrecorded_answers

    def mint(self) -> str:
        """Return a new key whose home is here."""
        uptime_ms = int(self._uptime_s() * 1000)
        minted_ms = max(uptime_ms, self._fenced_to_ms + 1)
        return mint_key(self._host, self._incarnation, minted_ms)

    def begin(
        self,
        key: str,
        fingerprint: bytes,
        cancels: str = "",
        is_target_fenced: bool = False,
    ) -> BeginResult:
        """Decide what becomes of one copy of an action.

        Args:
            key: Idempotency key of the action.
            fingerprint: Digest of what must be equal in every copy.
            cancels: Key of the action that this one cancels, or an empty string.
            is_target_fenced: Whether the home of ``cancels`` answered a fence with
                ``NOT_RUN`` or ``RAN``, where that home is another host.

        Returns:
            Whether to run it, wait for a copy, replay its answer or refuse it. A
            refusal ``NOT_RUN`` fences the key for good.
        """
        self._evict()
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return Refuse(parsed.err_value)
        name = parsed.ok_value
        fingerprint = _with_target(fingerprint, cancels)
        known = self._known(str(name), fingerprint)
        if known is not None:
            return known
        refusal = self._refusal_of_unseen(name)
        if refusal is not None:
            return Refuse(refusal)
        if cancels:
            refusal = self._cancel(name, cancels, is_target_fenced)
        if refusal is None and not self._has_room(1):
            refusal = refusals.full(RETRY_AFTER_S)
        if refusal is not None:
            self._fence_unseen(name, refusals.spent())
            return Refuse(refusal)
        return Run(self._start(name, fingerprint))

    def fence(self, key: str, is_cancellation: bool = False) -> Verdict:
        """Make sure that a key never begins from now on, if that can be had.

        Args:
            key: Idempotency key of the action.
            is_cancellation: Whether the action is to be cancelled at another home,
                so that its copies get ``CANCELLED`` and no new key.

        Returns:
            ``NOT_RUN`` if it never ran and never will, ``RAN`` if it finished,
            else ``MAY_HAVE_RUN``.
        """
        self._evict()
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return Verdict.NOT_RUN
        name = parsed.ok_value
        if str(name) in self._running:
            return Verdict.MAY_HAVE_RUN
        record = self._settled.get(str(name))
        if record is not None:
            return self._fence_settled(record, is_cancellation)
        refusal = self._refusal_of_unseen(name)
        if refusal is not None:
            return refusal.verdict
        outcome = refusals.cancelled() if is_cancellation else refusals.spent()
        self._fence_unseen(name, outcome)
        return Verdict.NOT_RUN

    def _fence_settled(self, record: _Settled, is_cancellation: bool) -> Verdict:
        """Return what a fence finds where an action has ended."""
        if is_cancellation and record.verdict is Verdict.NOT_RUN:
            record.outcome = refusals.cancelled()
        return record.verdict

    def _known(self, text: str, fingerprint: bytes) -> BeginResult | None:
        """Return what a copy of a recorded key gets, or None without a record."""
        entry = self._running.get(text)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return Refuse(refusals.reused(Verdict.MAY_HAVE_RUN))
            return Wait(entry)
        record = self._settled.get(text)
        if record is None:
            return None
        if record.fingerprint not in (None, fingerprint):
            is_fenced = record.verdict is Verdict.NOT_RUN
            return Refuse(
                refusals.reused(Verdict.NOT_RUN if is_fenced else Verdict.MAY_HAVE_RUN)
            )
        return _replay(record.outcome)

    def _refusal_of_unseen(self, name: IdempotencyKey) -> Refusal | None:
        """Return why a key without a record can't run here, or None if it can."""
        if not self._is_owner_of(name):
            return refusals.not_owner()
        age_s = self._uptime_s() - name.minted_ms / 1000
        if age_s < -MINT_AHEAD_MAX_S:
            return refusals.too_early(-age_s)
        if age_s > RECORD_RETENTION_S:
            return refusals.expired(RUN_WINDOW_S, Verdict.MAY_HAVE_RUN)
        if age_s > RUN_WINDOW_S:
            return refusals.expired(RUN_WINDOW_S, Verdict.NOT_RUN)
        if name.minted_ms <= self._fenced_to_ms:
            return refusals.spent()
        return None

    def _is_owner_of(self, name: IdempotencyKey) -> bool:
        """Return whether this incarnation may run the key at all."""
        return (name.host, name.incarnation) == (self._host, self._incarnation)

    def _cancel(
        self, name: IdempotencyKey, cancels: str, is_target_fenced: bool
    ) -> Refusal | None:
        """Fence the action to cancel; return why the cancellation can't run yet."""
        parsed = parse_key(cancels)
        if isinstance(parsed, Err):
            return parsed.err_value
        target = parsed.ok_value
        if target == name:
            return refusals.bad_target("an action can't cancel itself")
        if target.host != self._host:
            return (
                None
                if is_target_fenced
                else refusals.bad_target("its home is elsewhere")
            )
        if target.incarnation != self._incarnation:
            return refusals.in_progress_until(CANCEL_GRACE_S, self._uptime_s())
        if str(target) in self._running:
            return refusals.in_progress(RETRY_AFTER_S)
        if str(target) in self._settled:
            return self._cancel_settled(self._settled[str(target)])
        return self._cancel_unseen(target)

    def _cancel_settled(self, record: _Settled) -> Refusal | None:
        """Let a cancellation run after its target has come to an end."""
        verdict = self._fence_settled(record, is_cancellation=True)
        if verdict is not Verdict.MAY_HAVE_RUN:
            return None
        return refusals.in_progress_until(
            record.settled_s + CANCEL_GRACE_S, self._uptime_s()
        )

    def _cancel_unseen(self, target: IdempotencyKey) -> Refusal | None:
        """Fence a target that never began, so that it never will."""
        refusal = self._refusal_of_unseen(target)
        if refusal is not None and refusal.reason is Reason.KEY_INVALID:
            return refusals.in_progress(refusal.retry_after_s)
        if refusal is not None and refusal.reason is Reason.KEY_EXPIRED:
            return None
        if not self._has_room(2):
            return refusals.full(RETRY_AFTER_S)
        self._fence_unseen(target, refusals.cancelled())
        return None

    def _start(self, name: IdempotencyKey, fingerprint: bytes) -> Entry:
        """Record that an action is in flight."""

        def settle(entry: Entry, outcome: Outcome) -> bool:
            return self._settle(name, entry, outcome)

        entry = Entry(settle, fingerprint)
        self._running[str(name)] = entry
        self._n_bytes += RECORD_BYTES
        return entry

    def _settle(self, name: IdempotencyKey, entry: Entry, outcome: Outcome) -> bool:
        """Record how an action in flight ended, or its late answer."""
        if self._running.pop(str(name), None) is None:
            if str(name) not in self._settled:
                return False
            self._forget(str(name))
        else:
            self._n_bytes -= RECORD_BYTES
        self._record(name, entry.fingerprint, self._fitting(outcome))
        return True

    def _fitting(self, outcome: Outcome) -> Outcome:
        """Return the outcome, without an answer that is too large to keep."""
        if not isinstance(outcome, RecordedAnswer):
            return outcome
        left = self._capacity_bytes * ANSWERS_SHARE - self._n_answer_bytes
        if outcome.n_bytes <= min(left / ANSWER_DIVISOR, RECORDED_BODY_BYTES_MAX):
            return outcome
        self._n_unrecorded_answers += 1
        return UnrecordedAnswer(outcome.status)

    def _fence_unseen(self, name: IdempotencyKey, refusal: Refusal) -> None:
        """Make sure that a key without a record never runs."""
        if self._has_room(1):
            self._record(name, None, refusal)
            return
        self._fenced_to_ms = max(self._fenced_to_ms, name.minted_ms)

    def _record(
        self, name: IdempotencyKey, fingerprint: bytes | None, outcome: Outcome
    ) -> None:
        """File a settled record as the newest."""
        record = _Settled(
            settled_s=self._uptime_s(),
            minted_s=name.minted_ms / 1000,
            fingerprint=fingerprint,
            outcome=outcome,
        )
        self._settled[str(name)] = record
        self._n_answer_bytes += record.answer_bytes
        self._n_bytes += RECORD_BYTES + record.answer_bytes

    def _has_room(self, n_records: int) -> bool:
        """Return whether that many more records fit."""
        return self._n_bytes + n_records * RECORD_BYTES <= self._capacity_bytes

    def _evict(self) -> None:
        """Forget records past the horizon, oldest change first."""
        since_s = self._uptime_s() - RECORD_RETENTION_S
        while self._settled:
            text, record = next(iter(self._settled.items()))
            if record.settled_s >= since_s or record.minted_s >= since_s:
                return
            self._forget(text)

    def _forget(self, text: str) -> None:
        """Drop one settled record."""
        record = self._settled.pop(text)
        self._n_answer_bytes -= record.answer_bytes
        self._n_bytes -= RECORD_BYTES + record.answer_bytes


def _with_target(fingerprint: bytes, cancels: str) -> bytes:
    """Return a fingerprint that also covers the target of a cancellation."""
    if not cancels:
        return fingerprint
    parsed = parse_key(cancels)
    target = cancels if isinstance(parsed, Err) else str(parsed.ok_value)
    data = fingerprint + b"\0" + target.encode(errors="replace")
    return hashlib.blake2b(data, digest_size=16).digest()


def _replay(outcome: Outcome) -> BeginResult:
    """Return what a copy of a settled action gets."""
    if isinstance(outcome, RecordedAnswer):
        return Replay(outcome)
    if isinstance(outcome, UnrecordedAnswer):
        return Refuse(outcome.as_refusal())
    if outcome.verdict is Verdict.NOT_RUN and outcome.reason is not Reason.CANCELLED:
        return Refuse(refusals.spent())
    return Refuse(outcome)
