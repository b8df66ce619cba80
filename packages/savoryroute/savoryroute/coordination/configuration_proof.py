"""Age of the newest proof that the active routes are the configuration in force.

Load pattern: callers that send with a revoked key while their host, or the whole fleet,
has lost the platform. A daemon that only waits for changes cannot tell "nothing has
changed" from "nothing arrives". Here it knows a time at which its routes were certainly
the newest, and whoever accepts a key limits the age of that.

A proof says: when a read was sent, the platform had no routes newer than the active
ones. The read is linearizable: it sees each change that the platform accepted before.
Peers state the age of their proof in the answer to a poll, and it counts from the time
at which the poll was sent, so that time on the way can only make it older.

Source: terms of leases count from the time of the request (Gray and Cheriton, "Leases:
An Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency", 1989).
"""

from __future__ import annotations

import math
import random
import time
from collections.abc import Callable

import attrs

from ..protocol.mesh_frames import ViewUpdate
from ..state.event_log import EventLog

__all__ = ["ConfigurationProof", "boot_time_s", "proof_limit_s"]

# A daemon reads from the platform once its proof is older than a limit drawn between
# these bounds. The limit is random so that the read of one daemon, passed on by polls,
# spares the others theirs.
READ_LIMIT_MIN_S = 1.5
READ_LIMIT_MAX_S = 2.5
# Age of the proof above which peers are polled as if the platform were disconnected.
STALE_AFTER_S = 1.5
# Time from which a revoked key may run nowhere, where the settings have no bound.
REVOCATION_DEFAULT_S = 5.0
# Time in which a request passes the checks and reaches an upstream.
REVOCATION_MARGIN_S = 0.25
# Time from the first routes with organisations after which a lack of proof is logged.
FIRST_PROOF_S = 1.0
# Polls whose answers are awaited. About ten are sent in a second, and an answer that
# comes after five proves nothing of use.
POLLS_MAX = 64


