"""Tests of finding the route of a request."""

import unittest

from savoryroute.state.document import document_from_plain

from .documents import changed


class FindRouteTest(unittest.TestCase):
    def setUp(self):
        routes = [
            {"path": "/plans/new", "class": "booking"},
            {"path": "/plans/", "class": "price_check"},
            {"method": "POST", "path": "/orders", "class": "booking"},
            {"method": "POST", "path": "/", "class": "price_check"},
        ]
        plain = changed("services.planner.routes", routes)
        self.planner = document_from_plain(plain, "x").unwrap().services["planner"]

    def find(self, method, path):
        route = self.planner.find_route(method, path)
        return route and route.path

    def test_first_match_wins(self):
        self.assertEqual(self.find("GET", "/plans/new/1"), "/plans/new")
        self.assertEqual(self.find("GET", "/plans/newer"), "/plans/")

    def test_prefix_ends_at_a_segment(self):
        self.assertEqual(self.find("POST", "/orders"), "/orders")
        self.assertEqual(self.find("POST", "/orders/7"), "/orders")
        self.assertEqual(self.find("POST", "/orders2"), "/")

    def test_no_match(self):
        self.assertIsNone(self.find("GET", "/orders"))
        self.assertIsNone(self.find("GET", "/plans"))

    def test_dot_segments_match_nothing(self):
        for path in ("/x/../orders", "/x/%2e%2E/orders", "/./orders", "/x%2f..%2fy"):
            self.assertIsNone(self.find("POST", path), path)
        self.assertEqual(self.find("POST", "/a.b/..c"), "/")
