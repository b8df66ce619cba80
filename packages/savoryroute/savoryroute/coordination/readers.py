"""Which hosts read the platform on behalf of their failure domain."""

from __future__ import annotations

from ..state.members import MemberTable
from .rendezvous import choose

__all__ = ["ReaderRole"]

N_READERS = 2


class ReaderRole:
    """Tells whether this host reads, by its own view of its failure domain.

    Two hosts with different views may choose differently. That costs a read and
    nothing else, since the order of documents is that of the platform's revisions.
    """

    def __init__(self, table: MemberTable, host: str, failure_domain: str) -> None:
        self._table = table
        self._host = host
        self._failure_domain = failure_domain

    @property
    def n_candidates(self) -> int:
        """Hosts of the failure domain that may read, this one included."""
        return len(self._candidates())

    def is_reader(self, key: str) -> bool:
        """Return whether this host is one that reads a key."""
        return self._host in choose(key, self._candidates(), N_READERS)

    def _candidates(self) -> set[str]:
        """Return the hosts believed alive in the failure domain."""
        members = self._table.in_domain(self._failure_domain)
        return {member.host for member in members} | {self._host}
