"""Tests of rendering and comparing documents."""

import copy
import json
import unittest

from savoryroute.state.document import document_from_plain, parse_document
from savoryroute_cli.documents import list_changes, render_document
from tests.savoryroute.state.documents import MINIMAL, large_document


class DocumentsTest(unittest.TestCase):
    def test_rendered_form_is_strict_and_stable(self):
        document = document_from_plain(MINIMAL, "x").unwrap()
        text = render_document(document).unwrap()
        self.assertEqual(json.loads(text), document.to_plain())
        self.assertEqual(parse_document(text, "x").unwrap(), document)
        again = parse_document(text, "x").and_then(render_document)
        self.assertEqual(again.unwrap(), text)

    def test_too_large_rendered_form_is_refused(self):
        document = document_from_plain(large_document(4000), "x").unwrap()
        self.assertEqual(render_document(document).unwrap_err().where, "size")

    def test_changes(self):
        old = large_document(2)
        new = copy.deepcopy(old)
        new["version"] = 2
        new["classes"]["extra"] = {}
        del new["services"]["service-1"]
        routes = new["services"]["service-0"]["routes"]
        routes[0]["path"] = "/p"
        self.assertEqual(
            sorted(list_changes(old, new))[1:],
            [
                "  version: 1 -> 2",
                "+ classes.extra: {}",
                "- services.service-1: "
                + json.dumps(old["services"]["service-1"], sort_keys=True),
            ],
        )
        where = "services.service-0.routes[0].path"
        self.assertIn(f'  {where}: "/plans/" -> "/p"', list_changes(old, new))

    def test_changes_of_the_length_of_a_list(self):
        old = {"a": [1, 2, 3]}
        self.assertEqual(list(list_changes(old, {"a": [1, 3]})), ["- a: 2"])
        self.assertEqual(
            list(list_changes(old, {"a": [1, 4, 5, 3]})), ["- a: 2", "+ a: 4", "+ a: 5"]
        )
