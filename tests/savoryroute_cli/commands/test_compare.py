"""Tests of the command compare."""

from ..console import run
from .files import DocumentFilesTestCase


class CompareTest(DocumentFilesTestCase):
    def test_compare(self):
        result = run("compare", self.production, self.trial)
        self.assertEqual(result.code, 0)
        self.assertIn("classes.booking.rank: 0 -> 1", result.out)
        same = run("compare", self.trial, self.trial)
        self.assertEqual(same.out, "no changes\n")

    def test_error_is_reported(self):
        self.assert_reports_error(run("compare", self.production, self.bad))
        self.assert_reports_error(run("compare", self.bad, self.production))
