"""Rumours waiting to be passed on to a bounded number of peers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import attrs

from ..state.member import MemberStatus, MemberUpdate

__all__ = ["GossipQueue"]

RETRANSMIT_FACTOR = 3
N_QUEUED_MAX = 2048
AGE_MAX_S = 30.0
SENT_PER_S = 40.0
SENT_BURST = 200.0
RESERVE = 100.0


@attrs.define
class _Queued:
    """One rumour with the peers that know it from here."""

    rumour: MemberUpdate
    put_at_s: float
    n_left: int
    known_to: set[str]


class GossipQueue:
    """The latest rumour of each host, until it was sent often enough.

    A token bucket bounds how many leave in a second, so that the loss of a whole
    failure domain does not exceed the traffic that control may use. Suspicions
    leave a reserve in it, so that refutations are not held up by them.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._queue: dict[str, _Queued] = {}
        self._tokens = SENT_BURST
        self._filled_at_s = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def may_send(self) -> bool:
        """Whether the bucket allows to send one now."""
        self._fill()
        return self._tokens >= 1.0

    def put(self, rumour: MemberUpdate, n_members: int, source: str = "") -> None:
        """Queue a rumour in place of older ones of the same host.

        Args:
            rumour: Rumour to pass on.
            n_members: Members of the fleet, which bounds how often it is sent.
            source: Host that told it, which needs not hear it again.
        """
        n_left = RETRANSMIT_FACTOR * math.ceil(math.log10(n_members + 2))
        host = rumour.member.host
        self._queue.pop(host, None)
        self._queue[host] = _Queued(rumour, self._clock(), n_left, {source})
        while len(self._queue) > N_QUEUED_MAX:
            del self._queue[next(iter(self._queue))]

    def take(self, peer: str, n: int) -> list[Any]:
        """Return up to ``n`` packed rumours for a peer.

        Those of leaving hosts go first, suspicions last, then those sent least.
        """
        self._fill()
        self._expire()
        n = min(n, int(self._tokens))
        fresh = [item for item in self._queue.values() if peer not in item.known_to]
        fresh.sort(key=_urgency, reverse=True)
        taken = [item for item in fresh[:n] if self._may_take(item)]
        self._tokens -= len(taken)
        for item in taken:
            item.known_to.add(peer)
            item.n_left -= 1
            if item.n_left <= 0:
                del self._queue[item.rumour.member.host]
        return [item.rumour.pack() for item in taken]

    def _may_take(self, item: _Queued) -> bool:
        """Return whether the bucket has enough for a rumour of this kind."""
        is_suspicion = item.rumour.member.status is MemberStatus.SUSPECT
        return not is_suspicion or self._tokens >= RESERVE

    def _expire(self) -> None:
        """Drop rumours whose uptimes are too old to tell an order of starts."""
        earliest_s = self._clock() - AGE_MAX_S
        while self._queue:
            host = next(iter(self._queue))
            if self._queue[host].put_at_s >= earliest_s:
                return
            del self._queue[host]

    def _fill(self) -> None:
        """Add the tokens of the time that went by."""
        now = self._clock()
        added = (now - self._filled_at_s) * SENT_PER_S
        self._tokens = min(SENT_BURST, self._tokens + added)
        self._filled_at_s = now


def _urgency(item: _Queued) -> tuple[int, int]:
    """Return the order in which rumours are sent."""
    return _RANKS[item.rumour.member.status], item.n_left


_RANKS = {
    MemberStatus.LEAVING: 2,
    MemberStatus.ALIVE: 1,
    MemberStatus.SUSPECT: 0,
}
