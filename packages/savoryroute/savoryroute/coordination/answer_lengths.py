"""Recent lengths of the answers on each route.

Load pattern: callers that ask for long answers and read them slowly. What they have not
read fills the memory for answers; requests whose answers are long as well are then
refused before they run, and all others go on.

Source: peak detector with exponential decay, as for the latency estimate in Finagle's
peak EWMA.
"""

from __future__ import annotations

from ..state.body_budget import SMALL_BODY_BYTES

__all__ = ["AnswerLengths"]

# Routes that are remembered; configurations may replace all of them.
ROUTES_MAX = 4096
# Factor by which the remembered length shrinks with each shorter answer.
DECAY = 0.9


class AnswerLengths:
    """Length of the longest recent answer, by route."""

    def __init__(self) -> None:
        self._lengths: dict[str, float] = {}

    def note(self, route: str, n_bytes: int) -> None:
        """Count the length of an answer's body."""
        if len(self._lengths) >= ROUTES_MAX:
            self._lengths.clear()
        decayed = self._lengths.get(route, 0.0) * DECAY
        self._lengths[route] = max(float(n_bytes), decayed)

    def is_long(self, route: str) -> bool:
        """Return whether an answer on this route may need memory of its own."""
        return self._lengths.get(route, 0.0) > SMALL_BODY_BYTES
