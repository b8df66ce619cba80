"""Commands of the command line, one module for each."""

from . import audit, call, check, compare, explain, promote, render, status
from .registry import COMMANDS

__all__ = [
    "COMMANDS",
    "audit",
    "call",
    "check",
    "compare",
    "explain",
    "promote",
    "render",
    "status",
]
