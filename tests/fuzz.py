"""Fuzz all state machines of the tests with random seeds for a given time.

Usage:
  fuzz [--seconds=N] [--seed=S] [--machine=WORD]

Options:
  --seconds=N     Seconds after which no new round starts [default: 120].
  --seed=S        Seed of the first round; if given, only one round is run.
  --machine=WORD  Only the machines whose name contains this.
"""

from __future__ import annotations

import importlib
import pathlib
import random
import sys
import time
import traceback

import attrs
import docopt
import hypothesis
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

__all__ = ["Machine", "main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
EXAMPLES_PER_ROUND = 5
STEPS_MIN = 30
SEEDS = 1 << 32


@attrs.frozen
class Machine:
    """A state machine of the tests, with its own settings."""

    kind: type[RuleBasedStateMachine]
    settings: hypothesis.settings

    @property
    def name(self) -> str:
        """Full name of the class."""
        return f"{self.kind.__module__}.{self.kind.__name__}"

    def run(self, seed: int) -> None:
        """Run one round; raises an exception if a check fails."""
        hypothesis.seed(seed)(self.kind)
        steps = max(STEPS_MIN, self.settings.stateful_step_count)
        round_settings = hypothesis.settings(
            self.settings,
            max_examples=EXAMPLES_PER_ROUND,
            stateful_step_count=steps,
            derandomize=False,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            phases=[hypothesis.Phase.generate],
        )
        run_state_machine_as_test(self.kind, settings=round_settings)


def find_machines(word: str = "") -> list[Machine]:
    """Return the state machines of all test modules."""
    found = {}
    for path in sorted((ROOT / "tests").rglob("test_*.py")):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        if "RuleBasedStateMachine" not in path.read_text():
            continue
        for kind in vars(importlib.import_module(name)).values():
            is_machine = isinstance(kind, type) and issubclass(
                kind, RuleBasedStateMachine
            )
            if is_machine and kind.__module__ == name:
                machine = Machine(kind, kind.TestCase.settings)
                found[machine.name] = machine
    return [machine for name, machine in found.items() if word in name]


def main() -> int:
    """Run rounds until the time is up and return the exit code."""
    options = docopt.docopt(__doc__)
    machines = find_machines(options["--machine"] or "")
    end_s = time.monotonic() + float(options["--seconds"])
    seed = int(options["--seed"] or random.SystemRandom().randrange(SEEDS))
    n_rounds = 0
    while True:
        for machine in machines:
            print(f"seed {seed}: {machine.name}", flush=True)
            if not _has_passed(machine, seed):
                return 1
            n_rounds += 1
        if options["--seed"] or time.monotonic() >= end_s:
            break
        seed = (seed + 1) % SEEDS
    n_examples = n_rounds * EXAMPLES_PER_ROUND
    print(f"{n_rounds} rounds, {n_examples} histories, none broke a promise")
    return 0 if n_rounds else 1


def _has_passed(machine: Machine, seed: int) -> bool:
    try:
        machine.run(seed)
    except Exception:
        traceback.print_exc()
        command = f"python -m tests.fuzz --seed={seed} --machine={machine.name}"
        print(f"FAILED; reproduce with: {command}")
        return False
    return True


if __name__ == "__main__":
    sys.exit(main())
