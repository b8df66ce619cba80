"""Tests of the benchmark's fluid oracle."""

import unittest

from savoryroute_lab.action_templates import ActionTemplate, LoadClass
from savoryroute_lab.bench.fluid import (
    Capacity,
    Flow,
    complete_answers,
    flows_of,
    serve_by_rank,
)
from savoryroute_lab.calls import Plan, parse_steps

CAPACITY = Capacity({"a": 10.0, "b": 4.0}, {"a": 0.1, "b": 0.5})


def flow(rank, rate_per_s, **demand_s):
    return Flow("view", rank, rate_per_s, 1.0, demand_s)


class DemandTests(unittest.TestCase):
    def test_slot_is_occupied_during_downstream_calls(self):
        plan = Plan(parse_steps("b:/x,a:/y"))
        demand_s = CAPACITY.demand_s("a", plan)
        self.assertAlmostEqual(demand_s["a"], 0.7 + 0.1)
        self.assertAlmostEqual(demand_s["b"], 0.6)

    def test_downstream_calls_of_a_fan_run_concurrently(self):
        plan = Plan(fan=parse_steps("b:/x,a:/y"))
        self.assertAlmostEqual(CAPACITY.latency_s("a", plan), 0.6)

    def test_templates_of_a_class_share_its_rate(self):
        load = [
            LoadClass(
                1.0,
                (ActionTemplate("view", "a", "/"), ActionTemplate("view", "b", "/")),
            )
        ]
        flows = flows_of(load, {"view": 2}, CAPACITY, {"view": 6.0})
        self.assertEqual([item.rate_per_s for item in flows], [3.0, 3.0])


class ServeTests(unittest.TestCase):
    def test_all_requests_are_served_below_capacity(self):
        flows = [flow(0, 4.0, b=0.5), flow(1, 3.0, b=0.5)]
        self.assertEqual(serve_by_rank(flows, {"b": 4.0}), [4.0, 3.0])

    def test_better_ranks_are_served_first(self):
        flows = [flow(1, 20.0, b=0.5), flow(0, 6.0, b=0.5)]
        served = serve_by_rank(flows, {"b": 4.0})
        self.assertAlmostEqual(served[0], 2.0)
        self.assertAlmostEqual(served[1], 6.0)

    def test_flows_of_a_rank_get_the_same_share(self):
        flows = [flow(0, 10.0, b=0.5), flow(0, 30.0, b=0.5)]
        served = serve_by_rank(flows, {"b": 4.0})
        self.assertAlmostEqual(served[0], 2.0)
        self.assertAlmostEqual(served[1], 6.0)

    def test_flow_without_a_saturated_service_is_served(self):
        flows = [flow(0, 20.0, b=0.5), flow(0, 20.0, a=0.1), flow(1, 5.0, a=0.1)]
        served = serve_by_rank(flows, {"a": 10.0, "b": 4.0})
        self.assertAlmostEqual(served[0], 8.0)
        self.assertAlmostEqual(served[1], 20.0)
        self.assertAlmostEqual(served[2], 5.0)

    def test_served_flows_fit_in_the_slots(self):
        flows = [flow(0, 50.0, a=0.3, b=0.2), flow(2, 50.0, a=0.1), flow(1, 0.0)]
        served = serve_by_rank(flows, {"a": 10.0, "b": 4.0})
        pairs = list(zip(served, flows, strict=True))
        for name, slots in (("a", 10.0), ("b", 4.0)):
            n_slots = sum(rate * item.demand_s.get(name, 0.0) for rate, item in pairs)
            self.assertLessEqual(n_slots, slots + 1e-6)


class CompleteAnswersTests(unittest.TestCase):
    def test_rate_after_a_change_counts_from_the_first_answer(self):
        before = Flow("view", 0, 10.0, 0.2, {})
        during = Flow("view", 0, 30.0, 1.0, {})
        self.assertAlmostEqual(complete_answers(before, during, 12.0, 6.0), 2.0 + 60.0)
