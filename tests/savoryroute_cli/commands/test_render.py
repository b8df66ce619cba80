"""Tests of the command render."""

import json

from ..console import run
from .files import DocumentFilesTestCase


class RenderTest(DocumentFilesTestCase):
    def test_render(self):
        result = run("render", self.production)
        self.assertEqual(result.code, 0)
        json.loads(result.out)
        self.assertEqual(run("render", self.production), result)

    def test_error_is_reported(self):
        self.assert_reports_error(run("render", self.bad))
