"""Refusals that the ledger gives in its own name."""

from __future__ import annotations

from ..verdict import Reason, Refusal, Verdict

__all__ = [
    "bad_target",
    "cancelled",
    "expired",
    "full",
    "in_progress",
    "in_progress_until",
    "not_owner",
    "reused",
    "spent",
    "too_early",
]


def _refusal(
    verdict: Verdict, reason: Reason, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal in the ledger's own name."""
    return Refusal(verdict, reason, detail, retry_after_s)


def spent() -> Refusal:
    """Return the refusal of a key that was fenced."""
    detail = "the key was refused before and never runs; use the new key"
    return _refusal(Verdict.NOT_RUN, Reason.KEY_SPENT, detail)


def cancelled() -> Refusal:
    """Return the refusal of an action cancelled before it ran."""
    detail = "the action was cancelled before it ran"
    return _refusal(Verdict.NOT_RUN, Reason.CANCELLED, detail)


def reused(verdict: Verdict) -> Refusal:
    """Return the refusal of a second request under one key."""
    detail = "the key belongs to another request"
    return _refusal(verdict, Reason.KEY_REUSED, detail)


def not_owner() -> Refusal:
    """Return the refusal of a key whose home is not here."""
    detail = "the incarnation that could run the key is gone"
    return _refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, detail)


def expired(window_s: float, verdict: Verdict) -> Refusal:
    """Return the refusal of a key past its run window."""
    detail = f"the key was minted more than {window_s:.0f} s ago"
    return _refusal(verdict, Reason.KEY_EXPIRED, detail)


def too_early(ahead_s: float) -> Refusal:
    """Return the refusal of a key that may yet come to be valid: no verdict."""
    detail = "the key was minted ahead of its home's clock"
    return _refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_INVALID, detail, ahead_s)


def full(retry_after_s: float) -> Refusal:
    """Return the refusal of a new key by a full ledger."""
    detail = "the ledger is full"
    return _refusal(Verdict.NOT_RUN, Reason.OVERLOAD, detail, retry_after_s)


def in_progress(retry_after_s: float | None) -> Refusal:
    """Return the refusal of a cancellation while its target is in flight."""
    detail = "the action to cancel is still in flight"
    return _refusal(Verdict.NOT_RUN, Reason.IN_PROGRESS, detail, retry_after_s)


def in_progress_until(end_s: float, now_s: float) -> Refusal | None:
    """Return the refusal of a cancellation until its target's upstream gave up."""
    return in_progress(end_s - now_s) if now_s < end_s else None


def bad_target(detail: str) -> Refusal:
    """Return the refusal of a cancellation that names no action of this home."""
    return _refusal(Verdict.NOT_RUN, Reason.KEY_INVALID, detail)
