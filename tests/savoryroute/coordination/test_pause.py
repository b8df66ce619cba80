"""Tests of the pause detector."""

import unittest

from savoryroute.coordination.pause import PauseDetector
from savoryroute_lab.virtual_loop import run_virtual


class PauseDetectorTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.pauses = []
        self.detector = PauseDetector(self.pauses.append, lambda: self.now_s)

    def test_pause_is_detected_by_the_next_check(self):
        self.now_s += 0.2
        self.assertTrue(self.detector.check())
        self.now_s += 0.5
        self.assertFalse(self.detector.check())
        self.assertEqual(len(self.pauses), 1)

    def test_view_stays_stale_until_refreshed(self):
        self.now_s += 60
        self.detector.check()
        self.assertFalse(self.detector.check())
        self.detector.mark_refreshed()
        self.assertTrue(self.detector.check())
        self.assertEqual(self.detector.n_pauses, 1)

    def test_start_and_stop(self):
        async def scenario():
            await self.detector.start()
            await self.detector.stop()

        run_virtual(scenario())
        self.assertEqual(self.pauses, [])
