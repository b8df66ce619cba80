"""Goodput over time and the time until it recovers."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import attrs

from ..report import Window
from ..tally import LogicalRequest, Outcome

__all__ = ["Timeline", "recovery_s"]

BIN_S = 1.0
RECOVERED_SHARE = 0.95


@attrs.frozen
class Timeline:
    """Goodput of one run over time.

    Attributes:
        requests: Requests of the run.
        latency_limits_s: Latency in seconds up to which a complete answer is timely, by
            class; later answers count as missed.
    """

    requests: Sequence[LogicalRequest]
    latency_limits_s: Mapping[str, float]

    def timely_share(self, window: Window) -> float:
        """Return the share of requests started in a window that were timely."""
        started = [request for request in self.requests if window.contains(request)]
        if not started:
            return 1.0
        return sum(self._is_timely(request) for request in started) / len(started)

    def complete_by_class(self, window: Window) -> dict[str, int]:
        """Return how many requests got a complete answer in a window, by class."""
        counts: dict[str, int] = {}
        for request in self.requests:
            is_inside = window.start_s <= request.ended_s < window.end_s
            if is_inside and request.outcome is Outcome.COMPLETE:
                counts[request.class_name] = counts.get(request.class_name, 0) + 1
        return counts

    def started_by_class(self, window: Window) -> dict[str, int]:
        """Return how many requests started in a window, by class."""
        counts: dict[str, int] = {}
        for request in self.requests:
            if window.contains(request):
                counts[request.class_name] = counts.get(request.class_name, 0) + 1
        return counts

    def endings(self, window: Window) -> dict[str, int]:
        """Return the number of attempts sent in a window, by class and result.

        The result is the reason of the attempt, or its HTTP status if it has no reason.
        """
        counts: dict[str, int] = {}
        for request in self.requests:
            for attempt in request.attempts:
                if window.start_s <= attempt.sent_s < window.end_s:
                    ending = attempt.reason or str(attempt.status)
                    name = f"{request.class_name}: {ending}"
                    counts[name] = counts.get(name, 0) + 1
        return dict(sorted(counts.items()))

    def _is_timely(self, request: LogicalRequest) -> bool:
        is_complete = request.outcome is Outcome.COMPLETE
        return (
            is_complete
            and request.latency_s <= self.latency_limits_s[request.class_name]
        )


def recovery_s(timeline: Timeline, baseline: float, window: Window) -> float | None:
    """Return how long goodput took to recover for good.

    Args:
        timeline: Goodput of the run.
        baseline: Timely share before the trigger.
        window: From the end of the trigger to the end of the observation.

    Returns:
        Seconds from the start of the window to the end of the last bin below
        ``RECOVERED_SHARE`` of the baseline, or None if goodput did not recover in the
        window.
    """
    n_bins = int((window.end_s - window.start_s) / BIN_S)
    n_until_recovered = 0
    for number in range(n_bins):
        start_s = window.start_s + number * BIN_S
        share = timeline.timely_share(Window(start_s, start_s + BIN_S))
        if share < RECOVERED_SHARE * baseline:
            n_until_recovered = number + 1
    return None if n_until_recovered >= n_bins else n_until_recovered * BIN_S
