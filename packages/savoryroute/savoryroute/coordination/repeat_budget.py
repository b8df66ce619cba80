"""Budget for repeats at one upstream: its part of the budget of its service.

Load pattern: a service sheds many of its requests, every caller retries, and each
repeated run makes further calls. Repeats are arrivals beyond the first of a request,
and all calls made by a run that was itself a repeat.

In any window of ``WINDOW_S`` a service may get ``ratio`` repeats for each request of
callers, counted in that window or in the one before it, whichever has more, and a
slack. Each upstream keeps within ``ratio`` times a fixed mix of the requests that
reached it in these two windows, and within a part of the slack. The mean of two numbers
is at most the larger one, so the sum over all upstreams keeps the bound without any
communication, however requests and repeats are spread.

Sources: retry budgets as in Finagle; sliding window counters.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from itertools import accumulate

__all__ = ["RepeatBudget", "slack_part"]

# Window in seconds over which repeats are bounded.
WINDOW_S = 10.0
# Requests and repeats are counted in intervals of this length in seconds. An interval
# that a window covers in part counts for its repeats and not for its requests.
INTERVAL_S = 0.125
N_INTERVALS = int(WINDOW_S / INTERVAL_S)
# Weight of the requests in the window itself; the rest is for those in the one before.
# Repeats after a steady load can come at once to the extent of the rest.
CURRENT_WEIGHT = 0.5
# Seconds of allowed repeats that may be saved up. The others become available evenly,
# so that those of the first moments of a fault do not use up all.
SAVED_S = 2.0
# Fraction of the slack that is used. The rest covers daemons that have not learned of
# a new upstream for longer than a window.
SLACK_FRACTION = 0.9


def slack_part(slack: float, index: int, n_upstreams: int) -> int:
    """Return the whole repeats of the slack that one upstream may use.

    Args:
        slack: Repeats of the slack of the service in a window.
        index: Position of the upstream among all of its service, from 0.
        n_upstreams: Number of upstreams of the service.
    """
    n_repeats = int(slack * SLACK_FRACTION)
    n_before = index * n_repeats // n_upstreams
    return (index + 1) * n_repeats // n_upstreams - n_before


class RepeatBudget:
    """Repeats that one upstream may get.

    Args:
        ratio: Repeats allowed for each request of a caller.
        clock: Monotonic clock in seconds.
    """

    def __init__(self, ratio: float, clock: Callable[[], float]) -> None:
        self._ratio = ratio
        self._clock = clock
        self._interval = self._current_interval()
        self._requests = deque([0] * (2 * N_INTERVALS + 1), 2 * N_INTERVALS + 1)
        self._repeats = deque([0] * (N_INTERVALS + 1), N_INTERVALS + 1)
        self._slack = 0
        self._slack_since_s = clock()
        # Former parts of the slack, and the time until which they stay a limit. After
        # its start a daemon does not know which repeats it admitted before.
        self._former_slacks = deque([(clock() + WINDOW_S, 0)])
        # Left by the windows, and by the pace at which repeats become available.
        self._left = 0.0
        self._paced = 0.0
        self._per_window = 0.0

    @property
    def left(self) -> float:
        """Repeats that may still be admitted now."""
        self._advance()
        return min(self._left, self._paced)

    @property
    def saved_max(self) -> float:
        """Repeats that may be saved up at the rate of the last window."""
        self._advance()
        return self._per_window * SAVED_S / WINDOW_S

    def set_slack(self, n_repeats: int) -> None:
        """Set the part of the slack; a larger one is used a window later.

        The other upstreams may have used the difference until now, unless the smaller
        part was in force for less than a window.
        """
        if n_repeats == self._slack:
            return
        now_s = self._clock()
        if now_s - self._slack_since_s >= WINDOW_S:
            self._former_slacks.append((now_s + WINDOW_S, self._slack))
        self._slack = n_repeats
        self._slack_since_s = now_s
        self._advance()
        self._recalculate()

    def note_request(self, at_s: float) -> None:
        """Count a request of a caller.

        Args:
            at_s: Monotonic time in seconds at which it was sent to the upstream. What
                it adds is available from the next interval on.
        """
        self._advance()
        n_ago = self._interval - int(at_s / INTERVAL_S)
        if 0 <= n_ago < len(self._requests):
            self._requests[-1 - n_ago] += 1

    def try_take(self, n_kept: int = 0) -> bool:
        """Take one repeat; return whether there was one.

        Args:
            n_kept: Repeats that have to be left for others.
        """
        if not self.allows(n_kept):
            return False
        self._repeats[-1] += 1
        self._left -= 1.0
        self._paced -= 1.0
        return True

    def allows(self, n_kept: int = 0) -> bool:
        """Return whether ``try_take`` would take a repeat."""
        return self.left >= 1 + n_kept

    def _current_interval(self) -> int:
        return math.floor(self._clock() / INTERVAL_S)

    def _advance(self) -> None:
        """Begin the intervals that have passed since the last call."""
        n_passed = self._current_interval() - self._interval
        if not n_passed:
            return
        self._interval += n_passed
        n_begun = min(n_passed, len(self._requests))
        self._requests.extend([0] * n_begun)
        self._repeats.extend([0] * n_begun)
        self._recalculate()
        earned = self._per_window * n_passed * INTERVAL_S / WINDOW_S
        # One more, as only whole repeats are taken.
        paced_max = 1.0 + self._per_window * SAVED_S / WINDOW_S
        self._paced = min(paced_max, self._paced + earned)

    def _recalculate(self) -> None:
        """Calculate what is left in the windows that contain the present.

        A window may have begun in any of the intervals of the last ``WINDOW_S``.
        """
        now_s = self._clock()
        while self._former_slacks and self._former_slacks[0][0] <= now_s:
            self._former_slacks.popleft()
        slack = min([self._slack, *(part for _, part in self._former_slacks)])
        until = [0, *accumulate(self._requests)]
        last = len(self._requests) - 1
        n_repeats = 0
        self._left = math.inf
        for n_ago, n_here in enumerate(reversed(self._repeats)):
            began = last - n_ago
            n_repeats += n_here
            n_during = until[last + 1] - until[min(began + 1, last + 1)]
            n_before = until[began] - until[began - N_INTERVALS + 1]
            n_earning = CURRENT_WEIGHT * n_during + (1.0 - CURRENT_WEIGHT) * n_before
            allowed = self._ratio * n_earning + slack
            self._left = min(self._left, allowed - n_repeats)
            if n_ago == 0:
                self._per_window = self._ratio * n_before + slack
