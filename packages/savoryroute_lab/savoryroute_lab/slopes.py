"""Slopes of the cost of a daemon over fleet and document size, changes and call rate.

Usage:
  slopes [--fleets=LIST] [--services=LIST] [--changes=LIST] [--rates=LIST]
         [--virtual=LIST] [--window=N]

Options:
  --fleets=LIST    Numbers of daemons [default: 6,12,24,48].
  --services=LIST  Services in the document [default: 4,32,130].
  --changes=LIST   Changes of the document per second [default: 0.1,0.5,2].
  --rates=LIST     Calls per second through one daemon [default: 40,80,155].
  --virtual=LIST   Hosts in each of 6 failure domains of a fleet in virtual time;
                   183 take about 5 minutes [default: 6,30,60].
  --window=N       Duration of each measurement in seconds [default: 8].

Real daemons run as processes on loopback; all hosts of a service share one
upstream. A fleet in virtual time runs in one process. Prints one JSON object, then
the same rows as Markdown tables.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys

import docopt
import uvloop

from .slopes_fleet import FleetSlopes
from .slopes_report import to_markdown

__all__ = ["main"]

N_DOMAINS = 6
VIRTUAL_TIMEOUT_S = 400.0
DOCUMENT_FLEET_HOSTS = 12


def main() -> int:
    """Run all measurements and print them; return the exit status."""
    options = docopt.docopt(__doc__)
    window_s = float(options["--window"])
    rows: list[dict[str, object]] = []
    fleets = _numbers(options["--fleets"])
    for n_hosts in fleets:
        study = FleetSlopes(n_hosts, window_s)
        varies_document = n_hosts == DOCUMENT_FLEET_HOSTS
        services = _numbers(options["--services"]) if varies_document else []
        changes = _floats(options["--changes"]) if varies_document else []
        rates = _floats(options["--rates"]) if n_hosts in fleets[:2] else []
        rows += uvloop.run(study.run(services, changes, rates))
    for n_hosts in _numbers(options["--virtual"]):
        rows += _virtual(n_hosts)
    load = [round(value, 1) for value in os.getloadavg()]
    print(json.dumps({"load_average": load, "rows": rows}, indent=1))
    print(to_markdown(rows))
    return 0


def _virtual(n_hosts: int) -> list[dict[str, object]]:
    """Return the rows of a fleet in virtual time, measured in a subprocess."""
    command = [sys.executable, "-m", "savoryroute_lab.fleet_study", "--brief"]
    command += [f"--domains={N_DOMAINS}", f"--hosts={n_hosts}"]
    try:
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=VIRTUAL_TIMEOUT_S
        )
    except subprocess.TimeoutExpired:
        n_all = N_DOMAINS * n_hosts
        return [{"measured": "virtual: not finished in time", "n_hosts": n_all}]
    rows = [json.loads(line) for line in done.stdout.splitlines()]
    return [row | {"measured": f"virtual: {row['measured']}"} for row in rows]


def _numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",") if part]


def _floats(text: str) -> list[float]:
    return [float(part) for part in text.split(",") if part]


if __name__ == "__main__":
    sys.exit(main())
