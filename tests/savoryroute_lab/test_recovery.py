"""Tests of the benchmark's goodput over time and recovery time."""

import unittest

from savoryroute.verdict import Verdict
from savoryroute_lab.bench.recovery import Timeline, recovery_s
from savoryroute_lab.report import Window
from savoryroute_lab.tally import Attempt, LogicalRequest

LATENCY_LIMITS_S = {"view": 1.0}


def request(started_s, status=200, latency_s=0.1):
    attempt = Attempt(
        "e", "", started_s, latency_s, status, Verdict.RAN, has_verified_body=True
    )
    logical_request = LogicalRequest(
        "view", "crews", "GET", "/", True, "r", "t", started_s
    )
    logical_request.ended_s = started_s + latency_s
    logical_request.attempts.append(attempt)
    return logical_request


def timeline(is_failed):
    times_s = [number / 50 for number in range(1000)]
    requests = [
        request(time_s, 502 if is_failed(time_s) else 200) for time_s in times_s
    ]
    return Timeline(requests, LATENCY_LIMITS_S)


class RecoveryTests(unittest.TestCase):
    def test_recovery_ends_with_the_last_bin_below_the_threshold(self):
        measured = timeline(lambda time_s: time_s < 12.0 or 14.2 < time_s < 14.8)
        self.assertEqual(recovery_s(measured, 1.0, Window(10.0, 20.0)), 5.0)

    def test_recovery_takes_no_time_without_failures(self):
        measured = timeline(lambda time_s: False)
        self.assertEqual(recovery_s(measured, 1.0, Window(10.0, 20.0)), 0.0)

    def test_none_if_goodput_stays_low_until_the_end(self):
        measured = timeline(lambda time_s: time_s > 5.0)
        self.assertIsNone(recovery_s(measured, 1.0, Window(10.0, 20.0)))

    def test_threshold_is_relative_to_the_baseline(self):
        measured = timeline(lambda time_s: int(time_s * 50) % 10 == 0)
        self.assertEqual(recovery_s(measured, 0.9, Window(10.0, 20.0)), 0.0)
        self.assertIsNone(recovery_s(measured, 1.0, Window(10.0, 20.0)))


class TimelineTests(unittest.TestCase):
    def test_late_answers_are_not_timely(self):
        measured = Timeline(
            [request(0.0), request(0.1, latency_s=1.5)], LATENCY_LIMITS_S
        )
        self.assertEqual(measured.timely_share(Window(0.0, 1.0)), 0.5)

    def test_answers_count_in_the_window_of_their_end(self):
        measured = Timeline([request(0.9), request(0.95)], LATENCY_LIMITS_S)
        self.assertEqual(measured.complete_by_class(Window(0.0, 1.0)), {})
        self.assertEqual(measured.complete_by_class(Window(1.0, 2.0)), {"view": 2})
        self.assertEqual(measured.started_by_class(Window(0.0, 1.0)), {"view": 2})
