"""Decides when a daemon polls its peers, and which.

Load pattern: a host that the platform turns away follows by its peers alone. It polls
two of them four times a second, others poll one a second. Source: gossip that pulls
(Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", 1987).
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

__all__ = ["LINKS_MIN", "PeerPolls"]

# Seconds between polls of peers, while the platform answers and while it does not.
POLL_INTERVAL_S = 1.0
POLL_INTERVAL_DISCONNECTED_S = 0.25
# Peers polled at a time while the platform does not answer.
N_POLLED_DISCONNECTED = 2
# Links below which further hosts are polled, so that no group of hosts is on its own.
LINKS_MIN = 4


class PeerPolls:
    """Schedule of one daemon's polls.

    Args:
        rng: Random source for jitter and for the choice of peers.
        is_disconnected: Returns whether the daemon has to rely on its peers.
    """

    def __init__(self, rng: random.Random, is_disconnected: Callable[[], bool]) -> None:
        self._rng = rng
        self._is_disconnected = is_disconnected
        self._polled_s = float("-inf")

    def is_due(self) -> bool:
        """Return whether to poll peers now; if so, restart the interval."""
        interval_s = (
            POLL_INTERVAL_DISCONNECTED_S if self._is_disconnected() else POLL_INTERVAL_S
        )
        now_s = time.monotonic()
        if now_s - self._polled_s < interval_s * self._rng.uniform(0.8, 1.2):
            return False
        self._polled_s = now_s
        return True

    def select(self, open_ips: list[str], other_ips: list[str]) -> list[str]:
        """Return the addresses of the peers to poll.

        Args:
            open_ips: Hosts with an open link.
            other_ips: Other known hosts, used while few links are open.
        """
        n_polled = N_POLLED_DISCONNECTED if self._is_disconnected() else 1
        polled = self._rng.sample(open_ips, min(len(open_ips), n_polled))
        if len(open_ips) < LINKS_MIN:
            # Otherwise idle daemons could poll only each other.
            polled += self._rng.sample(other_ips, min(len(other_ips), n_polled))
        return polled
