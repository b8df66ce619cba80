"""Tests of the time that a hop spends on downstream calls."""

import unittest
from unittest import mock

from savoryroute.coordination.hops import HopTable


class DownstreamTimeTests(unittest.TestCase):
    def test_concurrent_calls_count_once(self):
        with mock.patch("savoryroute.coordination.hops.time") as time:
            time.monotonic.return_value = 10.0
            hop = HopTable().open("a", "", "view", 5.0, 8, 1, "")
            hop.begin_call()
            time.monotonic.return_value = 11.0
            hop.begin_call()
            time.monotonic.return_value = 12.0
            hop.end_call()
            time.monotonic.return_value = 13.0
            hop.end_call()
            time.monotonic.return_value = 20.0
            hop.begin_call()
            time.monotonic.return_value = 20.5
            self.assertEqual(hop.downstream_s, 3.5)
            hop.end_call()
        self.assertEqual((hop.n_calls, hop.n_calls_open), (3, 0))
        self.assertEqual(hop.downstream_s, 3.5)
