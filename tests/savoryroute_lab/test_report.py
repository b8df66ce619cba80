"""Tests of goodput, recovery time and the result table."""

import unittest

from savoryroute.verdict import Verdict
from savoryroute_lab.report import Window, goodput, recovery_s, table
from savoryroute_lab.tally import Attempt, LogicalRequest, tally_by_class


def request(started_s, status):
    attempt = Attempt(
        "e", "", started_s, 0.01, status, Verdict.RAN, has_verified_body=status == 200
    )
    request = LogicalRequest("view", "crews", "GET", "/", True, "r", "t", started_s)
    request.attempts.append(attempt)
    return request


class ReportTests(unittest.TestCase):
    def test_goodput_and_recovery_time(self):
        recovered_at_s = 12.0
        times = [n / 10 for n in range(200)]
        requests = [request(t, 502 if 5 <= t < recovered_at_s else 200) for t in times]
        self.assertEqual(goodput(requests, Window(0, 5)), 1.0)
        self.assertEqual(goodput(requests, Window(5, 10)), 0.0)
        self.assertEqual(recovery_s(requests, 1.0, Window(10, 20)), 2.0)
        self.assertIsNone(recovery_s(requests, 1.0, Window(8, 11)))

    def test_table(self):
        tallies = tally_by_class([request(0.0, 200), request(0.0, 502)])
        head, line = table(tallies.values()).splitlines()
        self.assertEqual(len(head), len(line))
        self.assertEqual(line.split()[:4], ["view", "2", "2", "1"])
