"""Waits and shares in time of upstreams of uneven speed, for docs/RESULTS.md.

Usage:
  uneven_study.py [--seeds=<n>] [--hops=<list>] [--pattern=<text>] [--parts] [--others]

Options:
  --seeds=<n>       Number of seeds [default: 5].
  --hops=<list>     Numbers of first hops [default: 13,74,195].
  --pattern=<text>  Only patterns that contain this text.
  --parts           Compare with versions that lack one part.
  --others          Play the other patterns, with 12 first hops.
"""

from __future__ import annotations

import concurrent.futures
import statistics
from unittest import mock

import attrs
from docopt import docopt

from savoryroute.coordination.call_queue import CallQueue
from savoryroute.coordination.instance_record import ReportedFactor
from savoryroute.coordination.spill_rule import SpillRule

from .fleet_replay import FleetReplay, Outcome
from .load_patterns import stated_patterns, uneven_patterns

N_PROCESSES = 3
VARIANTS = ("before", "after", "oracle")
PARTS = {
    "after": None,
    "no factor": (ReportedFactor, "at", lambda *args: 1.0),
    "no return": (CallQueue, "_return_late", lambda queue: None),
    "no wait": (SpillRule, "wait_cost", lambda *args: 0.0),
    "no herd limit": (SpillRule, "allows", lambda *args: True),
    "no usual load": (SpillRule, "usual_loads", (0.0, 0.0)),
}


def play(name: str, n_hops: int, variant: str, seed: int) -> tuple[float, ...]:
    """Return share in time in %, mean and p99 of the wait and spread in ms."""
    pattern = (uneven_patterns(n_hops) | stated_patterns())[name]
    spec = pattern.spec
    if variant == "before":
        # As upstreams that state nothing are served as before.
        spec = attrs.evolve(spec, stated=None)
    replay = FleetReplay(spec, pattern.load, seed)
    if variant == "oracle":
        outcome = replay.play_oracle()
    elif PARTS.get(variant) is None:
        outcome = replay.play()
    else:
        with mock.patch.object(*PARTS[variant]):
            outcome = replay.play()
    return (*_figures(outcome), float(replay.n_returned))


def _figures(outcome: Outcome) -> tuple[float, ...]:
    waits_s = sorted(outcome.waits_s)
    spreads_s = outcome.spreads_s or [0.0]
    return (
        100 * outcome.in_target,
        1000 * statistics.fmean(waits_s),
        1000 * waits_s[int(0.99 * len(waits_s))],
        1000 * statistics.fmean(spreads_s),
    )


def main() -> None:
    """Print one row for each pattern, number of first hops and variant."""
    options = docopt(__doc__)
    seeds = range(int(options["--seeds"]))
    hops = [int(text) for text in options["--hops"].split(",")]
    patterns = uneven_patterns(1)
    if options["--others"]:
        patterns, hops = stated_patterns(), [12]
    names = [n for n in patterns if (options["--pattern"] or "") in n]
    variants = PARTS if options["--parts"] else VARIANTS
    jobs = [(n, h, v) for n in names for h in hops for v in variants]
    print("| pattern | hops | | in time % | mean wait ms | p99 | spread | returned |")
    print("|---|---|---|---|---|---|---|---|")
    with concurrent.futures.ProcessPoolExecutor(N_PROCESSES) as pool:
        results = {
            job: [pool.submit(play, *job, seed) for seed in seeds] for job in jobs
        }
        for job, futures in results.items():
            columns = zip(*(future.result() for future in futures), strict=True)
            cells = [f"{statistics.fmean(c):.2f} ± {_noise(c):.2f}" for c in columns]
            print(
                "|", " | ".join([job[0], str(job[1]), job[2], *cells]), "|", flush=True
            )


def _noise(column: tuple[float, ...]) -> float:
    return statistics.stdev(column) if len(column) > 1 else 0.0


if __name__ == "__main__":
    main()
