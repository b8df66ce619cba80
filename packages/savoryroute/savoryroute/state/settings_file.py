"""Reading of settings files, independent of the settings that they contain."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from ..errors import SettingsError
from .checking import ObjectReader
from .parsing import parse_object, read_text

__all__ = ["parse_settings_text", "read_settings_file"]

T = TypeVar("T")


def read_settings_file(
    path: str | os.PathLike[str], read: Callable[[ObjectReader], T]
) -> Result[T, SettingsError]:
    """Read and check a settings file.

    Args:
        path: Path of the file, JSON with comments.
        read: Converts the members of the file to settings; raises ``SettingsError``
            if they are not valid.
    """
    try:
        text = read_text(path, SettingsError)
    except SettingsError as exc:
        return Err(exc)
    return parse_settings_text(text, os.fspath(path), read)


def parse_settings_text(
    text: str, source: str, read: Callable[[ObjectReader], T]
) -> Result[T, SettingsError]:
    """Parse and check the text of a settings file.

    Args:
        text: JSON with comments.
        source: Name of the file from which the text was read.
        read: See ``read_settings_file``.
    """
    try:
        plain = parse_object(text, source, SettingsError)
        return Ok(read(ObjectReader(plain, source, SettingsError)))
    except SettingsError as exc:
        return Err(exc)
