"""Tests of the layers: each imports only from lower layers."""

import ast
import pathlib
import unittest

import savoryroute
from savoryroute.coordination.limits import LIMITS
from savoryroute.state.document_check import LIMIT_KINDS

ROOT = pathlib.Path(savoryroute.__file__).parent
LOWER_LAYERS = {
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
    return found & LOWER_LAYERS.keys()


class LayersTest(unittest.TestCase):
    def test_each_layer_imports_only_lower_layers(self):
        for layer, lower_layers in LOWER_LAYERS.items():
            for path in (ROOT / layer).glob("*.py"):
                with self.subTest(path.name):
                    self.assertLessEqual(imported_layers(path), lower_layers)

    def test_documents_allow_exactly_the_registered_limits(self):
        self.assertEqual(set(LIMIT_KINDS), set(LIMITS))
