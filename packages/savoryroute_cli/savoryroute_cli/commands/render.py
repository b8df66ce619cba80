"""Print a document in the form to publish."""

from __future__ import annotations

from result import is_err

from ..documents import read_document, render_document
from ..exit_code import ExitCode
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["render"]


@COMMANDS.register("render")
def render(options: Options) -> ExitCode:
    """Print a valid document as strict JSON with all defaults filled in."""
    (path,) = options.files
    rendered = read_document(path).and_then(render_document)
    if is_err(rendered):
        print_error(str(rendered.err_value))
        return ExitCode.REFUSED
    print_line(rendered.ok_value)
    return ExitCode.OK
