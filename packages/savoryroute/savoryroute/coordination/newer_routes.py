"""Decides when to ask a peer for routes that the platform has not reported here.

Load pattern: a few daemons learn of a change while the watches of all others are lost.
Polls alone spread it slowly, as most of them ask peers that do not have it either. So a
daemon with new routes polls some peers at once, which shows them its version. They ask
for the routes only if they still lack them a moment later: most changes are reported by
their own watches at about the same time.

Source: rumors that are pushed as well as pulled (Demers et al., "Epidemic Algorithms
for Replicated Database Maintenance", 1987).
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["NewerRoutes", "PeerAhead"]

# Seconds in which the own watch may still report what a peer has already.
PEER_AHEAD_S = 0.1


@attrs.frozen
class PeerAhead:
    """Peer with newer routes.

    Attributes:
        ip: Address of the peer.
        version: Version of its routes.
        send: Sends it a frame on the link on which it showed the version.
        since_s: When the routes were first newer than the own ones.
    """

    ip: str
    version: int
    send: Callable[[list[Any]], None]
    since_s: float = attrs.field(factory=lambda: time.monotonic())


class NewerRoutes:
    """Peer that was seen with newer routes, if there is one."""

    def __init__(self) -> None:
        self._ahead: PeerAhead | None = None

    def note(self, peer: PeerAhead, own_version: int) -> None:
        """Record a peer, unless its routes are not newer or another one came first."""
        known = self._ahead
        if peer.version <= own_version:
            return
        if known is None or known.version <= own_version:
            self._ahead = peer

    def take(self, own_version: int) -> PeerAhead | None:
        """Return the peer if it is to be asked now, and forget it then."""
        ahead = self._ahead
        if ahead is None or time.monotonic() - ahead.since_s < PEER_AHEAD_S:
            return None
        self._ahead = None
        return ahead if ahead.version > own_version else None
