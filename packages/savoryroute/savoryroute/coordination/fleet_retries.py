"""Retry budget by service: one daemon's share of the budget of the fleet.

Load pattern: a service fails or sheds many of its requests, and every caller retries.

Source: retry budgets as in Finagle. Each daemon takes a share by the number of daemons,
so that the sum over the fleet stays within the bound without any communication.
"""

from __future__ import annotations

__all__ = ["FleetRetryBudget"]

# Share of the allowed ratio that one level of a call chain uses. A retry at one hop
# repeats the calls downstream of it, and call chains have up to four levels.
RATIO_SHARE = 0.25
# Share of the allowed slack that can be saved up, for the same reason.
SLACK_SHARE = 0.3
# A retry takes a whole token, so a smaller bucket would never allow one.
SAVED_MIN = 1.0


class FleetRetryBudget:
    """Token bucket of retries for each service.

    Args:
        ratio: Retries that the fleet may make for each request.
        slack: Further retries that the fleet may make in one window.
    """

    def __init__(self, ratio: float, slack: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._n_daemons = 1
        self._tokens: dict[str, float] = {}

    @property
    def saved_max(self) -> float:
        """Maximum number of retries that this daemon saves up for one service."""
        return max(SAVED_MIN, self._slack * SLACK_SHARE / self._n_daemons)

    @property
    def tokens(self) -> dict[str, float]:
        """Retries left by service."""
        return self._tokens

    def set_daemons(self, n_daemons: int) -> None:
        """Set the number of daemons that share the slack."""
        self._n_daemons = max(1, n_daemons)

    def note_request(self, service: str) -> None:
        """Credit the budget of a service for one request."""
        tokens = self._tokens.get(service, self.saved_max)
        earned = tokens + self._ratio * RATIO_SHARE
        self._tokens[service] = min(self.saved_max, earned)

    def try_retry(self, service: str) -> bool:
        """Take one retry from the budget; return whether there was one."""
        tokens = self._tokens.get(service, self.saved_max)
        if tokens < 1.0:
            return False
        self._tokens[service] = tokens - 1.0
        return True
