"""Ledger of idempotency keys: lets the owner of a key run its action at most once."""

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

# A key may start only within this time after it was minted.
RUN_WINDOW_S = 300.0

# A record outlives the run window, so a key whose record was evicted can't run.
RECORD_RETENTION_S = 360.0

# Keys minted up to this far ahead of the owner's clock are accepted.
MINT_AHEAD_MAX_S = 1.0

# An upstream may take this long to notice a closed connection and stop.
CANCEL_GRACE_S = 2.0

RETRY_AFTER_S = 1.0
RECORDED_BODY_BYTES_MAX = 64 * 1024
CAPACITY_BYTES = 55_000_000

# Memory of one record, not counting the headers and body of its answer.
RECORD_BYTES = 512

# Recorded answers may use this share of the capacity, and one answer at most
# 1/ANSWER_DIVISOR of what remains of that share. This leaves room for new keys and
# for other answers.
ANSWERS_SHARE = 1 / 2
ANSWER_DIVISOR = 256


@attrs.define
class _Settled:
    """Record of a key whose action has ended or that was fenced.

    Attributes:
        settled_s: Uptime of the last change, in seconds.
        minted_s: Uptime at which the key was minted, in seconds.
        fingerprint: Digest that every copy must have, or None if no copy was seen.
        outcome: How the action ended.
    """

    settled_s: float
    minted_s: float
    fingerprint: bytes | None
    outcome: Outcome

    @property
    def answer_bytes(self) -> int:
        """Bytes of the recorded answer, or 0 if there is none."""
        if isinstance(self.outcome, RecordedAnswer):
            return self.outcome.n_bytes
        return 0

    @property
    def verdict(self) -> Verdict:
        """Whether the action ran, as far as this ledger knows."""
        if isinstance(self.outcome, Refusal):
            return self.outcome.verdict
        return Verdict.RAN


