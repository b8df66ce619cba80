"""Values that depend on the rank of a request."""

from __future__ import annotations

from collections.abc import Sequence

__all__ = ["value_for_rank"]


def value_for_rank(values: Sequence[float], rank: float) -> float:
    """Return the value for a rank, interpolated between whole ranks.

    Args:
        values: Values for the ranks 0, 1, and so on; the last one is for all below.
        rank: Rank of a request, 0 the highest.
    """
    position = min(max(rank, 0.0), len(values) - 1)
    index = int(position)
    if index == position:
        return values[index]
    return values[index] + (values[index + 1] - values[index]) * (position - index)
