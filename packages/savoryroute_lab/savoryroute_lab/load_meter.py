"""Load reports of a stand-in upstream, which may be delayed or false."""

from __future__ import annotations

import time
from collections import deque

from .upstream_settings import LoadReport, UpstreamSettings

__all__ = ["LOAD_REPORT_HEADER", "LoadMeter"]

LOAD_REPORT_HEADER = "endpoint-load-metrics"
SAMPLES_MAX = 4096


class LoadMeter:
    """Samples of the fraction of slots in use."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_MAX)

    def add_sample(self, utilization: float) -> None:
        """Add a sample."""
        self._samples.append((time.monotonic(), utilization))

    def reported_utilization(self, settings: UpstreamSettings) -> float:
        """Return the utilization for the next report, between 0 and 1."""
        if settings.load_report is LoadReport.LYING:
            return settings.lying_utilization
        is_lagging = settings.load_report is LoadReport.LAGGING
        lag_s = settings.report_lag_s if is_lagging else 0.0
        return self._utilization_at(time.monotonic() - lag_s)

    def _utilization_at(self, time_s: float) -> float:
        for sampled_s, utilization in reversed(self._samples):
            if sampled_s <= time_s:
                return utilization
        return 0.0
