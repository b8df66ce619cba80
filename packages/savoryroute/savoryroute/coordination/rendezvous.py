"""Selection of hosts by rendezvous hashing."""

from __future__ import annotations

import hashlib
import heapq
from collections.abc import Iterable

__all__ = ["choose", "pair_weight", "weight"]

WEIGHT_BYTES = 8


def weight(key: str, host: str) -> int:
    """Return the weight of a host for a key.

    Source: Thaler and Ravishankar, "A name-based mapping scheme for rendezvous",
    1996. When a host joins or leaves, only keys that choose this host are affected.
    """
    data = f"{key}\0{host}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=WEIGHT_BYTES).digest())


def pair_weight(one: str, other: str) -> int:
    """Return a weight for two hosts that does not depend on their order."""
    first, second = sorted((one, other))
    return weight(first, second)


def choose(key: str, hosts: Iterable[str], n: int) -> list[str]:
    """Return the ``n`` hosts with the highest weight for a key, highest first."""
    return heapq.nlargest(n, hosts, key=lambda host: weight(key, host))
