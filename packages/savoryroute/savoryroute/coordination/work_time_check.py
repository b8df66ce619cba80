"""How far observed latencies follow the work time that an upstream reports.

Load pattern: upstreams state by which factor other work on their machine slows them,
and some of these figures are false: constant, frozen, or without any relation to what
a call takes. Only changes of the figure can be checked. If latencies change with it in
proportion, the figure is confirmed; if they do not change, it is not.

Source: slope of a linear regression of logarithms, with exponentially weighted means
and a limited weight of the evidence (Ljung, System Identification, 1999, chapter 11).
"""

from __future__ import annotations

import math

__all__ = ["FACTOR_MAX", "FACTOR_MIN", "WorkTimeCheck", "log_factor"]

# Bounds of a factor that is used.
FACTOR_MIN = 0.25
FACTOR_MAX = 8.0
# Evidence, in squared logarithms of the factor, that is equal in weight to the prior.
# A change by 2.5 gives 0.8 for the first answer after it.
PRIOR_WEIGHT = 2.0
# Evidence is limited, so that some twenty answers after a change of the figure replace
# what was observed before.
EVIDENCE_MAX = 20.0


def log_factor(work_time: float) -> float:
    """Return the logarithm of a reported factor, limited to the bounds in use."""
    return math.log(min(FACTOR_MAX, max(FACTOR_MIN, work_time)))


class WorkTimeCheck:
    """Confirmed share of one upstream's figure, from 0 to 1.

    Args:
        prior: Share before there is any evidence.
        weight: Weight of one answer in the means of figure and latency.
        ratio: Latency over the usual one while the figure was 1.
    """

    __slots__ = ("_evidence", "_mean_x", "_mean_y", "_prior", "_product", "_weight")

    def __init__(self, prior: float, weight: float, ratio: float = 1.0) -> None:
        self._prior = prior
        self._weight = weight
        self._mean_x = 0.0
        self._mean_y = math.log(ratio)
        self._evidence = 0.0
        self._product = 0.0

    @property
    def share(self) -> float:
        """Exponent with which the reported factor counts."""
        slope = (self._product + self._prior * PRIOR_WEIGHT) / (
            self._evidence + PRIOR_WEIGHT
        )
        return min(1.0, max(0.0, slope))

    def note(self, x: float, ratio: float) -> None:
        """Record an answer.

        Args:
            x: Logarithm of the factor that was reported for it.
            ratio: Its latency over the usual latency of its route.
        """
        y = math.log(max(ratio, 1e-6))
        dx, dy = x - self._mean_x, y - self._mean_y
        self._mean_x += dx * self._weight
        self._mean_y += dy * self._weight
        self._evidence += dx * dx
        self._product += dx * dy
        if self._evidence > EVIDENCE_MAX:
            self._product *= EVIDENCE_MAX / self._evidence
            self._evidence = EVIDENCE_MAX
