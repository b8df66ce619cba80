"""Tests of instance selection under difficult load patterns."""

import unittest
from unittest import mock

from savoryroute.coordination.instance_record import BASE_LOAD, InstanceRecord
from tests.fleet_replay import FleetReplay
from tests.load_patterns import PATTERNS

SEEDS = range(2)


COST = InstanceRecord.cost


def cost_by_load(record, *args):
    """Return a cost without slowness and failures."""
    COST(record, *args)
    return record.compared_load + BASE_LOAD


def play(name, seed):
    pattern = PATTERNS[name]
    return FleetReplay(pattern.spec, pattern.load, seed).play().in_target


def oracle(name, seed):
    pattern = PATTERNS[name]
    return FleetReplay(pattern.spec, pattern.load, seed).play_oracle().in_target


class GainTest(unittest.TestCase):
    """Compares the full cost with one that uses the load alone."""

    def assert_gain(self, name):
        for seed in SEEDS:
            with_all = play(name, seed)
            with mock.patch.object(InstanceRecord, "cost", cost_by_load):
                by_load = play(name, seed)
            self.assertGreater(with_all, by_load)

    def test_two_instances_become_six_times_slower(self):
        self.assert_gain("two instances six times slower")

    def test_half_of_the_instances_shed_half_of_their_calls(self):
        self.assert_gain("half shed half of their calls")


class OracleTest(unittest.TestCase):
    """Compares with 99% of what an oracle serves that knows all speeds and faults."""

    def assert_near_oracle(self, name):
        for seed in SEEDS:
            self.assertGreater(play(name, seed), 0.99 * oracle(name, seed))

    def test_burst(self):
        self.assert_near_oracle("burst of 1.8")

    def test_slow_instances(self):
        self.assert_near_oracle("two instances six times slower")

    def test_shedding_instances(self):
        self.assert_near_oracle("half shed half of their calls")

    def test_callers_in_one_domain(self):
        self.assert_near_oracle("all callers move to one domain")
