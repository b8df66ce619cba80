"""Tests of the command check."""

from ..console import run
from .files import DocumentFilesTestCase


class CheckTest(DocumentFilesTestCase):
    def test_check(self):
        result = run("check", self.production)
        self.assertEqual(result.code, 0)
        self.assertIn("valid production document, version 1", result.out)

    def test_error_is_reported(self):
        self.assert_reports_error(run("check", self.bad))

    def test_unreadable_files(self):
        self.assertEqual(run("check", self.folder / "none").code, 1)
        self.bad.write_bytes(b"\xff")
        self.assertIn("UTF-8", run("check", self.bad).err)
