"""Budget of repeated arrivals at each service, as one daemon's share of the fleet's.

Load pattern: a service fails or sheds much of what it gets, and each caller would
send its request once more.

Source: retry budgets as in Finagle; shares by the number of daemons, so that the sum
over the fleet keeps the bound without any exchange.
"""

from __future__ import annotations

__all__ = ["FleetRetryBudget"]

# Part of the allowed ratio that one level of a call chain uses. A repeat at one hop
# repeats the calls below it, and chains here are up to four levels deep.
RATIO_SHARE = 0.25
# Part of the allowed slack that is saved up, for the same reason.
SLACK_SHARE = 0.3
SAVED_MIN = 1.0


class FleetRetryBudget:
    """Token buckets by service.

    Args:
        ratio: Repeats that the fleet may make for each request.
        slack: Repeats that the fleet may make beyond those in one window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._n_daemons = 1
        self._tokens: dict[str, float] = {}

    @property
    def saved_max(self) -> float:
        """Most repeats that this daemon saves up for one service."""
        return max(SAVED_MIN, self._slack * SLACK_SHARE / self._n_daemons)

    @property
    def tokens(self) -> dict[str, float]:
        """Repeats left by service."""
        return self._tokens

    def set_daemons(self, n_daemons: int) -> None:
        """Take note of how many daemons share the slack."""
        self._n_daemons = max(1, n_daemons)

    def note_request(self, service: str) -> None:
        """Earn the share of a repeat that one request is worth."""
        tokens = self._tokens.get(service, self.saved_max)
        earned = tokens + self._ratio * RATIO_SHARE
        self._tokens[service] = min(self.saved_max, earned)

    def try_retry(self, service: str) -> bool:
        """Take one repeat; return whether there was one."""
        tokens = self._tokens.get(service, self.saved_max)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True
