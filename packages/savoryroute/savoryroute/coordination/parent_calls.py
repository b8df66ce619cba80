"""Which run at the own upstream made a further call.

An upstream's calls carry no name of their parent, but they expire at the parent's
deadline, which this daemon itself gave to the upstream.
"""

from __future__ import annotations

__all__ = ["ParentCalls"]

# Milliseconds by which a call's deadline may lie off its parent's: it is sent in
# whole milliseconds, and read a little later.
EARLY_MS = 2
LATE_MS = 4
# Weight of one request in the share of a route's requests that have a parent.
SHARE_WEIGHT = 0.1
INNER_SHARE = 0.5


class ParentCalls:
    """Deadlines of the runs at the own upstream, with the rank of each."""

    def __init__(self) -> None:
        self._runs: dict[int, list[tuple[int, str]]] = {}
        self._inner_share: dict[str, float] = {}
        self._longest_ms: dict[str, int] = {}
        self._calls_per_run: dict[str, float] = {}

    def begin(self, deadline_s: float, rank: int, group: str) -> None:
        """Note a run that begins."""
        self._runs.setdefault(int(deadline_s * 1000), []).append((rank, group))

    def end(self, deadline_s: float, rank: int, group: str) -> None:
        """Note that a run has ended."""
        key = int(deadline_s * 1000)
        runs = self._runs[key]
        runs.remove((rank, group))
        if not runs:
            del self._runs[key]
        known = self._calls_per_run.get(group, 0.0)
        self._calls_per_run[group] = known * (1.0 - SHARE_WEIGHT)

    def makes_calls(self, group: str) -> bool:
        """Return whether the runs of a group mostly make further calls."""
        # A run that makes one call adds one before the average decays by a tenth.
        return self._calls_per_run.get(group, 0.0) > INNER_SHARE / SHARE_WEIGHT / 2

    def rank_of_parent(
        self, route: str, read_s: float, time_left_ms: int
    ) -> int | None:
        """Return the rank of the run that made a request, None if none did.

        Args:
            route: Name of the request's route; only routes whose requests mostly
                have a parent are taken for calls of the upstream.
            read_s: Monotonic time at which the request was read.
            time_left_ms: Time that the request states, in milliseconds.
        """
        deadline_ms = int(read_s * 1000) + time_left_ms
        if time_left_ms >= self._longest_ms.get(route, 0):
            # The longest time of its kind, so that the parent's may be longer still.
            self._longest_ms[route] = time_left_ms
            return self._best_rank_beyond(deadline_ms) if self.is_inner(route) else None
        run = self._nearest(deadline_ms)
        share = self._inner_share.get(route, 0.0)
        sample = 0.0 if run is None else 1.0
        share += (sample - share) * SHARE_WEIGHT
        self._inner_share[route] = share
        if run is None or share <= INNER_SHARE:
            return None
        rank, group = run
        self._calls_per_run[group] = self._calls_per_run.get(group, 0.0) + 1.0
        return rank

    def is_inner(self, route: str) -> bool:
        """Return whether a route's requests mostly are calls of the upstream."""
        return self._inner_share.get(route, 0.0) > INNER_SHARE

    def _best_rank_beyond(self, deadline_ms: int) -> int | None:
        """Return the best rank among runs with at least that much time."""
        ranks = [
            min(runs)[0]
            for key, runs in self._runs.items()
            if key >= deadline_ms - LATE_MS
        ]
        return min(ranks, default=None)

    def _nearest(self, deadline_ms: int) -> tuple[int, str] | None:
        """Return the most important run at the deadline nearest to the given one."""
        if not self._runs:
            return None
        for distance in range(LATE_MS + 1):
            for key in (deadline_ms - distance, deadline_ms + distance):
                if -EARLY_MS <= deadline_ms - key <= LATE_MS and key in self._runs:
                    return min(self._runs[key])
        return None
