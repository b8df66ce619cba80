"""Tests of the log line that a daemon writes under load."""

import json
import random
import unittest
from types import SimpleNamespace

from savoryroute.coordination.call_queue import CallQueue
from savoryroute.coordination.load_reports import LoadReports
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.state.event_log import EventLog

INTERVAL_S = 0.05


class LoadReportsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.lines = []

        def clock():
            return self.now_s

        def write(descriptor, data):
            self.lines += [json.loads(line) for line in data.splitlines()]
            return len(data)

        self.log = EventLog(1, {}, clock, clock, write)
        self.queue = CallQueue(4, clock)
        self.counts = {"arrivals": 0}
        upstream = SimpleNamespace(
            queue=self.queue,
            load_counts=self.counts,
            rooms={0: 2.0},
            served_shares={0: 0.75},
            offered_load=1.5,
        )
        self.throttle = ActionThrottle(clock, random.Random(1))
        self.reports = LoadReports(upstream, self.throttle, self.log, clock, INTERVAL_S)

    def pass_second(self, delay_s=0.0):
        for number in range(21):
            self.now_s += INTERVAL_S + (delay_s if number == 10 else 0.0)
            self.reports.sample()
        self.log.flush()
        lines, self.lines = self.lines, []
        return lines

    def test_no_line_without_failures(self):
        self.counts["arrivals"] = 50
        self.assertEqual(self.pass_second(), [])

    def test_failures_of_each_interval_are_counted_once(self):
        self.counts.update(arrivals=50, rejected=7, overload=2)
        (line,) = self.pass_second()
        self.assertEqual(line["event"], "under_load")
        self.assertEqual(line["arrivals"], 50)
        self.assertEqual(line["refused"], {"rejected": 7, "overload": 2})
        self.assertEqual(line["slots"], 4)
        self.assertEqual(line["served"], {"0": 0.75})
        self.counts.update(arrivals=60, rejected=8)
        (line,) = self.pass_second()
        self.assertEqual(line["refused"], {"rejected": 1})
        self.assertEqual(self.pass_second(), [])

    def test_requests_that_the_throttle_refuses(self):
        self.throttle.admit("view", 2)
        self.throttle.note_end("view", [0.0] * 20)
        for _ in range(20):
            self.throttle.note_end("view", [0.0])
        n_refused = sum(self.throttle.admit("view", 2) is None for _ in range(100))
        self.assertGreater(n_refused, 50)
        (line,) = self.pass_second()
        self.assertEqual(line["refused"], {"throttled view": n_refused})

    def test_late_event_loop_is_reported(self):
        (line,) = self.pass_second(delay_s=0.4)
        self.assertAlmostEqual(line["loop_delay"], 0.4, 2)
        self.assertAlmostEqual(self.reports.loop_delay_s, 0.4, 2)
