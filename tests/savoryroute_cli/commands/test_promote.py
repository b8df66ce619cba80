"""Tests of the command promote."""

from savoryroute.state.document import parse_document
from tests.savoryroute.state.documents import MINIMAL

from ..console import run
from .files import DocumentFilesTestCase


class PromoteTest(DocumentFilesTestCase):
    def test_promote(self):
        result = run("promote", self.trial, self.production)
        self.assertEqual(
            result.out, "  version: 1 -> 2\n  classes.booking.rank: 0 -> 1\n"
        )
        out = self.folder / "out.json"
        result = run("promote", self.trial, self.production, "--out", out)
        self.assertEqual(result.code, 0)
        written = parse_document(out.read_text(), "out").unwrap()
        self.assertEqual((written.environment, written.version), ("production", 2))

    def test_promote_refuses(self):
        out = self.folder / "out.json"
        old = self.write("old.json", MINIMAL | {"environment": "trial"})
        for argv, where in (
            ((old, self.production), "version"),
            ((self.production, self.production), "environment"),
            ((self.trial, self.trial), "environment"),
        ):
            result = run("promote", *argv, "--out", out)
            self.assertEqual(result.code, 1)
            self.assertIn(f": {where}: found", result.err)
            self.assertFalse(out.exists())
        nowhere = self.folder / "none" / "out.json"
        result = run("promote", self.trial, self.production, "--out", nowhere)
        self.assertEqual(result.code, 1)

    def test_error_is_reported(self):
        self.assert_reports_error(run("promote", self.bad, self.production))
        self.assert_reports_error(run("promote", self.trial, self.bad))
