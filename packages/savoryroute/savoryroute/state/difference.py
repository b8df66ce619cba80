"""Structural differences between plain documents."""

from __future__ import annotations

import enum

from result import Err, Ok, Result

from ..errors import DocumentError

__all__ = ["Operation", "apply_difference", "make_difference"]

SOURCE = "difference"
# Limits on differences that peers send.
DEPTH_MAX = 64
VALUES_MAX = 1_000_000


class Operation(enum.IntEnum):
    """Operation that one step of a difference performs at its path.

    A step is ``[operation, path, *arguments]``. A path is a list of member names and
    list indexes.
    """

    SET = 0
    """Set a member or list item. Argument: the new value."""
    REMOVE = 1
    """Remove a member. No arguments."""
    SPLICE = 2
    """Replace list items. Arguments: first index, number removed, new items."""


def make_difference(old: dict, new: dict) -> list:
    """Return the steps that turn one plain document into another.

    Args:
        old: Original document.
        new: Document that the steps produce.

    Returns:
        A list of steps that can be encoded as CBOR.
    """
    steps: list = []
    _compare_objects(old, new, [], steps)
    return steps


def apply_difference(old: dict, difference: object) -> Result[dict, DocumentError]:
    """Apply the steps of a difference to a plain document.

    Args:
        old: Original document; not modified.
        difference: Result of ``make_difference``, received from an untrusted peer.
    """
    try:
        _check_values(difference)
        editor = _Editor(old)
        for index, step in enumerate(_expect(difference, list, "root")):
            _apply_step(editor, step, f"[{index}]")
    except DocumentError as exc:
        return Err(exc)
    return Ok(editor.root)


def _compare(old: object, new: object, path: list, steps: list) -> None:
    if type(old) is dict and type(new) is dict:
        _compare_objects(old, new, path, steps)
    elif type(old) is list and type(new) is list:
        _compare_lists(old, new, path, steps)
    elif not _is_same(old, new):
        steps.append([int(Operation.SET), path, new])


def _compare_objects(old: dict, new: dict, path: list, steps: list) -> None:
    for name in old:
        if name not in new:
            steps.append([int(Operation.REMOVE), [*path, name]])
    for name, value in new.items():
        if name in old:
            _compare(old[name], value, [*path, name], steps)
        else:
            steps.append([int(Operation.SET), [*path, name], value])


def _compare_lists(old: list, new: list, path: list, steps: list) -> None:
    first = _common_length(old, new)
    n_tail = _common_length(old[first:][::-1], new[first:][::-1])
    old_end = len(old) - n_tail
    new_end = len(new) - n_tail
    if len(old) == len(new):
        for position in range(first, old_end):
            _compare(old[position], new[position], [*path, position], steps)
    else:
        items = new[first:new_end]
        steps.append([int(Operation.SPLICE), path, first, old_end - first, items])


def _common_length(left: list, right: list) -> int:
    n_same = 0
    for left_item, right_item in zip(left, right, strict=False):
        if not _is_same(left_item, right_item):
            break
        n_same += 1
    return n_same


def _is_same(left: object, right: object) -> bool:
    if type(left) is not type(right):
        return False
    if type(left) is dict:
        return left.keys() == right.keys() and all(
            _is_same(value, right[name]) for name, value in left.items()
        )
    if type(left) is list:
        return len(left) == len(right) and all(map(_is_same, left, right))
    if type(left) is float:
        return repr(left) == repr(right)
    return left == right


class _Editor:
    """Copy-on-write editor of a plain document."""

    def __init__(self, root: dict) -> None:
        self.root = dict(root)
        self._owned: dict[int, object] = {id(self.root): self.root}

    def open(self, path: list, where: str) -> dict | list:
        """Return the container at a path; it may be modified."""
        container: dict | list = self.root
        for key in path:
            _check_key(container, key, where)
            child = container[key]
            if type(child) not in (dict, list):
                raise _refuse(
                    where,
                    "a path through a scalar value",
                    "a path through objects and lists",
                )
            if id(child) not in self._owned:
                child = child.copy()
                self._owned[id(child)] = child
                container[key] = child
            container = child
        return container


