"""Text for operators on the terminal."""

from __future__ import annotations

import sys

__all__ = ["clean", "print_error", "print_line", "print_table"]


def clean(value: object) -> str:
    """Return a text in which unprintable characters are escaped."""
    return "".join(
        char if char.isprintable() else ascii(char)[1:-1] for char in str(value)
    )


def print_line(*values: object) -> None:
    """Print values that may come from elsewhere, on one line."""
    print(*map(clean, values), flush=True)


def print_error(text: str) -> None:
    """Print a text of the command's own to standard error."""
    print(text, file=sys.stderr, flush=True)


def print_table(rows: list[tuple[object, ...]]) -> None:
    """Print rows with their columns aligned; the first row holds the titles."""
    cells = [[clean(cell) for cell in row] for row in rows]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip(), flush=True)
