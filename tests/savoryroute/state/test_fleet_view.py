import unittest

from savoryroute.state.fleet_view import FleetView, Instance


def instance(id_, is_ready=True):
    return Instance(id_, "planner", "10.0.0.1", "a", 4, is_ready)


class FleetViewTest(unittest.TestCase):
    def setUp(self):
        self.view = FleetView()
        self.view.replace(5, {"a": instance("a"), "b": instance("b")})

    def ids(self):
        return sorted(item.id for item in self.view.of_service("planner"))

    def test_older_list_is_not_taken(self):
        self.assertFalse(self.view.replace(5, {}))
        self.view.apply(4, {"a": None})
        self.assertEqual(self.ids(), ["a", "b"])

    def test_draining_and_removed_take_no_new_work(self):
        self.view.apply(6, {"a": instance("a", False)})
        self.assertEqual(self.ids(), ["b"])
        self.view.apply(7, {"b": None})
        self.assertEqual(self.ids(), [])

    def test_lapsed_entry_stays_until_its_time_and_may_come_back(self):
        self.view.apply(6, {"a": None, "b": None}, lapse_until_s=12.0)
        self.view.expire_lapsed(11.9)
        self.assertEqual(self.ids(), ["a", "b"])
        self.view.apply(7, {"b": instance("b")})
        self.view.expire_lapsed(12.0)
        self.assertEqual(self.ids(), ["b"])

    def test_draining_entry_does_not_come_back_by_lapsing(self):
        self.view.apply(6, {"a": instance("a", False)})
        self.view.apply(7, {"a": None}, lapse_until_s=12.0)
        self.assertEqual(self.ids(), ["b"])
