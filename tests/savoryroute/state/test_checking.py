"""Tests of typed access to plain values."""

import re
import unittest

from savoryroute.errors import CheckError
from savoryroute.state.checking import ObjectReader, describe


class ObjectReaderTest(unittest.TestCase):
    def read(self, **values):
        return ObjectReader(values, "source", CheckError, "root.child")

    def test_errors_name_the_whole_path(self):
        reader = self.read(inner=[{"number": "x"}])
        (inner,) = reader.listed_objects("inner")
        with self.assertRaises(CheckError) as caught:
            inner.integer("number", 0, 9)
        expected = (
            "source: root.child.inner[0].number: found 'x'; "
            "allowed: an integer from 0 to 9"
        )
        self.assertEqual(str(caught.exception), expected)

    def test_types_are_exact(self):
        reader = self.read(flag=True, text="1", number=2)
        self.assertEqual(reader.number("number", 0, 2), 2.0)
        for read in (
            lambda: reader.integer("flag", 0, 1),
            lambda: reader.number("flag", 0, 1),
            lambda: reader.number("text", 0, 1),
            lambda: reader.boolean("number"),
            lambda: reader.name("number"),
            lambda: reader.choice("flag", ("a",)),
            lambda: reader.addresses("text"),
            lambda: reader.nested_object("text"),
        ):
            self.assertRaises(CheckError, read)

    def test_secrets_are_not_shown(self):
        with self.assertRaises(CheckError) as caught:
            self.read(key="hush hush").secret("key", re.compile("x"), "x")
        self.assertNotIn("hush", str(caught.exception))


class DescribeTest(unittest.TestCase):
    def test_any_value_is_shown_short(self):
        loop = []
        loop.append(loop)
        for value in (loop, {1: loop}, 10**9999, "é" * 10**6, b"x" * 999, object()):
            self.assertLess(len(describe(value)), 80)
        self.assertEqual(describe({}), "an empty object")
        self.assertEqual(describe(True), "true")
        self.assertEqual(describe("\x1b"), r"'\x1b'")
