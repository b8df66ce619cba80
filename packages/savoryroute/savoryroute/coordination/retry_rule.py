"""Whether a failed attempt may be followed by another, and what the caller is told.

Load pattern: part of the instances shed, fail or vanish while others are sound.
"""

from __future__ import annotations

import enum

from ..protocol.mesh_frames import MeshAnswer
from ..verdict import Reason, Verdict

__all__ = ["NextStep", "next_step", "status_of"]

# Turned away by daemons this often, a request is refused: all are full then.
PLACEMENTS_MAX = 3


class NextStep(enum.Enum):
    """What follows an attempt."""

    DELIVER = "deliver"
    PLACE_ELSEWHERE = "place_elsewhere"
    RETRY = "repeat"
    GIVE_UP = "give_up"


def next_step(
    answer: MeshAnswer,
    is_idempotent: bool,
    n_placements: int,
    n_arrivals: int,
    attempts_max: int,
) -> NextStep:
    """Return what follows an attempt.

    Args:
        answer: How the attempt ended.
        is_idempotent: Whether the request may run more than once.
        n_placements: Attempts made so far, this one included.
        n_arrivals: Attempts so far that reached an upstream.
        attempts_max: Upstreams that the request may reach.

    Returns:
        ``PLACE_ELSEWHERE`` where no upstream got the request, which costs no retry;
        ``RETRY`` where one did and the budget of retries has to pay.
    """
    if answer.verdict is Verdict.RAN:
        # A failure for load further down would only be repeated there.
        is_worth_another = (
            answer.status >= 500
            and is_idempotent
            and not answer.is_load
            and n_arrivals < attempts_max
        )
        return NextStep.RETRY if is_worth_another else NextStep.DELIVER
    if answer.reason in (Reason.DEADLINE, Reason.QUARANTINED):
        return NextStep.GIVE_UP
    if not answer.was_sent:
        if n_placements < PLACEMENTS_MAX:
            return NextStep.PLACE_ELSEWHERE
        return NextStep.GIVE_UP
    may_run_again = answer.verdict is Verdict.NOT_RUN or is_idempotent
    if may_run_again and n_arrivals < attempts_max:
        return NextStep.RETRY
    return NextStep.GIVE_UP


def status_of(verdict: Verdict, reason: Reason | None) -> int:
    """Return the HTTP status of a refusal; 503 promises that nothing ran."""
    if verdict is Verdict.NOT_RUN:
        return 503
    return 504 if reason is Reason.DEADLINE else 502
