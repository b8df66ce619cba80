"""Division of an upstream's slots among the ranks of calls in a lasting shortage.

Load pattern: most instances of a deep service leave and the others have too few slots
for the load, for many seconds. By priority alone the lowest rank bears the whole
shortage, and gets next to nothing for as long as it lasts.

A short overload is divided by priority alone. A rank that was served less than its
least share over about the last seconds gets slots from the better ones, of which those
with the largest shares give first (max-min fairness). So no rank is served more often
than a better one, and none bears a shortage alone for longer than some seconds.

Source: link sharing with a minimum bandwidth for each class over a time interval, and
priority for the rest (Floyd and Jacobson, Link-sharing and Resource Management Models
for Packet Networks, 1995).
"""

from __future__ import annotations

import math
from collections.abc import Sequence

import attrs

from .switches import switchable

__all__ = ["RankDemand", "ServedShare", "grants_by_least_share"]

# Least share of the offered calls of a rank that is served over the memory. Of the
# requests, of which each refused one may come back once, that is a share of 0.44.
LEAST_SHARE = 0.25
# Part of an equal share of the slots that a rank gets at most by its least share. The
# rest goes by priority, and keeps the order of the ranks when estimates are off.
EQUAL_SHARE_PART = 0.9
# Time constant in seconds with which served and offered calls decay. Most bursts and
# restarts are shorter, and go by priority alone.
MEMORY_S = 10.0


@attrs.define(slots=True)
class ServedShare:
    """Share of the offered calls of one rank that were started in about ``MEMORY_S``.

    Attributes:
        noted_s: Monotonic time of the last count.
    """

    noted_s: float
    _n_offered: float = 0.0
    _n_started: float = 0.0

    @property
    def value(self) -> float:
        """Share of the offered calls that were started, 0 before the first call."""
        if not self._n_offered:
            return 0.0
        return min(1.0, self._n_started / self._n_offered)

    def note_offer(self, n_offered: float, now_s: float) -> None:
        """Count a call that stands for a number of offered ones."""
        self._decay(now_s)
        self._n_offered += n_offered

    def note_start(self, now_s: float) -> None:
        """Count a call that got a slot."""
        self._decay(now_s)
        self._n_started += 1.0

    def _decay(self, now_s: float) -> None:
        kept = math.exp((self.noted_s - now_s) / MEMORY_S)
        self._n_offered *= kept
        self._n_started *= kept
        self.noted_s = now_s


@attrs.frozen(slots=True)
class RankDemand:
    """What the calls of one rank ask of the slots of an upstream.

    Attributes:
        offered: Slots that the offered work of the rank would fill.
        budget: Slots that the work of this rank and the better ones may fill.
        served_share: Share of its offered calls that were started recently, 0 to 1.
    """

    offered: float
    budget: float
    served_share: float


@switchable("least_shares", "the lowest ranks bear a shortage however long it lasts")
def grants_by_least_share(demands: Sequence[RankDemand]) -> list[float | None]:
    """Return the slots of the ranks whose least shares change the order of priority.

    Args:
        demands: Demands of the ranks, the best rank first.

    Returns:
        For each rank its slots, or None where it gets what the better ranks leave.
    """
    granted: list[float] = []
    asked = 0.0
    for demand in demands:
        granted.append(min(demand.offered, max(0.0, demand.budget - asked)))
        asked += demand.offered
    grants: list[float | None] = [None] * len(demands)
    for index in range(len(demands) - 1, 0, -1):
        demand = demands[index]
        # Better ranks also give slots while the queue is too long up to this rank.
        total = max(0.0, min(sum(granted[: index + 1]), demand.budget))
        equal_share = EQUAL_SHARE_PART * total / asked if asked else 0.0
        goal = min(LEAST_SHARE, equal_share)
        least_share = min(equal_share, 2.0 * goal - demand.served_share)
        least = least_share * demand.offered
        if least > granted[index]:
            cut = _cut(granted[:index], demands, total - least)
            granted[: index + 1] = grants[: index + 1] = [*cut, least]
        asked -= demand.offered
    return grants


def _cut(
    granted: Sequence[float], demands: Sequence[RankDemand], total: float
) -> list[float]:
    """Return granted slots cut to a total, the largest shares of the offers first."""
    shares = [
        slots / demand.offered if demand.offered else 0.0
        for slots, demand in zip(granted, demands, strict=False)
    ]
    order = sorted(range(len(granted)), key=shares.__getitem__, reverse=True)
    kept = sum(granted)
    offered = 0.0
    level = 1.0
    for position, index in enumerate(order, 1):
        kept -= granted[index]
        offered += demands[index].offered
        if offered:
            level = (total - kept) / offered
        if position < len(order) and level >= shares[order[position]]:
            break
    return [
        min(slots, level * demand.offered)
        for slots, demand in zip(granted, demands, strict=False)
    ]
