"""Tests of the view of the instances of a fleet."""

import unittest

from savoryroute.state.fleet_view import FleetView, Instance


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
