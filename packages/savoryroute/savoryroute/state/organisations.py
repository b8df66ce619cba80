"""Organisations of callers, found by the digests of their keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Set

import attrs

__all__ = ["Organisation", "Organisations", "key_digest"]

DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest under which a key is kept; keys themselves are not kept."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


@attrs.frozen
class Organisation:
    """One organisation whose callers share a quota.

    Attributes:
        name: Name that upstreams get.
        rank: Priority of its requests, 0 the highest.
        rate_per_s: Requests per second over all hosts together, None without a quota.
        burst: Requests that it may send at once after it was silent.
    """

    name: str
    rank: int
    rate_per_s: float | None = None
    burst: float = 0.0


class Organisations:
    """All organisations of one version of the configuration.

    Args:
        keys: Digest of a key and the organisation that holds it. A key of two
            organisations is valid for neither.
        is_complete: Whether all published organisations and their keys could be read.
            If not, an unknown key may belong to one that is missing.
    """

    def __init__(
        self, keys: Iterable[tuple[bytes, Organisation]], is_complete: bool = True
    ) -> None:
        self._is_complete = is_complete
        self._by_digest: dict[bytes, Organisation | None] = {}
        self._by_name: dict[str, Organisation] = {}
        for digest, organisation in keys:
            self._by_name[organisation.name] = organisation
            known = self._by_digest.setdefault(digest, organisation)
            if known is not organisation:
                self._by_digest[digest] = None
        ranks = {organisation.rank for organisation in self._by_name.values()}
        self._rank_positions = {rank: i for i, rank in enumerate(sorted(ranks))}

    def __len__(self) -> int:
        return len(self._by_name)

    @property
    def is_complete(self) -> bool:
        """Whether all published organisations and their keys could be read."""
        return self._is_complete

    @property
    def names(self) -> Set[str]:
        """Names of the organisations that hold a key."""
        return self._by_name.keys()

    @property
    def n_ranks(self) -> int:
        """Number of different priorities of organisations."""
        return len(self._rank_positions)

    def rank_position(self, organisation: Organisation) -> int:
        """Return the position of an organisation's priority among all, from 0."""
        return self._rank_positions[organisation.rank]

    def of_key(self, key: bytes) -> Organisation | None:
        """Return the organisation that holds a key, None if there is none."""
        return self._by_digest.get(key_digest(key))

    def by_name(self, name: str) -> Organisation | None:
        """Return an organisation by its name, None if there is none."""
        return self._by_name.get(name)
