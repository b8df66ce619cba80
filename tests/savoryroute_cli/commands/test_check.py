"""Tests of the command check."""

from ..console import run
from .files import DocumentFilesTestCase


class CheckTest(DocumentFilesTestCase):
    def test_check(self):
        done = run("check", self.production)
        self.assertEqual(done.code, 0)
        self.assertIn("valid production document, version 1", done.out)

    def test_fault_is_named(self):
        self.assert_names_fault(run("check", self.bad))

    def test_unreadable_files(self):
        self.assertEqual(run("check", self.folder / "none").code, 1)
        self.bad.write_bytes(b"\xff")
        self.assertIn("UTF-8", run("check", self.bad).err)
