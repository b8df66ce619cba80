"""Refusals issued by the ledger."""

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
    """Return a refusal; ``retry_after_s`` is None if no retry time is known."""
    return Refusal(verdict, reason, detail, retry_after_s)


def spent() -> Refusal:
    """Return the refusal of a fenced key."""
    detail = "the key was refused earlier and will never run; use the new key"
    return _refusal(Verdict.NOT_RUN, Reason.KEY_SPENT, detail)


def cancelled() -> Refusal:
    """Return the refusal of an action that was cancelled before it ran."""
    detail = "the action was cancelled before it ran"
    return _refusal(Verdict.NOT_RUN, Reason.CANCELLED, detail)


def reused(verdict: Verdict) -> Refusal:
    """Return the refusal of a different request under a known key."""
    detail = "the key was already used for a different request"
    return _refusal(verdict, Reason.KEY_REUSED, detail)


def not_owner() -> Refusal:
    """Return the refusal of a key that this host does not own now."""
    detail = "this daemon does not own the key, or has restarted since it was minted"
    return _refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, detail)


def expired(window_s: float, verdict: Verdict) -> Refusal:
    """Return the refusal of a key whose run window has passed."""
    detail = f"the key was minted more than {window_s:.0f} s ago"
    return _refusal(verdict, Reason.KEY_EXPIRED, detail)


def too_early(ahead_s: float) -> Refusal:
    """Return the refusal of a key from the future.

    The key becomes valid after ``ahead_s`` seconds, so the verdict is not ``NOT_RUN``,
    which would promise that its action never runs.
    """
    detail = "the key's mint time is ahead of its owner's clock"
    return _refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_INVALID, detail, ahead_s)


def full(retry_after_s: float) -> Refusal:
    """Return the refusal of a new key when the ledger is full."""
    detail = "the ledger is full and accepts no new keys"
    return _refusal(Verdict.NOT_RUN, Reason.OVERLOAD, detail, retry_after_s)


def in_progress(retry_after_s: float | None) -> Refusal:
    """Return the refusal of a cancellation while its target is in flight."""
    detail = "the action to cancel is still in flight"
    return _refusal(Verdict.NOT_RUN, Reason.IN_PROGRESS, detail, retry_after_s)


def in_progress_until(end_s: float, now_s: float) -> Refusal | None:
    """Return the refusal of a cancellation until ``end_s``, or None from then on.

    Until then the upstream of the target may still be running it.
    """
    return in_progress(end_s - now_s) if now_s < end_s else None


def bad_target(detail: str) -> Refusal:
    """Return the refusal of a cancellation whose target can't be cancelled here."""
    return _refusal(Verdict.NOT_RUN, Reason.KEY_INVALID, detail)
