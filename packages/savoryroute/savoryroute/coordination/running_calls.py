"""Runs at the own upstream, found by the further calls that they make.

Identities are hierarchical: a further call's identity begins with that of the action
that it belongs to. So a call takes the importance of its action, and what it met down
the chain is told with the answer of the very run that made it.
"""

from __future__ import annotations

from typing import Generic, TypeVar

__all__ = ["RunningCalls"]

T = TypeVar("T")


class RunningCalls(Generic[T]):
    """Runs by the action that they belong to.

    Args:
        separator: What stands between the parts of an identity.
    """

    def __init__(self, separator: bytes) -> None:
        self._separator = separator
        self._by_action: dict[bytes, list[T]] = {}

    def begin(self, request_id: bytes, run: T) -> None:
        """Note a run that begins."""
        action = request_id.partition(self._separator)[0]
        self._by_action.setdefault(action, []).append(run)

    def end(self, request_id: bytes, run: T) -> None:
        """Note that a run has ended."""
        action = request_id.partition(self._separator)[0]
        runs = self._by_action[action]
        runs.remove(run)
        if not runs:
            del self._by_action[action]

    def parent_of(self, request_id: bytes) -> T | None:
        """Return the run that made a request, None if none here did."""
        action, separator, _ = request_id.partition(self._separator)
        runs = self._by_action.get(action) if separator else None
        return runs[0] if runs else None
