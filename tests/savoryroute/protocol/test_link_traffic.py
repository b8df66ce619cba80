"""Tests of the frame and byte counts of links."""

import unittest

from savoryroute.protocol.frames import Cancel, Goodbye
from savoryroute.protocol.link_traffic import LinkTraffic


class LinkTrafficTest(unittest.TestCase):
    def test_calls_and_control_frames_are_counted_separately(self):
        traffic = LinkTraffic()
        traffic.note_sent(Cancel(1), 10)
        traffic.note_sent(Goodbye("h", 1), 20)
        traffic.note_received(Goodbye("h", 1), 30)
        traffic.note_received(Goodbye("h", 1), 40)
        gauges = traffic.gauges()
        self.assertEqual(len(gauges), 8)
        self.assertEqual(gauges["calls_sent_bytes"], 10)
        self.assertEqual(gauges["control_sent_bytes"], 20)
        self.assertEqual(gauges["control_received_bytes"], 70)
        self.assertEqual(gauges["control_received_frames"], 2)
        self.assertEqual(gauges["calls_received_frames"], 0)
