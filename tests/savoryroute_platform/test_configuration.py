"""Tests of the decoding of configurations, with fields that it does not know."""

import json
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from savoryroute_platform.configuration import (
    ATTEMPTS_DEFAULT,
    DEFECTS_MAX,
    RANK_DEFAULT,
    TIMEOUT_DEFAULT_S,
    decode_routes,
)

from savoryroute.errors import DocumentError
from savoryroute.state.route_table import CallerLimits

from .stand_ins import JSON_VALUES, configuration, path, tenant

HOST = "shop.example"


class RoutesTest(unittest.TestCase):
    def test_fields_of_a_route(self):
        paths = [path("/a/", "planner", "unsafe", timeout="800ms", priority=0)]
        table = decode_routes(configuration(12, {"Shop.Example": paths}, ["planner"]))
        self.assertEqual(table.version, 12)
        route = table.find("shop.example", "/a/x")
        self.assertFalse(route.is_idempotent)
        self.assertEqual(route.timeout_s, 0.8)
        self.assertEqual(route.attempts_max, 2)
        self.assertEqual(table.services["planner"].connections_max, 100)
        self.assertEqual(table.limits.header_timeout_s, 1.0)
        self.assertEqual(table.limits.idle_timeout_s, 15.0)

    def test_version_is_hexadecimal(self):
        source = configuration(0x1F, {}, [])
        self.assertEqual(decode_routes(source).version, 31)

    @given(st.binary() | JSON_VALUES.map(lambda value: json.dumps(value).encode()))
    def test_invalid_configuration_raises_a_document_error(self, source):
        with self.assertRaises(DocumentError):
            decode_routes(source)

    @given(st.sampled_from(["timeout", "kind", "priority", "service"]), JSON_VALUES)
    def test_unexpected_field_value_is_refused_or_decoded(self, name, value):
        paths = [path("/a/", "planner") | {name: value}]
        try:
            table = decode_routes(configuration(1, {"shop.example": paths}, []))
        except DocumentError:
            return
        (route,) = table.routes["shop.example"]
        if route.parts:
            self.assertIs(type(route.parts[0].service), str)
        else:
            self.assertIn(".service: found ", "".join(table.defects))
        self.assertIs(type(route.rank), int)
        self.assertGreaterEqual(route.timeout_s, 0.0)


class DefectTest(unittest.TestCase):
    """One field that cannot be read; the other routes of the table stay as they are."""

    def decode(self, *paths, change=None):
        paths = [path("/good/", "planner", "safe"), *paths]
        plain = json.loads(configuration(3, {HOST: paths}, ["planner"]))
        if change is not None:
            change(plain)
        table = decode_routes(json.dumps(plain).encode())
        good = table.find(HOST, "/good/x")
        self.assertEqual((good.name, good.is_idempotent), ("r-good-", True))
        return table

    def assert_defect(self, table, field):
        (defect,) = table.defects
        self.assertTrue(defect.startswith(f"{field}: found "), defect)

    def test_descriptions_of_defects_are_bounded(self):
        def add_unreadable(plain):
            plain["virtual-hosts"] += [{}] * 2 * DEFECTS_MAX
            plain["tenants"] = [{}] * 2 * DEFECTS_MAX

        table = self.decode(change=add_unreadable)
        self.assertEqual(len(table.defects), DEFECTS_MAX)
        self.assertFalse(table.is_complete)

    def test_upload_is_known_and_not_idempotent(self):
        table = self.decode(path("/up/", "planner", "upload"))
        self.assertFalse(table.find(HOST, "/up/x").is_idempotent)
        self.assertEqual(table.defects, ())

    def test_unknown_kind_is_not_idempotent(self):
        for kind in ("stream", None, 7, [], "Safe"):
            table = self.decode(path("/new/", "planner") | {"kind": kind})
            self.assertFalse(table.find(HOST, "/new/x").is_idempotent)
            self.assert_defect(table, "virtual-hosts[0].paths[1].kind")
            self.assertTrue(table.is_complete)

    def test_field_with_a_default_gets_it(self):
        cases = {
            "priority": ("rank", RANK_DEFAULT),
            "timeout": ("timeout_s", TIMEOUT_DEFAULT_S),
            "target-latency": ("target_latency_s", 1.5),
            "max-attempts": ("attempts_max", ATTEMPTS_DEFAULT),
        }
        for field, (name, default) in cases.items():
            table = self.decode(path("/new/", "planner") | {field: None})
            self.assertEqual(getattr(table.find(HOST, "/new/x"), name), default)
            self.assert_defect(table, f"virtual-hosts[0].paths[1].{field}")

    def test_route_without_a_readable_service_stays_without_parts(self):
        for split in ([], [{"service": "planner"}], [{"weight": 1}], "planner"):
            plain = path("/good/inner/", "") | {"traffic-split": split}
            del plain["service"]
            table = self.decode(plain)
            self.assertEqual(table.find(HOST, "/good/inner/x").parts, ())
            self.assert_defect(table, "virtual-hosts[0].paths[1].service")

    def test_route_without_a_readable_prefix_makes_the_table_incomplete(self):
        for prefix in (None, "", "plain", 4):
            table = self.decode(path("/x/", "planner") | {"prefix": prefix})
            self.assertFalse(table.is_complete)
            self.assert_defect(table, "virtual-hosts[0].paths[1].prefix")

    def test_host_without_a_readable_name_makes_the_table_incomplete(self):
        def add_host(plain):
            plain["virtual-hosts"].append({"hostname": 3, "paths": []})

        table = self.decode(change=add_host)
        self.assertFalse(table.is_complete)
        self.assert_defect(table, "virtual-hosts[1].hostname")

    def test_unreadable_limit_has_its_default(self):
        def change_limit(plain):
            plain["limits"]["idle-timeout"] = {"of": "late"}

        table = self.decode(change=change_limit)
        self.assertEqual(table.limits.idle_timeout_s, CallerLimits().idle_timeout_s)
        self.assertEqual(table.limits.header_bytes_max, 4096)
        self.assert_defect(table, "limits.idle-timeout")

    def test_configuration_without_readable_routes_names_the_field(self):
        plain = json.loads(configuration(3, {}, []))
        for field in ("version", "virtual-hosts"):
            source = json.dumps(plain | {field: 1.5}).encode()
            with self.assertRaisesRegex(DocumentError, field):
                decode_routes(source)

    def test_deeply_nested_text_raises_a_document_error(self):
        with self.assertRaises(DocumentError):
            decode_routes(b"[" * 200_000)


