"""Processor time, memory and sockets of other processes, read from ``/proc``."""

from __future__ import annotations

import os
import pathlib

import attrs

__all__ = ["ProcessUsage", "read_usage"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# Indices of fields in /proc/<pid>/stat, where 0 is the field after the command name.
UTIME_FIELD = 11
STIME_FIELD = 12
RSS_FIELD = 21


@attrs.frozen
class ProcessUsage:
    """Resources used by a process.

    Attributes:
        cpu_s: User and system processor time since the start, in seconds.
        rss_bytes: Resident memory in bytes.
        n_sockets: Number of open sockets, including listening ones.
    """

    cpu_s: float
    rss_bytes: int
    n_sockets: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the current resource usage of a process."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    rss_bytes = int(fields[RSS_FIELD]) * PAGE_BYTES
    return ProcessUsage(ticks / TICKS_PER_S, rss_bytes, _n_sockets(pid))


def _n_sockets(pid: int) -> int:
    folder = f"/proc/{pid}/fd"
    n_sockets = 0
    for name in os.listdir(folder):
        try:
            n_sockets += os.readlink(f"{folder}/{name}").startswith("socket:")
        except OSError:
            continue
    return n_sockets
