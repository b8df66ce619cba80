"""Tests of admission levels: decrease by the excess, recovery and probes."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.admission_level import (
    HIGHEST_LEVEL,
    N_SHAPES_MAX,
    LevelController,
    LevelKey,
    LevelMap,
    refusal_probability,
    reported_level,
    request_shape,
)

KEY = LevelKey("planner", "plan_view")
LEVELS = st.floats(0.0, 8.0)
RANKS = st.integers(0, 7)


class RefusalProbabilityTests(unittest.TestCase):
    @given(RANKS, LEVELS)
    def test_higher_priority_is_not_refused_more_often(self, rank, level):
        self.assertLessEqual(
            refusal_probability(rank, level), refusal_probability(rank + 1, level)
        )
        self.assertLess(refusal_probability(rank, level), 1.0)

    def test_full_level_refuses_nothing(self):
        self.assertEqual(refusal_probability(7, HIGHEST_LEVEL), 0.0)


class LevelControllerTests(unittest.TestCase):
    def test_cut_stops_at_the_lowest_refused_rank(self):
        controller = LevelController(0.0)
        controller.on_arrival(3, 0.05)
        controller.on_refusal(0.05)
        self.assertEqual(controller.level(0.15), 3.0)

    def test_cut_equals_the_excess_from_the_lowest_priority_up(self):
        controller = LevelController(0.0)
        for rank in [0] * 20 + [3] * 80:
            controller.on_arrival(rank, 0.05)
        for _ in range(40):
            controller.on_refusal(0.05)
        self.assertAlmostEqual(controller.level(0.1), 3.5)

    def test_standing_queue_lowers_the_level_and_short_burst_does_not(self):
        burst, standing = LevelController(0.0), LevelController(0.0)
        for controller in (burst, standing):
            controller.on_arrival(2, 0.01)
            controller.on_delay(1.0, 0.01)
        burst.on_delay(0.0, 0.15)
        for tick in range(1, 10):
            standing.on_arrival(2, tick / 10 + 0.05)
        self.assertEqual(burst.level(0.9), HIGHEST_LEVEL)
        self.assertLess(standing.level(1.0), 3.0)

    @given(st.lists(st.tuples(RANKS, st.booleans(), st.floats(0.0, 0.2))))
    def test_any_level_recovers_within_two_seconds(self, events):
        controller, now = LevelController(0.0), 0.0
        for rank, is_refused, elapsed_s in events:
            now += elapsed_s
            controller.on_arrival(rank, now)
            if is_refused:
                controller.on_refusal(now)
            self.assertTrue(0.0 <= controller.level(now) <= HIGHEST_LEVEL)
        self.assertEqual(controller.level(now + 2.0), HIGHEST_LEVEL)

    def test_stalled_queue_keeps_the_level_low(self):
        controller = LevelController(0.0)
        controller.on_arrival(1, 0.05)
        controller.on_refusal(0.05)
        controller.on_delay(1.0, 0.15)
        low = controller.level(0.3)
        self.assertLess(low, HIGHEST_LEVEL)
        self.assertEqual(controller.level(30.0), low)


class LevelMapTests(unittest.TestCase):
    @given(LEVELS, st.floats(0.0, 2.5))
    def test_level_recovers_after_the_last_report(self, level, elapsed_s):
        levels = LevelMap()
        levels.note(KEY, level, 10.0)
        self.assertEqual(levels.level(KEY, 10.0), level)
        later = levels.level(KEY, 10.0 + elapsed_s)
        self.assertTrue(level <= later <= HIGHEST_LEVEL)
        self.assertEqual(levels.level(KEY, 12.5 + 1e-9), HIGHEST_LEVEL)

    def test_probes_are_admitted_at_level_zero(self):
        levels, rng = LevelMap(), random.Random(1)
        levels.note(KEY, 0.0, 0.0)
        admitted = sum(levels.admits(KEY, 7, 0.0, rng) for _ in range(10000))
        self.assertTrue(100 <= admitted <= 300, admitted)

    def test_other_classes_are_not_affected(self):
        levels = LevelMap()
        levels.note(KEY, 0.0, 0.0)
        other = LevelKey("planner", "order")
        self.assertEqual(levels.level(other, 0.0), HIGHEST_LEVEL)


class ShapeTests(unittest.TestCase):
    def test_numbers_and_query_values_do_not_change_the_shape(self):
        one = request_shape("/plans/17/walls/w3?depth=2&crews=yes")
        other = request_shape("/plans/9/walls/w4?crews=no&depth=11")
        self.assertEqual(one, other)

    def test_path_and_query_names_change_the_shape(self):
        targets = ["/plans/17", "/orders/17", "/plans/17/walls", "/plans/17?crews=1"]
        self.assertEqual(len({request_shape(target) for target in targets}), 4)

    def test_shape_without_overload_is_not_refused_for_another_shape(self):
        levels = LevelMap()
        overloaded = LevelKey("planner", "plan_view", "/plans/*?crews")
        idle = LevelKey("planner", "plan_view", "/plans/*?")
        levels.note(idle, HIGHEST_LEVEL, 0.0)
        levels.note(overloaded, 1.0, 0.1)
        self.assertEqual(levels.level(overloaded, 0.2), 1.0)
        self.assertEqual(levels.level(idle, 0.2), HIGHEST_LEVEL)

    def test_answer_to_another_shape_does_not_raise_the_level(self):
        levels = LevelMap()
        overloaded = LevelKey("planner", "plan_view", "/plans/*?crews")
        idle = LevelKey("planner", "plan_view", "/plans/*?")
        levels.note(overloaded, 1.0, 0.0)
        levels.note(idle, HIGHEST_LEVEL, 0.1)
        self.assertEqual(levels.level(overloaded, 0.2), 1.0)

    def test_unknown_shape_has_the_level_of_its_class(self):
        levels = LevelMap()
        levels.note(LevelKey("planner", "plan_view", "/plans/*?"), 1.0, 0.0)
        other = LevelKey("planner", "plan_view", "/walls/*?")
        self.assertEqual(levels.level(other, 0.1), 1.0)
        self.assertEqual(levels.level(other, 60.0), HIGHEST_LEVEL)

    def test_number_of_shapes_is_bounded(self):
        levels = LevelMap()
        for number in range(N_SHAPES_MAX + 10):
            levels.note(LevelKey("planner", "v", f"/{number}"), 1.0, 0.0)
        self.assertEqual(len(levels._by_shape), N_SHAPES_MAX)


class ReportedLevelTests(unittest.TestCase):
    def test_first_hop_does_not_get_the_level_of_the_gate_that_it_calls(self):
        self.assertEqual(reported_level(0, HIGHEST_LEVEL, 1.5), HIGHEST_LEVEL)
        self.assertEqual(reported_level(0, 2.5, 1.5), 2.5)

    def test_gate_further_downstream_reports_its_level(self):
        self.assertEqual(reported_level(2, HIGHEST_LEVEL, 1.5), 1.5)
        self.assertEqual(reported_level(2, 1.0, 1.5), 1.0)
