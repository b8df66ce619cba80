"""Structural difference between two plain documents."""

from __future__ import annotations

import enum

from result import Err, Ok, Result

from ..errors import DocumentError

__all__ = ["Operation", "apply_difference", "make_difference"]

SOURCE = "difference"
DEPTH_MAX = 64
VALUES_MAX = 1_000_000


class Operation(enum.IntEnum):
    """What one step of a difference does at its path.

    A step is ``[operation, path, *arguments]``; a path is a list of names of
    members and positions in lists.
    """

    SET = 0
    """Argument: the new value of the member or item."""
    REMOVE = 1
    """No argument: the member goes."""
    SPLICE = 2
    """Arguments: first position, number of items removed, items put there."""


def make_difference(old: dict, new: dict) -> list:
    """Return the steps that make one plain document into another.

    Args:
        old: Document to begin with.
        new: Document to arrive at.

    Returns:
        A list that CBOR can carry.
    """
    steps: list = []
    _compare_objects(old, new, [], steps)
    return steps


def apply_difference(old: dict, difference: object) -> Result[dict, DocumentError]:
    """Apply the steps of a difference to a plain document.

    Args:
        old: Document to begin with; not changed.
        difference: What ``make_difference`` returned, from an untrusted peer.
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
    n_last = _common_length(old[first:][::-1], new[first:][::-1])
    old_end = len(old) - n_last
    new_end = len(new) - n_last
    if len(old) == len(new):
        for position in range(first, old_end):
            _compare(old[position], new[position], [*path, position], steps)
    else:
        items = new[first:new_end]
        steps.append([int(Operation.SPLICE), path, first, old_end - first, items])


def _common_length(left: list, right: list) -> int:
    n_same = 0
    for one, other in zip(left, right, strict=False):
        if not _is_same(one, other):
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
    """Copy of a document in which only what changes is copied."""

    def __init__(self, root: dict) -> None:
        self.root = dict(root)
        self._owned: dict[int, object] = {id(self.root): self.root}

    def open(self, path: list, where: str) -> dict | list:
        """Return the container at a path, safe to change."""
        container: dict | list = self.root
        for key in path:
            _check_key(container, key, where)
            child = container[key]
            if type(child) not in (dict, list):
                raise _refuse(where, "a path through a single value", "a container")
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
        raise _refuse(where, "a malformed removal", "removal of a member")
    _check_key(container, key, where)
    del container[key]


def _splice(container: dict | list, arguments: list, where: str) -> None:
    if type(container) is not list or len(arguments) != 3:
        raise _refuse(where, "a malformed splice", "first, number and items")
    first, n_removed, items = arguments
    if type(first) is not int or type(n_removed) is not int:
        raise _refuse(where, "a malformed splice", "integers")
    if first < 0 or n_removed < 0 or first + n_removed > len(container):
        raise _refuse(where, "a splice outside of the list", "0 to its length")
    container[first : first + n_removed] = _expect(items, list, where)


def _check_key(container: dict | list, key: object, where: str) -> None:
    if type(container) is dict:
        is_there = type(key) is str and key in container
    else:
        is_there = type(key) is int and 0 <= key < len(container)
    if not is_there:
        raise _refuse(where, "a path that leads nowhere", "members that are there")


def _check_values(difference: object) -> None:
    """Refuse values that are not plain, too deep or too many."""
    level = [difference]
    n_values = 0
    for _ in range(DEPTH_MAX):
        n_values += len(level)
        if n_values > VALUES_MAX:
            raise _refuse("root", "too many values", f"at most {VALUES_MAX}")
        level = _next_level(level)
        if not level:
            return
    raise _refuse("root", "too many levels", f"at most {DEPTH_MAX}")


def _next_level(level: list) -> list:
    below: list = []
    for value in level:
        if type(value) is dict:
            if not all(type(name) is str for name in value):
                raise _refuse("root", "a member with no text as name", "texts")
            below.extend(value.values())
        elif type(value) is list:
            below.extend(value)
        elif type(value) not in (str, int, float, bool, type(None)):
            raise _refuse("root", f"a {type(value).__name__}", "plain values")
        if len(below) > VALUES_MAX:
            raise _refuse("root", "too many values", f"at most {VALUES_MAX}")
    return below


def _expect(value: object, kind: type, where: str) -> list:
    if type(value) is not kind:
        raise _refuse(where, f"a {type(value).__name__}", f"a {kind.__name__}")
    return value


def _refuse(where: str, found: str, allowed: str) -> DocumentError:
    return DocumentError(SOURCE, where, found, allowed)
