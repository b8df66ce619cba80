"""Text for operators on the terminal."""

from __future__ import annotations

import sys

__all__ = ["escape_unprintable", "print_error", "print_line", "print_table"]


def escape_unprintable(value: object) -> str:
    """Return the value as text, with unprintable characters escaped."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in str(value)
    )


def print_line(*values: object) -> None:
    """Print values on one line; they may come from daemons and are escaped."""
    print(*map(escape_unprintable, values), flush=True)


def print_error(text: str) -> None:
    """Print a message to standard error as it is."""
    print(text, file=sys.stderr, flush=True)


def print_table(rows: list[tuple[object, ...]]) -> None:
    """Print rows in aligned columns; the first row holds the titles."""
    cells = [[escape_unprintable(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip(), flush=True)
