"""Checks the items of frames before anything is done with them.

Load pattern: a peer of another version, or one with damaged memory, sends items of
other types or numbers without bound. Kept in a table or a queue, such an item would
fail later, in the work of other calls.
"""

from __future__ import annotations

import functools
from collections.abc import Sequence

import attrs

__all__ = ["check_fields", "check_types"]

# Numbers beyond it are not exact as floats; no field comes near.
NUMBER_MAX = 2**53

_TYPES: dict[str, tuple[type, ...]] = {
    "bool": (bool,),
    "bytes": (bytes,),
    "float": (float, int),
    "float | None": (float, int, type(None)),
    "int": (int,),
    "list": (list,),
    "str": (str,),
    # Enumerations travel as their numbers, reasons as texts.
    "AttemptKind": (int,),
    "Verdict": (int,),
    "Reason | None": (str, type(None)),
}


def check_fields(cls: type, items: Sequence[object], n_optional: int = 0) -> None:
    """Check the items of a frame against the fields of the class that they are for.

    Args:
        cls: Class of the frame, with a field for each item.
        items: The items, without the kind of the frame.
        n_optional: Number of the last fields that may be left out, all or none.

    Raises:
        TypeError: An item has a wrong type.
        ValueError: The number of items is wrong, or a number is out of range.
    """
    check_types(cls, items, n_optional)
    for item in items:
        is_number = type(item) is int or type(item) is float
        # False for a float that is not a number, too.
        if is_number and not -NUMBER_MAX <= item <= NUMBER_MAX:
            raise ValueError(f"{cls.__name__} has a number out of range")


def check_types(cls: type, items: Sequence[object], n_optional: int = 0) -> None:
    """Check the items as ``check_fields`` does, but not the ranges of numbers.

    Raises:
        TypeError: An item has a wrong type.
        ValueError: The number of items is wrong.
    """
    if type(items) is not list:
        raise TypeError(f"{cls.__name__} is not a list")
    types = _types_of(cls)
    if len(items) == len(types) - n_optional:
        types = types[: len(items)]
    for item, allowed in zip(items, types, strict=True):
        if type(item) not in allowed:
            raise TypeError(f"{cls.__name__} has a {type(item).__name__}")


@functools.cache
def _types_of(cls: type) -> tuple[tuple[type, ...], ...]:
    """Return the types allowed for each field of a class, by its annotations."""
    return tuple(_TYPES[field.type.partition("[")[0]] for field in attrs.fields(cls))
