"""Metrics of one daemon in Prometheus format."""

from __future__ import annotations

import bisect
import collections
import itertools
import math
from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from aioprometheus.histogram import Histogram as Buckets

__all__ = ["Metrics"]

# Reports count half after 0.5 s, and for a quarter or less after 1 s.
REPORT_AGE_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0)
LATENCY_BUCKETS_S = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0)


class Metrics:
    """Counters that the daemon increments, and gauges that are read at each scrape.

    Args:
        read_gauges: Returns the current value of each gauge by name, or its values
            by the label ``of``, such as the name of a route or service.
    """

    def __init__(
        self, read_gauges: Callable[[], Mapping[str, float | Mapping[str, float]]]
    ) -> None:
        self._read_gauges = read_gauges
        self._registry = Registry()
        self._outcomes = Counter(
            "savoryroute_requests_total",
            "Requests answered, by class, verdict and reason.",
            registry=self._registry,
        )
        self._latency = Histogram(
            "savoryroute_request_seconds",
            "Seconds from arrival to answer, by class.",
            registry=self._registry,
            buckets=(*LATENCY_BUCKETS_S, float("inf")),
        )
        ages = Histogram(
            "savoryroute_report_age_seconds",
            "Age of the report by which an instance was chosen.",
            registry=self._registry,
            buckets=(*REPORT_AGE_BUCKETS_S, float("inf")),
        )
        self._report_ages = Buckets(*ages.upper_bounds)
        ages.set_value({}, self._report_ages)
        # By bucket and not cumulative: a placement costs one increment.
        self._n_report_ages = [0] * len(ages.upper_bounds)
        self._report_age_sum_s = 0.0
        self._gauges: dict[str, Gauge] = {}
        # Kept outside the collectors, which encode the labels on each call.
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()
        self._buckets: dict[str, Buckets] = {}

    def count(
        self, class_name: str, verdict: str, reason: str, latency_s: float
    ) -> None:
        """Count one answered request.

        Args:
            class_name: Class of the action, or an empty string.
            verdict: Verdict reported to the caller.
            reason: Reason of a refusal, or an empty string.
            latency_s: Seconds from arrival to answer.
        """
        self._counts[class_name, verdict, reason] += 1
        self._buckets_of(class_name).observe(latency_s)

    def observe_report_age(self, age_s: float) -> None:
        """Count a placement by the age in seconds of the report that it used."""
        # An infinite age, of an instance that was never heard, would spoil the sum.
        if age_s != math.inf:
            self._n_report_ages[bisect.bisect_left(REPORT_AGE_BUCKETS_S, age_s)] += 1
            self._report_age_sum_s += age_s

    def render(self, accept: str) -> tuple[bytes, dict[str, str]]:
        """Return the body and the headers of a scrape.

        Args:
            accept: Value of the scraper's ``Accept`` header.
        """
        for name, value in self._read_gauges().items():
            if not isinstance(value, Mapping):
                self._gauge(name).set({}, value)
                continue
            # Labels that are gone must not stay in the scrape.
            self._gauge(name).values.clear()
            for label, figure in value.items():
                self._gauge(name).set({"of": label}, figure)
        for (class_name, verdict, reason), n_requests in self._counts.items():
            labels = {"class": class_name, "verdict": verdict, "reason": reason}
            self._outcomes.set(labels, n_requests)
        ages = self._report_ages
        counts = itertools.accumulate(self._n_report_ages)
        for bound, n_ages in zip(ages.buckets, counts, strict=True):
            ages.buckets[bound] = n_ages
        ages.sum = self._report_age_sum_s
        ages.observations = sum(self._n_report_ages)
        return render(self._registry, [accept])

    def _buckets_of(self, class_name: str) -> Buckets:
        """Return the histogram buckets of a class, shared with the collector."""
        buckets = self._buckets.get(class_name)
        if buckets is None:
            buckets = Buckets(*self._latency.upper_bounds)
            self._latency.set_value({"class": class_name}, buckets)
            self._buckets[class_name] = buckets
        return buckets

    def _gauge(self, name: str) -> Gauge:
        gauge = self._gauges.get(name)
        if gauge is None:
            description = name.replace("_", " ").capitalize() + "."
            gauge = Gauge(f"savoryroute_{name}", description, registry=self._registry)
            self._gauges[name] = gauge
        return gauge
