"""Bound on the memory that bodies of requests or of answers take up in one daemon.

Load pattern: a burst of uploads, or callers that send long bodies slowly. Each body is
held until its request is answered, since an attempt that did not run is followed by
another one. Without a bound the process is killed for its memory, with all requests in
progress; with it, further long bodies are refused before they are read. Upstreams in
trouble may send answers without end; these are given up.

Source: admission control on the use of memory as in Welsh and Culler, Adaptive Overload
Control for Busy Internet Servers (2003).
"""

from __future__ import annotations

import attrs

__all__ = ["HEADER_OVERHEAD_BYTES", "SMALL_BODY_BYTES", "BodyBudget"]

# A single body may be this many times as long as all bodies together may be otherwise,
# since the platform may allow long ones.
SINGLE_BODY_FACTOR = 2
# Shorter bodies are never refused: requests without an upload must not suffer from
# uploads, and the number of connections bounds them well enough.
SMALL_BODY_BYTES = 16 * 1024
# Memory of a header beside the texts of its name and value.
HEADER_OVERHEAD_BYTES = 160


@attrs.define
class BodyBudget:
    """Bytes of the bodies that this daemon may hold.

    Args:
        limit_bytes: Bytes above which long bodies are refused.
    """

    _limit_bytes: int
    _held_bytes: int = attrs.field(init=False, default=0)
    _n_refused: int = attrs.field(init=False, default=0)

    @property
    def limit_bytes(self) -> int:
        """Bytes above which long bodies are refused."""
        return self._limit_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes of all bodies that are held or announced."""
        return self._held_bytes

    @property
    def is_spent(self) -> bool:
        """Whether no long body may be added."""
        return self._held_bytes >= self._limit_bytes

    @property
    def n_refused(self) -> int:
        """Number of bodies that were refused."""
        return self._n_refused

    def try_reserve(self, n_bytes: int, before_bytes: int = 0) -> bool:
        """Reserve memory for a body; return whether it may be held.

        A body longer than the limit is accepted when no other one is held, up to
        ``SINGLE_BODY_FACTOR`` times the limit.

        Args:
            n_bytes: Bytes to reserve.
            before_bytes: Bytes reserved before for the same body, whose length is not
                known in advance.
        """
        total_bytes = self._held_bytes + n_bytes
        is_small = before_bytes + n_bytes <= SMALL_BODY_BYTES
        limit_bytes = self._limit_bytes
        if self._held_bytes <= before_bytes:
            limit_bytes *= SINGLE_BODY_FACTOR
        if not is_small and total_bytes > limit_bytes:
            self._n_refused += 1
            return False
        self._held_bytes = total_bytes
        return True

    def hold(self, n_bytes: int) -> None:
        """Count bytes that are in memory already, whatever the limit.

        Args:
            n_bytes: Bytes of a complete body whose earlier reservation has ended.
        """
        self._held_bytes += n_bytes

    def release(self, n_bytes: int) -> None:
        """Return the memory of a body."""
        self._held_bytes -= n_bytes
