"""Tests of the admission levels recorded from answers to attempts."""

import random
import unittest
from unittest import mock

from savoryroute.coordination.admission_level import HIGHEST_LEVEL, LevelKey, LevelMap
from savoryroute.coordination.attempts import Attempts
from savoryroute.verdict import Verdict

KEY = LevelKey("planner", "plan_view", "/plans/*?")


class NoteLevelTests(unittest.TestCase):
    def setUp(self):
        self.levels = LevelMap()
        self.attempts = Attempts(
            mock.Mock(), mock.Mock(), self.levels, mock.Mock(), mock.Mock()
        )

    def note_level(self, verdict, level, hop=None):
        action = mock.Mock(hop=hop, level_key=KEY)
        answer = mock.Mock(verdict=verdict, level=level)
        with mock.patch("savoryroute.coordination.attempts.time") as time:
            time.monotonic.return_value = 10.0
            self.attempts._note_level(action, answer)

    def refuses(self):
        draws = random.Random(1)
        return not all(self.levels.admits(KEY, 2, 10.1, draws) for _ in range(50))

    def test_refusal_by_the_gate_does_not_change_the_downstream_level(self):
        self.note_level(Verdict.RAN, 1.0)
        self.note_level(Verdict.NOT_RUN, HIGHEST_LEVEL)
        self.assertTrue(self.refuses())

    def test_answer_of_a_run_raises_the_level(self):
        self.note_level(Verdict.RAN, 1.0)
        self.note_level(Verdict.RAN, HIGHEST_LEVEL)
        self.assertFalse(self.refuses())

    def test_hop_passes_on_the_level_of_a_refusal(self):
        hop = mock.Mock()
        self.note_level(Verdict.NOT_RUN, 1.0, hop)
        hop.note_level.assert_called_once_with(1.0)
