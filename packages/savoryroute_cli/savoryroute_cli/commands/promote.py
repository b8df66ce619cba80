"""Show what changes when a trial document becomes the production one."""

from __future__ import annotations

import pathlib

import attrs
from result import Err, Ok, Result, is_err

from savoryroute.errors import DocumentError
from savoryroute.state.document import Document

from ..documents import read_document, render_document
from ..exit_code import ExitCode
from ..options import Options
from ..output import print_error, print_line
from .compare import print_changes
from .registry import COMMANDS

__all__ = ["promote"]


@COMMANDS.register("promote")
def promote(options: Options) -> ExitCode:
    """Print the changes; with ``--out``, also write the production document."""
    trial_path, production_path = options.files
    read = _read_pair(trial_path, production_path)
    if is_err(read):
        print_error(str(read.err_value))
        return ExitCode.REFUSED
    trial, production = read.ok_value
    promoted = attrs.evolve(trial, environment="production")
    print_changes(production.to_plain(), promoted.to_plain())
    if options.out is None:
        return ExitCode.OK
    return _write(promoted, options.out)


def _read_pair(
    trial_path: str, production_path: str
) -> Result[tuple[Document, Document], DocumentError]:
    trial = _read(trial_path, "trial")
    if is_err(trial):
        return trial
    production = _read(production_path, "production")
    if is_err(production):
        return production
    version = trial.ok_value.version
    production_version = production.ok_value.version
    if version <= production_version:
        allowed = f"a version above {production_version}, that of {production_path}"
        return Err(DocumentError(trial_path, "version", str(version), allowed))
    return Ok((trial.ok_value, production.ok_value))


def _read(path: str, environment: str) -> Result[Document, DocumentError]:
    read = read_document(path)
    if is_err(read) or read.ok_value.environment == environment:
        return read
    found = read.ok_value.environment
    return Err(DocumentError(path, "environment", found, environment))


def _write(document: Document, path: str) -> ExitCode:
    rendered = render_document(document)
    if is_err(rendered):
        print_error(str(rendered.err_value))
        return ExitCode.REFUSED
    try:
        pathlib.Path(path).write_text(rendered.ok_value + "\n")
    except OSError as exc:
        print_error(f"{path}: not written: {exc.strerror}")
        return ExitCode.REFUSED
    print_line(f"{path}: written; publish it as documents/production")
    return ExitCode.OK
