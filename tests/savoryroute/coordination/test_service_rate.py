"""Tests of measured rates and service times: they follow rises and falls."""

import unittest

from savoryroute.coordination.service_rate import ServiceRate, UsualLatency


class ServiceRateTests(unittest.TestCase):
    def test_rate_of_a_slow_period_does_not_persist(self):
        rate = ServiceRate(0.0)
        now = self.serve(rate, 0.0, n_answers=24, answer_s=0.25, idle_s=0.0)
        self.assertAlmostEqual(rate.per_s, 4.0, delta=0.5)
        # Four times as fast, and saturated for only a fifth of the time.
        self.serve(rate, now, n_answers=16, answer_s=0.0625, idle_s=0.25)
        self.assertGreater(rate.per_s, 12.0)

    def serve(self, rate, now, n_answers, answer_s, idle_s):
        for _ in range(n_answers):
            now += idle_s
            rate.advance(now, is_saturated=False)
            now += answer_s
            rate.advance(now, is_saturated=True)
            rate.count()
        return now


class UsualLatencyTests(unittest.TestCase):
    def test_aborted_runs_raise_the_latency(self):
        usual = UsualLatency()
        usual.add(0, 0.25)
        for _ in range(8):
            usual.add_at_least(0, 0.9)
        self.assertGreater(usual.of(0), 0.8)

    def test_run_aborted_early_is_ignored(self):
        usual = UsualLatency()
        usual.add(0, 0.25)
        usual.add_at_least(0, 0.1)
        usual.add_at_least(1, 0.1)
        self.assertEqual((usual.of(0), usual.of(1)), (0.25, 0.0))

    def test_latency_follows_a_slowed_upstream_within_a_few_answers(self):
        usual = UsualLatency()
        usual.add(0, 0.25)
        for _ in range(5):
            usual.add(0, 1.0)
        self.assertGreater(usual.of(0), 0.95)

    def test_latency_includes_a_margin_above_the_mean(self):
        usual = UsualLatency()
        for number in range(100):
            usual.add(0, 0.8 if number % 2 else 1.2)
        self.assertGreater(usual.of(0), 1.1)
