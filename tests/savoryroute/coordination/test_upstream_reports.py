"""Tests of what an upstream states of itself in its answers."""

import json
import unittest

from savoryroute.coordination.call_queue import CallQueue
from savoryroute.coordination.upstream_reports import UpstreamReports, slots_to_fill
from savoryroute.state.event_log import EventLog


class LoadTest(unittest.TestCase):
    """Guards against filling an upstream by a figure that is not its slots."""

    def setUp(self):
        self.lines = []

        def write(descriptor, data):
            self.lines += [json.loads(line) for line in data.splitlines()]
            return len(data)

        self.log = EventLog(1, {}, write=write)
        self.queue = CallQueue(16, lambda: 0.0)
        self.reports = UpstreamReports(self.queue, self.log)

    def test_slots_do_not_depend_on_the_stated_work_time(self):
        for value in (b"3,0,25", b"3,0,25,100", b"24,9,25,250", b"3,0,25,1"):
            self.reports.note_load(value)
            self.assertEqual(self.queue.slots, slots_to_fill(25), value)

    def test_work_time_is_kept_until_it_is_stated_anew(self):
        self.assertEqual(self.reports.work_time, 1.0)
        self.reports.note_load(b"3,0,25,250")
        self.assertEqual(self.reports.work_time, 2.5)
        self.reports.note_load(b"3,0,25")
        self.assertEqual(self.reports.work_time, 1.0)
        self.reports.note_load(b"3,0,25,250")
        self.reports.note_start()
        self.assertEqual(self.reports.work_time, 1.0)

    def test_unreadable_figures_are_logged_once_per_change(self):
        for value in (b"3,0,x", b"4,1,x", b"3,0,25", b"3,0,25", b"3,0,x,100"):
            self.reports.note_load(value)
        self.log.flush()
        unreadable = [line["unreadable"] for line in self.lines]
        self.assertEqual(unreadable, [["n_slots"], [], ["n_slots"]])
        self.assertEqual(self.lines[0]["event"], "upstream_load_unreadable")
        self.assertEqual(self.queue.slots, slots_to_fill(25))

    def test_missing_or_unreadable_work_time_counts_as_the_usual(self):
        """Guards against a factor that stays after the upstream stopped stating it."""
        values = (b"3,0,25", b"3,0,25,250", b"3,0,25,x", b"3,0,25,x", b"3,0,25")
        for value in (*values, b"3,0,25,250"):
            self.reports.note_load(value)
            stated = 2.5 if value.endswith(b"250") else 1.0
            self.assertEqual(self.reports.work_time, stated, value)
        self.log.flush()
        lines = [line for line in self.lines if line["event"] == "upstream_work_time"]
        self.assertEqual([line["is_stated"] for line in lines], [False, True])
