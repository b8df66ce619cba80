"""Tests of goodput over time and of the recovery time of the benchmark."""

import unittest

from savoryroute.verdict import Verdict
from savoryroute_lab.bench.recovery import Timeline, recovery_s
from savoryroute_lab.report import Window
from savoryroute_lab.tally import Attempt, LogicalRequest

PATIENCE_S = {"view": 1.0}


def request(started_s, status=200, latency_s=0.1):
    attempt = Attempt(
        "e", "", started_s, latency_s, status, Verdict.RAN, has_verified_body=True
    )
    found = LogicalRequest("view", "crews", "GET", "/", True, "r", "t", started_s)
    found.ended_s = started_s + latency_s
    found.attempts.append(attempt)
    return found


def timeline(is_bad):
    times_s = [number / 50 for number in range(1000)]
    requests = [request(time_s, 502 if is_bad(time_s) else 200) for time_s in times_s]
    return Timeline(requests, PATIENCE_S)


class RecoveryTests(unittest.TestCase):
    def test_ends_with_the_last_bad_bin(self):
        found = timeline(lambda time_s: time_s < 12.0 or 14.2 < time_s < 14.8)
        self.assertEqual(recovery_s(found, 1.0, Window(10.0, 20.0)), 5.0)

    def test_nothing_to_recover_from(self):
        found = timeline(lambda time_s: False)
        self.assertEqual(recovery_s(found, 1.0, Window(10.0, 20.0)), 0.0)

    def test_none_when_the_overload_outlasts_the_observation(self):
        found = timeline(lambda time_s: time_s > 5.0)
        self.assertIsNone(recovery_s(found, 1.0, Window(10.0, 20.0)))

    def test_the_former_level_counts(self):
        found = timeline(lambda time_s: int(time_s * 50) % 10 == 0)
        self.assertEqual(recovery_s(found, 0.9, Window(10.0, 20.0)), 0.0)
        self.assertIsNone(recovery_s(found, 1.0, Window(10.0, 20.0)))


class TimelineTests(unittest.TestCase):
    def test_late_answers_are_missed(self):
        found = Timeline([request(0.0), request(0.1, latency_s=1.5)], PATIENCE_S)
        self.assertEqual(found.timely_share(Window(0.0, 1.0)), 0.5)

    def test_answers_count_when_they_end(self):
        found = Timeline([request(0.9), request(0.95)], PATIENCE_S)
        self.assertEqual(found.whole_by_class(Window(0.0, 1.0)), {})
        self.assertEqual(found.whole_by_class(Window(1.0, 2.0)), {"view": 2})
        self.assertEqual(found.begun_by_class(Window(0.0, 1.0)), {"view": 2})
