"""What the ledger knows of one key, and what it answers when one begins."""

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


STRING_BYTES = 56


@attrs.frozen
class RecordedAnswer:
    """Whole answer of the one execution of an action.

    Attributes:
        status: HTTP status of the upstream.
        headers: Headers as flat name, value pairs.
        body: The whole body.
    """

    status: int
    headers: tuple[str, ...]
    body: bytes

    @property
    def n_bytes(self) -> int:
        """Bytes of the headers, with the memory that each string takes, and body."""
        n_header_bytes = sum(STRING_BYTES + len(text) for text in self.headers)
        return n_header_bytes + len(self.body)


@attrs.frozen
class UnrecordedAnswer:
    """Trace of an answer that was too large to keep.

    Attributes:
        status: HTTP status of the upstream.
    """

    status: int

    def as_refusal(self) -> Refusal:
        """Return what a re-send of the finished action gets."""
        return Refusal(
            Verdict.MAY_HAVE_RUN,
            Reason.TOO_LARGE,
            f"the action ran once and finished with status {self.status}; "
            "its answer was too large to keep",
        )


Outcome = RecordedAnswer | UnrecordedAnswer | Refusal


class Entry:
    """One action in flight at its home.

    The first word settles the entry; only a late answer may still take the place
    of ``MAY_HAVE_RUN``.

    Args:
        settle: Records an outcome for this entry; returns whether it counts.
        fingerprint: What must be equal in every copy of the action.
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
        """What must be equal in every copy of the action."""
        return self._fingerprint

    @property
    def outcome(self) -> Outcome | None:
        """How the action ended, or None while it is in flight."""
        return self._outcome

    def finish(self, answer: RecordedAnswer) -> bool:
        """Record the whole answer of the execution.

        Returns:
            Whether the answer counts; not after ``not_run`` or a first answer.
        """
        is_late = self._outcome is not None
        if is_late and not _is_may_have_run(self._outcome):
            return False
        return self._end(answer)

    def not_run(self, refusal: Refusal) -> bool:
        """Record that the action did not run, and fence its key for good.

        Call this only if no byte of the request left for the upstream, or if the
        upstream itself said that it shed the request.
        """
        if self._outcome is not None:
            return False
        return self._end(attrs.evolve(refusal, verdict=Verdict.NOT_RUN))

    def may_have_run(self, refusal: Refusal) -> bool:
        """Record that nobody knows whether the action ran.

        Call this after the connection to the upstream is closed.
        """
        if self._outcome is not None:
            return False
        return self._end(refusal.as_may_have_run())

    async def wait(self) -> Outcome:
        """Return the outcome once there is one."""
        await self._is_settled.wait()
        return self._outcome

    def _end(self, outcome: Outcome) -> bool:
        """Record an outcome and wake those who wait for it."""
        self._outcome = outcome
        is_counted = self._settle(self, outcome)
        self._is_settled.set()
        return is_counted


@attrs.frozen
class Run:
    """The action is new: run it and settle the entry."""

    entry: Entry


@attrs.frozen
class Wait:
    """A copy of the action is in flight: wait for its outcome."""

    entry: Entry


@attrs.frozen
class Replay:
    """The action ran: this is its answer."""

    outcome: RecordedAnswer


@attrs.frozen
class Refuse:
    """The copy is refused, and nothing of it runs."""

    refusal: Refusal


BeginResult = Run | Wait | Replay | Refuse


def _is_may_have_run(outcome: Outcome | None) -> bool:
    """Return whether an outcome leaves open if the action ran."""
    if not isinstance(outcome, Refusal):
        return False
    return outcome.verdict is Verdict.MAY_HAVE_RUN
