"""Tests of differences between documents."""

import copy
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st
from result import is_err

from savoryroute.state.difference import apply_difference, make_difference

from .documents import large_document

scalars = (
    st.none()
    | st.booleans()
    | st.integers(-2, 2)
    | st.sampled_from([0.0, -0.0, 1.0, float("nan")])
    | st.text("ab", max_size=2)
)
names = st.text("abc", max_size=2)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(names, inner, max_size=4)
    ),
    max_leaves=12,
)
documents = st.dictionaries(names, values, max_size=4)
keys = names | st.integers(-1, 3) | scalars
steps = st.lists(st.integers(-1, 3) | st.lists(keys, max_size=3) | values, max_size=5)


class DifferenceTest(unittest.TestCase):
    def assert_same(self, left, right):
        self.assertEqual(
            cbor2.dumps(left, canonical=True), cbor2.dumps(right, canonical=True)
        )

    @given(documents, documents)
    def test_applying_a_difference_gives_the_new_document(self, old, new):
        before = copy.deepcopy(old)
        difference = cbor2.loads(cbor2.dumps(make_difference(old, new)))
        self.assert_same(apply_difference(old, difference).unwrap(), new)
        self.assert_same(old, before)

    @given(documents, st.lists(steps, max_size=4) | values)
    def test_arbitrary_differences_give_a_result(self, old, difference):
        before = copy.deepcopy(old)
        apply_difference(old, difference)
        self.assert_same(old, before)

    def test_malformed_differences_are_refused(self):
        loop = []
        loop.append(loop)
        deep = []
        for _ in range(5000):
            deep = [deep]
        wide = ["x"]
        for _ in range(60):
            wide = [wide, wide]
        old = {"a": {"b": [1, 2]}, "c": 1}
        for difference in (
            None,
            {},
            [[]],
            [[0, []]],
            [[0, [], {}]],
            [[0, ["x", "y"], 1]],
            [[0, ["a", "b", 2], 1]],
            [[0, ["a", "b", True], 1]],
            [[0, ["c", "d"], 1]],
            [[0, [1], 1]],
            [[True, ["a"], 1]],
            [[10**400, ["a"], 1]],
            [[1, ["x"]]],
            [[1, ["a", "b", 0]]],
            [[2, ["a"], 0, 0, []]],
            [[2, ["a", "b"], 1, 2, []]],
            [[2, ["a", "b"], -1, 0, []]],
            [[2, ["a", "b"], 0, 0, {}]],
            [[0, ["a"], {1: 2}]],
            [[0, ["a"], b"x"]],
            loop,
            [[0, ["a"], deep]],
            [[0, ["a"], wide]],
        ):
            self.assertTrue(is_err(apply_difference(old, difference)))
        self.assertEqual(old, {"a": {"b": [1, 2]}, "c": 1})

    def test_applying_a_difference_does_not_modify_it(self):
        difference = [[0, ["a"], {"b": 1}], [0, ["a", "b"], 2]]
        before = copy.deepcopy(difference)
        self.assertEqual(apply_difference({}, difference).unwrap(), {"a": {"b": 2}})
        self.assertEqual(difference, before)

    def test_small_change_of_a_large_document_is_a_small_difference(self):
        old = large_document(130)
        new = copy.deepcopy(old)
        new["services"]["service-77"]["routes"][0]["path"] = "/plan/"
        self.assertLess(len(cbor2.dumps(make_difference(old, new))), 100)
        new["services"]["service-78"]["routes"].insert(0, {"class": "booking"})
        self.assertLess(len(cbor2.dumps(make_difference(old, new))), 200)

    def test_values_that_compare_equal_but_are_not_the_same(self):
        for old, new in ((1, True), (1, 1.0), (0.0, -0.0), ([0.0], [-0.0])):
            difference = make_difference({"a": old}, {"a": new})
            applied = apply_difference({"a": old}, difference).unwrap()
            self.assert_same(applied, {"a": new})

    def test_equal_documents(self):
        self.assertEqual(make_difference(large_document(3), large_document(3)), [])
