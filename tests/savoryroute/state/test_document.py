"""Tests of environment documents."""

import json
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from result import is_err, is_ok

from savoryroute.errors import DocumentError
from savoryroute.state.document import (
    document_from_plain,
    parse_document,
    plain_digest,
)

from .documents import MINIMAL, changed, large_document

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
)
paths = st.sampled_from(
    [
        "environment",
        "version",
        "classes",
        "classes.booking",
        "classes.booking.rank",
        "services",
        "services.planner",
        "services.planner.limit",
        "services.planner.shed_statuses",
        "services.planner.routes",
        "services.planner.routes.0.path",
        "failure_domains",
        "retries",
        "ejection.base_s",
        "spill_over",
    ]
)


class DocumentTest(unittest.TestCase):
    def test_defaults(self):
        document = document_from_plain(MINIMAL, "test").unwrap()
        booking = document.classes["booking"]
        self.assertEqual((booking.queue_timeout_s, booking.timeout_s), (1.0, 10.0))
        planner = document.services["planner"]
        self.assertEqual((planner.slots, planner.queue_length), (64, 128))
        self.assertEqual(planner.shed_statuses, frozenset({503}))
        self.assertTrue(planner.routes[0].is_idempotent)
        self.assertFalse(planner.routes[1].is_idempotent)
        self.assertTrue(document.spill_over.is_enabled)

    def test_plain_form_round_trips_by_json_and_cbor(self):
        document = document_from_plain(MINIMAL, "test").unwrap()
        plain = document.to_plain()
        self.assertEqual(document_from_plain(plain, "again").unwrap(), document)
        self.assertEqual(parse_document(json.dumps(plain), "json").unwrap(), document)
        decoded = cbor2.loads(cbor2.dumps(plain))
        self.assertEqual(plain_digest(decoded), plain_digest(plain))

    def test_digest_ignores_order_of_members(self):
        reordered = dict(reversed(MINIMAL.items()))
        self.assertEqual(plain_digest(reordered), plain_digest(MINIMAL))
        self.assertEqual(len(plain_digest(MINIMAL)), 32)
        self.assertNotEqual(plain_digest(changed("version", 2)), plain_digest(MINIMAL))

    def test_text_with_comments_gives_the_same_document(self):
        text = "// note\n" + json.dumps(MINIMAL).replace('"version"', "version")
        self.assertEqual(
            parse_document(text, "test"), document_from_plain(MINIMAL, "test")
        )

    def test_large_strict_document(self):
        text = json.dumps(large_document(1000))
        self.assertEqual(len(parse_document(text, "test").unwrap().services), 1000)

    def test_truncated_text_never_parses(self):
        text = json.dumps(MINIMAL)
        for end in range(0, len(text), 7):
            error = parse_document(text[:end], "cut").unwrap_err()
            self.assertEqual(error.source, "cut")

    def test_host_whose_service_or_domain_is_not_in_the_document(self):
        plain = MINIMAL | {"failure_domains": {"nairobi-a": {"region": "nairobi"}}}
        document = document_from_plain(plain, "test").unwrap()
        self.assertTrue(is_ok(document.check_host("planner", "nairobi-a", "test")))
        for service, domain, where in (
            ("crews", "nairobi-a", "services"),
            ("planner", "nairobi-b", "failure_domains"),
        ):
            error = document.check_host(service, domain, "test").unwrap_err()
            self.assertEqual(error.where, where)

    @given(st.text())
    def test_any_text_gives_a_result(self, text):
        result = parse_document(text, "test")
        self.assertTrue(is_err(result))
        self.assertIsInstance(result.err_value, DocumentError)

    @given(paths, json_values)
    def test_any_value_gives_a_result_and_what_passes_round_trips(self, path, value):
        result = document_from_plain(changed(path, value), "test")
        if is_ok(result):
            plain = result.ok_value.to_plain()
            self.assertEqual(document_from_plain(plain, "test"), result)
