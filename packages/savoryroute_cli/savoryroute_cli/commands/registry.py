"""Registry of the commands by name."""

from __future__ import annotations

from collections.abc import Callable

from savoryroute.registry import Registry

from ..exit_code import ExitCode
from ..options import Options

__all__ = ["COMMANDS", "Command"]

Command = Callable[[Options], ExitCode]

COMMANDS: Registry[Command] = Registry("command")
