"""Settings of the garbage collector for a long-running daemon."""

from __future__ import annotations

import gc

__all__ = ["tune_collector"]

# Thresholds for ``gc.set_threshold``: net allocations before the youngest generation is
# collected, then collections of a generation before the next older one is collected.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 20


def tune_collector() -> None:
    """Exempt the existing objects from garbage collection and collect less often.

    Call it once the daemon has started: modules and the daemon's components exist until
    it ends. Most objects of a request are freed by reference counting.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
