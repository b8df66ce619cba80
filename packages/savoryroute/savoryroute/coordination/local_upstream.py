"""Calls to the host's own upstream: line, delivery, and what its answers mean."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable

from ..protocol.header_names import HOP_BY_HOP, HeaderNames
from ..protocol.mesh_frames import MeshAnswer, MeshCall
from ..state.event_log import EventLog
from ..state.quarantine import Quarantine
from ..transport.exchange_outcome import ExchangeFailure, FailureKind, HttpAnswer
from ..transport.http_client import HttpPool, PendingExchange
from ..verdict import Reason, Verdict
from .call_queue import CallQueue, QueuedCall
from .running_calls import RunningCalls
from .upstream_health import UpstreamHealth

__all__ = ["LocalCall", "LocalUpstream", "usable_slots"]

# Time beyond a call's deadline in which the upstream's own answer may still come.
ANSWER_GRACE_S = 0.1
# Part of the slots that is used; some upstreams slow down when nearly full.
SLOTS_SHARE = 0.95

AnswerHandler = Callable[[MeshAnswer], None]


def usable_slots(slots: int) -> int:
    """Return how many calls to run side by side at an upstream."""
    return max(1, math.ceil(slots * SLOTS_SHARE) - 1)


class LocalCall:
    """One call on its way to the own upstream."""

    __slots__ = (
        "_upstream",
        "call",
        "has_downstream_load_failure",
        "is_over",
        "queued_call",
        "on_answer",
        "pending",
        "downstream_pressure",
        "started_s",
        "timer",
    )

    def __init__(
        self, upstream: LocalUpstream, call: MeshCall, on_answer: AnswerHandler
    ) -> None:
        self._upstream = upstream
        self.call = call
        self.on_answer = on_answer
        self.queued_call: QueuedCall | None = None
        self.pending: PendingExchange | None = None
        self.started_s = 0.0
        self.downstream_pressure = 0.0
        self.has_downstream_load_failure = False
        self.timer: asyncio.TimerHandle | None = None
        self.is_over = False

    def note_downstream_call(self, pressure: float, is_load_failure: bool) -> None:
        """Take note of how a further call of this run ended.

        Args:
            pressure: Load of the fullest line on its way.
            is_load_failure: Whether it failed for want of capacity.
        """
        self.downstream_pressure = max(self.downstream_pressure, pressure)
        self.has_downstream_load_failure |= is_load_failure

    def cancel(self) -> None:
        """Give the call up; nothing more is told about it."""
        self._upstream._cancel(self)


class LocalUpstream:
    """The upstream on this host.

    Args:
        service: Service that it belongs to.
        pool: Connections to it.
        line: Its slots and who waits for them.
        names: Header names of the platform.
        health: Whether it takes connections, and what crashed it.
        quarantine: Evidence of requests that crash upstreams.
        log: Log of decisions.
    """

    def __init__(
        self,
        service: str,
        pool: HttpPool,
        queue: CallQueue,
        names: HeaderNames,
        health: UpstreamHealth,
        quarantine: Quarantine,
        log: EventLog,
    ) -> None:
        self._service = service
        self._pool = pool
        self._queue = queue
        self._names = names
        self._health = health
        self._quarantine = quarantine
        self._log = log
        self._running: RunningCalls[LocalCall] = RunningCalls(names.id_separator)
        self.is_leaving = False
        self.n_open = 0
        self.n_runs = 0

    @property
    def queue(self) -> CallQueue:
        """Slots and who waits for them."""
        return self._queue

    def run(self, call: MeshCall, on_answer: AnswerHandler) -> LocalCall:
        """Take a call; ``on_answer`` is told exactly once, perhaps at once."""
        local = LocalCall(self, call, on_answer)
        self.n_open += 1
        refused = self._check(call)
        if refused is not None:
            self._refuse(local, *refused)
            return local
        now_s = time.monotonic()
        local.queued_call = QueuedCall(
            call.rank,
            call.route,
            now_s + call.time_left_ms / 1000,
            call.queue_timeout_ms / 1000,
            lambda: self._start(local),
            lambda reason: self._refuse(local, reason, "waited too long for a slot"),
        )
        reason = self._queue.offer(local.queued_call)
        if reason is not None:
            detail = (
                f"{self._queue.n_running} run and {self._queue.n_waiting} wait"
                f" for {self._queue.slots} slots of {self._queue.mean_s * 1000:.0f} ms"
            )
            self._refuse(local, reason, detail)
        return local

    def sweep(self) -> None:
        """End waits that lasted too long; close idle connections."""
        self._queue.expire()
        self._pool.sweep()

    def leave(self) -> None:
        """Turn away all that wait; the upstream takes no new work."""
        self.is_leaving = True
        self._queue.clear(Reason.LEAVING)

    def _check(self, call: MeshCall) -> tuple[Reason, str] | None:
        """Return why a call must not run, or None."""
        if call.service != self._service:
            detail = f"this host runs {self._service}, not {call.service}"
            return Reason.NO_UPSTREAM, detail
        if self.is_leaving:
            return Reason.LEAVING, "the upstream is leaving"
        if self._health.is_down:
            return Reason.UNREACHABLE, "the upstream refused connections of late"
        if call.fingerprint and self._quarantine.check(call.fingerprint) is not None:
            return Reason.QUARANTINED, "upstreams crashed each time that it ran"
        return None

    def _start(self, local: LocalCall) -> None:
        """Send a call that has a slot."""
        call = local.call
        now_s = time.monotonic()
        local.started_s = now_s
        time_left_ms = max(1, int((local.queued_call.deadline_s - now_s) * 1000))
        time_left_s = time_left_ms / 1000
        self._running.begin(call.request_id, local)
        names = self._names
        data = b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            call.head,
            names.time_left_ms,
            time_left_ms,
            names.expected_instance,
            call.instance.encode(),
            call.body,
        )
        loop = asyncio.get_running_loop()
        local.timer = loop.call_later(
            time_left_s + ANSWER_GRACE_S, self._run_out, local
        )
        self.n_runs += 1
        local.pending = self._pool.send(
            data,
            lambda outcome: self._settle(local, outcome),
            call.request_id,
            call.is_idempotent,
            call.is_head,
        )

    def _run_out(self, local: LocalCall) -> None:
        """Give up a call whose deadline has passed at the upstream."""
        if local.is_over:
            return
        local.pending.cancel()
        was_sent = local.pending.is_sent
        verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
        self._free(local, time.monotonic() - local.started_s)
        self._end(
            local,
            MeshAnswer(
                local.call.id,
                verdict,
                Reason.DEADLINE,
                "the upstream did not answer in time",
                was_sent=was_sent,
                is_load=True,
            ),
        )

    def _settle(self, local: LocalCall, outcome: HttpAnswer | ExchangeFailure) -> None:
        """Turn the end of an exchange into the answer of the call."""
        if local.is_over:
            return
        latency_s = time.monotonic() - local.started_s
        if isinstance(outcome, ExchangeFailure):
            answer = self._after_loss(local, outcome)
            self._log_loss(local, answer)
            self._free(local, None)
        else:
            answer = self._after_answer(local, outcome)
            ran = answer.verdict is Verdict.RAN
            self._free(local, latency_s if ran else None)
        self._end(local, answer)

    def _after_answer(self, local: LocalCall, answer: HttpAnswer) -> MeshAnswer:
        names = self._names
        head: list[bytes] = []
        is_not_executed = False
        for name, value in answer.headers:
            if name == names.load:
                self._note_load(value)
            elif name == names.not_executed:
                is_not_executed = True
            if name not in HOP_BY_HOP:
                head.append(b"%b: %b\r\n" % (name, value))
        self._health.note_answer()
        call = local.call
        if answer.status == 421:
            detail = f"another instance answers here, not {call.instance}"
            return MeshAnswer(
                call.id, Verdict.NOT_RUN, Reason.NO_UPSTREAM, detail, was_sent=True
            )
        if is_not_executed:
            detail = f"the upstream turned the request away with {answer.status}"
            return MeshAnswer(
                call.id,
                Verdict.NOT_RUN,
                Reason.OVERLOAD,
                detail,
                was_sent=True,
                is_load=True,
            )
        if answer.header(names.signature) is None:
            return MeshAnswer(
                call.id,
                Verdict.MAY_HAVE_RUN,
                Reason.BAD_ANSWER,
                f"an answer with status {answer.status} bears no signature",
                was_sent=True,
            )
        if call.fingerprint:
            self._quarantine.note_success(call.fingerprint)
        return MeshAnswer(
            call.id,
            Verdict.RAN,
            status=answer.status,
            head=b"".join(head),
            body=answer.body,
            was_sent=True,
            is_load=answer.status >= 500 and local.has_downstream_load_failure,
        )

    def _after_loss(self, local: LocalCall, lost: ExchangeFailure) -> MeshAnswer:
        call = local.call
        if lost.kind is FailureKind.NOT_SENT:
            self._health.note_refused(lost.detail)
            return MeshAnswer(call.id, Verdict.NOT_RUN, Reason.UNREACHABLE, lost.detail)
        reason = Reason.BAD_ANSWER
        if lost.kind is FailureKind.CLOSED:
            reason = Reason.CONNECTION_LOST
            self._health.note_lost(call.fingerprint)
        return MeshAnswer(
            call.id, Verdict.MAY_HAVE_RUN, reason, lost.detail, was_sent=True
        )

    def _log_loss(self, local: LocalCall, answer: MeshAnswer) -> None:
        call = local.call
        self._log.request(
            "upstream_lost",
            call.request_id.decode("latin-1"),
            route=call.route,
            instance=call.instance,
            reason=answer.reason,
            verdict=answer.verdict,
            detail=answer.detail,
            running=self._queue.n_running,
            waiting=self._queue.n_waiting,
            seconds=round(time.monotonic() - local.started_s, 4),
        )

    def _note_load(self, value: bytes) -> None:
        """Take the number of slots from the upstream's report of its load."""
        slots = value.rpartition(b",")[2].strip()
        if slots.isdigit() and int(slots) > 0:
            self._queue.slots = usable_slots(int(slots))

    def _cancel(self, local: LocalCall) -> None:
        if local.is_over:
            return
        if local.pending is None:
            if local.queued_call is not None:
                self._queue.withdraw(local.queued_call)
        else:
            local.pending.cancel()
            self._free(local, None)
        self._close(local)

    def _free(self, local: LocalCall, latency_s: float | None) -> None:
        """Give back the slot of a call that ran."""
        self._running.end(local.call.request_id, local)
        self._queue.finish(local.call.route, latency_s)

    def parent_of(self, request_id: bytes) -> LocalCall | None:
        """Return the run here that made a request, None if none did."""
        return self._running.parent_of(request_id)

    def _refuse(self, local: LocalCall, reason: Reason, detail: str) -> None:
        is_load = reason in (Reason.OVERLOAD, Reason.DEADLINE)
        answer = MeshAnswer(
            local.call.id, Verdict.NOT_RUN, reason, detail, is_load=is_load
        )
        self._end(local, answer)

    def _end(self, local: LocalCall, answer: MeshAnswer) -> None:
        if local.is_over:
            return
        self._close(local)
        queue = self._queue
        answer.n_reported = queue.n_running + queue.n_waiting
        answer.pressure = max(
            queue.load_for(local.call.rank), local.downstream_pressure
        )
        answer.limit = queue.slots
        answer.wait_ms = int(queue.expected_wait_s(queue.n_waiting) * 1000)
        local.on_answer(answer)

    def _close(self, local: LocalCall) -> None:
        local.is_over = True
        self.n_open -= 1
        if local.timer is not None:
            local.timer.cancel()
