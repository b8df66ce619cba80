"""Inbound calls for the local upstream, from arrival to the final answer."""

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
from .admission_level import HIGHEST_LEVEL, reported_level
from .arrival import Arrival
from .pause import PauseDetector
from .upstream_guard import UpstreamGuard

__all__ = ["Inbound"]

# A call read within this time after a pause may have waited through the pause.
PAUSE_EFFECT_S = 0.25


class Inbound:
    """Runs the calls that arrive for one upstream.

    It alone decides what its upstream runs, so only it may answer ``NOT_RUN`` to a
    call that it received.
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
        """Unanswered calls plus runs of keyed calls, which may outlive the callers."""
        return self._n_open

    def fence(self, frame: Fence) -> Verdict:
        """Fence a key so that it never starts here, unless it has started already.

        Returns:
            What is known of its run, as in ``Ledger.fence``.
        """
        return self._ledger.fence(frame.key, frame.is_cancellation)

    async def run(self, call: Call) -> Answer:
        """Return the final answer to a call."""
        self._n_open += 1
        try:
            return await self._run(call)
        finally:
            self._n_open -= 1

    async def _run(self, call: Call) -> Answer:
        deadline_s = time.monotonic() + call.time_left_ms / 1000 - self._pause_delay_s()
        digest = fingerprint(call.method, self._service, call.target, call.body)
        arrival = Arrival(call, deadline_s, digest)
        if call.key:
            result = await self._run_keyed(arrival)
        else:
            result = await self._guard.deliver(arrival)
        return self._answer(arrival, result)

    def _note_pause(self, gap_s: float) -> None:
        """Record that this process was paused for ``gap_s`` seconds."""
        self._pause_ended_s = time.monotonic()
        self._pause_s = gap_s

    def _pause_delay_s(self) -> float:
        """Return the seconds of a pause that a call read now may have waited."""
        self._pause.check()
        if time.monotonic() - self._pause_ended_s > PAUSE_EFFECT_S:
            return 0.0
        return self._pause_s

    async def _run_keyed(self, arrival: Arrival) -> Result[Response, Refusal]:
        """Run a call at most once per key."""
        call = arrival.call
        begin_result = self._ledger.begin(
            call.key, arrival.fingerprint, call.cancels, call.is_target_fenced
        )
        if isinstance(begin_result, Refuse):
            return Err(begin_result.refusal)
        if isinstance(begin_result, Replay):
            return _replayed(begin_result.outcome)
        if not isinstance(begin_result, Wait):
            # The run continues if its caller hangs up, so that a retry finds it.
            task = asyncio.create_task(self._run_entry(arrival, begin_result.entry))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        try:
            async with asyncio.timeout(max(0.0, arrival.time_left_s)):
                return _replayed(await begin_result.entry.wait())
        except TimeoutError:
            detail = "the deadline passed while the action was running"
            return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))

    async def _run_entry(self, arrival: Arrival, entry: Entry) -> None:
        """Deliver a call with a key and record its outcome."""
        self._n_open += 1
        try:
            result = await self._guard.deliver(arrival)
        except BaseException:
            detail = "the run was aborted before the upstream answered"
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
        """Return the answer frame for a result."""
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
