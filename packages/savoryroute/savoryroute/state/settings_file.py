"""Reading of a settings file, whatever settings it holds."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from ..errors import SettingsError
from .checking import Members
from .parsing import parse_object, read_text

__all__ = ["parse_settings_text", "read_settings_file"]

T = TypeVar("T")


def read_settings_file(
    path: str | os.PathLike[str], read: Callable[[Members], T]
) -> Result[T, SettingsError]:
    """Read and check a settings file.

    Args:
        path: Path of the file, JSON with comments.
        read: Returns the settings in the members of the file; raises
            ``SettingsError`` where they cannot be used.
    """
    try:
        text = read_text(path, SettingsError)
    except SettingsError as exc:
        return Err(exc)
    return parse_settings_text(text, os.fspath(path), read)


def parse_settings_text(
    text: str, source: str, read: Callable[[Members], T]
) -> Result[T, SettingsError]:
    """Parse and check the text of a settings file.

    Args:
        text: JSON with comments.
        source: Name of the file that the text came from.
        read: As for ``read_settings_file``.
    """
    try:
        plain = parse_object(text, source, SettingsError)
        return Ok(read(Members(plain, source, SettingsError)))
    except SettingsError as exc:
        return Err(exc)
