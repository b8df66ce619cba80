"""Runs the test suite. Known failures are printed and do not fail the run."""

from __future__ import annotations

import gc
import pathlib
import sys
import time
import unittest

import hypothesis

__all__ = ["main"]

LONG_PAUSE_S = 0.3
# Collections of the middle generation after which a full one is due within a test.
FULL_COLLECTION_AFTER = 1000
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


class _PauseReport:
    """Prints collections of garbage that stop the event loop of a test for long.

    A test whose deadlines are shorter than such a pause fails for it.
    """

    def __init__(self) -> None:
        self._started_s = 0.0

    def __call__(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self._started_s = time.monotonic()
            return
        seconds = time.monotonic() - self._started_s
        if seconds >= LONG_PAUSE_S:
            # Not the captured output of the test that was interrupted.
            print(
                f"collection of generation {info['generation']} took {seconds:.2f} s",
                file=sys.__stderr__,
            )


class _CollectingResult(unittest.TextTestResult):
    """Collects garbage before each test, so that full collections seldom fall into one.

    Tests of large fleets leave so many objects that a full collection takes up to
    2.6 s, longer than the deadlines of later tests.
    """

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        gc.collect()
        super().startTest(test)


def main() -> int:
    """Run the named tests, or all of them, and return the exit code."""
    names = sys.argv[1:]
    loader = unittest.defaultTestLoader
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    # Modules and test cases stay to the end; each full collection would visit them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(700, 10, FULL_COLLECTION_AFTER)
    gc.callbacks.append(_PauseReport())
    result = unittest.TextTestRunner(
        verbosity=1, buffer=True, resultclass=_CollectingResult
    ).run(suite)
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
