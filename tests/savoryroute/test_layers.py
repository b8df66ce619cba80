"""Tests of the layers: each imports only from those below it."""

import ast
import pathlib
import unittest

import savoryroute
from savoryroute.coordination.limits import LIMITS
from savoryroute.state.document_check import LIMIT_KINDS

ROOT = pathlib.Path(savoryroute.__file__).parent
BELOW = {
    "coordination": {"protocol", "transport", "state"},
    "protocol": {"transport", "state"},
    "transport": {"state"},
    "state": set(),
}


def imported_layers(path: pathlib.Path) -> set[str]:
    """Return the layers that a module imports from, other than its own."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.level == 2 and node.module:
            found.add(node.module.split(".")[0])
    return found & BELOW.keys()


class LayersTest(unittest.TestCase):
    def test_each_layer_imports_only_those_below(self):
        for layer, below in BELOW.items():
            for path in (ROOT / layer).glob("*.py"):
                with self.subTest(path.name):
                    self.assertLessEqual(imported_layers(path), below)

    def test_the_document_allows_the_limits_that_exist(self):
        self.assertEqual(set(LIMIT_KINDS), set(LIMITS))
