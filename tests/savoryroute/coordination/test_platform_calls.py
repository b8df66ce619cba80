"""Tests of the record of calls to the platform."""

import unittest
from unittest import mock

from savoryroute.coordination.platform_calls import PlatformCalls, Topic
from savoryroute.state.event_log import EventLog


class PlatformCallsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.log = mock.create_autospec(EventLog, instance=True)
        self.calls = PlatformCalls(self.log, lambda: self.now_s)

    def fail(self, topic, waited_s, error="silent"):
        self.calls.start(topic)
        self.now_s += waited_s
        self.calls.record_failure(topic, error)

    def answer(self, topic):
        self.calls.start(topic)
        self.calls.record_answer(topic)

    def test_log_shows_how_long_the_call_of_each_topic_had_waited(self):
        self.fail(Topic.INSTANCES, 2.0)
        self.fail(Topic.CONFIGURATION, 9.0)
        self.assertEqual(
            self.log.change.mock_calls,
            [
                mock.call(
                    "platform_call_failed", topic=topic, waited_s=s, error="silent"
                )
                for topic, s in (("instances", 2.0), ("configuration", 9.0))
            ],
        )

    def test_a_series_of_failed_calls_leaves_two_lines(self):
        for _ in range(5):
            self.fail(Topic.CONFIGURATION, 1.0)
        self.answer(Topic.INSTANCES)
        self.answer(Topic.CONFIGURATION)
        self.answer(Topic.CONFIGURATION)
        self.assertEqual(len(self.log.change.mock_calls), 2)
        self.log.change.assert_called_with(
            "platform_call_answered", topic="configuration", n_failed=5, failing_s=4.0
        )

    def test_ages_of_answers(self):
        self.assertEqual(self.calls.answer_ages_s, {})
        self.answer(Topic.PROOF)
        self.now_s += 3.0
        self.fail(Topic.PROOF, 1.0)
        self.assertEqual(self.calls.answer_ages_s, {"proof": 4.0})
