"""Parsing of JSON text, with or without comments, into plain values."""

from __future__ import annotations

import json
import os
import pathlib
import re

import json5

from ..errors import CheckError

__all__ = [
    "JSON5_BYTES_MAX",
    "TEXT_BYTES_MAX",
    "is_strict_json",
    "parse_object",
    "read_text",
]

TEXT_BYTES_MAX = 1_000_000
# Text with comments parses slowly, so larger texts must be strict JSON.
JSON5_BYTES_MAX = 64 * 1024

# Line, message and column in an error of the JSON5 parser.
JSON5_ERROR_PATTERN = re.compile(r"^[^:]*:(\d+) (.*) at column (\d+)$", re.DOTALL)


class _DuplicateMemberError(Exception):
    """An object contains two members with the same name."""


class _ConstantError(Exception):
    """A number in the text is NaN or infinite."""


def is_strict_json(text: str) -> bool:
    """Return whether a text is strict JSON, which parses faster than JSON5."""
    try:
        json.loads(text)
    except (ValueError, RecursionError):
        return False
    return True


def read_text(path: str | os.PathLike[str], error: type[CheckError]) -> str:
    """Read a text file, up to one byte more than ``TEXT_BYTES_MAX``.

    The extra byte lets ``parse_object`` detect that the file is too large.

    Args:
        path: Path of the file.
        error: Type of error to raise.

    Raises:
        CheckError: The file cannot be read or is not UTF-8.
    """
    source = os.fspath(path)
    try:
        with pathlib.Path(path).open("rb") as file:
            return file.read(TEXT_BYTES_MAX + 1).decode()
    except OSError as exc:
        allowed = "a readable file"
        raise error(source, "file", str(exc.strerror), allowed) from exc
    except UnicodeDecodeError as exc:
        raise error(source, f"byte {exc.start}", exc.reason, "UTF-8") from exc


def parse_object(text: str, source: str, error: type[CheckError]) -> dict:
    """Parse strict JSON or JSON with comments into an object.

    Args:
        text: Text to parse.
        source: Name of the file or key from which the text was read.
        error: Type of error to raise.

    Returns:
        The object at the root of the text.

    Raises:
        CheckError: The text is too large, is not JSON or has no object at its root.
    """
    n_bytes = len(text.encode("utf-8", "surrogatepass"))
    if n_bytes > TEXT_BYTES_MAX:
        raise error(
            source, "size", f"{n_bytes} bytes", f"at most {TEXT_BYTES_MAX} bytes"
        )
    try:
        value = _parse(text, n_bytes, source, error)
    except _DuplicateMemberError as exc:
        raise error(
            source, f"member {exc}", "a duplicate", "each member name once"
        ) from None
    except _ConstantError as exc:
        raise error(source, "a number", str(exc), "finite numbers") from None
    except RecursionError:
        raise error(source, "nesting", "too many levels", "fewer levels") from None
    if not isinstance(value, dict):
        raise error(source, "root", type(value).__name__, "an object")
    return value


def _parse(text: str, n_bytes: int, source: str, error: type[CheckError]) -> object:
    try:
        return json.loads(
            text, object_pairs_hook=_unique_members, parse_constant=_refuse_constant
        )
    except json.JSONDecodeError as exc:
        if n_bytes > JSON5_BYTES_MAX:
            allowed = (
                f"strict JSON in a text above {JSON5_BYTES_MAX} bytes: "
                "publish the form that `savoryroute render` prints"
            )
            where = f"line {exc.lineno} column {exc.colno}"
            raise error(source, where, exc.msg, allowed) from None
    except ValueError as exc:
        raise error(source, "a number", str(exc), "smaller numbers") from None
    return _parse_json5(text, source, error)


def _parse_json5(text: str, source: str, error: type[CheckError]) -> object:
    try:
        return json5.loads(
            text, object_pairs_hook=_unique_members, parse_constant=_refuse_constant
        )
    except ValueError as exc:
        match = JSON5_ERROR_PATTERN.match(str(exc))
        if match is None:
            raise error(source, "text", str(exc), "JSON with comments") from None
        line, message, column = match.groups()
        where = f"line {line} column {column}"
        raise error(source, where, message, "JSON with comments") from None


def _unique_members(pairs: list[tuple[str, object]]) -> dict:
    members = dict(pairs)
    if len(members) < len(pairs):
        seen = set()
        for name, _ in pairs:
            if name in seen:
                raise _DuplicateMemberError(repr(name))
            seen.add(name)
    return members


def _refuse_constant(name: str) -> object:
    raise _ConstantError(name)
