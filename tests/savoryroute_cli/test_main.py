"""Tests of the command line."""

import unittest

from savoryroute_cli.commands import COMMANDS
from savoryroute_cli.main import __doc__ as usage

from .console import run


class MainTest(unittest.TestCase):
    def test_help_and_version(self):
        self.assertEqual(run("--help").code, 0)
        self.assertIn("savoryroute promote", run("--help").out)
        self.assertEqual(run("--version").out, "savoryroute 0.1.0\n")

    def test_every_command_is_in_the_usage(self):
        for name in COMMANDS:
            self.assertIn(f"savoryroute {name} ", usage)

    def test_wrong_usage(self):
        for argv in (
            (),
            ("bogus",),
            ("check",),
            ("check", "a", "b"),
            ("status", "localhost:1"),
            ("status", "127.0.0.1:0"),
            ("status", "127.0.0.1:1", "--key-file", "/nonexistent"),
            ("call", "ftp://127.0.0.1"),
            ("call", "http://[::"),
            ("call", "http://127.0.0.1:1", "--timeout", "0"),
            ("call", "http://127.0.0.1:1", "--timeout", "9" * 5000),
            ("call", "http://127.0.0.1:1", "--timeout", "1s"),
        ):
            with self.subTest(argv=argv[:3]):
                result = run(*argv)
                self.assertEqual((result.code, result.out), (2, ""))
                self.assertTrue(result.err)
