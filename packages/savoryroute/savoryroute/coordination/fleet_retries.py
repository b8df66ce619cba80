"""Retry budget by service: one daemon's share of the budget of the fleet.

Load pattern: a service sheds many of its requests, and every caller retries. Chains of
several calls to it are served only if most calls get through, so retries are scarce and
go first to the actions of the highest priority, and to those that have made progress.

The fleet may make ``ratio`` retries for each request in about one window, plus a slack.
Each daemon takes ``ratio`` of its own requests and an equal part of the slack, so that
the sum over the fleet stays within the bound without any communication, at any size.
A call made by a run that was itself a retry repeats an earlier call; it is taken from
the budget too, though it is never refused for it.

Sources: retry budgets as in Finagle; priorities as in DAGOR (Zhou and others, Overload
Control for Scaling WeChat Microservices, 2018).
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable

import attrs

__all__ = ["FleetRetryBudget"]

# Window in seconds over which the fleet's retries are bounded.
WINDOW_S = 10.0
# Requests are counted in intervals of this length in seconds.
INTERVAL_S = 0.5
N_INTERVALS = int(WINDOW_S / INTERVAL_S)
# Share of the allowed ratio that is used; the rest covers the shift of the windows over
# which requests and retries are counted.
RATIO_SHARE = 0.82
# Share of the slack that all daemons together may save up.
SLACK_SHARE = 0.3
# Seconds of earned retries that may be saved up in addition.
SAVED_S = 2.0
# Share of the highest balance that stays reserved for better ranks, by rank.
RESERVED_BY_RANK = (0.0, 0.4, 0.7)
# Share of the rest that stays reserved for runs with progress while a run has completed
# no call, and the part of it that remains with each completed call. Retries spread
# evenly would complete hardly any chain.
RESERVED_AT_START = 0.4
RESERVED_PER_CALL = 0.6


@attrs.define
class _ServiceBudget:
    """Requests of the last windows and retries left for one service.

    The rate at which retries are earned follows the window with most requests among
    those that ended within the last half window. When a service sheds, fewer calls of
    each action are made, and the retries needed most would otherwise fall with them.

    Attributes:
        refilled_s: Monotonic time up to which earned retries are in the balance.
        interval_began_s: Monotonic time at which the current interval began.
        balance: Retries left; negative after calls of repeated runs.
        balance_max: Balance above which no further retries are saved up.
        n_current: Requests in the current interval.
        n_window: Requests in the last full window.
        counts: Requests in each interval of that window.
        windows: Requests in each window that ended within the last half window.
    """

    refilled_s: float
    interval_began_s: float
    balance: float = 0.0
    balance_max: float = 0.0
    n_current: int = 0
    n_window: int = 0
    counts: deque[int] = attrs.field(factory=lambda: deque([0] * N_INTERVALS))
    windows: deque[int] = attrs.field(factory=lambda: deque([0] * (N_INTERVALS // 2)))

    def advance(self, now_s: float, ratio: float, slack: float) -> None:
        """Add the retries earned until now.

        Args:
            now_s: Monotonic time in seconds.
            ratio: Retries earned for each request.
            slack: Retries that may be saved up at any rate.
        """
        n_missed = int((now_s - self.interval_began_s) / INTERVAL_S)
        if n_missed:
            self.interval_began_s += n_missed * INTERVAL_S
            for _ in range(min(n_missed, 2 * N_INTERVALS)):
                self._close_interval()
        per_s = ratio * max(self.n_window, *self.windows) / WINDOW_S
        self.balance_max = slack + per_s * SAVED_S
        earned = per_s * (now_s - self.refilled_s)
        # A debt from repeated runs is at most what one window earns.
        self.balance = max(self.balance, -per_s * WINDOW_S)
        self.balance = min(self.balance_max, self.balance + earned)
        self.refilled_s = now_s

    def _close_interval(self) -> None:
        self.counts.append(self.n_current)
        self.n_window += self.n_current - self.counts.popleft()
        self.windows.append(self.n_window)
        self.windows.popleft()
        self.n_current = 0


class FleetRetryBudget:
    """Retries that this daemon may make, for each service.

    Args:
        ratio: Retries that the fleet may make for each request.
        slack: Further retries that the fleet may make in one window.
        clock: Monotonic clock in seconds.
        rng: Source of randomness for parts of a retry.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._ratio = ratio
        self._slack = slack
        self._clock = clock
        self._rng = rng
        self._n_daemons = 1
        self._services: dict[str, _ServiceBudget] = {}

    @property
    def balances(self) -> dict[str, float]:
        """Retries left by service."""
        return {name: service.balance for name, service in self._services.items()}

    def set_daemons(self, n_daemons: int) -> None:
        """Set the number of daemons that share the slack."""
        self._n_daemons = max(1, n_daemons)

    def note_request(self, service: str) -> None:
        """Count the first attempt of a request."""
        self._advance(service).n_current += 1

    def note_repeated_call(self, service: str) -> None:
        """Take the first attempt of a request that a repeated run made."""
        self._advance(service).balance -= 1.0

    def try_retry(self, service: str, rank: int, n_done: int) -> bool:
        """Take one retry from the budget; return whether there was one.

        A part of a retry allows one with that probability, so that in a large fleet,
        where each daemon has less than one, they still add up.

        Args:
            service: Service that is called.
            rank: Priority of the action, 0 the highest.
            n_done: Calls that the run which makes this call has completed before.
        """
        budget = self._advance(service)
        available = budget.balance - _reserved_share(rank, n_done) * budget.balance_max
        if available <= 0.0 or self._rng.random() >= available:
            return False
        budget.balance -= 1.0
        return True

    def _advance(self, service: str) -> _ServiceBudget:
        now_s = self._clock()
        slack = self._slack * SLACK_SHARE / self._n_daemons
        budget = self._services.get(service)
        if budget is None:
            budget = _ServiceBudget(now_s, now_s, balance=slack)
            self._services[service] = budget
        budget.advance(now_s, self._ratio * RATIO_SHARE, slack)
        return budget


def _reserved_share(rank: int, n_done: int) -> float:
    """Return the share of the highest balance that a retry must leave to others."""
    by_rank = RESERVED_BY_RANK[min(max(rank, 0), len(RESERVED_BY_RANK) - 1)]
    return by_rank + (1.0 - by_rank) * RESERVED_AT_START * RESERVED_PER_CALL**n_done
