"""List what changes between two documents."""

from __future__ import annotations

from result import is_err

from ..documents import list_changes, read_document
from ..exit_code import ExitCode
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["compare", "print_changes"]


@COMMANDS.register("compare")
def compare(options: Options) -> ExitCode:
    """Print a line for each value that differs between two valid documents."""
    plain_documents = []
    for path in options.files:
        read = read_document(path)
        if is_err(read):
            print_error(str(read.err_value))
            return ExitCode.REFUSED
        plain_documents.append(read.ok_value.to_plain())
    print_changes(*plain_documents)
    return ExitCode.OK


def print_changes(old: dict, new: dict) -> None:
    """Print the changes between two plain documents."""
    lines = list(list_changes(old, new))
    for line in lines or ["no changes"]:
        print_line(line)
