"""Choice of the few peers that a daemon exchanges heartbeats with."""

from __future__ import annotations

from collections.abc import Iterable

from ..state.member import Member
from .rendezvous import pair_weight

__all__ = ["Overlay"]

N_LOCAL_DOMAIN = 3
N_OTHER_DOMAINS = 2


class Overlay:
    """Peers chosen by rendezvous hashing, most of them in the local failure domain.

    Args:
        host: Name of this host.
        failure_domain: Failure domain of this host.
        n_local_domain: Peers chosen in the local failure domain.
        n_other_domains: Peers chosen in all other domains together.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        n_local_domain: int = N_LOCAL_DOMAIN,
        n_other_domains: int = N_OTHER_DOMAINS,
    ) -> None:
        self._n_local_domain = n_local_domain
        self._n_other_domains = n_other_domains
        self._host = host
        self._failure_domain = failure_domain
        self._weights: dict[str, int] = {}
        self._chosen: frozenset[str] = frozenset()

    @property
    def chosen(self) -> frozenset[str]:
        """Hosts of the latest choice."""
        return self._chosen

    def choose(self, members: Iterable[Member]) -> frozenset[str]:
        """Choose peers among the members and return their hosts."""
        local: list[str] = []
        others: list[str] = []
        for member in members:
            if member.host == self._host:
                continue
            is_local = member.failure_domain == self._failure_domain
            (local if is_local else others).append(member.host)
        chosen = self._highest(local, self._n_local_domain)
        chosen += self._highest(others, self._n_other_domains)
        self._chosen = frozenset(chosen)
        return self._chosen

    def _highest(self, hosts: list[str], n: int) -> list[str]:
        """Return the ``n`` hosts of the highest weight."""
        return sorted(hosts, key=self._weight, reverse=True)[:n]

    def _weight(self, host: str) -> int:
        """Return the cached weight of the pair of this host and another."""
        found = self._weights.get(host)
        if found is None:
            found = self._weights[host] = pair_weight(self._host, host)
        return found
