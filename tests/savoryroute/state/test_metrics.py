"""Tests of the metrics of one daemon."""

import unittest

from savoryroute.state.metrics import Metrics


class MetricsTest(unittest.TestCase):
    def test_a_scrape_shows_counts_latencies_and_gauges(self):
        metrics = Metrics(lambda: {"links": 3})
        metrics.count("order", "ran", "", 0.002)
        metrics.count("order", "ran", "", 0.2)
        metrics.count("view", "not_run", "overload", 0.2)
        for _ in range(2):
            body, _ = metrics.render("text/plain")
        lines = body.decode().splitlines()
        total = 'savoryroute_requests_total{class="order",reason="",verdict="ran"} 2'
        self.assertIn(total, lines)
        bucket = 'savoryroute_request_seconds_bucket{class="order",le="0.0025"} 1.0'
        self.assertIn(bucket, lines)
        self.assertIn('savoryroute_request_seconds_count{class="order"} 2.0', lines)
        self.assertIn("savoryroute_links 3", lines)

    def test_ages_of_reports_are_counted_and_unknown_ones_left_out(self):
        """Guards against a sum that is infinite after one upstream without a report."""
        metrics = Metrics(dict)
        for age_s in (0.02, 0.7, float("inf")):
            metrics.observe_report_age(age_s)
        lines = metrics.render("text/plain")[0].decode().splitlines()
        self.assertIn('savoryroute_report_age_seconds_bucket{le="0.05"} 1.0', lines)
        self.assertIn('savoryroute_report_age_seconds_bucket{le="1.0"} 2.0', lines)
        self.assertIn("savoryroute_report_age_seconds_count 2.0", lines)
        self.assertIn("savoryroute_report_age_seconds_sum 0.72", lines)
