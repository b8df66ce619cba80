"""Reading, rendering and comparing documents."""

from __future__ import annotations

import json
from collections.abc import Iterator

from result import Err, Ok, Result

from savoryroute.errors import DocumentError
from savoryroute.state.difference import Operation, make_difference
from savoryroute.state.document import Document, parse_document
from savoryroute.state.parsing import TEXT_BYTES_MAX, read_text

__all__ = ["list_changes", "read_document", "render_document"]


def read_document(path: str) -> Result[Document, DocumentError]:
    """Read and check the document in a file."""
    try:
        text = read_text(path, DocumentError)
    except DocumentError as exc:
        return Err(exc)
    return parse_document(text, path)


def render_document(document: Document) -> Result[str, DocumentError]:
    """Return a document as strict JSON; equal documents give equal texts."""
    text = json.dumps(document.to_plain(), sort_keys=True, separators=(",", ":"))
    if len(text) > TEXT_BYTES_MAX:
        found = f"{len(text)} bytes with all defaults filled in"
        allowed = f"at most {TEXT_BYTES_MAX} bytes"
        return Err(DocumentError("rendered form", "size", found, allowed))
    return Ok(text)


def list_changes(old: dict, new: dict) -> Iterator[str]:
    """Yield a line for each value that differs between two plain documents."""
    for operation, path, *arguments in make_difference(old, new):
        where = _format_path(path)
        if operation == Operation.REMOVE:
            yield f"- {where}: {_format(_lookup(old, path))}"
        elif operation == Operation.SPLICE:
            yield from _list_splice(_lookup(old, path), where, *arguments)
        elif path[-1] in _lookup(old, path[:-1]):
            yield f"  {where}: {_format(_lookup(old, path))} -> {_format(arguments[0])}"
        else:
            yield f"+ {where}: {_format(arguments[0])}"


def _list_splice(
    old: list, where: str, first: int, n_removed: int, items: list
) -> Iterator[str]:
    for item in old[first : first + n_removed]:
        yield f"- {where}: {_format(item)}"
    for item in items:
        yield f"+ {where}: {_format(item)}"


def _lookup(plain: object, path: list) -> object:
    for key in path:
        plain = plain[key]
    return plain


def _format_path(path: list) -> str:
    parts = (f"[{key}]" if isinstance(key, int) else f".{key}" for key in path)
    return "".join(parts).removeprefix(".")


def _format(value: object) -> str:
    return json.dumps(value, sort_keys=True)
