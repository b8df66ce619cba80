"""Memory and processing time of one ledger record.

Usage:
  ledger_bytes.py [--records=<n>]
"""

from __future__ import annotations

import gc
import json
import secrets
import time
import tracemalloc

from docopt import docopt

from savoryroute.state.ledger import RECORD_BYTES, RECORD_RETENTION_S, Ledger
from savoryroute.state.ledger_entry import RecordedAnswer

__all__ = ["main"]

HEADERS = ("content-type", "application/json")
BODY_BYTES = 200
CALLS_PER_S = 155


def _fill(ledger: Ledger, n_records: int) -> None:
    """Begin and finish ``n_records`` actions."""
    for n in range(n_records):
        begun = ledger.begin(ledger.mint(), secrets.token_bytes(16))
        body = secrets.token_bytes(BODY_BYTES)
        begun.entry.finish(
            RecordedAnswer(201, (*HEADERS, "location", f"/orders/{n}"), body)
        )


def main() -> None:
    """Run all measurements and print them as one line of JSON."""
    n_records = int(docopt(__doc__)["--records"] or 20_000)
    gc.collect()
    tracemalloc.start()
    ledger = Ledger("nairobi-planner-1", 2**52, lambda: 1e5, 1 << 40)
    _fill(ledger, n_records)
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    now_s = 1e5
    timed_ledger = Ledger("nairobi-planner-1", 2**52, lambda: now_s, 1 << 40)
    start_s = time.perf_counter()
    _fill(timed_ledger, n_records)
    filled_s = time.perf_counter()
    now_s += RECORD_RETENTION_S + 1
    timed_ledger.begin(timed_ledger.mint(), b"")
    evicted_s = time.perf_counter()
    n_kept = CALLS_PER_S * RECORD_RETENTION_S
    row = {
        "n_records": n_records,
        "body_bytes": BODY_BYTES,
        "measured_bytes_per_record": round(n_bytes / n_records),
        "counted_bytes_per_record": round(ledger.n_bytes / n_records),
        "record_bytes": RECORD_BYTES,
        "mib_at_155_per_s": round(n_kept * n_bytes / n_records / 2**20, 1),
        "us_per_action": round((filled_s - start_s) / n_records * 1e6, 1),
        "us_per_eviction": round((evicted_s - filled_s) / n_records * 1e6, 2),
    }
    print(json.dumps(row))


if __name__ == "__main__":
    main()
