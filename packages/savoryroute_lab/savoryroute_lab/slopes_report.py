"""Rows of measurements as Markdown tables."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

__all__ = ["to_markdown"]

LABEL = "measured"


def to_markdown(rows: Sequence[Mapping[str, object]]) -> str:
    """Return one table for each value of ``measured``, with the columns of its rows."""
    tables: dict[str, list[Mapping[str, object]]] = {}
    for row in rows:
        tables.setdefault(str(row[LABEL]), []).append(row)
    return "\n".join(_table(name, table_rows) for name, table_rows in tables.items())


def _table(name: str, rows: list[Mapping[str, object]]) -> str:
    columns = list(dict.fromkeys(key for row in rows for key in row if key != LABEL))
    lines = [
        f"\n### {name}\n",
        _line(columns),
        _line(["---"] * len(columns)),
        *(_line([row.get(column, "") for column in columns]) for row in rows),
    ]
    return "\n".join(lines)


def _line(cells: Sequence[object]) -> str:
    return "| " + " | ".join(map(str, cells)) + " |"
