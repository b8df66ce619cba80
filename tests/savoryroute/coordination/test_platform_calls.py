"""Tests of the calls to the platform: their log, doubts and waits."""

import random
import unittest
from unittest import mock

from savoryroute.coordination.platform_calls import (
    N_SHORT_WATCHES,
    PROBE_WAIT_S,
    SHORT_WAIT_MAX_S,
    WATCH_WAIT_S,
    PlatformCalls,
    Topic,
)
from savoryroute.state.event_log import EventLog


class PlatformCallsTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.log = mock.create_autospec(EventLog, instance=True)
        self.calls = PlatformCalls(self.log, random.Random(1), lambda: self.now_s)

    def fail(self, topic, waited_s, error="silent"):
        self.calls.start(topic)
        self.now_s += waited_s
        self.calls.record_failure(topic, error, is_answered=False)

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


class DoubtTest(unittest.TestCase):
    """Guards against a lost watch that is awaited while other calls show the loss."""

    def setUp(self):
        log = mock.create_autospec(EventLog, instance=True)
        self.calls = PlatformCalls(log, random.Random(1), lambda: 100.0)
        self.given_up = []
        for topic in (Topic.CONFIGURATION, Topic.INSTANCES):
            self.calls.on_give_up(
                topic, lambda topic=topic: self.given_up.append(topic)
            )
            self.calls.start(topic)

    def wait_s(self, topic, n_hosts=1000):
        return self.calls.wait_s(topic, n_hosts)

    def test_unanswered_call_gives_up_the_watches_of_other_topics(self):
        self.calls.record_failure(Topic.INSTANCES, "silent", is_answered=False)
        self.assertEqual(self.given_up, [Topic.CONFIGURATION])

    def test_failed_read_of_the_proof_gives_up_both_watches(self):
        self.calls.record_failure(Topic.PROOF, "silent", is_answered=False)
        self.assertEqual(self.given_up, [Topic.CONFIGURATION, Topic.INSTANCES])

    def test_answer_that_the_platform_is_in_order_gives_up_nothing(self):
        self.calls.record_failure(Topic.INSTANCES, "429", is_answered=True)
        self.assertEqual(self.given_up, [])

    def test_short_calls_do_not_give_up_each_other(self):
        for topic in 3 * [Topic.INSTANCES, Topic.CONFIGURATION]:
            self.calls.record_failure(topic, "silent", is_answered=False)
        self.assertEqual(self.given_up, [Topic.CONFIGURATION])

    def test_calls_are_short_until_one_of_their_topic_is_answered(self):
        self.calls.record_failure(Topic.INSTANCES, "silent", is_answered=False)
        self.calls.record_answer(Topic.INSTANCES)
        self.assertEqual(self.wait_s(Topic.INSTANCES), WATCH_WAIT_S)
        self.assertEqual(self.wait_s(Topic.CONFIGURATION), PROBE_WAIT_S)
        self.calls.record_answer(Topic.CONFIGURATION)
        self.assertEqual(self.wait_s(Topic.CONFIGURATION), WATCH_WAIT_S)


class ShortWatchTest(unittest.TestCase):
    """Replays fleets whose watches are all sent, and lost, at the same moment."""

    def waits_s(self, n_hosts, seed):
        log = mock.create_autospec(EventLog, instance=True)
        calls = PlatformCalls(log, random.Random(seed))
        return [calls.wait_s(Topic.CONFIGURATION, n_hosts) for _ in range(n_hosts)]

    def test_every_watch_of_a_small_fleet_is_short(self):
        for n_hosts in (1, 2, N_SHORT_WATCHES):
            self.assertLessEqual(max(self.waits_s(n_hosts, 1)), SHORT_WAIT_MAX_S)

    def test_one_of_the_fleet_notices_in_time_at_any_size(self):
        for n_hosts in (13, 57, 195, 1089):
            n_missed = sum(
                min(self.waits_s(n_hosts, seed)) > SHORT_WAIT_MAX_S
                for seed in range(200)
            )
            self.assertLessEqual(n_missed, 2, n_hosts)

    def test_number_of_short_watches_does_not_grow_with_the_fleet(self):
        for n_hosts in (13, 57, 195, 1089):
            n_short = sum(
                wait_s < WATCH_WAIT_S
                for seed in range(50)
                for wait_s in self.waits_s(n_hosts, seed)
            )
            self.assertLess(n_short / 50, 1.3 * N_SHORT_WATCHES, n_hosts)
