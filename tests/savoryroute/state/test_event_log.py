"""Tests of the event log: fields, rate limits and blocked readers."""

import json
import os
import unittest

from savoryroute.state.event_log import (
    BACKLOG_BYTES_MAX,
    LINES_PER_SECOND,
    EventLog,
)


class EventLogTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.written = b""
        self.is_reader_blocked = False
        self.log = EventLog(
            1,
            {"host": "h"},
            clock=lambda: self.now_s,
            wall_clock=lambda: 1000.0 + self.now_s,
            write=self.write,
        )

    def write(self, descriptor, data):
        if self.is_reader_blocked:
            raise BlockingIOError
        self.written += data[:100]
        return len(data[:100])

    def lines(self):
        self.log.flush()
        return [json.loads(line) for line in self.written.splitlines()]

    def test_line_holds_event_request_and_inputs(self):
        self.log.request("refused", "q1", reason="overload", n=3)
        (line,) = self.lines()
        self.assertEqual(
            line,
            {
                "time": 1010.0,
                "uptime": 0.0,
                "event": "refused",
                "host": "h",
                "request": "q1",
                "reason": "overload",
                "n": 3,
            },
        )

    def test_lines_of_one_event_are_rate_limited_and_counted(self):
        for number in range(1000):
            self.log.request("refused", f"q{number}")
        self.log.change("routes_in_force", version=2)
        self.assertEqual(len(self.lines()), LINES_PER_SECOND + 1)
        self.now_s += 1.0
        self.log.request("refused", "q1000")
        self.assertEqual(self.lines()[-1]["left_out"], 1000 - LINES_PER_SECOND)

    def test_state_changes_are_not_rate_limited(self):
        for version in range(200):
            self.log.change("routes_in_force", version=version)
        self.assertEqual(len(self.lines()), 200)

    def test_blocked_reader_uses_bounded_memory(self):
        self.is_reader_blocked = True
        for version in range(10_000):
            self.log.change("routes_in_force", version=version)
            self.log.flush()
        self.assertLess(len(self.log._backlog), BACKLOG_BYTES_MAX + 1000)
        self.assertGreater(self.log.n_left_out, 0)
        self.is_reader_blocked = False
        self.log.flush()
        self.log.change("routes_in_force", version=1)
        self.assertGreater(self.lines()[-1]["left_out"], 0)

    def test_full_pipe_does_not_block(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        log = EventLog(writer, {})
        log.make_non_blocking()
        for version in range(20_000):
            log.change("routes_in_force", version=version)
            log.flush()
        self.assertGreater(log.n_left_out, 0)

    def test_closed_reader_is_no_error(self):
        reader, writer = os.pipe()
        os.close(reader)
        self.addCleanup(os.close, writer)
        log = EventLog(writer, {})
        log.change("started")
        log.flush()
