"""Tests of the command compare."""

from ..console import run
from .files import DocumentFilesTestCase


class CompareTest(DocumentFilesTestCase):
    def test_compare(self):
        done = run("compare", self.production, self.trial)
        self.assertEqual(done.code, 0)
        self.assertIn("classes.booking.rank: 0 -> 1", done.out)
        same = run("compare", self.trial, self.trial)
        self.assertEqual(same.out, "no changes\n")

    def test_fault_is_named(self):
        self.assert_names_fault(run("compare", self.production, self.bad))
        self.assert_names_fault(run("compare", self.bad, self.production))
