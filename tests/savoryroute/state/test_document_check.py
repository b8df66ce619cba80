"""Tests of the checks of documents."""

import unittest

from savoryroute.state.document import document_from_plain

from .documents import MINIMAL, changed

ROUTE = "services.planner.routes.0"

REFUSED = [
    ("environment", "staging", "environment"),
    ("version", 0, "version"),
    ("version", True, "version"),
    ("version", 1.0, "version"),
    ("version", 10**400, "version"),
    ("version", "1", "version"),
    ("classes", {}, "classes"),
    ("classes", [], "classes"),
    ("services", {}, "services"),
    ("services", None, "services"),
    ("classes.Booking", {}, "classes"),
    ("classes.booking.rank", -1, "classes.booking.rank"),
    ("classes.booking.rank", 8, "classes.booking.rank"),
    ("classes.booking.patience_ms", 10_001, "classes.booking.patience_ms"),
    ("classes.booking.timeout_ms", 0, "classes.booking.timeout_ms"),
    ("classes.booking.allowance", 0, "classes.booking.allowance"),
    ("services.planner.slots", 0, "services.planner.slots"),
    ("services.planner.connections", 1.5, "services.planner.connections"),
    ("services.planner.limit.kind", "guess", "services.planner.limit.kind"),
    ("services.planner.limit.minimum", 65, "services.planner.limit.minimum"),
    ("services.planner.queue_length", -1, "services.planner.queue_length"),
    ("services.planner.shed_statuses", [503, 200], "services.planner.shed_statuses[1]"),
    ("services.planner.shed_statuses", 503, "services.planner.shed_statuses"),
    ("services.planner.request_bytes", 2**40, "services.planner.request_bytes"),
    ("services.planner.routes", {}, "services.planner.routes"),
    (f"{ROUTE}.class", "bookings", "services.planner.routes[0].class"),
    (f"{ROUTE}.method", "get", "services.planner.routes[0].method"),
    (f"{ROUTE}.path", "plans", "services.planner.routes[0].path"),
    (f"{ROUTE}.path", "/a/../b", "services.planner.routes[0].path"),
    (f"{ROUTE}.path", "/a//b", "services.planner.routes[0].path"),
    (f"{ROUTE}.path", "/a?b", "services.planner.routes[0].path"),
    (f"{ROUTE}.idempotent", 1, "services.planner.routes[0].idempotent"),
    ("failure_domains.a b", {}, "failure_domains"),
    ("failure_domains.a", "nairobi", "failure_domains.a"),
    ("failure_domains.a.region", 3, "failure_domains.a.region"),
    ("retries.budget_ratio", float("nan"), "retries.budget_ratio"),
    ("retries.budget_ratio", float("inf"), "retries.budget_ratio"),
    ("retries.budget_ratio", 10**400, "retries.budget_ratio"),
    ("retries.budget_minimum_per_s", False, "retries.budget_minimum_per_s"),
    ("retries.attempts_per_hop", 0, "retries.attempts_per_hop"),
    ("ejection.maximum_fraction", 1.1, "ejection.maximum_fraction"),
    ("ejection.base_s", 0, "ejection.base_s"),
    ("quarantine.crashes", 0, "quarantine.crashes"),
    ("quarantine.duration_s", "60", "quarantine.duration_s"),
    ("spill_over.enabled", "yes", "spill_over.enabled"),
]

UNKNOWN = [
    ("clases", "root", "classes"),
    ("classes.booking.rnak", "classes.booking", "rank"),
    ("services.planner.slot", "services.planner", "slots"),
    ("services.planner.limit.kid", "services.planner.limit", "kind"),
    (f"{ROUTE}.idempotente", "services.planner.routes[0]", "idempotent"),
    ("failure_domains.a.regio", "failure_domains.a", "region"),
    ("retries.budget_ration", "retries", "budget_ratio"),
    ("ejection.base", "ejection", "base_s"),
    ("quarantine.crash", "quarantine", "crashes"),
    ("spill_over.enable", "spill_over", "enabled"),
]


class DocumentCheckTest(unittest.TestCase):
    def test_refused_values_are_named(self):
        for path, value, where in REFUSED:
            with self.subTest(path=path, value=str(value)[:20]):
                result = document_from_plain(changed(path, value), "doc.json")
                error = result.unwrap_err()
                self.assertEqual((error.source, error.where), ("doc.json", where))
                self.assertTrue(error.found and error.allowed)

    def test_unknown_members_get_the_nearest_name(self):
        for path, where, nearest in UNKNOWN:
            with self.subTest(path=path):
                error = document_from_plain(changed(path, 1), "x").unwrap_err()
                self.assertEqual(error.where, where)
                self.assertIn(f"did you mean {nearest}?", error.allowed)

    def test_unknown_class_of_a_route_gets_the_nearest_name(self):
        plain = changed(f"{ROUTE}.class", "price_chek")
        error = document_from_plain(plain, "x").unwrap_err()
        self.assertIn("did you mean price_check?", error.allowed)

    def test_required_members(self):
        for name in ("environment", "version", "classes", "services"):
            plain = {key: value for key, value in MINIMAL.items() if key != name}
            error = document_from_plain(plain, "x").unwrap_err()
            self.assertEqual((error.where, error.found), (name, "nothing"))

    def test_member_names_must_be_strings(self):
        error = document_from_plain(MINIMAL | {1: 2}, "x").unwrap_err()
        self.assertEqual(error.found, "unknown member 1")
        error = document_from_plain(changed("classes", {1: {}}), "x").unwrap_err()
        self.assertEqual(error.where, "classes")

    def test_small_services_lower_the_default_minimum(self):
        plain = changed("services.planner.slots", 2)
        planner = document_from_plain(plain, "x").unwrap().services["planner"]
        self.assertEqual((planner.limit.minimum, planner.queue_length), (2, 4))
