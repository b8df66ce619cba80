"""Exit codes of the command line."""

from __future__ import annotations

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """Outcome of a command."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
