"""Test case with document files for tests of commands."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from tests.savoryroute.state.documents import MINIMAL, changed

__all__ = ["DocumentFilesTestCase"]


class DocumentFilesTestCase(unittest.TestCase):
    """Test case with files of a production, a trial and an invalid document."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.production = self.write("production.json", MINIMAL)
        trial = changed("classes.booking.rank", 1)
        trial |= {"environment": "trial", "version": 2}
        self.trial = self.write("trial.json", trial)
        bad = changed("classes.booking.rank", 9)
        self.bad = self.write("bad.json", bad)

    def write(self, name, value):
        path = self.folder / name
        path.write_text("// note\n" + json.dumps(value))
        return path

    def assert_reports_error(self, result):
        self.assertEqual((result.code, result.out), (1, ""))
        self.assertIn("bad.json: classes.booking.rank: found 9", result.err)
