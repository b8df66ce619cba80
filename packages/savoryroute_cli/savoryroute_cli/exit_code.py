"""Exit codes of the command line."""

from __future__ import annotations

import enum

__all__ = ["ExitCode"]


class ExitCode(enum.IntEnum):
    """What the exit code of a command says."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
