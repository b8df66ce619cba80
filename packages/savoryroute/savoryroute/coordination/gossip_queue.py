"""Queue of membership updates to gossip to a bounded number of peers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import attrs

from ..state.member import MemberStatus, MemberUpdate

__all__ = ["GossipQueue"]

# Times that an update is sent, for each decimal order of magnitude of the fleet.
RETRANSMIT_FACTOR = 3
N_QUEUED_MAX = 2048
AGE_MAX_S = 30.0
# Rate and size of the token bucket, and the tokens in it that suspicions leave.
UPDATES_PER_S = 40.0
UPDATES_BURST = 200.0
REFUTATION_RESERVE = 100.0


@attrs.define
class _Queued:
    """One update in the queue.

    Attributes:
        update: The update.
        queued_at_s: Time at which it was queued.
        n_left: Number of times that it is still to be sent.
        known_by: Peers that it came from or was sent to.
    """

    update: MemberUpdate
    queued_at_s: float
    n_left: int
    known_by: set[str]


class GossipQueue:
    """Latest update about each host, kept until it was sent to enough peers.

    A token bucket limits the updates sent per second, so that the loss of a whole
    failure domain stays within the bandwidth for control traffic. Suspicions leave a
    reserve of tokens, so that they do not delay refutations.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._queue: dict[str, _Queued] = {}
        self._tokens = UPDATES_BURST
        self._refilled_at_s = 0.0

    def __len__(self) -> int:
        return len(self._queue)

    @property
    def may_send(self) -> bool:
        """Whether the token bucket allows an update to be sent now."""
        self._refill()
        return self._tokens >= 1.0

    def put(self, update: MemberUpdate, n_members: int, source: str = "") -> None:
        """Queue an update in place of the older one about the same host.

        Args:
            update: Update to gossip.
            n_members: Number of members of the fleet; the update is sent a number of
                times proportional to its logarithm.
            source: Host that sent the update and does not get it back.
        """
        n_left = RETRANSMIT_FACTOR * math.ceil(math.log10(n_members + 2))
        host = update.member.host
        self._queue.pop(host, None)
        self._queue[host] = _Queued(update, self._clock(), n_left, {source})
        while len(self._queue) > N_QUEUED_MAX:
            del self._queue[next(iter(self._queue))]

    def take(self, peer: str, n: int) -> list[Any]:
        """Return up to ``n`` packed updates for a peer.

        Updates about leaving hosts go first and suspicions last; among equals, those
        sent least often go first.
        """
        self._refill()
        self._expire()
        n = min(n, int(self._tokens))
        candidates = [
            item for item in self._queue.values() if peer not in item.known_by
        ]
        candidates.sort(key=_priority, reverse=True)
        taken = [item for item in candidates[:n] if self._has_tokens_for(item)]
        self._tokens -= len(taken)
        for item in taken:
            item.known_by.add(peer)
            item.n_left -= 1
            if item.n_left <= 0:
                del self._queue[item.update.member.host]
        return [item.update.pack() for item in taken]

    def _has_tokens_for(self, item: _Queued) -> bool:
        """Return whether the bucket has enough tokens for this kind of update."""
        is_suspicion = item.update.member.status is MemberStatus.SUSPECT
        return not is_suspicion or self._tokens >= REFUTATION_RESERVE

    def _expire(self) -> None:
        """Drop updates whose uptimes are too old to order restarts by."""
        earliest_s = self._clock() - AGE_MAX_S
        while self._queue:
            host = next(iter(self._queue))
            if self._queue[host].queued_at_s >= earliest_s:
                return
            del self._queue[host]

    def _refill(self) -> None:
        """Add the tokens for the time since the last refill."""
        now_s = self._clock()
        added = (now_s - self._refilled_at_s) * UPDATES_PER_S
        self._tokens = min(UPDATES_BURST, self._tokens + added)
        self._refilled_at_s = now_s


def _priority(item: _Queued) -> tuple[int, int]:
    """Return the sort key of an item; the highest is sent first."""
    return _STATUS_PRIORITIES[item.update.member.status], item.n_left


_STATUS_PRIORITIES = {
    MemberStatus.LEAVING: 2,
    MemberStatus.ALIVE: 1,
    MemberStatus.SUSPECT: 0,
}