def boot_time_s() -> float:
    """Return the seconds since the host started, including suspensions."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def proof_limit_s(revocation_s: float | None) -> float:
    """Return the age of the proof from which on no key may be accepted.

    Args:
        revocation_s: Time in seconds after which no host may accept a revoked key, None
            if it has no bound.
    """
    bound_s = REVOCATION_DEFAULT_S if revocation_s is None else revocation_s
    return bound_s - REVOCATION_MARGIN_S


class ConfigurationProof:
    """Time of the newest proof for the active routes.

    Args:
        log: Log of changes: proof lost and regained.
        rng: Random source for the limit on the age.
        limit_s: Age in seconds above which the proof counts as lost.
        clock: Clock in seconds that includes suspensions of the host.
    """

    def __init__(
        self,
        log: EventLog,
        rng: random.Random,
        limit_s: float,
        clock: Callable[[], float] = boot_time_s,
    ) -> None:
        self._log = log
        self._rng = rng
        self._limit_s = limit_s
        self._clock = clock
        self._version = -1
        self._is_needed = False
        self._needed_since_s = 0.0
        self._proven_s = -math.inf
        self._read_limit_s = READ_LIMIT_MIN_S
        self._n_polls = 0
        self._polls: dict[int, float] = {}
        # State that the log shows, None before the first.
        self._is_logged_recent: bool | None = None
        self._read_error = ""
        self._draw_read_limit()

    @property
    def age_s(self) -> float:
        """Seconds since the newest proof, infinite without one."""
        return self._clock() - self._proven_s

    @property
    def gauge_s(self) -> float:
        """The age for metrics, -1 without a proof or without organisations."""
        age_s = self.age_s
        return age_s if self._is_needed and math.isfinite(age_s) else -1.0

    @property
    def is_needed(self) -> bool:
        """Whether the active routes contain organisations."""
        return self._is_needed

    @property
    def is_stale(self) -> bool:
        """Whether peers are to be polled often for a newer proof."""
        return self._is_needed and self.age_s > STALE_AFTER_S

    @property
    def is_read_due(self) -> bool:
        """Whether to read the configuration from the platform now."""
        return self._is_needed and self.age_s > self._read_limit_s

    def activate(self, version: int, is_needed: bool, is_from_platform: bool) -> None:
        """Record that newer routes became active.

        A proof for the former routes holds for routes from the platform itself: at its
        time the platform had nothing newer than the former ones, so what replaced these
        came later. Routes from a peer need the proof of that peer.

        Args:
            version: Version of the routes.
            is_needed: Whether they contain organisations.
            is_from_platform: Whether the platform sent them to this daemon.
        """
        if not is_from_platform:
            self._proven_s = -math.inf
        if is_needed and not self._is_needed:
            self._needed_since_s = self._clock()
            self._is_logged_recent = None
        self._version = version
        self._is_needed = is_needed

    def start_read(self) -> float:
        """Return the time of a read that is sent now, and draw the next limit."""
        self._draw_read_limit()
        return self._clock()

    def record_read(self, sent_s: float) -> None:
        """Record a read whose routes were merged: nothing newer was there.

        That holds for an older version as well: the active routes were published after
        the read, or the platform has returned from an older copy.

        Args:
            sent_s: Time from ``start_read``.
        """
        self._prove(sent_s, "platform")

    def record_failure(self, error: str) -> None:
        """Record why a read gave no proof; the log states the latest cause."""
        self._read_error = error

    def start_poll(self) -> int:
        """Return a number for a poll that is sent now, 0 without organisations."""
        if not self._is_needed:
            return 0
        if len(self._polls) >= POLLS_MAX:
            del self._polls[next(iter(self._polls))]
        self._n_polls += 1
        self._polls[self._n_polls] = self._clock()
        return self._n_polls

    def add_to(self, update: ViewUpdate | None, number: int) -> ViewUpdate | None:
        """Return the answer to a poll, with the proof if there is one.

        Args:
            update: Newer routes and instances, None if there are none.
            number: Number of the poll, 0 if it does not ask for a proof.
        """
        age_s = self.age_s
        if not number or not self._is_needed or math.isinf(age_s):
            return update
        return attrs.evolve(
            update or ViewUpdate(-1, b"", 0, 0, [], [], 0, 0),
            number=number,
            proof_version=self._version,
            proof_age_ms=math.ceil(age_s * 1000),
        )

    def adopt(self, update: ViewUpdate, ip: str) -> None:
        """Adopt the proof of a peer, if it is newer and for the active routes.

        Args:
            update: Answer to a poll, whose routes were merged before.
            ip: Address of the peer.
        """
        sent_s = self._polls.pop(update.number, None)
        if sent_s is None or update.proof_version != self._version:
            return
        if update.proof_age_ms >= 0:
            self._prove(sent_s - update.proof_age_ms / 1000, ip)

    def check(self) -> None:
        """Log once if the proof has become too old."""
        age_s = self.age_s
        if not self._is_needed or age_s <= self._limit_s:
            return
        if self._is_logged_recent is False:
            return
        is_starting = self._clock() - self._needed_since_s < FIRST_PROOF_S
        if self._is_logged_recent is None and is_starting:
            return
        self._is_logged_recent = False
        self._log.change(
            "configuration_proof_lost",
            version=self._version,
            age_s=None if math.isinf(age_s) else round(age_s, 3),
            error=self._read_error,
        )

    def _prove(self, at_s: float, origin: str) -> None:
        """Keep a proof if it is newer than the present one."""
        if at_s <= self._proven_s:
            return
        self._proven_s = at_s
        age_s = self.age_s
        if not self._is_needed or self._is_logged_recent or age_s > self._limit_s:
            return
        self._is_logged_recent = True
        self._log.change(
            "configuration_proof_regained",
            version=self._version,
            age_s=round(age_s, 3),
            by=origin,
        )

    def _draw_read_limit(self) -> None:
        self._read_limit_s = self._rng.uniform(READ_LIMIT_MIN_S, READ_LIMIT_MAX_S)
