"""Rumours waiting to be passed on to a bounded number of peers."""

from __future__ import annotations

import math
import random
from typing import Any

import attrs

from ..state.members import Rumour

__all__ = ["RumourQueue"]

RETRANSMIT_FACTOR = 3
N_QUEUED_MAX = 2048


@attrs.define
class _Queued:
    """One rumour with the peers that know it from here."""

    rumour: Rumour
    n_left: int
    known_to: set[str]


class RumourQueue:
    """The latest rumour of each host, until it was sent often enough."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._queue: dict[str, _Queued] = {}

    def __len__(self) -> int:
        return len(self._queue)

    def put(self, rumour: Rumour, n_members: int, source: str = "") -> None:
        """Queue a rumour in place of older ones of the same host.

        Args:
            rumour: Rumour to pass on.
            n_members: Members of the fleet, which bounds how often it is sent.
            source: Host that told it, which needs not hear it again.
        """
        n_left = RETRANSMIT_FACTOR * math.ceil(math.log10(n_members + 2))
        host = rumour.member.host
        self._queue.pop(host, None)
        self._queue[host] = _Queued(rumour, n_left, {source})
        while len(self._queue) > N_QUEUED_MAX:
            del self._queue[next(iter(self._queue))]

    def take(self, peer: str, n: int) -> list[Any]:
        """Return up to ``n`` packed rumours for a peer, least sent first."""
        fresh = [item for item in self._queue.values() if peer not in item.known_to]
        fresh.sort(key=lambda item: item.n_left, reverse=True)
        taken = fresh[:n]
        for item in taken:
            item.known_to.add(peer)
            item.n_left -= 1
            if item.n_left <= 0:
                del self._queue[item.rumour.member.host]
        return [item.rumour.pack() for item in taken]
