"""Recent changes of the list of instances, to tell peers no more than they lack."""

from __future__ import annotations

from collections import deque

import attrs

from .fleet_view import Instance

__all__ = ["ChangeLog"]

# Changes that are kept: more than come within the longest time that a peer in touch
# lags behind.
CHANGES_KEPT = 128


@attrs.frozen
class _Step:
    base: int
    revision: int
    changes: dict[str, Instance | None]


class ChangeLog:
    """Changes from one revision to the next, the latest last."""

    def __init__(self) -> None:
        self._start = 0
        self._steps: deque[_Step] = deque(maxlen=CHANGES_KEPT)

    @property
    def revision(self) -> int:
        """Revision after which nothing is known to have changed."""
        return self._steps[-1].revision if self._steps else self._start

    def restart(self, revision: int) -> None:
        """Begin anew at a revision; what led to it is not known."""
        self._steps.clear()
        self._start = revision

    def add(self, revision: int, changes: dict[str, Instance | None]) -> None:
        """Keep what changed between the last change and a revision."""
        self._steps.append(_Step(self.revision, revision, changes))

    def since(self, revision: int) -> dict[str, Instance | None] | None:
        """Return the changes after a revision, None where they are not all kept."""
        if revision >= self.revision:
            return {}
        if not self._steps or self._steps[0].base > revision:
            return None
        merged: dict[str, Instance | None] = {}
        for step in self._steps:
            if step.revision > revision:
                merged.update(step.changes)
        return merged
