"""Runs the test suite. Known failures are printed and do not fail the run."""

from __future__ import annotations

import pathlib
import sys
import unittest

import hypothesis

__all__ = ["main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=False
)
hypothesis.settings.load_profile("ci")


def known_failures() -> set[str]:
    """Return the ids of the tests that KNOWN-RED.txt lists."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = (line.split()[0] for line in lines if line.strip())
    return {entry for entry in entries if entry.startswith("tests.")}


def main() -> int:
    """Run the named tests, or all of them, and return the exit code."""
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    result = unittest.TextTestRunner(verbosity=1, buffer=True).run(suite)
    failed = {test.id() for test, _ in result.failures + result.errors}
    known = known_failures()
    for test in sorted(failed & known):
        print(f"known red: {test}")
    n_new = len(failed - known)
    n_skipped = len(result.skipped)
    print(
        f"{result.testsRun - len(failed) - n_skipped} passed, {n_new} failed, "
        f"{n_skipped} skipped"
    )
    return 1 if n_new or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
