"""One log line a second of a daemon while requests fail or are refused for load.

Tells apart why little is served: the slots of the upstream are busy, the upstream
rejects with free slots, first hops admit less than fits, or the daemon itself is late.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

import attrs

from ..state.event_log import EventLog
from .local_upstream import LocalUpstream
from .throttle import ActionThrottle

__all__ = ["LoadReports"]

REPORT_INTERVAL_S = 1.0
# Delay of the event loop in seconds that is reported even if nothing is refused.
DELAY_REPORTED_S = 0.1


@attrs.define
class _Samples:
    """Sums over the samples of one interval."""

    n_samples: int = 0
    n_running: int = 0
    n_waiting: int = 0
    delay_max_s: float = 0.0

    def mean(self, total: int) -> float:
        """Return the mean of a sum over the samples."""
        return round(total / max(1, self.n_samples), 1)


class LoadReports:
    """Samples the load of a daemon and its upstream, and logs it under load.

    Args:
        upstream: The local upstream.
        throttle: Admission of this daemon's callers.
        log: Event log.
        clock: Monotonic clock in seconds.
        sample_interval_s: Seconds between two samples if the event loop is in time.
    """

    def __init__(
        self,
        upstream: LocalUpstream,
        throttle: ActionThrottle,
        log: EventLog,
        clock: Callable[[], float],
        sample_interval_s: float,
    ) -> None:
        self._upstream = upstream
        self._throttle = throttle
        self._log = log
        self._clock = clock
        self._sample_interval_s = sample_interval_s
        self._sampled_s = self._reported_s = clock()
        self._samples = _Samples()
        self._counted: Counter[str] = Counter()
        self._last_delay_s = 0.0

    @property
    def loop_delay_s(self) -> float:
        """Longest delay of the event loop in the last complete interval, in seconds."""
        return self._last_delay_s

    def sample(self) -> None:
        """Take a sample; log the interval if it has ended."""
        now_s = self._clock()
        samples, queue = self._samples, self._upstream.queue
        delay_s = now_s - self._sampled_s - self._sample_interval_s
        samples.delay_max_s = max(samples.delay_max_s, delay_s)
        samples.n_samples += 1
        samples.n_running += queue.n_running
        samples.n_waiting += queue.n_waiting
        self._sampled_s = now_s
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._report(now_s)

    def _report(self, now_s: float) -> None:
        samples, self._samples = self._samples, _Samples()
        seconds, self._reported_s = now_s - self._reported_s, now_s
        self._last_delay_s = samples.delay_max_s
        upstream = self._upstream
        counts = Counter(upstream.load_counts)
        counts.update(
            {
                f"throttled {route}": n_refused
                for route, n_refused in self._throttle.n_refused.items()
            }
        )
        new = counts - self._counted
        self._counted = counts
        n_arrivals = new.pop("arrivals", 0)
        if not new and samples.delay_max_s < DELAY_REPORTED_S:
            return
        queue = upstream.queue
        self._log.change(
            "under_load",
            seconds=round(seconds, 2),
            running=samples.mean(samples.n_running),
            waiting=samples.mean(samples.n_waiting),
            slots=queue.slots,
            held_ms=round(queue.mean_s * 1000, 1),
            arrivals=n_arrivals,
            refused=dict(new),
            room=upstream.rooms,
            served=upstream.served_shares,
            offered=round(upstream.offered_load, 2),
            admitted={
                route: round(share, 2) for route, share in self._throttle.shares.items()
            },
            loop_delay=round(samples.delay_max_s, 3),
        )
