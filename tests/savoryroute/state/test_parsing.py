"""Tests of parsing JSON text with and without comments."""

import json
import unittest

from savoryroute.errors import SettingsError
from savoryroute.state.parsing import (
    JSON5_BYTES_MAX,
    TEXT_BYTES_MAX,
    parse_object,
)


class ParseObjectTest(unittest.TestCase):
    def refuse(self, text):
        with self.assertRaises(SettingsError) as caught:
            parse_object(text, "file", SettingsError)
        self.assertEqual(caught.exception.source, "file")
        return caught.exception

    def test_malformed_text_names_line_and_column(self):
        self.assertEqual(self.refuse("{\n  a: 1,\n  b: }").where, "line 3 column 6")
        for text in ("", "{", "[1", "nul", '{"a": 1} x', "\x00"):
            self.refuse(text)

    def test_duplicate_members(self):
        self.assertEqual(self.refuse('{"a": 1, "a": 2}').where, "member 'a'")
        self.assertEqual(self.refuse("{b: {a: 1, a: 1}}").where, "member 'a'")

    def test_numbers_that_are_not_finite(self):
        for number in ("NaN", "Infinity", "-Infinity"):
            self.assertIn("finite", self.refuse(f'{{"a": {number}}}').allowed)
            self.assertIn("finite", self.refuse(f"{{a: {number}}}").allowed)
        self.refuse('{"a": ' + "9" * 5000 + "}")
        self.refuse("{a: " + "9" * 5000 + "}")

    def test_deep_nesting(self):
        for depth in (2000, 100_000):
            self.refuse('{"a":' + "[" * depth + "]" * depth + "}")
        self.refuse("{a:" + "[" * 5000 + "]" * 5000 + "}")

    def test_root_that_is_not_an_object(self):
        for text in ("[]", "1", "null", '"a"'):
            self.assertEqual(self.refuse(text).where, "root")

    def test_oversized_text(self):
        error = self.refuse('{"a": "' + "é" * (TEXT_BYTES_MAX // 2) + '"}')
        self.assertEqual(error.where, "size")

    def test_large_text_with_comments_points_to_render(self):
        text = json.dumps({"a": "x" * JSON5_BYTES_MAX})
        self.assertEqual(len(parse_object(text, "file", SettingsError)), 1)
        self.assertIn("savoryroute render", self.refuse(text + " // end").allowed)

    def test_lone_surrogate(self):
        self.refuse("{'\ud800'")
