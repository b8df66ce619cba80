"""Tests of the budget for repeats, over services of several sizes and loads."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.repeat_budget import (
    INTERVAL_S,
    WINDOW_S,
    RepeatBudget,
    slack_part,
)
from tests.repeat_replay import RepeatReplay

SLACK = 49.0
PER_S = 120.0
FAULT_S = (15.0, 45.0)
END_S = 50.0
# Upstreams of a service in fleets of 13, 57, 195 and 1,089 daemons; the largest fleet
# has 130 services.
SIZES = (4, 14, 49, 9)


class ServiceBudgetTest(unittest.TestCase):
    """Whatever the load, no window of a service holds more repeats than allowed."""

    def replay(self, n_upstreams, seed=1, **options):
        replay = RepeatReplay(n_upstreams, SLACK, seed, **options)
        replay.fault_s = FAULT_S
        return replay

    def check(self, replay):
        for service in ("front", "back"):
            n_repeats, allowed = replay.worst(service)
            self.assertLessEqual(n_repeats, allowed, service)

    def test_most_of_the_budget_is_used_when_it_is_needed(self):
        for n_upstreams in SIZES:
            with self.subTest(n_upstreams=n_upstreams):
                replay = self.replay(n_upstreams).arrive(PER_S, 0.0, END_S).play()
                self.check(replay)
                self.assertGreater(replay.fullest("front"), 0.8)

    def test_one_request_in_five_is_shed(self):
        replay = self.replay(4, shed_share=0.2).arrive(PER_S, 0.0, END_S).play()
        self.check(replay)
        self.assertGreater(replay.fullest("front"), 0.8)

    def test_uneven_load(self):
        replay = self.replay(4)
        replay.skew = 0.5
        self.check(replay.arrive(PER_S, 0.0, END_S).play())
        self.assertGreater(replay.fullest("front"), 0.8)

    def test_burst_before_a_low_load(self):
        for n_upstreams in (4, 49):
            replay = self.replay(n_upstreams).arrive(PER_S, 0.0, 20.0)
            replay.arrive(6.0 * PER_S, 20.0, 24.0).arrive(PER_S / 3.0, 24.0, END_S)
            self.check(replay.play())

    def test_callers_nearly_stop(self):
        replay = self.replay(4).arrive(PER_S, 0.0, 25.0).arrive(2.0, 25.0, END_S)
        self.check(replay.play())

    def test_new_callers(self):
        replay = self.replay(4).arrive(1.0, 0.0, 20.0).arrive(5.0 * PER_S, 20.0, 40.0)
        self.check(replay.play())

    def test_daemons_restart_in_turn(self):
        replay = self.replay(14).arrive(PER_S, 0.0, END_S)
        replay.restart_in_turn(20.0, 0.4)
        replay.restart_in_turn(30.0, 0.4)
        self.check(replay.play())

    def test_half_of_the_daemons_restart_at_once(self):
        replay = self.replay(14).arrive(PER_S, 0.0, END_S)
        for upstream in replay.upstreams["front"][::2]:
            for at_s in (20.0, 23.0, 31.0):
                replay.time.at(at_s, lambda upstream=upstream: replay.restart(upstream))
        self.check(replay.play())

    def test_upstreams_join_and_leave(self):
        replay = self.replay(4).arrive(PER_S, 0.0, END_S)
        for at_s in (20.0, 21.0, 33.0):
            replay.time.at(at_s, lambda: replay.add_upstream("front"))
        for at_s, number in ((24.0, 0), (26.0, 1), (39.0, 2)):
            upstream = replay.upstreams["front"][number]
            replay.time.at(at_s, lambda upstream=upstream: replay.stop(upstream))
        self.check(replay.play())

    def test_calls_of_repeated_runs(self):
        for n_upstreams in (4, 49):
            replay = self.replay(n_upstreams, n_calls=8).arrive(PER_S, 0.0, END_S)
            self.check(replay.play())
            self.assertGreater(replay.fullest("back"), 0.8)

    def test_repeated_runs_start_if_their_calls_can_be_repeated(self):
        replay = self.replay(4, n_calls=2).arrive(PER_S, 0.0, END_S).play()
        self.assertLess(replay.n_failed_runs, 0.7 * replay.n_runs)

    def test_mixed_priorities(self):
        replay = self.replay(4, ranks=(0, 1, 2)).arrive(PER_S, 0.0, END_S).play()
        self.check(replay)

    @settings(max_examples=25)
    @given(
        st.lists(
            st.tuples(st.sampled_from([0.5, 3.0, 40.0, 200.0]), st.integers(1, 12)),
            min_size=1,
            max_size=6,
        ),
        st.lists(st.tuples(st.floats(0.0, 40.0), st.integers(0, 4)), max_size=8),
        st.integers(0, 100),
    )
    def test_any_load_with_restarts_and_changes_of_the_list(
        self, periods, events, seed
    ):
        replay = RepeatReplay(3, 20.0, seed, n_calls=2)
        from_s = 0.0
        for per_s, seconds in periods:
            replay.arrive(per_s, from_s, from_s + seconds)
            from_s += seconds
        for at_s, number in events:
            if number == 3:
                replay.time.at(at_s, lambda: replay.add_upstream("front"))
            else:
                upstream = replay.upstreams["front"][number % 3]
                change = replay.stop if number == 4 else replay.restart
                replay.time.at(
                    at_s, lambda upstream=upstream, change=change: change(upstream)
                )
        self.check(replay.play())


class RepeatBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.budget = RepeatBudget(0.2, lambda: self.now_s)

    def request(self, per_s, seconds):
        for _ in range(int(per_s * seconds)):
            self.budget.note_request(self.now_s)
            self.now_s += 1.0 / per_s

    def take_all(self, seconds=0.0):
        """Take what there is, now and at each interval of the next seconds."""
        n_taken = 0
        until_s = self.now_s + seconds
        while True:
            while self.budget.try_take():
                n_taken += 1
            if self.now_s >= until_s:
                return n_taken
            self.now_s += INTERVAL_S

    def test_requests_allow_repeats_from_the_next_interval_on(self):
        self.assertEqual(self.take_all(), 0)
        self.request(40.0, 10.0)
        self.now_s += INTERVAL_S
        self.assertGreater(self.take_all(), 15)

    def test_repeats_of_a_steady_load_become_available_evenly(self):
        self.request(40.0, 10.0)
        n_taken = 0
        for _ in range(int(WINDOW_S / INTERVAL_S)):
            self.request(40.0, INTERVAL_S)
            n_taken += self.take_all()
        allowed = 0.2 * 40.0 * WINDOW_S
        self.assertTrue(0.9 * allowed < n_taken <= allowed, n_taken)

    def test_requests_of_two_windows_ago_allow_nothing(self):
        self.request(40.0, 10.0)
        self.now_s += WINDOW_S + INTERVAL_S
        self.assertEqual(self.take_all(), 0)

    def test_repeats_of_the_last_window_are_deducted(self):
        self.request(40.0, 10.0)
        self.now_s += INTERVAL_S
        n_first = self.take_all()
        self.request(40.0, 5.0)
        n_second = self.take_all()
        self.assertLessEqual(n_first + n_second, 0.2 * 40.0 * 10.0)

    def test_request_is_counted_when_it_was_sent(self):
        sent_s = self.now_s
        self.now_s += WINDOW_S
        for _ in range(100):
            self.budget.note_request(sent_s)
        self.now_s += WINDOW_S + INTERVAL_S
        self.assertEqual(self.take_all(), 0)

    def test_slack_is_used_a_window_after_the_start(self):
        self.budget.set_slack(10)
        self.assertEqual(self.take_all(), 0)
        self.assertEqual(self.take_all(seconds=WINDOW_S - INTERVAL_S), 0)
        self.assertEqual(self.take_all(seconds=WINDOW_S), 10)

    def test_smaller_slack_holds_at_once_and_a_larger_one_later(self):
        self.budget.set_slack(10)
        self.now_s += 2.0 * WINDOW_S
        self.budget.set_slack(5)
        self.assertEqual(self.take_all(seconds=WINDOW_S - INTERVAL_S), 5)
        self.now_s += WINDOW_S
        self.budget.set_slack(10)
        self.assertEqual(self.take_all(seconds=WINDOW_S - INTERVAL_S), 5)
        self.now_s += WINDOW_S
        self.assertEqual(self.take_all(seconds=WINDOW_S - INTERVAL_S), 10)

    def test_slack_that_was_smaller_for_a_moment_is_used_again(self):
        self.budget.set_slack(10)
        self.now_s += 2.0 * WINDOW_S
        self.budget.set_slack(0)
        self.now_s += 1.0
        self.budget.set_slack(10)
        self.assertEqual(self.take_all(seconds=WINDOW_S - INTERVAL_S), 10)

    def test_parts_of_the_slack_add_up(self):
        for n_upstreams in (1, 3, 44, 272):
            parts = [slack_part(49.0, i, n_upstreams) for i in range(n_upstreams)]
            self.assertEqual(sum(parts), int(0.9 * 49.0))
            self.assertLessEqual(max(parts) - min(parts), 1)

    def test_load_that_ended_long_ago_is_forgotten(self):
        self.request(40.0, 10.0)
        self.now_s += 1000.0
        self.assertEqual(self.take_all(), 0)
        self.assertEqual(self.budget.saved_max, 0.0)
