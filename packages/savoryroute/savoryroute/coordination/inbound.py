"""Calls for the host's own upstream: from arrival to the final answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..protocol.frames import Answer, Call, Fence
from ..protocol.request import Response
from ..protocol.upstream_http import UpstreamClient, UpstreamRequest
from ..state.attempt_counter import ActionCounter
from ..state.decisions import DecisionLog
from ..state.document import Document
from ..state.ledger import Ledger
from ..state.ledger_entry import (
    Entry,
    LostAnswer,
    Outcome,
    RecordedAnswer,
    Refuse,
    Replay,
    Wait,
)
from ..state.policies import ServicePolicy
from ..state.quarantine import Quarantine, fingerprint
from ..verdict import Reason, Refusal, Verdict
from .admission import AdmissionGate, Permit
from .crash_watch import CrashWatch
from .hops import Hop, HopTable
from .pause import PauseDetector
from .pressure import HIGHEST_LEVEL, answered_level
from .shadow import ShadowGate

__all__ = ["Inbound"]

CRASH_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.BAD_ANSWER})
SUSPECT_POLL_S = 0.02
SUSPECT_RETRY_AFTER_S = 1.0
WAKE_UP_S = 0.25


@attrs.define
class _Delivery:
    """One call on its way to the upstream.

    Attributes:
        call: The call.
        deadline_s: Monotonic time of the deadline.
        fingerprint: Digest of the request's content.
        hop: The open hop, or None before admission.
    """

    call: Call
    deadline_s: float
    fingerprint: bytes
    hop: Hop | None = None

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()


class Inbound:
    """Guard of one upstream.

    It alone decides what its upstream runs, and so it alone may say ``not run``
    of a call that it took.
    """

    def __init__(
        self,
        service: str,
        gate: AdmissionGate,
        client: UpstreamClient,
        ledger: Ledger,
        quarantine: Quarantine,
        counter: ActionCounter,
        hops: HopTable,
        pause: PauseDetector,
        decisions: DecisionLog,
        document: Callable[[], Document | None],
        on_crash: Callable[[int], None],
        shadow: ShadowGate,
    ) -> None:
        self._service = service
        self._gate = gate
        self._client = client
        self._ledger = ledger
        self._quarantine = quarantine
        self._counter = counter
        self._hops = hops
        self._pause = pause
        self._decisions = decisions
        self._document = document
        self._shadow = shadow
        self._is_leaving = False
        self._n_open = 0
        self._running: set[asyncio.Task] = set()
        self._crashes = CrashWatch(quarantine, on_crash)
        self._pause_ended_s = float("-inf")
        self._pause_s = 0.0
        pause.add_callback(self._note_pause)

    @property
    def n_open(self) -> int:
        """Calls taken and not yet answered, detached ones included."""
        return self._n_open

    @property
    def is_leaving(self) -> bool:
        """Whether new calls are refused because the host leaves."""
        return self._is_leaving

    @is_leaving.setter
    def is_leaving(self, value: bool) -> None:
        self._is_leaving = value

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
        delivery = _Delivery(call, deadline_s, content)
        if call.key:
            result = await self._run_keyed(delivery)
        else:
            result = await self._deliver(delivery)
        return self._answer(delivery, result)

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

    async def _run_keyed(self, delivery: _Delivery) -> Result[Response, Refusal]:
        """Run a call at most once under its key."""
        call = delivery.call
        begun = self._ledger.begin(
            call.key, delivery.fingerprint, call.cancels, call.is_target_fenced
        )
        if isinstance(begun, Refuse):
            return Err(begun.refusal)
        if isinstance(begun, Replay):
            return _replayed(begun.outcome)
        if not isinstance(begun, Wait):
            # The run goes on when its caller hangs up, for the re-send to find.
            task = asyncio.create_task(self._run_entry(delivery, begun.entry))
            self._running.add(task)
            task.add_done_callback(self._running.discard)
        try:
            async with asyncio.timeout(max(0.0, delivery.time_left_s)):
                return _replayed(await begun.entry.wait())
        except TimeoutError:
            detail = "the deadline passed while the action was under way"
            return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))

    async def _run_entry(self, delivery: _Delivery, entry: Entry) -> None:
        """Deliver a keyed call and record what came of it."""
        self._n_open += 1
        try:
            result = await self._deliver(delivery)
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

    async def _deliver(self, delivery: _Delivery) -> Result[Response, Refusal]:
        """Check, admit and forward one call."""
        document = self._document()
        refusal = self._check(delivery, document)
        if refusal is not None:
            return Err(refusal)
        if not await self._wait_for_place(delivery):
            detail = "another suspect of crashing the upstream is in flight"
            return Err(Refusal.not_run(Reason.OVERLOAD, detail, SUSPECT_RETRY_AFTER_S))
        try:
            return await self._admit(delivery, document)
        finally:
            self._quarantine.end(delivery.fingerprint)

    async def _wait_for_place(self, delivery: _Delivery) -> bool:
        """Wait until a suspect of crashing the upstream may run; others may."""
        was_lost = delivery.call.was_lost
        while not self._quarantine.try_start(delivery.fingerprint, was_lost):
            if delivery.time_left_s <= SUSPECT_POLL_S:
                return False
            await asyncio.sleep(SUSPECT_POLL_S)
        return True

    def _check(self, delivery: _Delivery, document: Document | None) -> Refusal | None:
        """Return why a call must not run, or None."""
        call = delivery.call
        if document is None or self._service not in document.services:
            return Refusal.not_run(
                Reason.NOT_READY, "no document names this service", 1.0
            )
        if self._is_leaving:
            return Refusal.not_run(Reason.LEAVING, "the host is leaving")
        if call.class_name not in document.classes:
            detail = f"class {call.class_name!r:.40} is not in the document"
            return Refusal.not_run(Reason.BAD_REQUEST, detail)
        if delivery.time_left_s <= 0:
            return Refusal.not_run(
                Reason.DEADLINE, "the deadline passed before the run"
            )
        quarantined = self._quarantine.check(delivery.fingerprint)
        if quarantined is not None:
            return quarantined
        if call.allowance < 1:
            detail = "the action has used up its attempts"
            return Refusal.not_run(Reason.ALLOWANCE_SPENT, detail)
        return None

    async def _admit(
        self, delivery: _Delivery, document: Document
    ) -> Result[Response, Refusal]:
        """Wait for a slot at the upstream, then forward."""
        call = delivery.call
        policy = document.classes[call.class_name]
        started_s = time.monotonic()
        admitted = await self._gate.admit(
            policy.rank,
            call.depth > 0,
            policy.patience_s,
            delivery.time_left_s,
            call.is_spill_over,
        )
        if isinstance(admitted, Err):
            return admitted
        waited_ms = (time.monotonic() - started_s) * 1000
        self._decisions.note(call.action, "admitted", f"after {waited_ms:.1f} ms")
        permit = admitted.ok_value
        try:
            return await self._forward(delivery, document, permit)
        finally:
            permit.release(None, False)

    async def _forward(
        self, delivery: _Delivery, document: Document, permit: Permit
    ) -> Result[Response, Refusal]:
        """Send one admitted call to the upstream."""
        call = delivery.call
        maximum = document.retries.attempts_per_hop
        counted = f"{call.action} {delivery.fingerprint.hex()}"
        if not self._counter.count_delivery(counted, maximum):
            detail = f"delivered {maximum} times here within a minute"
            return Err(Refusal.not_run(Reason.ALLOWANCE_SPENT, detail))
        service = document.services[self._service]
        hop = self._hops.open(
            action=call.action,
            key=call.key,
            class_name=call.class_name,
            time_left_s=delivery.time_left_s,
            allowance=call.allowance - 1,
            depth=call.depth + 1,
            traceparent=call.traceparent,
        )
        delivery.hop = hop
        self._judge(delivery)
        started_s = time.monotonic()
        is_dropped = False
        try:
            result = await self._client.send(_to_upstream(call, hop, service))
            result = _after_upstream(result, hop, service)
            is_dropped = _is_dropped(result)
        except asyncio.CancelledError:
            permit.cut_off(time.monotonic() - started_s)
            raise
        finally:
            self._hops.close(hop)
            latency_s = time.monotonic() - started_s
            self._shadow.end(latency_s, is_dropped, latency_s - hop.called_s)
        if _is_late_below(result, hop):
            permit.cut_off(latency_s)
        permit.release(latency_s, is_dropped, latency_s - hop.called_s)
        self._note_crash(delivery, result)
        return result

    def _judge(self, delivery: _Delivery) -> None:
        """Report what the trial document would decide."""
        call = delivery.call
        judgement = self._shadow.begin(call.class_name, delivery.time_left_s)
        if judgement is not None and judgement.is_refused:
            self._decisions.note(call.action, "trial would refuse", judgement.detail)

    def _note_crash(
        self, delivery: _Delivery, result: Result[Response, Refusal]
    ) -> None:
        """Keep the evidence of requests that crash their upstream."""
        if isinstance(result, Ok):
            self._quarantine.note_success(delivery.fingerprint)
        elif result.err_value.reason in CRASH_REASONS:
            self._crashes.note_lost(delivery.fingerprint)

    def _answer(self, delivery: _Delivery, result: Result[Response, Refusal]) -> Answer:
        """Return the frame for a result."""
        call = delivery.call
        hop = delivery.hop
        n_left = call.allowance if hop is None else hop.allowance.left
        level_below = HIGHEST_LEVEL if hop is None else hop.level
        if isinstance(result, Ok):
            response = result.ok_value
            refusal = response.deep_refusal
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
            from_deep=refusal is not None and refusal.from_deep,
            status=status,
            headers=list(headers),
            body=body,
            allowance_left=n_left,
            level=answered_level(call.depth, level_below, self._gate.level),
            n_in_flight=self._gate.n_in_flight,
            limit=self._gate.limit,
            n_queued=self._gate.n_queued,
        )


def _to_upstream(call: Call, hop: Hop, service: ServicePolicy) -> UpstreamRequest:
    """Return the HTTP request of a call."""
    return UpstreamRequest(
        method=call.method,
        target=call.target,
        headers=tuple(call.headers),
        body=call.body,
        time_left_s=hop.time_left_s,
        key=call.key,
        class_name=call.class_name,
        traceparent=call.traceparent,
        hop_id=hop.id,
        answer_bytes=service.answer_bytes,
    )


def _after_upstream(
    result: Result[Response, Refusal], hop: Hop, service: ServicePolicy
) -> Result[Response, Refusal]:
    """Return the result with what the hop knows about it.

    A shedding status means that nothing ran only if the upstream made no further
    call for this request.
    """
    if isinstance(result, Err):
        return result
    response = result.ok_value
    if response.status in service.shed_statuses and hop.n_calls == 0:
        detail = f"the upstream shed the request with status {response.status}"
        refusal = Refusal(
            Verdict.NOT_RUN,
            Reason.OVERLOAD,
            detail,
            retry_after_s=0.5,
            is_load=True,
            status=response.status,
        )
        return Err(refusal)
    if hop.refusal is not None and response.status >= 500:
        deep = attrs.evolve(hop.refusal, from_deep=True)
        return Ok(attrs.evolve(response, deep_refusal=deep))
    return result


def _is_dropped(result: Result[Response, Refusal]) -> bool:
    """Return whether the upstream itself failed under the request."""
    if isinstance(result, Ok):
        return False
    return result.err_value.reason in (Reason.OVERLOAD, Reason.DEADLINE)


def _is_late_below(result: Result[Response, Refusal], hop: Hop) -> bool:
    """Return whether the time ran out while further services were at work.

    That is no sign of too many requests at this upstream.
    """
    if isinstance(result, Ok) or result.err_value.reason is not Reason.DEADLINE:
        return False
    return hop.n_calls > 0


def _replayed(outcome: Outcome) -> Result[Response, Refusal]:
    """Return the result of a recorded outcome."""
    if isinstance(outcome, Refusal):
        return Err(outcome)
    if isinstance(outcome, LostAnswer):
        return Err(outcome.as_refusal())
    return Ok(Response(outcome.status, outcome.headers, outcome.body))
