"""Memory that this process takes up, as the kernel counts it."""

from __future__ import annotations

import os
import pathlib

__all__ = ["resident_bytes"]

_STATM = pathlib.Path("/proc/self/statm")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if it is not known.

    Source: second field of ``/proc/self/statm``, proc(5).
    """
    try:
        return int(_STATM.read_text().split()[1]) * _PAGE_BYTES
    except (OSError, IndexError, ValueError):
        return 0
