"""Reading of a settings file, whatever settings it holds."""

from __future__ import annotations

import os
import pathlib
from collections.abc import Callable
from typing import TypeVar

from result import Err, Ok, Result

from ..errors import SettingsError
from .checking import Members
from .parsing import TEXT_BYTES_MAX, parse_object

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
    source = os.fspath(path)
    try:
        with pathlib.Path(path).open("rb") as file:
            text = file.read(TEXT_BYTES_MAX + 1).decode()
    except OSError as exc:
        return Err(SettingsError(source, "file", str(exc.strerror), "a readable file"))
    except UnicodeDecodeError as exc:
        return Err(SettingsError(source, f"byte {exc.start}", exc.reason, "UTF-8"))
    return parse_settings_text(text, source, read)


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