class Ledger:
    """Records of the actions that this host owns in this incarnation.

    A key may run only on its owner, only within ``RUN_WINDOW_S`` of being minted,
    and only if it has no record. A record is kept for longer than that window, so a
    key whose record was evicted can no longer run.

    A full ledger accepts no new keys. It has no room to record each key that it
    refuses, so it fences every unseen key minted no later than the refused one.

    Args:
        host: Name of this host.
        incarnation: Random number drawn when this daemon started.
        uptime_s: Returns the seconds since that start; never decreases.
        capacity_bytes: Memory limit of the records in bytes.
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
        """Number of keys with a record."""
        return len(self._running) + len(self._settled)

    @property
    def n_running(self) -> int:
        """Number of actions in flight."""
        return len(self._running)

    @property
    def n_bytes(self) -> int:
        """Memory accounted to all records, in bytes."""
        return self._n_bytes

    @property
    def n_unrecorded_answers(self) -> int:
        """Number of answers that were too large to record."""
        return self._n_unrecorded_answers

    def mint(self) -> str:
        """Return a new key that this host owns."""
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
        """Decide how to handle one copy of an action.

        Args:
            key: Idempotency key of the action.
            fingerprint: Digest of the parts that must be equal in every copy.
            cancels: Key of the action that this one cancels, or an empty string.
            is_target_fenced: Whether the owner of ``cancels``, if that is another
                host, answered a fence with ``NOT_RUN`` or ``RAN``.

        Returns:
            Whether to run the copy, wait for another copy, replay the recorded
            answer or refuse the copy. A ``NOT_RUN`` refusal permanently fences the
            key.
        """
        self._evict()
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return Refuse(parsed.err_value)
        parsed_key = parsed.ok_value
        fingerprint = _with_target(fingerprint, cancels)
        result = self._result_of_recorded(str(parsed_key), fingerprint)
        if result is not None:
            return result
        refusal = self._refusal_of_unseen(parsed_key)
        if refusal is not None:
            return Refuse(refusal)
        if cancels:
            refusal = self._cancel(parsed_key, cancels, is_target_fenced)
        if refusal is None and not self._has_room(1):
            refusal = refusals.full(RETRY_AFTER_S)
        if refusal is not None:
            self._fence_unseen(parsed_key, refusals.spent())
            return Refuse(refusal)
        return Run(self._start(parsed_key, fingerprint))

    def fence(self, key: str, is_cancellation: bool = False) -> Verdict:
        """Prevent a key from ever starting, if it has not started yet.

        Args:
            key: Idempotency key of the action.
            is_cancellation: Whether the fence is for a cancellation that another
                host owns. Copies of the action then get ``CANCELLED`` and are not
                retried under a new key.

        Returns:
            ``NOT_RUN`` if the action never ran and never will, ``RAN`` if it
            finished, otherwise ``MAY_HAVE_RUN``.
        """
        self._evict()
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return Verdict.NOT_RUN
        parsed_key = parsed.ok_value
        if str(parsed_key) in self._running:
            return Verdict.MAY_HAVE_RUN
        record = self._settled.get(str(parsed_key))
        if record is not None:
            return self._fence_settled(record, is_cancellation)
        refusal = self._refusal_of_unseen(parsed_key)
        if refusal is not None:
            return refusal.verdict
        outcome = refusals.cancelled() if is_cancellation else refusals.spent()
        self._fence_unseen(parsed_key, outcome)
        return Verdict.NOT_RUN

    def _fence_settled(self, record: _Settled, is_cancellation: bool) -> Verdict:
        """Return the verdict on an ended action; mark it cancelled if it never ran."""
        if is_cancellation and record.verdict is Verdict.NOT_RUN:
            record.outcome = refusals.cancelled()
        return record.verdict

    def _result_of_recorded(self, text: str, fingerprint: bytes) -> BeginResult | None:
        """Return the result for a copy of a recorded key, or None if unrecorded."""
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

    def _refusal_of_unseen(self, parsed_key: IdempotencyKey) -> Refusal | None:
        """Return why a key without a record can't run here, or None if it can run."""
        if not self._is_owner_of(parsed_key):
            return refusals.not_owner()
        age_s = self._uptime_s() - parsed_key.minted_ms / 1000
        if age_s < -MINT_AHEAD_MAX_S:
            return refusals.too_early(-age_s)
        if age_s > RECORD_RETENTION_S:
            return refusals.expired(RUN_WINDOW_S, Verdict.MAY_HAVE_RUN)
        if age_s > RUN_WINDOW_S:
            return refusals.expired(RUN_WINDOW_S, Verdict.NOT_RUN)
        if parsed_key.minted_ms <= self._fenced_to_ms:
            return refusals.spent()
        return None

    def _is_owner_of(self, key: IdempotencyKey) -> bool:
        """Return whether this host owns the key in its present incarnation."""
        return (key.host, key.incarnation) == (self._host, self._incarnation)

    def _cancel(
        self, parsed_key: IdempotencyKey, cancels: str, is_target_fenced: bool
    ) -> Refusal | None:
        """Fence the target; return why the cancellation can't run, or None."""
        parsed = parse_key(cancels)
        if isinstance(parsed, Err):
            return parsed.err_value
        target = parsed.ok_value
        if target == parsed_key:
            return refusals.bad_target("an action can't cancel itself")
        if target.host != self._host:
            return (
                None
                if is_target_fenced
                else refusals.bad_target("another host owns the action to cancel")
            )
        if target.incarnation != self._incarnation:
            return refusals.in_progress_until(CANCEL_GRACE_S, self._uptime_s())
        if str(target) in self._running:
            return refusals.in_progress(RETRY_AFTER_S)
        if str(target) in self._settled:
            return self._cancel_settled(self._settled[str(target)])
        return self._cancel_unseen(target)

    def _cancel_settled(self, record: _Settled) -> Refusal | None:
        """Return why a cancellation of an ended action can't run yet, or None."""
        verdict = self._fence_settled(record, is_cancellation=True)
        if verdict is not Verdict.MAY_HAVE_RUN:
            return None
        return refusals.in_progress_until(
            record.settled_s + CANCEL_GRACE_S, self._uptime_s()
        )

    def _cancel_unseen(self, target: IdempotencyKey) -> Refusal | None:
        """Fence a target that never started; return a refusal if that fails."""
        refusal = self._refusal_of_unseen(target)
        if refusal is not None and refusal.reason is Reason.KEY_INVALID:
            return refusals.in_progress(refusal.retry_after_s)
        if refusal is not None and refusal.reason is Reason.KEY_EXPIRED:
            return None
        if not self._has_room(2):
            return refusals.full(RETRY_AFTER_S)
        self._fence_unseen(target, refusals.cancelled())
        return None

    def _start(self, parsed_key: IdempotencyKey, fingerprint: bytes) -> Entry:
        """Record that an action is in flight."""

        def settle(entry: Entry, outcome: Outcome) -> bool:
            return self._settle(parsed_key, entry, outcome)

        entry = Entry(settle, fingerprint)
        self._running[str(parsed_key)] = entry
        self._n_bytes += RECORD_BYTES
        return entry

    def _settle(
        self, parsed_key: IdempotencyKey, entry: Entry, outcome: Outcome
    ) -> bool:
        """Record the outcome of an action in flight, or a late answer.

        Returns:
            Whether it was recorded; False if the record has been evicted.
        """
        if self._running.pop(str(parsed_key), None) is None:
            if str(parsed_key) not in self._settled:
                return False
            self._remove(str(parsed_key))
        else:
            self._n_bytes -= RECORD_BYTES
        self._record(parsed_key, entry.fingerprint, self._limit_answer_size(outcome))
        return True

    def _limit_answer_size(self, outcome: Outcome) -> Outcome:
        """Return the outcome, or a placeholder if its answer is too large."""
        if not isinstance(outcome, RecordedAnswer):
            return outcome
        left = self._capacity_bytes * ANSWERS_SHARE - self._n_answer_bytes
        if outcome.n_bytes <= min(left / ANSWER_DIVISOR, RECORDED_BODY_BYTES_MAX):
            return outcome
        self._n_unrecorded_answers += 1
        return UnrecordedAnswer(outcome.status)

    def _fence_unseen(self, parsed_key: IdempotencyKey, refusal: Refusal) -> None:
        """Prevent a key without a record from ever running."""
        if self._has_room(1):
            self._record(parsed_key, None, refusal)
            return
        self._fenced_to_ms = max(self._fenced_to_ms, parsed_key.minted_ms)

    def _record(
        self, parsed_key: IdempotencyKey, fingerprint: bytes | None, outcome: Outcome
    ) -> None:
        """Add a settled record as the most recent one."""
        record = _Settled(
            settled_s=self._uptime_s(),
            minted_s=parsed_key.minted_ms / 1000,
            fingerprint=fingerprint,
            outcome=outcome,
        )
        self._settled[str(parsed_key)] = record
        self._n_answer_bytes += record.answer_bytes
        self._n_bytes += RECORD_BYTES + record.answer_bytes

    def _has_room(self, n_records: int) -> bool:
        """Return whether ``n_records`` more records fit."""
        return self._n_bytes + n_records * RECORD_BYTES <= self._capacity_bytes

    def _evict(self) -> None:
        """Remove records past the retention time, oldest change first."""
        since_s = self._uptime_s() - RECORD_RETENTION_S
        while self._settled:
            text, record = next(iter(self._settled.items()))
            if record.settled_s >= since_s or record.minted_s >= since_s:
                return
            self._remove(text)

    def _remove(self, text: str) -> None:
        """Remove one settled record."""
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
    """Return the result for a copy of a settled action."""
    if isinstance(outcome, RecordedAnswer):
        return Replay(outcome)
    if isinstance(outcome, UnrecordedAnswer):
        return Refuse(outcome.as_refusal())
    if outcome.verdict is Verdict.NOT_RUN and outcome.reason is not Reason.CANCELLED:
        return Refuse(refusals.spent())
    return Refuse(outcome)