def _apply_step(editor: _Editor, step: object, where: str) -> None:
    parts = _expect(step, list, where)
    if len(parts) < 2 or type(parts[0]) is not int:
        raise _refuse(where, "a malformed step", "[operation, path, ...]")
    path = _expect(parts[1], list, f"{where}[1]")
    arguments = parts[2:]
    if parts[0] == Operation.SPLICE:
        _splice(editor.open(path, where), arguments, where)
        return
    if not path:
        raise _refuse(where, "an empty path", "a path to a member")
    container = editor.open(path[:-1], where)
    if parts[0] == Operation.SET:
        _set(container, path[-1], arguments, where)
    elif parts[0] == Operation.REMOVE:
        _remove(container, path[-1], arguments, where)
    else:
        raise _refuse(where, "an unknown operation", "operations 0 to 2")


def _set(container: dict | list, key: object, arguments: list, where: str) -> None:
    if len(arguments) != 1:
        raise _refuse(where, f"{len(arguments)} arguments", "one value")
    if type(container) is list or type(key) is not str:
        _check_key(container, key, where)
    container[key] = arguments[0]


def _remove(container: dict | list, key: object, arguments: list, where: str) -> None:
    if arguments or type(container) is not dict:
        raise _refuse(
            where, "a malformed removal", "no argument, and a path to a member"
        )
    _check_key(container, key, where)
    del container[key]


def _splice(container: dict | list, arguments: list, where: str) -> None:
    if type(container) is not list or len(arguments) != 3:
        raise _refuse(
            where, "a malformed splice", "[2, path to a list, first, number, items]"
        )
    first, n_removed, items = arguments
    if type(first) is not int or type(n_removed) is not int:
        raise _refuse(where, "a malformed splice", "integers as first and number")
    if first < 0 or n_removed < 0 or first + n_removed > len(container):
        raise _refuse(
            where, "a splice outside the list", "indexes from 0 to its length"
        )
    container[first : first + n_removed] = _expect(items, list, where)


def _check_key(container: dict | list, key: object, where: str) -> None:
    if type(container) is dict:
        is_found = type(key) is str and key in container
    else:
        is_found = type(key) is int and 0 <= key < len(container)
    if not is_found:
        raise _refuse(
            where, "a path that does not exist", "an existing member or index"
        )


def _check_values(difference: object) -> None:
    """Refuse values that have no JSON type, are nested too deeply or are too many."""
    level = [difference]
    n_values = 0
    for _ in range(DEPTH_MAX):
        n_values += len(level)
        if n_values > VALUES_MAX:
            raise _refuse("root", "too many values", f"at most {VALUES_MAX} values")
        level = _next_level(level)
        if not level:
            return
    raise _refuse("root", "too many levels", f"at most {DEPTH_MAX} levels")


def _next_level(level: list) -> list:
    next_level: list = []
    for value in level:
        if type(value) is dict:
            if not all(type(name) is str for name in value):
                raise _refuse("root", "a member name that is no string", "strings")
            next_level.extend(value.values())
        elif type(value) is list:
            next_level.extend(value)
        elif type(value) not in (str, int, float, bool, type(None)):
            raise _refuse("root", f"a {type(value).__name__}", "values of JSON types")
        if len(next_level) > VALUES_MAX:
            raise _refuse("root", "too many values", f"at most {VALUES_MAX} values")
    return next_level


def _expect(value: object, kind: type, where: str) -> list:
    if type(value) is not kind:
        raise _refuse(where, f"a {type(value).__name__}", f"a {kind.__name__}")
    return value


def _refuse(where: str, found: str, allowed: str) -> DocumentError:
    return DocumentError(SOURCE, where, found, allowed)
