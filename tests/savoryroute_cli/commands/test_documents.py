import json
import pathlib
import tempfile
import unittest

from savoryroute.state.document import parse_document
from tests.savoryroute.state.documents import MINIMAL, changed

from ..console import run


class DocumentCommandsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.production = self.write("production.json", MINIMAL)
        trial = changed("classes.booking.rank", 1)
        trial |= {"environment": "trial", "version": 2}
        self.trial = self.write("trial.json", trial)

    def write(self, name, plain):
        path = self.folder / name
        path.write_text("// note\n" + json.dumps(plain))
        return path

    def test_check(self):
        done = run("check", self.production)
        self.assertEqual(done.code, 0)
        self.assertIn("valid production document, version 1", done.out)

    def test_faults_are_named(self):
        bad = self.write("bad.json", changed("classes.booking.rank", 9))
        for argv in (
            ("check", bad),
            ("render", bad),
            ("compare", self.production, bad),
            ("promote", bad, self.production),
            ("promote", self.trial, bad),
        ):
            done = run(*argv)
            self.assertEqual((done.code, done.out), (1, ""))
            self.assertIn("bad.json: classes.booking.rank: found 9", done.err)
        self.assertEqual(run("check", self.folder / "none").code, 1)
        bad.write_bytes(b"\xff")
        self.assertIn("UTF-8", run("check", bad).err)

    def test_render(self):
        done = run("render", self.production)
        self.assertEqual(done.code, 0)
        json.loads(done.out)
        self.assertEqual(run("render", self.production), done)

    def test_compare(self):
        done = run("compare", self.production, self.trial)
        self.assertEqual(done.code, 0)
        self.assertIn("classes.booking.rank: 0 -> 1", done.out)
        same = run("compare", self.trial, self.trial)
        self.assertEqual(same.out, "no changes\n")

    def test_promote(self):
        done = run("promote", self.trial, self.production)
        self.assertEqual(
            done.out, "  version: 1 -> 2\n  classes.booking.rank: 0 -> 1\n"
        )
        out = self.folder / "out.json"
        done = run("promote", self.trial, self.production, "--out", out)
        self.assertEqual(done.code, 0)
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
            done = run("promote", *argv, "--out", out)
            self.assertEqual(done.code, 1)
            self.assertIn(f": {where}: found", done.err)
            self.assertFalse(out.exists())
        nowhere = self.folder / "none" / "out.json"
        done = run("promote", self.trial, self.production, "--out", nowhere)
        self.assertEqual(done.code, 1)
