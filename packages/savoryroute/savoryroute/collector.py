"""Settings of the garbage collector for a long-running daemon."""

from __future__ import annotations

import gc

__all__ = ["tune_collector"]

# Objects allocated between collections of each generation.
YOUNG_THRESHOLD = 20_000
MIDDLE_THRESHOLD = 20
OLD_THRESHOLD = 20


def tune_collector() -> None:
    """Take what lives by now out of collections, and collect less often.

    Most objects of a request are freed by reference counts. To be called once the
    daemon has started: modules and parts stay for good.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD, MIDDLE_THRESHOLD, OLD_THRESHOLD)
