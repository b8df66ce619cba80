"""Repeats at one service, counted against what the retry budget allows.

Requests and repeats are given by their times. A window may begin at any time; what it
allows is the ratio of the requests in it, in the window before or in the one half a
window before, whichever has most, and a slack.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator

__all__ = ["WINDOW_S", "fullest_window", "worst_window"]

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
    windows = _windows(requests_s, repeats_s, ratio, slack)
    return max(windows, key=lambda window: window[0] - window[1], default=(0, slack))


def fullest_window(
    requests_s: list[float], repeats_s: list[float], ratio: float, slack: float
) -> float:
    """Return the largest share of its allowed repeats that a window holds.

    Args: See ``worst_window``.
    """
    windows = _windows(requests_s, repeats_s, ratio, slack)
    return max((repeats / allowed for repeats, allowed in windows), default=0.0)


def _windows(
    requests_s: list[float], repeats_s: list[float], ratio: float, slack: float
) -> Iterator[tuple[int, float]]:
    """Yield repeats and allowed repeats of all windows that differ."""
    requests_s, repeats_s = sorted(requests_s), sorted(repeats_s)

    def n_between(times_s: list[float], from_s: float) -> int:
        to_s = from_s + WINDOW_S
        return bisect.bisect_left(times_s, to_s) - bisect.bisect_left(times_s, from_s)

    for from_s in _edges(requests_s, repeats_s):
        most = max(n_between(requests_s, from_s - shift_s) for shift_s in SHIFTS_S)
        yield n_between(repeats_s, from_s), ratio * most + slack


def _edges(requests_s: list[float], repeats_s: list[float]) -> set[float]:
    """Return the times at which a window begins to hold other requests or repeats."""
    ends_s = {time_s - WINDOW_S for time_s in repeats_s} | set(repeats_s)
    for shift_s in SHIFTS_S:
        for time_s in requests_s:
            ends_s |= {time_s + shift_s, time_s + shift_s - WINDOW_S}
    return ends_s | {time_s + TINY_S for time_s in ends_s}
