"""Decides whether a failed attempt is retried, and the status that a caller gets.

Load pattern: some instances shed, fail or disappear while the others are healthy.
"""

from __future__ import annotations

import enum

from ..protocol.mesh_frames import MeshAnswer
from ..verdict import Reason, Verdict
from .switches import switchable

__all__ = ["REJECTIONS_MAX", "NextStep", "n_placements_left", "next_step", "status_of"]

# After this many refusals by daemons a request is refused: all instances are then
# taken to be full.
PLACEMENTS_MAX = 3
# Most attempts of one request that reach upstreams and are rejected there, while these
# have free slots. One in 36 requests then fails at a service that sheds 55%.
REJECTIONS_MAX = 6


class NextStep(enum.Enum):
    """What to do after an attempt."""

    RETURN_ANSWER = "deliver"
    PLACE_ELSEWHERE = "place_elsewhere"
    RETRY = "repeat"
    GIVE_UP = "give_up"


@switchable(
    "rejected_again", "a request is rejected no more often than its route has attempts"
)
def next_step(
    answer: MeshAnswer,
    is_idempotent: bool,
    n_placements: int,
    n_arrivals: int,
    attempts_max: int,
    rejections_max: int = REJECTIONS_MAX,
) -> NextStep:
    """Return what to do after an attempt.

    Args:
        answer: Answer to the attempt.
        is_idempotent: Whether the request may run more than once.
        n_placements: Attempts made so far, including this one.
        n_arrivals: Attempts made so far that reached an upstream.
        attempts_max: Maximum number of attempts that may reach an upstream.
        rejections_max: The same if upstreams reject the request with free slots.

    Returns:
        ``PLACE_ELSEWHERE`` if no upstream got the request, which takes nothing from
        the retry budget; ``RETRY`` if one did, which takes a retry from the budget.
    """
    if answer.verdict is Verdict.RAN:
        # After a failure for load downstream, a retry would meet the same overload.
        is_retryable = (
            answer.status >= 500
            and is_idempotent
            and not answer.is_load
            and n_arrivals < attempts_max
        )
        return NextStep.RETRY if is_retryable else NextStep.RETURN_ANSWER
    if answer.reason in (Reason.DEADLINE, Reason.QUARANTINED, Reason.KEY_INVALID):
        return NextStep.GIVE_UP
    if not answer.was_sent:
        if n_placements < PLACEMENTS_MAX:
            return NextStep.PLACE_ELSEWHERE
        return NextStep.GIVE_UP
    if answer.verdict is Verdict.NOT_RUN:
        # An upstream with free slots sheds for reasons other than load, and may accept
        # the next attempt.
        has_free_slots = answer.n_reported < answer.limit
        n_max = max(attempts_max, rejections_max) if has_free_slots else attempts_max
        return NextStep.RETRY if n_arrivals < n_max else NextStep.GIVE_UP
    if is_idempotent and n_arrivals < attempts_max:
        return NextStep.RETRY
    return NextStep.GIVE_UP


def n_placements_left(n_placements: int, n_untried: int) -> int:
    """Return how often a call can still be placed elsewhere if it is not sent.

    Args:
        n_placements: Attempts made so far, including the current one.
        n_untried: Instances of its service that have not been tried.
    """
    return max(0, min(PLACEMENTS_MAX - n_placements, n_untried))


def status_of(verdict: Verdict, reason: Reason | None) -> int:
    """Return the HTTP status of a refusal; 429 and 503 guarantee that nothing ran."""
    if verdict is Verdict.NOT_RUN:
        return 429 if reason is Reason.QUOTA else 503
    return 504 if reason is Reason.DEADLINE else 502
