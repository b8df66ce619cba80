"""Checks, admission and delivery of calls to the local upstream."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from result import Err, Ok, Result

from ..protocol.request import Response
from ..protocol.upstream_http import UpstreamClient
from ..state.decisions import DecisionLog
from ..state.delivery_counter import DeliveryCounter
from ..state.document import Document
from ..state.quarantine import Quarantine
from ..verdict import Reason, Refusal
from .admission import AdmissionGate, Permit
from .arrival import Arrival
from .crash_watch import CrashWatch
from .hops import HopTable
from .shadow import ShadowGate
from .upstream_outcome import (
    classify_result,
    is_dropped,
    is_late_downstream,
    upstream_request,
)

__all__ = ["UpstreamGuard"]

# Reasons of failures after which the upstream may have crashed.
CRASH_REASONS = frozenset({Reason.CONNECTION_LOST, Reason.BAD_ANSWER})
# Seconds between checks whether a request suspected of crashing upstreams may run.
SUSPECT_POLL_S = 0.02
SUSPECT_RETRY_AFTER_S = 1.0


class UpstreamGuard:
    """Checks calls, waits for their admission and sends them to one upstream."""

    def __init__(
        self,
        service: str,
        gate: AdmissionGate,
        client: UpstreamClient,
        quarantine: Quarantine,
        counter: DeliveryCounter,
        hops: HopTable,
        decisions: DecisionLog,
        document: Callable[[], Document | None],
        on_crash: Callable[[int], None],
        shadow: ShadowGate,
    ) -> None:
        self._service = service
        self._gate = gate
        self._client = client
        self._quarantine = quarantine
        self._counter = counter
        self._hops = hops
        self._decisions = decisions
        self._document = document
        self._shadow = shadow
        self._crashes = CrashWatch(quarantine, on_crash)
        self._is_leaving = False

    @property
    def is_leaving(self) -> bool:
        """Whether new calls are refused because the host is leaving."""
        return self._is_leaving

    @is_leaving.setter
    def is_leaving(self, value: bool) -> None:
        self._is_leaving = value

    async def deliver(self, arrival: Arrival) -> Result[Response, Refusal]:
        """Check, admit and forward one call.

        Returns:
            The complete answer, or a refusal: ``NOT_RUN`` only if the upstream never
            gets the call or sheds it.
        """
        document = self._document()
        refusal = self._check(arrival, document)
        if refusal is not None:
            return Err(refusal)
        if not await self._wait_for_suspect_slot(arrival):
            detail = "another request suspected of crashing the upstream is in flight"
            return Err(Refusal.not_run(Reason.OVERLOAD, detail, SUSPECT_RETRY_AFTER_S))
        try:
            return await self._admit(arrival, document)
        finally:
            self._quarantine.end(arrival.fingerprint)

    async def _wait_for_suspect_slot(self, arrival: Arrival) -> bool:
        """Wait until a request may run; return False if its deadline comes first.

        Only requests suspected of crashing the upstream wait: one runs at a time.
        """
        was_lost = arrival.call.was_lost
        while not self._quarantine.try_start(arrival.fingerprint, was_lost):
            if arrival.time_left_s <= SUSPECT_POLL_S:
                return False
            await asyncio.sleep(SUSPECT_POLL_S)
        return True

    def _check(self, arrival: Arrival, document: Document | None) -> Refusal | None:
        """Return the refusal of a call that must not run, or None."""
        call = arrival.call
        if document is None or self._service not in document.services:
            return Refusal.not_run(
                Reason.NOT_READY, "no document names this service", 1.0
            )
        if self._is_leaving:
            return Refusal.not_run(Reason.LEAVING, "the host is leaving")
        if call.class_name not in document.classes:
            detail = f"class {call.class_name!r:.40} is not in the document"
            return Refusal.not_run(Reason.BAD_REQUEST, detail)
        if arrival.time_left_s <= 0:
            return Refusal.not_run(
                Reason.DEADLINE, "the deadline passed before the call was run"
            )
        quarantined = self._quarantine.check(arrival.fingerprint)
        if quarantined is not None:
            return quarantined
        if call.allowance < 1:
            detail = "the action has used up its allowance of attempts"
            return Refusal.not_run(Reason.ALLOWANCE_SPENT, detail)
        return None

    async def _admit(
        self, arrival: Arrival, document: Document
    ) -> Result[Response, Refusal]:
        """Wait for a slot at the upstream, then forward the call."""
        call = arrival.call
        policy = document.classes[call.class_name]
        started_s = time.monotonic()
        admitted = await self._gate.admit(
            policy.rank,
            call.depth > 0,
            policy.queue_timeout_s,
            arrival.time_left_s,
            call.is_spill_over,
        )
        if isinstance(admitted, Err):
            return admitted
        waited_ms = (time.monotonic() - started_s) * 1000
        self._decisions.note(call.action, "admitted", f"after {waited_ms:.1f} ms")
        permit = admitted.ok_value
        try:
            return await self._forward(arrival, document, permit)
        finally:
            permit.release(None, False)

    async def _forward(
        self, arrival: Arrival, document: Document, permit: Permit
    ) -> Result[Response, Refusal]:
        """Send an admitted call to the upstream."""
        call = arrival.call
        maximum = document.retries.attempts_per_hop
        delivery_key = f"{call.action} {arrival.fingerprint.hex()}"
        if not self._counter.count_delivery(delivery_key, maximum):
            detail = f"delivered {maximum} times to this upstream within a minute"
            return Err(Refusal.not_run(Reason.ALLOWANCE_SPENT, detail))
        service = document.services[self._service]
        hop = self._hops.open(
            action=call.action,
            key=call.key,
            class_name=call.class_name,
            time_left_s=arrival.time_left_s,
            allowance=call.allowance - 1,
            depth=call.depth + 1,
            traceparent=call.traceparent,
        )
        arrival.hop = hop
        self._evaluate_shadow(arrival)
        started_s = time.monotonic()
        was_dropped = False
        try:
            result = await self._client.send(upstream_request(call, hop, service))
            result = classify_result(result, hop, service)
            was_dropped = is_dropped(result)
        except asyncio.CancelledError:
            permit.release_incomplete(time.monotonic() - started_s)
            raise
        finally:
            self._hops.close(hop)
            latency_s = time.monotonic() - started_s
            self._shadow.end(latency_s, was_dropped, latency_s - hop.downstream_s)
        if is_late_downstream(result, hop):
            permit.release_incomplete(latency_s)
        permit.release(latency_s, was_dropped, latency_s - hop.downstream_s)
        self._note_crash(arrival, result)
        return result

    def _evaluate_shadow(self, arrival: Arrival) -> None:
        """Record a refusal that the trial document would make."""
        call = arrival.call
        decision = self._shadow.begin(call.class_name, arrival.time_left_s)
        if decision is not None and decision.is_refused:
            self._decisions.note(call.action, "trial would refuse", decision.detail)

    def _note_crash(self, arrival: Arrival, result: Result[Response, Refusal]) -> None:
        """Update the evidence of requests that crash the upstream."""
        if isinstance(result, Ok):
            self._quarantine.note_success(arrival.fingerprint)
        elif result.err_value.reason in CRASH_REASONS:
            self._crashes.note_lost(arrival.fingerprint)
