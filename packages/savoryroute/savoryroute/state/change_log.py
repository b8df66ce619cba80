"""Recent changes to the list of instances, so that peers get only what they lack."""

from __future__ import annotations

from collections import deque

import attrs

from .fleet_view import Instance

__all__ = ["ChangeLog"]

# Number of changes kept. This is more than occur within the longest time by which a
# connected peer lags behind.
CHANGES_KEPT = 128


@attrs.frozen
class _Step:
    base: int
    revision: int
    changes: dict[str, Instance | None]


class ChangeLog:
    """Changes from each revision to the next, in order of revisions."""

    def __init__(self) -> None:
        self._start = 0
        self._steps: deque[_Step] = deque(maxlen=CHANGES_KEPT)

    @property
    def revision(self) -> int:
        """Revision up to which changes are known."""
        return self._steps[-1].revision if self._steps else self._start

    def restart(self, revision: int) -> None:
        """Discard all changes and restart at a revision."""
        self._steps.clear()
        self._start = revision

    def add(self, revision: int, changes: dict[str, Instance | None]) -> None:
        """Add the changes between the last known revision and a later one."""
        self._steps.append(_Step(self.revision, revision, changes))

    def since(self, revision: int) -> dict[str, Instance | None] | None:
        """Return the merged changes after a revision, or None if some are missing."""
        if revision >= self.revision:
            return {}
        if not self._steps or self._steps[0].base > revision:
            return None
        merged: dict[str, Instance | None] = {}
        for step in self._steps:
            if step.revision > revision:
                merged.update(step.changes)
        return merged
