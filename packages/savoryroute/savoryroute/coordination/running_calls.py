"""Calls running at the local upstream, looked up by the requests that they make.

Request ids are hierarchical: the id of a downstream request begins with that of its
action. A request thus gets the rank of its action, and the load that it meets
downstream is reported in the answer to the running call that made it.
"""

from __future__ import annotations

from typing import Generic, TypeVar

__all__ = ["RunningCalls"]

T = TypeVar("T")


class RunningCalls(Generic[T]):
    """Running calls by action.

    Args:
        separator: Separator between the parts of a request id.
    """

    def __init__(self, separator: bytes) -> None:
        self._separator = separator
        self._by_action: dict[bytes, list[T]] = {}

    def begin(self, request_id: bytes, run: T) -> None:
        """Record the start of a call."""
        action = request_id.partition(self._separator)[0]
        self._by_action.setdefault(action, []).append(run)

    def end(self, request_id: bytes, run: T) -> None:
        """Record the end of a call."""
        action = request_id.partition(self._separator)[0]
        runs = self._by_action[action]
        runs.remove(run)
        if not runs:
            del self._by_action[action]

    def parent_of(self, request_id: bytes) -> T | None:
        """Return the running call that made a request, None if none here did."""
        action, separator, _ = request_id.partition(self._separator)
        runs = self._by_action.get(action) if separator else None
        return runs[0] if runs else None
