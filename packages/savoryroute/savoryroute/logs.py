"""Structured logs: one JSON object per line."""

from __future__ import annotations

import logging
import sys
from collections.abc import MutableMapping
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

__all__ = ["ContextLogger", "configure", "get_logger"]

ROOT_LOGGER = "savoryroute"
FORMAT = "%(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"levelname": "level", "name": "logger"}


class ContextLogger(logging.LoggerAdapter):
    """Logger that adds fixed fields, such as the action, to its records."""

    def process(
        self, msg: object, kwargs: MutableMapping[str, object]
    ) -> tuple[object, MutableMapping[str, object]]:
        """Merge the fixed fields with those of one log call."""
        kwargs["extra"] = {**(self.extra or {}), **(kwargs.get("extra") or {})}
        return msg, kwargs

    def bind(self, **fields: object) -> ContextLogger:
        """Return a logger with further fixed fields."""
        return ContextLogger(self.logger, {**(self.extra or {}), **fields})


def configure(level: str, host: str, stream: TextIO | None = None) -> None:
    """Send the package's logs to a stream as JSON.

    Args:
        level: Lowest level that is logged: debug, info, warning or error.
        host: Name of the host, written as a field of each record.
        stream: Stream to write to; standard error by default.
    """
    formatter = JsonFormatter(
        FORMAT,
        rename_fields=RENAMED_FIELDS,
        static_fields={"host": host},
        timestamp=True,
    )
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(formatter)
    logger = logging.getLogger(ROOT_LOGGER)
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False


def get_logger(
    name: str, request: str | None = None, action: str | None = None
) -> ContextLogger:
    """Return a logger of the package.

    Args:
        name: Dotted name relative to the package, or a module's ``__name__``.
        request: Id of the request that the records are about.
        action: Id of the action that the records are about.
    """
    if name != ROOT_LOGGER and not name.startswith(f"{ROOT_LOGGER}."):
        name = f"{ROOT_LOGGER}.{name}"
    fields = {"request": request, "action": action}
    given = {field: value for field, value in fields.items() if value is not None}
    return ContextLogger(logging.getLogger(name), given)
