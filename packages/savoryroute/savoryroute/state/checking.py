"""Typed access to plain values, with errors that state the path of each value."""

from __future__ import annotations

import difflib
import math
import re
from collections.abc import Collection, Iterator

from ..errors import CheckError
from .address import PORT_MAX, Address

__all__ = ["INTEGER_MAX", "ObjectReader", "describe", "is_encodable", "parse_duration"]

NAME_PATTERN = re.compile(r"[a-z][a-z0-9_-]{0,63}")
NAME_ALLOWED = "1 to 64 of a-z, 0-9, - and _, starting with a letter"
SHOWN_CHARACTERS = 60
# Largest integer that all JSON writers represent exactly; frames carry no larger ones.
INTEGER_MAX = 2**53 - 1
DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")

_REQUIRED = object()


def parse_duration(value: object) -> float | None:
    """Return the seconds in a duration such as ``"250ms"``, or None if malformed."""
    match = DURATION_PATTERN.fullmatch(value) if type(value) is str else None
    if match is None:
        return None
    seconds = float(match[1]) / (1000.0 if match[2] == "ms" else 1.0)
    # Too many digits for a float make it infinite.
    return seconds if math.isfinite(seconds) else None


def is_encodable(text: str) -> bool:
    """Return whether a text can be sent; JSON may contain halves of surrogate pairs."""
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def describe(value: object) -> str:
    """Return a short description of a value of any type, for error messages."""
    if isinstance(value, dict):
        return "an object" if value else "an empty object"
    if isinstance(value, list | tuple):
        return "a list" if value else "an empty list"
    if value is None or isinstance(value, bool):
        return {None: "null", True: "true", False: "false"}[value]
    if isinstance(value, int) and value.bit_length() > 64:
        return "a huge integer"
    if not isinstance(value, int | float | str | bytes):
        return f"a {type(value).__name__}"
    if isinstance(value, str | bytes):
        value = value[: SHOWN_CHARACTERS + 1]
    shown = ascii(value)
    if len(shown) > SHOWN_CHARACTERS:
        return shown[:SHOWN_CHARACTERS] + "..."
    return shown


