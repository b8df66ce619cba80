"""Choice of the few peers that a daemon heartbeats."""

from __future__ import annotations

from collections.abc import Iterable

from ..state.member import Member
from .rendezvous import pair_weight

__all__ = ["Overlay"]

N_OWN_DOMAIN = 3
N_OTHER_DOMAINS = 2


class Overlay:
    """Peers chosen by rendezvous hashing, most in the own failure domain.

    Args:
        host: Name of this host.
        failure_domain: Failure domain of this host.
        n_own_domain: Peers chosen in the own failure domain.
        n_other_domains: Peers chosen in all others.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        n_own_domain: int = N_OWN_DOMAIN,
        n_other_domains: int = N_OTHER_DOMAINS,
    ) -> None:
        self._n_own_domain = n_own_domain
        self._n_other_domains = n_other_domains
        self._host = host
        self._failure_domain = failure_domain
        self._weights: dict[str, int] = {}
        self._chosen: frozenset[str] = frozenset()

    @property
    def chosen(self) -> frozenset[str]:
        """Hosts chosen last."""
        return self._chosen

    def choose(self, members: Iterable[Member]) -> frozenset[str]:
        """Choose among members and return the hosts."""
        own: list[str] = []
        others: list[str] = []
        for member in members:
            if member.host == self._host:
                continue
            is_own = member.failure_domain == self._failure_domain
            (own if is_own else others).append(member.host)
        chosen = self._highest(own, self._n_own_domain)
        chosen += self._highest(others, self._n_other_domains)
        self._chosen = frozenset(chosen)
        return self._chosen

    def _highest(self, hosts: list[str], n: int) -> list[str]:
        """Return the hosts of the highest weight."""
        return sorted(hosts, key=self._weight, reverse=True)[:n]

    def _weight(self, host: str) -> int:
        """Return the weight of the pair with a host, computed once."""
        found = self._weights.get(host)
        if found is None:
            found = self._weights[host] = pair_weight(self._host, host)
        return found
