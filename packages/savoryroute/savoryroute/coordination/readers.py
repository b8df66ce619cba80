"""Choice of the hosts that read the platform on behalf of their failure domain."""

from __future__ import annotations

from ..state.members import MemberTable
from .rendezvous import choose

__all__ = ["ReaderRole"]

N_READERS = 2


class ReaderRole:
    """Decides whether this host reads, from its own view of its failure domain.

    Hosts with different views may choose different readers. That only costs extra
    reads, since documents are ordered by the platform's revisions.

    Args:
        table: Members of the fleet.
        host: Name of this host.
        failure_domain: Failure domain of this host.
    """

    def __init__(self, table: MemberTable, host: str, failure_domain: str) -> None:
        self._table = table
        self._host = host
        self._failure_domain = failure_domain

    @property
    def n_candidates(self) -> int:
        """Number of hosts in the failure domain that may read, including this one."""
        return len(self._candidates())

    def is_reader(self, key: str) -> bool:
        """Return whether this host is one of the readers of a key."""
        return self._host in choose(key, self._candidates(), N_READERS)

    def _candidates(self) -> set[str]:
        """Return the alive or suspect hosts of the failure domain."""
        members = self._table.in_domain(self._failure_domain)
        return {member.host for member in members} | {self._host}
