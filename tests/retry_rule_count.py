"""Repeats at one service, counted against what the retry budget allows.

Requests and repeats are given by their times. A window may begin at any time; what it
allows is the ratio of the requests in it, in the window before or in the one half a
window before, whichever has most, and a slack.
"""

from __future__ import annotations

import bisect

__all__ = ["WINDOW_S", "worst_window"]

WINDOW_S = 10.0
# The windows whose requests count begin so many seconds earlier.
SHIFTS_S = (0.0, WINDOW_S / 2, WINDOW_S)
# Seconds that are shorter than the time between any two requests.
TINY_S = 1e-9


def worst_window(
    requests_s: list[float], repeats_s: list[float], ratio: float, slack: float
) -> tuple[int, float]:
    """Return repeats and allowed repeats of the window that exceeds its bound most.

    Args:
        requests_s: Times of the requests in seconds.
        repeats_s: Times of the repeats in seconds.
        ratio: Repeats allowed for each request.
        slack: Further repeats allowed in each window.
    """
    requests_s, repeats_s = sorted(requests_s), sorted(repeats_s)

    def n_requests(from_s: float) -> int:
        to_s = from_s + WINDOW_S
        return bisect.bisect_left(requests_s, to_s) - bisect.bisect_left(
            requests_s, from_s
        )

    worst = 0, slack
    for from_s in _edges(requests_s, repeats_s):
        n_repeats = bisect.bisect_left(
            repeats_s, from_s + WINDOW_S
        ) - bisect.bisect_left(repeats_s, from_s)
        most = max(n_requests(from_s - shift_s) for shift_s in SHIFTS_S)
        allowed = ratio * most + slack
        if n_repeats - allowed > worst[0] - worst[1]:
            worst = n_repeats, allowed
    return worst


def _edges(requests_s: list[float], repeats_s: list[float]) -> set[float]:
    """Return the times at which a window begins to hold other requests or repeats."""
    ends_s = {time_s - WINDOW_S for time_s in repeats_s} | set(repeats_s)
    for shift_s in SHIFTS_S:
        for time_s in requests_s:
            ends_s |= {time_s + shift_s, time_s + shift_s - WINDOW_S}
    return ends_s | {time_s + TINY_S for time_s in ends_s}
