"""Tests of the command explain."""

import unittest

from ..console import CLOSED, StandIn, json_answer, run


class ExplainTest(unittest.TestCase):
    def test_decisions(self):
        entries = [{"uptime_s": 1.5, "what": "admitted", "detail": "rank 0"}, {}, 1]
        with StandIn(json_answer({"decisions": entries})) as daemon:
            done = run("explain", daemon.address, "sr1.a/b?")
        self.assertEqual(done.code, 0)
        self.assertTrue(done.out.startswith("1.500 s admitted rank 0\n"))
        self.assertEqual(daemon.requests[0].raw_path, "/explain/sr1.a%2Fb%3F")

    def test_unknown_action(self):
        with StandIn(json_answer({"decisions": []})) as daemon:
            self.assertEqual(run("explain", daemon.address, "a").code, 1)
        self.assertEqual(run("explain", CLOSED, "a").code, 3)
