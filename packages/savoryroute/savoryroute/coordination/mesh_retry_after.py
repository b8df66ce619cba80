"""When a refused caller may come back.

Load pattern: a burst in which all callers are refused at about the same time, and
would all come back together. The return is spread over the time in which the line
that refused them empties.

Source: jittered back-off as in Brooker, Exponential Backoff and Jitter (AWS, 2015).
"""

from __future__ import annotations

import random

__all__ = ["mesh_retry_after_s"]

SHORTEST_S = 0.1
# Width of the spread in seconds where the wait is short.
SPREAD_S = 0.5
# Callers heed a time of up to a third of what they have left.
SHARE_OF_TIME_LEFT = 0.3


def mesh_retry_after_s(wait_s: float, time_left_s: float, rng: random.Random) -> float:
    """Return seconds after which a refused caller may come back.

    Args:
        wait_s: Expected wait at the upstream that refused, in seconds.
        time_left_s: Seconds until the deadline of the request.
        rng: Source of the jitter.
    """
    earliest_s = max(SHORTEST_S, wait_s)
    back_s = rng.uniform(earliest_s, earliest_s + SPREAD_S)
    return max(SHORTEST_S, min(back_s, time_left_s * SHARE_OF_TIME_LEFT))