class ObjectReader:
    """Reads the members of one object by name and type.

    Each getter raises the given type of error if the member is missing and has no
    default, has a different type or is out of range.

    Args:
        values: Parsed object.
        source: Name of the file, key or peer that provided the object.
        error: Type of error to raise.
        path: Path of the object within its source.
    """

    def __init__(
        self,
        values: object,
        source: str,
        error: type[CheckError],
        path: str = "",
    ) -> None:
        self._source = source
        self._error = error
        self._path = path
        if not isinstance(values, dict):
            self.fail("", values, "an object")
        self._values = values

    def __contains__(self, name: str) -> bool:
        return name in self._values

    def fail(self, name: str, found: object, allowed: str) -> None:
        """Raise an error about a member.

        Raises:
            CheckError: Always.
        """
        raise self._error(self._source, self._where(name), describe(found), allowed)

    def allow_only(self, known: Collection[str]) -> None:
        """Raise an error if a member has an unknown name."""
        for name in self._values:
            if name not in known:
                self._refuse_name(name, known)

    def get(self, name: str, default: object = _REQUIRED) -> object:
        """Return the unchecked value of a member, or its default."""
        value = self._values.get(name, default)
        if value is _REQUIRED:
            raise self._error(
                self._source, self._where(name), "nothing", "this member is required"
            )
        return value

    def integer(
        self, name: str, low: int, high: int, default: object = _REQUIRED
    ) -> int:
        """Return an integer from ``low`` to ``high``."""
        value = self.get(name, default)
        if type(value) is not int or not low <= value <= high:
            self.fail(name, value, f"an integer from {low} to {high}")
        return value

    def number(
        self, name: str, low: float, high: float, default: object = _REQUIRED
    ) -> float:
        """Return a finite number from ``low`` to ``high`` as a float."""
        value = self.get(name, default)
        is_number = type(value) in (int, float)
        if not is_number or not low <= value <= high or not math.isfinite(value):
            self.fail(name, value, f"a number from {low:g} to {high:g}")
        return float(value)

    def boolean(self, name: str, default: object = _REQUIRED) -> bool:
        """Return a boolean."""
        value = self.get(name, default)
        if type(value) is not bool:
            self.fail(name, value, "true or false")
        return value

    def text(
        self,
        name: str,
        pattern: re.Pattern[str],
        allowed: str,
        default: object = _REQUIRED,
    ) -> str:
        """Return a string that matches a pattern in full."""
        value = self.get(name, default)
        if type(value) is not str or not pattern.fullmatch(value):
            self.fail(name, value, allowed)
        return value

    def name(self, name: str, default: object = _REQUIRED) -> str:
        """Return the name of a class, service or failure domain."""
        return self.text(name, NAME_PATTERN, NAME_ALLOWED, default)

    def secret(self, name: str, pattern: re.Pattern[str], allowed: str) -> str:
        """Return a string that matches a pattern in full; errors do not show it."""
        value = self.get(name)
        if type(value) is not str or not pattern.fullmatch(value):
            where = self._where(name)
            raise self._error(self._source, where, "another value", allowed)
        return value

    def choice(
        self, name: str, known: Collection[str], default: object = _REQUIRED
    ) -> str:
        """Return a string that is one of the known ones."""
        value = self.get(name, default)
        if type(value) is not str or value not in known:
            self.fail(name, value, _list_names(known) + _suggestion(value, known))
        return value

    def address(self, name: str, lowest_port: int = 1) -> Address:
        """Return an IP address with a port."""
        return self._as_address(name, self.get(name), lowest_port)

    def address_ip(self, name: str) -> str:
        """Return an IP address without a port."""
        return self._as_address(name, f"{self.get(name)}:0", 0).ip

    def seconds(self, name: str, low: float, high: float) -> float:
        """Return a duration such as ``"250ms"`` or ``"1.5s"`` in seconds."""
        value = self.get(name)
        seconds = parse_duration(value)
        if seconds is None or not low <= seconds <= high:
            allowed = f"a number with ms or s, from {low:g}s to {high:g}s"
            self.fail(name, value, allowed)
        return seconds

    def addresses(self, name: str, default: object = _REQUIRED) -> tuple[Address, ...]:
        """Return a list of IP addresses with ports."""
        values = self._list(name, default)
        return tuple(
            self._as_address(f"{name}[{i}]", value, 1) for i, value in enumerate(values)
        )

    def integers(
        self, name: str, low: int, high: int, default: object = _REQUIRED
    ) -> list[int]:
        """Return a list of integers from ``low`` to ``high``."""
        values = self._list(name, default)
        for i, value in enumerate(values):
            if type(value) is not int or not low <= value <= high:
                self.fail(f"{name}[{i}]", value, f"an integer from {low} to {high}")
        return values

    def texts(self, name: str, default: object = _REQUIRED) -> list[str]:
        """Return a list of strings."""
        values = self._list(name, default)
        for i, value in enumerate(values):
            if type(value) is not str:
                self.fail(f"{name}[{i}]", value, "a string")
        return values

    def nested_object(self, name: str, default: object = _REQUIRED) -> ObjectReader:
        """Return a reader of a member that is itself an object."""
        return self._child(name, self.get(name, default))

    def named_objects(
        self, name: str, default: object = _REQUIRED
    ) -> Iterator[tuple[str, ObjectReader]]:
        """Yield name and reader of each object in an object, sorted by name."""
        table = self.nested_object(name, default)
        for key in table._values:
            if type(key) is not str or not NAME_PATTERN.fullmatch(key):
                table.fail("", key, f"names of {NAME_ALLOWED}")
        for key in sorted(table._values):
            yield key, table.nested_object(key)

    def listed_objects(
        self, name: str, default: object = _REQUIRED
    ) -> Iterator[ObjectReader]:
        """Yield a reader of each object in a list."""
        for i, value in enumerate(self._list(name, default)):
            yield self._child(f"{name}[{i}]", value)

    def _child(self, name: str, value: object) -> ObjectReader:
        return ObjectReader(value, self._source, self._error, self._where(name))

    def _where(self, name: str) -> str:
        if not name:
            return self._path or "root"
        return f"{self._path}.{name}" if self._path else name

    def _list(self, name: str, default: object) -> list:
        value = self.get(name, default)
        if type(value) is not list:
            self.fail(name, value, "a list")
        return value

    def _as_address(self, name: str, value: object, lowest_port: int) -> Address:
        address = Address.parse(value) if type(value) is str else None
        if address is None or not lowest_port <= address.port <= PORT_MAX:
            allowed = f"an IP address and a port from {lowest_port} to {PORT_MAX}"
            self.fail(name, value, f'{allowed}, as "127.0.0.1:7101" or "[::1]:7101"')
        return address

    def _refuse_name(self, name: object, known: Collection[str]) -> None:
        raise self._error(
            self._source,
            self._where(""),
            f"unknown member {describe(name)}",
            _list_names(known) + _suggestion(name, known),
        )


def _list_names(known: Collection[str]) -> str:
    return "one of " + ", ".join(sorted(known))


def _suggestion(name: object, known: Collection[str]) -> str:
    if type(name) is not str:
        return ""
    nearest = difflib.get_close_matches(name[:SHOWN_CHARACTERS], known, n=1)
    return f" (did you mean {nearest[0]}?)" if nearest else ""
