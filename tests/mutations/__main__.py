"""Mutation tests: deliberate faults in the mechanisms behind each promise.

Run with ``python -m tests.mutations [WORD]``; a word selects the mutations whose
name contains it. Each fault is made in a scratch copy of the package, and the named
test must fail with it. docs/PROMISES.md lists the promises and refers to the mutations
by name.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

from .ledger_mutations import LEDGER_MUTATIONS
from .mesh_mutations import MESH_MUTATIONS
from .mutation import Mutation
from .node_mutations import NODE_MUTATIONS

__all__ = ["MUTATIONS", "main"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
PACKAGE = ROOT / "packages" / "savoryroute" / "savoryroute"
TIMEOUT_S = 240
N_PARALLEL = 2

# One failing example shows that the fault is caught, so Hypothesis does not shrink it.
RUNNER = """
import sys
import hypothesis
import tests.run
hypothesis.settings.register_profile(
    "mutations", derandomize=True, deadline=None, database=None, print_blob=False,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
hypothesis.settings.load_profile("mutations")
sys.exit(tests.run.main())
"""

MUTATIONS = [*LEDGER_MUTATIONS, *NODE_MUTATIONS, *MESH_MUTATIONS]


def _is_caught(mutation: Mutation) -> bool:
    """Return whether the named test fails with the fault.

    Raises:
        ValueError: The text to replace does not occur exactly once, or the test did
            not load.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "savoryroute"
        shutil.copytree(PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"))
        file = copy / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.name}: the text to replace must occur exactly once"
            )
        file.write_text(text.replace(mutation.old, mutation.new))
        path = os.pathsep.join([folder, os.environ.get("PYTHONPATH", ""), str(ROOT)])
        run = subprocess.run(
            [sys.executable, "-c", RUNNER, mutation.test],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    if "_FailedTest" in run.stderr:
        raise ValueError(f"{mutation.name}: the named test could not be loaded")
    return run.returncode == 1 and "failed" in run.stdout


def main() -> int:
    """Run the selected mutations and return how many their tests did not catch."""
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    selected = [mutation for mutation in MUTATIONS if word in mutation.name]
    n_missed = 0
    with concurrent.futures.ThreadPoolExecutor(N_PARALLEL) as pool:
        for mutation, is_caught in zip(
            selected, pool.map(_is_caught, selected), strict=True
        ):
            print(f"{'caught' if is_caught else 'NOT caught'}: {mutation.name}")
            n_missed += not is_caught
    print(f"{len(selected) - n_missed} of {len(selected)} caught")
    return n_missed


if __name__ == "__main__":
    sys.exit(main())
