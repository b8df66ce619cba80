"""Retry-after times of requests that the mesh refuses.

Load pattern: in a burst, all callers are refused at about the same time and would
retry at the same time. The retries are jittered from the time at which the queue
that refused them has drained.

Source: jittered back-off as in Brooker, Exponential Backoff and Jitter (AWS, 2015).
"""

from __future__ import annotations

import random

from .switches import switchable

__all__ = ["SHORTEST_S", "mesh_retry_after_s"]

SHORTEST_S = 0.1
# Width of the jitter in seconds, unless the deadline cuts it short.
SPREAD_S = 0.5
# Callers honour a retry-after time of up to a third of the time left to the deadline.
SHARE_OF_TIME_LEFT = 0.3


@switchable("retry_after", "refused callers are told to come back soon, all alike")
def mesh_retry_after_s(wait_s: float, time_left_s: float, rng: random.Random) -> float:
    """Return the seconds after which a refused caller may retry.

    Args:
        wait_s: Expected wait at the upstream that refused, in seconds.
        time_left_s: Seconds until the deadline of the request.
        rng: Source of the jitter.
    """
    earliest_s = max(SHORTEST_S, wait_s)
    retry_after_s = rng.uniform(earliest_s, earliest_s + SPREAD_S)
    return max(SHORTEST_S, min(retry_after_s, time_left_s * SHARE_OF_TIME_LEFT))