def _replace(value, position, replacement):
    """Return a copy of a JSON value with one of its values replaced, and the rest."""
    if position == 0:
        return replacement, -1
    position -= 1
    if isinstance(value, dict):
        copy = {}
        for name, item in value.items():
            if position >= 0:
                item, position = _replace(item, position, replacement)
            copy[name] = item
        return copy, position
    if isinstance(value, list):
        items = []
        for item in value:
            if position >= 0:
                item, position = _replace(item, position, replacement)
            items.append(item)
        return items, position
    return value, position


class AnyValueTest(unittest.TestCase):
    """A valid configuration in which any one value is replaced by any other."""

    @given(st.integers(1, 75), JSON_VALUES)
    @example(4, float("inf"))
    @example(8, 10**400)
    def test_routes_come_out_or_an_error_that_names_the_field(self, position, value):
        split = [{"service": "planner", "weight": 3}, {"service": "b", "weight": 1}]
        paths = [
            path("/a/", "planner", "unsafe"),
            path("/s/", "", **{"traffic-split": split}),
        ]
        del paths[1]["service"]
        tenants = [tenant("first", "secret-1", "secret-2"), tenant("last", "secret-3")]
        source = configuration(
            9, {HOST: paths, "b": paths}, ["planner"], tenants=tenants
        )
        plain = json.loads(source)
        changed, _ = _replace(plain, position, value)
        try:
            table = decode_routes(json.dumps(changed).encode())
        except DocumentError as error:
            self.assertRegex(str(error), "version|virtual-hosts")
            return
        self.assertEqual(table.version, 9)
        n_routes = sum(map(len, table.routes.values()))
        self.assertTrue(n_routes >= 2 or value == [] or not table.is_complete)
        for route in [route for routes in table.routes.values() for route in routes]:
            self.assertIs(type(route.rank), int)
            self.assertGreater(route.timeout_s, 0.0)
            self.assertGreaterEqual(route.attempts_max, 1)
            for part in route.parts:
                self.assertIs(type(part.service), str)
                self.assertGreaterEqual(part.weight, 0.0)
        self.assertNotIn("secret", "".join(table.defects))
        organisations = table.organisations
        if changed["tenants"] == tenants:
            self.assertEqual(organisations.names, {"first", "last"})
        elif not organisations.is_complete:
            self.assertTrue(any("tenants" in defect for defect in table.defects))
