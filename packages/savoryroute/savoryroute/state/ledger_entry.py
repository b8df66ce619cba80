"""Outcomes of actions, actions in flight, and results of beginning a key."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import attrs

from ..verdict import Reason, Refusal, Verdict

__all__ = [
    "BeginResult",
    "Entry",
    "Outcome",
    "RecordedAnswer",
    "Refuse",
    "Replay",
    "Run",
    "UnrecordedAnswer",
    "Wait",
]


# Memory overhead of one Python string.
STRING_BYTES = 56


@attrs.frozen
class RecordedAnswer:
    """Complete answer of an action's only execution.

    Attributes:
        status: HTTP status from the upstream.
        headers: Names and values of the headers, alternating in a flat tuple.
        body: The complete body.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes

    @property
    def n_bytes(self) -> int:
        """Memory of headers and body in bytes, including the overhead of strings."""
        n_header_bytes = sum(STRING_BYTES + len(text) for text in self.headers)
        return n_header_bytes + len(self.body)


@attrs.frozen
class UnrecordedAnswer:
    """Placeholder for an answer that was too large to record.

    Attributes:
        status: HTTP status from the upstream.
    """

    status: int

    def as_refusal(self) -> Refusal:
        """Return the refusal that later copies of the finished action get."""
        return Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.TOO_LARGE,
            f"the action ran once and finished with status {self.status}; "
            "its answer was too large to record",
        )


Outcome = RecordedAnswer | UnrecordedAnswer | Refusal


class Entry:
    """One action in flight at its owner.

    The first outcome settles the entry. Only ``MAY_HAVE_RUN`` may be replaced
    afterwards, by a late answer.

    Args:
        settle: Records an outcome for this entry; returns whether it was recorded.
        fingerprint: Digest that every copy of the action must have.
    """

    def __init__(
        self, settle: Callable[[Entry, Outcome], bool], fingerprint: bytes
    ) -> None:
        self._settle = settle
        self._fingerprint = fingerprint
        self._outcome: Outcome | None = None
        self._is_settled = asyncio.Event()

    @property
    def fingerprint(self) -> bytes:
        """Digest that every copy of the action must have."""
        return self._fingerprint

    @property
    def outcome(self) -> Outcome | None:
        """How the action ended, or None while it is in flight."""
        return self._outcome

    def finish(self, answer: RecordedAnswer) -> bool:
        """Record the complete answer of the execution.

        Returns:
            Whether the answer was recorded; False after ``not_run`` or an earlier
            answer.
        """
        is_late = self._outcome is not None
        if is_late and not _is_may_have_run(self._outcome):
            return False
        return self._end(answer)

    def not_run(self, refusal: Refusal) -> bool:
        """Record that the action did not run, and permanently fence its key.

        Call this only if no byte of the request was sent to the upstream, or if the
        upstream itself reported that it shed the request.
        """
        if self._outcome is not None:
            return False
        return self._end(attrs.evolve(refusal, verdict=Verdict.NOT_RUN))

    def may_have_run(self, refusal: Refusal) -> bool:
        """Record that it is unknown whether the action ran.

        Call this after the connection to the upstream has been closed.
        """
        if self._outcome is not None:
            return False
        return self._end(refusal.as_may_have_run())

    async def wait(self) -> Outcome:
        """Wait until there is an outcome and return it."""
        await self._is_settled.wait()
        return self._outcome

    def _end(self, outcome: Outcome) -> bool:
        """Record an outcome and wake all waiters."""
        self._outcome = outcome
        is_recorded = self._settle(self, outcome)
        self._is_settled.set()
        return is_recorded


@attrs.frozen
class Run:
    """The action is new: run it, then settle the entry."""

    entry: Entry


@attrs.frozen
class Wait:
    """A copy of the action is in flight: wait for its outcome."""

    entry: Entry


@attrs.frozen
class Replay:
    """The action has already run: return its recorded answer."""

    outcome: RecordedAnswer


@attrs.frozen
class Refuse:
    """The copy is refused and is not run."""

    refusal: Refusal


BeginResult = Run | Wait | Replay | Refuse


def _is_may_have_run(outcome: Outcome | None) -> bool:
    """Return whether an outcome leaves it unknown whether the action ran."""
    if not isinstance(outcome, Refusal):
        return False
    return outcome.verdict is Verdict.MAY_HAVE_RUN
