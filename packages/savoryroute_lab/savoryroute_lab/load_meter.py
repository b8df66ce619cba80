"""Load reports of a stand-in upstream, honest or not."""

from __future__ import annotations

import time
from collections import deque

from .upstream_settings import LoadReport, UpstreamSettings

__all__ = ["LOAD_REPORT_HEADER", "LoadMeter"]

LOAD_REPORT_HEADER = "endpoint-load-metrics"
SAMPLES_MAXIMUM = 4096


class LoadMeter:
    """Samples of the share of slots in use."""

    def __init__(self) -> None:
        self._samples: deque[tuple[float, float]] = deque(maxlen=SAMPLES_MAXIMUM)

    def add_sample(self, utilization: float) -> None:
        """Add a sample."""
        self._samples.append((time.monotonic(), utilization))

    def reported_utilization(self, settings: UpstreamSettings) -> float:
        """Return the utilization that the next report states."""
        if settings.load_report is LoadReport.LYING:
            return settings.lying_utilization
        is_lagging = settings.load_report is LoadReport.LAGGING
        lag_s = settings.report_lag_s if is_lagging else 0.0
        return self._at(time.monotonic() - lag_s)

    def _at(self, time_s: float) -> float:
        for noted_s, utilization in reversed(self._samples):
            if noted_s <= time_s:
                return utilization
        return 0.0
