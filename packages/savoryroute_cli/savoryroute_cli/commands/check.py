"""Check an environment document."""

from __future__ import annotations

from result import is_err

from ..documents import read_document
from ..exit_code import ExitCode
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["check"]


@COMMANDS.register("check")
def check(options: Options) -> ExitCode:
    """Print a summary of a valid document, or the first error of an invalid one."""
    (path,) = options.files
    read = read_document(path)
    if is_err(read):
        print_error(str(read.err_value))
        return ExitCode.REFUSED
    document = read.ok_value
    print_line(
        f"{path}: valid {document.environment} document, version {document.version}, "
        f"{len(document.classes)} classes, {len(document.services)} services"
    )
    return ExitCode.OK
