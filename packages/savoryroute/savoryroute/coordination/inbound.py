"""Calls for the host's own upstream: from arrival to the final answer."""

from __future__ import annotations

import asyncio
import time

from result import Err, Ok, Result

from ..protocol.frames import Answer, Call, Fence
from ..protocol.request import Response
from ..state.decisions import DecisionLog
from ..state.ledger import Ledger
from ..state.ledger_entry import (
    Entry,
    Outcome,
    RecordedAnswer,
    Refuse,
    Replay,
    UnrecordedAnswer,
    Wait,
)
from ..state.quarantine import fingerprint
from ..verdict import Reason, Refusal, Verdict
from .admission import AdmissionGate
from .arrival import Arrival
from .pause import PauseDetector
from .pressure import HIGHEST_LEVEL, reported_level
from .upstream_guard import UpstreamGuard

__all__ = ["Inbound"]

WAKE_UP_S = 0.25


class Inbound:
    """Taker of calls for one upstream.

    It alone decides what its upstream runs, and so it alone may say ``not run``
    of a call that it took.
    """

    def __init__(
        self,
        service: str,
        guard: UpstreamGuard,
        gate: AdmissionGate,
        ledger: Ledger,
        pause: PauseDetector,
        decisions: DecisionLog,
    ) -> None:
        self._service = service
        self._guard = guard
        self._gate = gate
        self._ledger = ledger
        self._pause = pause
        self._decisions = decisions
        self._n_open = 0
        self._running: set[asyncio.Task] = set()
        self._pause_ended_s = float("-inf")
        self._pause_s = 0.0
        pause.add_callback(self._note_pause)

    @property
    def n_open(self) -> int:
        """Calls taken and not yet answered, detached ones included."""
        return self._n_open

    def fence(self, frame: Fence) -> Verdict:
        """Make sure that a key never runs here from now on, if that can be."""
        return self._ledger.fence(frame.key, frame.is_cancellation)

    async def run(self, call: Call) -> Answer:
        """Return the final answer to a call."""
        self._n_open += 1
        try:
            return await self._run(call)
        finally:
            self._n_open -= 1

    async def _run(self, call: Call) -> Answer:
        deadline_s = time.monotonic() + call.time_left_ms / 1000 - self._late_s()
        content = fingerprint(call.method, self._service, call.target, call.body)
        arrival = Arrival(call, deadline_s, content)
        if call.key:
            result = await self._run_keyed(arrival)
        else:
            result = await self._guard.deliver(arrival)
        return self._answer(arrival, result)

    def _note_pause(self, gap_s: float) -> None:
        """Take note that this process did not run for a while."""
        self._pause_ended_s = time.monotonic()
        self._pause_s = gap_s

    def _late_s(self) -> float:
        """Return how long a call read now may have waited while paused."""
        self._pause.check()
        if time.monotonic() - self._pause_ended_s > WAKE_UP_S:
            return 0.0
        return self._pause_s

    async def _run_keyed(self, arrival: Arrival) -> Result[Response, Refusal]:
        """Run a call at most once under its key."""
        call = arrival.call
        begun = self._ledger.begin(
            call.key, arrival.fingerprint, call.cancels, call.is_target_fenced
        )
        if isinstance(begun, Refuse):
            return Err(begun.refusal)
        if isinstance(begun, Replay):
            return _replayed(begun.outcome)
        if not isinstance(begun, Wait):
            # The run goes on when its caller hangs up, for the re-send to find.
            task = asyncio.create_task(self._run_entry(arrival, begun.entry))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        try:
            async with asyncio.timeout(max(0.0, arrival.time_left_s)):
                return _replayed(await begun.entry.wait())
        except TimeoutError:
            detail = "the deadline passed while the action was under way"
            return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))

    async def _run_entry(self, arrival: Arrival, entry: Entry) -> None:
        """Deliver a keyed call and record what came of it."""
        self._n_open += 1
        try:
            result = await self._guard.deliver(arrival)
        except BaseException:
            detail = "the run was cut off"
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, detail)
            entry.may_have_run(refusal)
            raise
        finally:
            self._n_open -= 1
        if isinstance(result, Ok):
            response = result.ok_value
            entry.finish(
                RecordedAnswer(response.status, response.headers, response.body)
            )
        elif result.err_value.verdict is Verdict.NOT_RUN:
            entry.not_run(result.err_value)
        else:
            entry.may_have_run(result.err_value)

    def _answer(self, arrival: Arrival, result: Result[Response, Refusal]) -> Answer:
        """Return the frame for a result."""
        call = arrival.call
        hop = arrival.hop
        n_left = call.allowance if hop is None else hop.allowance.left
        downstream_level = HIGHEST_LEVEL if hop is None else hop.level
        if isinstance(result, Ok):
            response = result.ok_value
            refusal = response.downstream_refusal
            verdict, reason, detail = Verdict.RAN, "", ""
            status, headers, body = response.status, response.headers, response.body
        else:
            refusal = result.err_value
            verdict, reason = refusal.verdict, refusal.reason
            detail = refusal.detail
            status, headers, body = refusal.status, (), b""
            self._decisions.note(call.action, f"{reason}: {verdict}", detail)
        retry_after_s = refusal.retry_after_s if refusal is not None else None
        return Answer(
            id=call.id,
            verdict=verdict,
            reason=reason,
            detail=detail,
            retry_after_ms=int((retry_after_s or 0.0) * 1000),
            is_load=refusal is not None and refusal.is_load,
            from_deep=refusal is not None and refusal.from_downstream,
            status=status,
            headers=list(headers),
            body=body,
            allowance_left=n_left,
            level=reported_level(call.depth, downstream_level, self._gate.level),
            n_in_flight=self._gate.n_in_flight,
            limit=self._gate.limit,
            n_queued=self._gate.n_queued,
        )


def _replayed(outcome: Outcome) -> Result[Response, Refusal]:
    """Return the result of a recorded outcome."""
    if isinstance(outcome, Refusal):
        return Err(outcome)
    if isinstance(outcome, UnrecordedAnswer):
        return Err(outcome.as_refusal())
    return Ok(Response(outcome.status, outcome.headers, outcome.body))
