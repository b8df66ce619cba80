"""Benchmark of goodput and recovery under overload, with an oracle and baselines.

Usage:
  bench [--seed=N] [--deployment=NAME] [--surges=LIST] [--only=VARIANT]
        [--without-features] [--out=FOLDER]

Options:
  --seed=N            Seed of arrival times and random choices [default: 1].
  --deployment=NAME   nairobi, deep-south or both [default: both].
  --surges=LIST       Factors on demand during the trigger [default: 2,3,5].
  --only=VARIANT      Run only this variant.
  --without-features  Skip the variants with one feature switched off.
  --out=FOLDER        Folder for plots and reports [default: build/bench].
"""

from __future__ import annotations

import json
import os
import pathlib
import sys
import time

import attrs
import docopt
import uvloop

from ..launcher import NotReadyError
from ..oracle import Findings
from .figures import Figures, figures_of
from .fleet import Fleet
from .page import plot, save, summary, table
from .scenario import RATE_FACTOR, SCENARIOS, SLOW_FACTOR, Phases, Scenario
from .variants import FEATURES_OFF, FIXED_LIMITS, NO_CONTROL, SAVORYROUTE, Variant

__all__ = ["main"]

NOT_READY_EXIT_CODE = 2
FEATURES_SURGE = 3.0


@attrs.define
class _Bench:
    """The runs selected by the options, and their results."""

    _seed: int
    _scenarios: list[Scenario]
    _surges: list[float]
    _only: str
    _has_features: bool
    _phases: Phases = attrs.field(factory=Phases)
    figures: list[Figures] = attrs.field(factory=list)
    findings: dict[str, Findings] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run all variants, baselines without daemons first."""
        for scenario in self._scenarios:
            jobs = self._jobs()
            # A new fleet for each baseline: unfinished work of one would load the next.
            for job in jobs:
                if not job[0].has_daemons:
                    await self._run_fleet(scenario, False, [job])
            with_daemons = [job for job in jobs if job[0].has_daemons]
            if with_daemons:
                await self._run_fleet(scenario, True, with_daemons)

    async def _run_fleet(
        self, scenario: Scenario, has_daemons: bool, jobs: list[tuple[Variant, float]]
    ) -> None:
        async with Fleet(scenario, self._phases, self._seed, has_daemons) as fleet:
            for variant, surge in jobs:
                run = await fleet.run(variant, surge)
                self.figures.append(figures_of(run))
                print(table(self.figures[-1:]).splitlines()[-1], flush=True)
            if has_daemons:
                self.findings[scenario.name] = fleet.findings()

    def _jobs(self) -> list[tuple[Variant, float]]:
        variants = [NO_CONTROL, SAVORYROUTE]
        jobs = [(variant, surge) for variant in variants for surge in self._surges]
        jobs.append((FIXED_LIMITS, FEATURES_SURGE))
        if self._has_features:
            jobs += [(variant, FEATURES_SURGE) for variant in FEATURES_OFF]
        return [job for job in jobs if self._only in ("", job[0].name)]


def _metadata(bench: _Bench, seed: int, started_s: float) -> dict[str, object]:
    return {
        "seed": seed,
        "slow_factor": SLOW_FACTOR,
        "rate_factor": RATE_FACTOR,
        "scales": {s.name: s.deployment.scale for s in SCENARIOS},
        "n_cores": os.cpu_count(),
        "broken_promises": {
            name: {
                "wrong": len(violations.wrong),
                "ran_twice": len(violations.ran_twice),
                "not_run_but_ran": len(violations.not_run_but_ran),
                "most_executions": violations.most_executions,
            }
            for name, violations in bench.findings.items()
        },
        "took_s": round(time.monotonic() - started_s),
    }


def main() -> int:
    """Run the benchmark; return the exit status."""
    options = docopt.docopt(__doc__)
    names = options["--deployment"]
    bench = _Bench(
        seed=int(options["--seed"]),
        scenarios=[s for s in SCENARIOS if names in ("both", s.name)],
        surges=[float(text) for text in options["--surges"].split(",")],
        only=options["--only"] or "",
        has_features=not options["--without-features"],
    )
    started_s = time.monotonic()
    print(table([]), flush=True)
    try:
        uvloop.run(bench.run())
    except NotReadyError as error:
        print(error, file=sys.stderr)
        return NOT_READY_EXIT_CODE
    folder = pathlib.Path(options["--out"])
    data = summary(bench.figures, _metadata(bench, int(options["--seed"]), started_s))
    save(table(bench.figures), data, folder)
    for path in plot(bench.figures, folder):
        print(path)
    print(json.dumps(data))
    return 0


if __name__ == "__main__":
    sys.exit(main())
