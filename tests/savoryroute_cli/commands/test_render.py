"""Tests of the command render."""

import json

from ..console import run
from .files import DocumentFilesTestCase


class RenderTest(DocumentFilesTestCase):
    def test_render(self):
        done = run("render", self.production)
        self.assertEqual(done.code, 0)
        json.loads(done.out)
        self.assertEqual(run("render", self.production), done)

    def test_fault_is_named(self):
        self.assert_names_fault(run("render", self.bad))
