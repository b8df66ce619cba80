"""Tests of finding routes and of splitting requests by weight."""

import collections
import unittest

import attrs
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.state.organisations import Organisation, Organisations
from savoryroute.state.route_table import (
    RANK_LOWEST,
    RouteTable,
    TableRoute,
    WeightedRoundRobin,
    WeightedService,
)


def route(prefix):
    parts = (WeightedService("planner", 1.0),)
    return TableRoute(prefix, prefix, True, 0, 1.0, 1.0, 2, parts)


def table(*prefixes):
    return RouteTable(1, {"shop.example": tuple(map(route, prefixes))}, {})


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_wins(self):
        routes = table("/", "/a/", "/a/b/")
        for target, prefix in (
            ("/a/b/c?x=/a/", "/a/b/"),
            ("/a/b", "/a/"),
            ("/ab/", "/"),
            ("/a/?q", "/a/"),
        ):
            self.assertEqual(routes.find("shop.example", target).prefix, prefix)

    def test_host_is_matched_without_case_and_port(self):
        routes = table("/a/")
        self.assertIsNotNone(routes.find("Shop.Example:8300", "/a/x"))
        self.assertIsNone(routes.find("other.example", "/a/x"))

    def test_slash_in_the_query_is_not_part_of_the_path(self):
        self.assertIsNone(table("/a/").find("shop.example", "?/a/"))

    @given(st.text("/ab?", max_size=12), st.sets(st.text("ab/", max_size=4)))
    def test_find_agrees_with_a_scan(self, target, middles):
        prefixes = {f"/{middle.strip('/')}/".replace("//", "/") for middle in middles}
        path = target.partition("?")[0]
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        found = table(*prefixes).find("shop.example", target)
        expected = max(matching, key=len, default=None)
        self.assertEqual(None if found is None else found.prefix, expected)


class WeightedRoundRobinTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any))
    def test_shares_follow_the_weights(self, weights):
        parts = tuple(
            WeightedService(f"s{index}", float(weight))
            for index, weight in enumerate(weights)
        )
        round_robin = WeightedRoundRobin()
        n_requests = 200
        counts = collections.Counter(
            round_robin.next_service(parts) for _ in range(n_requests)
        )
        for part in parts:
            expected = n_requests * part.weight / sum(weights)
            self.assertAlmostEqual(counts[part.service], expected, delta=len(parts))


class RankTest(unittest.TestCase):
    """Guards against a route's priority that goes before an organisation's."""

    def setUp(self):
        plain = table("/a/", "/b/", "/c/")
        self.routes = tuple(
            attrs.evolve(item, rank=rank)
            for item, rank in zip(plain.routes["shop.example"], (0, 4, 7), strict=True)
        )

    def test_rank_is_that_of_the_route_without_organisations(self):
        plain = RouteTable(1, {"shop.example": self.routes}, {})
        self.assertEqual([plain.rank_of(r, None) for r in self.routes], [0, 4, 7])

    def test_organisation_goes_before_the_route(self):
        first, second = Organisation("first", 1), Organisation("second", 5)
        organisations = Organisations([(b"1", first), (b"2", second)])
        full = RouteTable(
            1, {"shop.example": self.routes}, {}, organisations=organisations
        )
        ranks = [full.rank_of(r, o) for o in (first, second) for r in self.routes]
        self.assertEqual(ranks, sorted(set(ranks)))
        self.assertEqual((ranks[0], ranks[-1]), (0.0, RANK_LOWEST))
        self.assertEqual(
            [full.rank_of(r, None) for r in self.routes], [0.0, 1.0, RANK_LOWEST]
        )
