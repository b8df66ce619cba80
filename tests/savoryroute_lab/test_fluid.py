"""Tests of the fluid oracle of the benchmark."""

import unittest

from savoryroute_lab.action_templates import ActionTemplate, LoadClass
from savoryroute_lab.bench.fluid import (
    Capacity,
    Kind,
    kinds_of,
    serve_by_rank,
    whole_answers,
)
from savoryroute_lab.calls import Plan, parse_steps

CAPACITY = Capacity({"a": 10.0, "b": 4.0}, {"a": 0.1, "b": 0.5})


def kind(rank, rate_per_s, **demand_s):
    return Kind("view", rank, rate_per_s, 1.0, demand_s)


class DemandTests(unittest.TestCase):
    def test_a_slot_is_held_while_the_chain_below_runs(self):
        plan = Plan(parse_steps("b:/x,a:/y"))
        demand_s = CAPACITY.demand_s("a", plan)
        self.assertAlmostEqual(demand_s["a"], 0.7 + 0.1)
        self.assertAlmostEqual(demand_s["b"], 0.6)

    def test_children_of_a_fan_run_side_by_side(self):
        plan = Plan(fan=parse_steps("b:/x,a:/y"))
        self.assertAlmostEqual(CAPACITY.latency_s("a", plan), 0.6)

    def test_the_sends_of_a_class_share_its_rate(self):
        load = [
            LoadClass(
                1.0,
                (ActionTemplate("view", "a", "/"), ActionTemplate("view", "b", "/")),
            )
        ]
        kinds = kinds_of(load, {"view": 2}, CAPACITY, {"view": 6.0})
        self.assertEqual([found.rate_per_s for found in kinds], [3.0, 3.0])


class ServeTests(unittest.TestCase):
    def test_all_is_served_below_capacity(self):
        kinds = [kind(0, 4.0, b=0.5), kind(1, 3.0, b=0.5)]
        self.assertEqual(serve_by_rank(kinds, {"b": 4.0}), [4.0, 3.0])

    def test_better_ranks_are_served_first(self):
        kinds = [kind(1, 20.0, b=0.5), kind(0, 6.0, b=0.5)]
        served = serve_by_rank(kinds, {"b": 4.0})
        self.assertAlmostEqual(served[0], 2.0)
        self.assertAlmostEqual(served[1], 6.0)

    def test_kinds_of_a_rank_are_cut_alike(self):
        kinds = [kind(0, 10.0, b=0.5), kind(0, 30.0, b=0.5)]
        served = serve_by_rank(kinds, {"b": 4.0})
        self.assertAlmostEqual(served[0], 2.0)
        self.assertAlmostEqual(served[1], 6.0)

    def test_what_needs_no_full_service_is_served(self):
        kinds = [kind(0, 20.0, b=0.5), kind(0, 20.0, a=0.1), kind(1, 5.0, a=0.1)]
        served = serve_by_rank(kinds, {"a": 10.0, "b": 4.0})
        self.assertAlmostEqual(served[0], 8.0)
        self.assertAlmostEqual(served[1], 20.0)
        self.assertAlmostEqual(served[2], 5.0)

    def test_nothing_is_served_beyond_the_slots(self):
        kinds = [kind(0, 50.0, a=0.3, b=0.2), kind(2, 50.0, a=0.1), kind(1, 0.0)]
        served = serve_by_rank(kinds, {"a": 10.0, "b": 4.0})
        pairs = list(zip(served, kinds, strict=True))
        for name, slots in (("a", 10.0), ("b", 4.0)):
            taken = sum(rate * found.demand_s.get(name, 0.0) for rate, found in pairs)
            self.assertLessEqual(taken, slots + 1e-6)


class WholeAnswersTests(unittest.TestCase):
    def test_a_change_counts_from_the_first_answer_at_the_new_pace(self):
        before = Kind("view", 0, 10.0, 0.2, {})
        during = Kind("view", 0, 30.0, 1.0, {})
        self.assertAlmostEqual(whole_answers(before, during, 12.0, 6.0), 2.0 + 60.0)
