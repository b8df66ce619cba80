"""Retry-after times of refusals, scaled to the backlog and jittered."""

from __future__ import annotations

import random

__all__ = ["LONGEST_RETRY_AFTER_S", "SHORTEST_RETRY_AFTER_S", "spread_retry_after_s"]

SHORTEST_RETRY_AFTER_S = 0.1
LONGEST_RETRY_AFTER_S = 30.0
# Largest deviation from the mean time, as a fraction of it.
JITTER = 0.5


def spread_retry_after_s(
    n_backlog: float, rate_per_s: float | None, rng: random.Random
) -> float:
    """Return a jittered retry-after time that grows with the excess over capacity.

    The mean is the time that the upstream needs to serve all waiting and recently
    refused requests, so that it has capacity for those that return.

    Args:
        n_backlog: Number of waiting and recently refused requests.
        rate_per_s: Answers per second of the upstream, or None if unknown; the mean
            is then 1 s.
        rng: Source of the jitter.

    Returns:
        Seconds, from ``SHORTEST_RETRY_AFTER_S`` to ``LONGEST_RETRY_AFTER_S``.
    """
    middle_s = _time_to_serve_s(n_backlog, rate_per_s)
    highest_s = LONGEST_RETRY_AFTER_S / (1.0 + JITTER)
    lowest_s = SHORTEST_RETRY_AFTER_S / (1.0 - JITTER)
    middle_s = min(max(middle_s, lowest_s), highest_s)
    return middle_s * rng.uniform(1.0 - JITTER, 1.0 + JITTER)


def _time_to_serve_s(n_backlog: float, rate_per_s: float | None) -> float:
    if rate_per_s is None:
        return 1.0
    if rate_per_s <= 0.0:
        return LONGEST_RETRY_AFTER_S
    return n_backlog / rate_per_s
