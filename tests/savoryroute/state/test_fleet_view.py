"""Tests of the view of the instances of a fleet."""

import unittest

import attrs

from savoryroute.state.fleet_view import FleetView, Instance
from savoryroute.state.revision import ordered_revision


def instance(id_, is_ready=True, ip=None, service="planner", started_ms=0):
    ip = ip or f"10.0.0.{ord(id_)}"
    return Instance(id_, service, ip, "a", 4, is_ready, started_ms=started_ms)


class FleetViewTest(unittest.TestCase):
    def setUp(self):
        self.view = FleetView()
        self.view.apply(5, {"a": instance("a"), "b": instance("b")})

    def ids(self):
        return sorted(item.id for item in self.view.of_service("planner"))

    def test_older_list_is_ignored(self):
        self.view.apply(5, {"a": None})
        self.view.apply(4, {"a": None})
        self.assertEqual(self.ids(), ["a", "b"])

    def test_draining_and_removed_instances_get_no_new_work(self):
        self.view.apply(6, {"a": instance("a", False)})
        self.assertEqual(self.ids(), ["b"])
        self.view.apply(7, {"b": None})
        self.assertEqual(self.ids(), [])

    def test_removed_entry_is_retained_for_a_time_and_may_be_listed_again(self):
        self.view.apply(6, {"a": None, "b": None}, retain_until_s=12.0)
        self.view.expire_retained(11.9)
        self.assertEqual(self.ids(), ["a", "b"])
        self.view.apply(7, {"b": instance("b")})
        self.view.expire_retained(12.0)
        self.assertEqual(self.ids(), ["b"])

    def test_draining_entry_is_not_retained_when_removed(self):
        self.view.apply(6, {"a": instance("a", False)})
        self.view.apply(7, {"a": None}, retain_until_s=12.0)
        self.assertEqual(self.ids(), ["b"])

    def test_entry_that_started_last_is_used_among_two_at_one_address(self):
        new = instance("n", ip=instance("a").ip, started_ms=9)
        self.view.apply(6, {"n": new})
        self.assertEqual(self.ids(), ["b", "n"])
        self.assertEqual(self.view.instance_at(new.ip), new)
        self.view.apply(7, {"a": None})
        self.assertEqual(self.ids(), ["b", "n"])

    def test_address_that_changed_service_is_not_used_for_the_first_service(self):
        ip = instance("a").ip
        self.view.apply(6, {"n": instance("n", True, ip, "printshop", 9)})
        self.assertEqual(self.ids(), ["b"])

    def test_draining_successor_does_not_restore_its_predecessor(self):
        ip = instance("a").ip
        self.view.apply(6, {"n": instance("n", False, ip, started_ms=9)})
        self.assertEqual(self.ids(), ["b"])

    def test_retained_entry_yields_to_a_successor_at_its_address(self):
        ip = instance("a").ip
        changes = {"a": None, "n": instance("n", ip=ip, started_ms=9)}
        self.view.apply(6, changes, retain_until_s=12.0)
        self.assertEqual(self.ids(), ["b", "n"])


class ReturnTest(unittest.TestCase):
    """Guards against work for instances whose departure the store has forgotten."""

    def setUp(self):
        self.view = FleetView()
        self.a, self.b = instance("a", started_ms=5), instance("b", started_ms=5)
        self.view.apply(ordered_revision(1, 5), {"a": self.a, "b": self.b})
        draining = attrs.evolve(self.a, is_ready=False, sequence=3)
        self.view.apply(ordered_revision(1, 9), {"a": draining, "b": None})

    def ids(self):
        return sorted(item.id for item in self.view.of_service("planner"))

    def return_with(self, *instances):
        changes = {item.id: item for item in instances}
        revision = ordered_revision(2, 6)
        self.view.apply(revision, changes, restored_until_s=20.0)

    def test_entries_of_the_copy_do_not_bring_departed_instances_back(self):
        self.return_with(self.a, self.b)
        self.assertEqual(self.ids(), [])
        self.assertFalse(self.view.instance_at(self.a.ip).is_ready)

    def test_later_report_or_start_does(self):
        restarted = attrs.evolve(self.b, started_ms=6)
        self.return_with(self.a, restarted)
        self.assertEqual(self.ids(), ["b"])
        reported = attrs.evolve(self.a, sequence=4)
        self.view.apply(ordered_revision(2, 7), {"a": reported})
        self.assertEqual(self.ids(), ["a", "b"])

    def test_entries_that_the_store_keeps_are_trusted_in_the_end(self):
        self.return_with(self.a, self.b)
        self.view.expire_retained(19.9)
        self.assertEqual(self.ids(), [])
        self.view.expire_retained(20.0)
        self.assertEqual(self.ids(), ["a", "b"])

    def test_entry_listed_again_within_an_era_is_used(self):
        self.view.apply(ordered_revision(1, 10), {"b": self.b})
        self.assertEqual(self.ids(), ["b"])
