"""Tests of the selection of an instance by domain, load and recent outcomes."""

import collections
import random
import unittest

from savoryroute.coordination.instance_selector import InstanceSelector
from savoryroute.protocol.mesh_frames import MeshAnswer
from savoryroute.state.fleet_view import Instance, ServiceInstances
from savoryroute.verdict import Verdict


def instance(id_, domain, ip="10.0.0.9", slots=10):
    return Instance(id_, "planner", ip, domain, slots, True)


class InstanceSelectorTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.selector = InstanceSelector(
            "10.0.0.1", "a", random.Random(5), lambda: self.now_s
        )
        self.near = [instance("n1", "a"), instance("n2", "a")]
        self.far = [instance("f1", "b"), instance("f2", "b")]

    def choose(self, instances, tried, suspects=()):
        listed = ServiceInstances(instances)
        return self.selector.choose(listed, tried, lambda ip: ip in suspects)

    def report_load(self, item, n_calls):
        self.selector.note_report(item, n_calls, item.slots)

    def test_local_domain_is_preferred_until_it_is_nearly_full(self):
        self.assertIn(self.choose(self.near + self.far, []), self.near)
        for item in self.near:
            self.report_load(item, 9)
        self.assertIn(self.choose(self.near + self.far, []), self.far)

    def test_least_loaded_instance_is_chosen(self):
        self.report_load(self.near[0], 6)
        self.report_load(self.near[1], 2)
        self.assertEqual(self.choose(self.near, []).id, "n2")

    def test_failing_instance_that_looks_idle_gets_few_calls(self):
        """An instance fails half of its calls immediately and so reports no load."""
        counts = collections.Counter()
        rng = random.Random(9)
        for _ in range(2000):
            chosen = self.choose(self.near, [])
            counts[chosen.id] += 1
            is_failing = chosen.id == "n1"
            self.selector.note_outcome(
                chosen, is_failing and rng.random() < 0.5, "r", 0.1
            )
            self.report_load(chosen, 0 if is_failing else 4)
            self.now_s += 0.01
        self.assertLess(counts["n1"], 0.25 * counts["n2"])

    def test_slow_instance_gets_fewer_calls_even_while_all_are_idle(self):
        """One of two instances takes five times as long; no queue builds up."""
        counts = collections.Counter()
        for _ in range(2000):
            chosen = self.choose(self.near, [])
            counts[chosen.id] += 1
            latency_s = 0.5 if chosen.id == "n1" else 0.1
            self.selector.note_outcome(chosen, False, "r", latency_s)
            self.report_load(chosen, 2)
            self.now_s += 0.01
        self.assertLess(counts["n1"], 0.2 * counts["n2"])
        self.assertGreater(counts["n1"], 0)

    def test_long_routes_do_not_count_as_slowness(self):
        for _ in range(500):
            self.selector.note_outcome(self.near[0], False, "long", 1.0)
            self.selector.note_outcome(self.near[1], False, "short", 0.01)
        slow = [
            self.selector.record(item).current_slowness(self.now_s)
            for item in self.near
        ]
        self.assertAlmostEqual(slow[0], slow[1], places=3)

    def test_unavailable_and_tried_instances_are_excluded(self):
        self.selector.note_unavailable(self.near[0])
        self.assertEqual(self.choose(self.near, []).id, "n2")
        self.assertIsNone(self.choose(self.near, ["n2"]))
        self.now_s += 1.0
        self.assertEqual(self.choose(self.near, ["n2"]).id, "n1")

    def test_report_decays_so_that_a_full_instance_is_tried_again(self):
        self.report_load(self.near[0], 20)
        self.now_s += 5.0
        self.selector.note_sent(self.near[1], "r")
        self.assertEqual(self.choose(self.near, []).id, "n1")

    def test_calls_since_the_report_count(self):
        for item in self.near:
            self.report_load(item, 0)
        counts = collections.Counter()
        for _ in range(10):
            chosen = self.choose(self.near, [])
            self.selector.note_sent(chosen, "r")
            counts[chosen.id] += 1
        self.assertEqual(counts, {"n1": 5, "n2": 5})

    def test_overdue_calls_count_before_they_are_answered(self):
        for item in self.near:
            for _ in range(100):
                self.selector.note_outcome(item, False, "r", 0.1)
        for item in self.near:
            self.selector.note_sent(item, "r")
            self.selector.note_sent(item, "r")
        answered = [self.selector.note_sent(self.near[1], "r") for _ in range(4)]
        self.now_s += 0.1
        for sent in answered:
            self.selector.note_answer(sent, MeshAnswer(0, Verdict.RAN, status=200))
        self.now_s += 0.2
        for sent in list(self.selector.record(self.near[1]).sent):
            self.selector.note_cancelled(sent)
            self.selector.note_sent(self.near[1], "r")
        costs = [
            self.selector.record(item).cost(self.now_s, 10, {"r": 0.1})
            for item in self.near
        ]
        self.assertGreater(costs[0], 2.0 * costs[1])

    def test_one_long_call_does_not_count_as_overdue(self):
        self.selector.note_outcome(self.near[0], False, "r", 0.1)
        self.selector.note_sent(self.near[0], "r")
        self.now_s += 1.0
        record = self.selector.record(self.near[0])
        self.assertEqual(record.overdue_factor(self.now_s, {"r": 0.1}), 0.0)
        self.selector.note_sent(self.near[0], "r")
        self.assertEqual(record.overdue_factor(self.now_s, {"r": 0.1}), 0.0)
        self.now_s += 0.3
        self.assertAlmostEqual(record.overdue_factor(self.now_s, {"r": 0.1}), 3.0)

    def test_many_instances_are_sampled_and_unusable_ones_skipped(self):
        many = [instance(f"n{i}", "a", f"10.0.1.{i}") for i in range(30)]
        suspects = {item.ip for item in many[1:]}
        for _ in range(20):
            self.assertEqual(self.choose(many, [], suspects).id, "n0")
        chosen = {self.choose(many, []).id for _ in range(500)}
        self.assertEqual(len(chosen), 30)
        self.assertIsNone(self.choose(many, ["n0"], suspects))
