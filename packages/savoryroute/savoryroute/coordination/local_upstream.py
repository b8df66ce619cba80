"""Calls to the local upstream: queueing, delivery and classification of answers."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping

from ..protocol.header_names import HOP_BY_HOP, HeaderNames
from ..protocol.mesh_frames import MeshAnswer, MeshCall
from ..state.event_log import EventLog
from ..state.quarantine import Quarantine
from ..transport.exchange_outcome import ExchangeFailure, FailureKind, HttpAnswer
from ..transport.http_client import HttpPool, PendingExchange
from ..verdict import Reason, Verdict
from .call_queue import CallQueue, QueuedCall
from .repeat_admission import RepeatAdmission
from .running_calls import RunningCalls
from .switches import ALL_ON, Switches
from .upstream_health import UpstreamHealth
from .upstream_reports import UpstreamReports
from .upstream_room import ROOM_MAX, UpstreamRoom

__all__ = ["ORGANISATION_GONE", "LocalCall", "LocalUpstream"]

# Seconds after the deadline of a call for which the upstream's answer is awaited.
ANSWER_GRACE_S = 0.1
ORGANISATION_GONE = "the organisation of the request is gone from the configuration"
_QUARANTINED = "upstreams crashed each time this request ran"
_NO_REPEAT_LEFT = "the retry budget of the upstream or of one that it calls is spent"

AnswerHandler = Callable[[MeshAnswer], None]


class LocalCall:
    """One call to the local upstream."""

    __slots__ = (
        "_upstream",
        "body",
        "call",
        "has_downstream_load_failure",
        "n_downstream_served",
        "_downstream_rooms",
        "is_on_probation",
        "is_over",
        "queued_call",
        "on_answer",
        "pending",
        "started_s",
        "timer",
    )

    def __init__(
        self,
        upstream: LocalUpstream,
        call: MeshCall,
        body: bytes,
        on_answer: AnswerHandler,
    ) -> None:
        self._upstream = upstream
        self.call = call
        # Dropped once it is sent, so that a long body is not held twice.
        self.body = body
        # Cleared once it is over, as it and the queued call refer back to this call.
        self.on_answer: AnswerHandler | None = on_answer
        self.queued_call: QueuedCall | None = None
        self.pending: PendingExchange | None = None
        self.started_s = 0.0
        # Reported for the calls that it made, by called service.
        self._downstream_rooms: dict[str, list[float]] = {}
        self.has_downstream_load_failure = False
        self.n_downstream_served = 0
        self.timer: asyncio.TimerHandle | None = None
        # Whether it excludes others that would run after a quarantine.
        self.is_on_probation = False
        self.is_over = False

    @property
    def is_sent(self) -> bool:
        """Whether the upstream may have got the request."""
        return self.pending is not None and self.pending.is_sent

    @property
    def downstream_room(self) -> float:
        """Room of the service downstream that has least.

        Its calls to one service meet several upstreams, of which some are fuller.
        """
        rooms = self._downstream_rooms.values()
        return min((sum(room) / len(room) for room in rooms), default=ROOM_MAX)

    def note_downstream_call(
        self,
        service: str,
        answer: MeshAnswer | None,
        rooms: list[float],
        is_load_failure: bool,
        is_served: bool,
    ) -> None:
        """Record how a downstream call of this call ended.

        Args:
            service: Service that was called.
            answer: Last answer to an attempt, None if there is none.
            rooms: Room reported in the answers to all attempts.
            is_load_failure: Whether it failed for lack of capacity.
            is_served: Whether an upstream answered it with success.
        """
        self.n_downstream_served += is_served
        if rooms:
            self._downstream_rooms.setdefault(service, []).extend(rooms)
        self.has_downstream_load_failure |= is_load_failure
        if answer is None:
            return
        repeats = self._upstream.repeats
        repeats.note_downstream(self.call.route, service, answer.repeat_share)
        if self.call.is_repeat and answer.reason is Reason.RETRY_BUDGET:
            repeats.note_refused_call(self.call.route)

    def cancel(self) -> None:
        """Cancel the call; ``on_answer`` is not called afterwards."""
        self._upstream._cancel(self)


class LocalUpstream:
    """Runs calls at the upstream on this host.

    Args:
        service: Service of the upstream.
        pool: Connections to the upstream.
        queue: Slots of the upstream and the calls that wait for them.
        names: Header names of the platform.
        health: Whether the upstream accepts connections, and what crashed it.
        quarantine: Evidence of requests that crash upstreams.
        repeats: Decides which repeats the upstream gets.
        log: Log of decisions.
        switches: Mechanisms that are switched off.
        host: Address of this host.
    """

    def __init__(
        self,
        service: str,
        pool: HttpPool,
        queue: CallQueue,
        names: HeaderNames,
        health: UpstreamHealth,
        quarantine: Quarantine,
        repeats: RepeatAdmission,
        log: EventLog,
        switches: Switches = ALL_ON,
        host: str = "",
    ) -> None:
        self._service = service
        self._host = host
        self._pool = pool
        self._queue = queue
        self._names = names
        self._health = health
        self._quarantine = quarantine
        self._repeats = repeats
        self._log = log
        self._room = UpstreamRoom(queue, time.monotonic, switches)
        self._waiting: set[LocalCall] = set()
        self._running: RunningCalls[LocalCall] = RunningCalls(names.id_separator)
        self._reports = UpstreamReports(queue, log, switches)
        self._load_counts: Counter[str] = Counter()
        self.is_leaving = False
        # Whether it refuses the calls that other instances can take.
        self.is_last_resort = False
        self.n_open = 0
        self.n_runs = 0

    @property
    def queue(self) -> CallQueue:
        """Slots of the upstream and the calls that wait for them."""
        return self._queue

    @property
    def offered_load(self) -> float:
        """Work that callers offer over the capacity of the upstream."""
        return self._room.offered_load

    @property
    def rooms(self) -> dict[float, float]:
        """Share of the offered actions that fits, by rank."""
        return self._room.shares

    @property
    def served_shares(self) -> dict[float, float]:
        """Share of the offered actions that was served in the last seconds, by rank."""
        return self._room.served_shares

    @property
    def load_counts(self) -> Mapping[str, int]:
        """Calls offered since the start as ``arrivals``, and failures for load.

        These are ``rejected`` for calls that the upstream rejected, otherwise the
        reason for which a call was refused here.
        """
        return self._load_counts

    @property
    def repeats(self) -> RepeatAdmission:
        """Decides which repeats the upstream gets."""
        return self._repeats

    def run(self, call: MeshCall, body: bytes, on_answer: AnswerHandler) -> LocalCall:
        """Run, queue or refuse a call.

        Args:
            call: The call.
            body: Its complete body.
            on_answer: Called exactly once unless the call is cancelled, possibly
                before this method returns.
        """
        local = LocalCall(self, call, body, on_answer)
        self.n_open += 1
        self._load_counts["arrivals"] += 1
        refused = self.check(call)
        if refused is not None:
            self._refuse(local, *refused)
            return local
        if call.fingerprint and self._quarantine.is_on_probation(call.fingerprint):
            if not self._quarantine.try_start(call.fingerprint):
                detail = "another request that crashed upstreams is tried first"
                self._refuse(local, Reason.QUARANTINED, detail)
                return local
            local.is_on_probation = True
        if call.is_first_placement:
            # Later ones were counted where they were refused first.
            self._room.note_offer(
                call.rank,
                call.route,
                call.queue_timeout_ms / 1000,
                call.admitted_share,
                call.n_done == 0,
            )
        now_s = time.monotonic()
        local.queued_call = QueuedCall(
            call.rank,
            call.route,
            now_s + call.time_left_ms / 1000,
            call.queue_timeout_ms / 1000,
            lambda: self._start(local),
            lambda reason: self._refuse_waiting(local, reason),
            lambda: self._admit(call),
            is_returnable=call.n_placements_left > 0,
            has_progress=call.n_done > 0,
            organisation=call.organisation,
        )
        reason = self._queue.offer(local.queued_call)
        if reason is Reason.RETRY_BUDGET:
            self._refuse(local, reason, _NO_REPEAT_LEFT)
        elif reason is Reason.QUARANTINED:
            self._refuse(local, reason, _QUARANTINED)
        elif reason is not None:
            detail = (
                f"{self._queue.n_running} calls run and {self._queue.n_waiting} wait"
                f" for {self._queue.slots} slots,"
                f" held for {self._queue.mean_s * 1000:.0f} ms each on average"
                f"{self._waiting_text(call)}"
            )
            self._refuse(local, reason, detail)
        elif local.pending is None and not local.is_over:
            self._waiting.add(local)
        return local

    def sweep(self) -> None:
        """Start or refuse waiting calls that are due; close idle connections."""
        self._queue.start_waiting()
        self._queue.expire()
        self._pool.sweep()

    def leave(self) -> None:
        """Refuse the waiting calls and all new ones; running calls go on."""
        self.is_leaving = True
        self._queue.clear(Reason.LEAVING)

    def refuse_waiting(self, is_dropped: Callable[[MeshCall], bool]) -> None:
        """Refuse the waiting calls of callers whose organisation was dropped.

        Calls of upstreams go on, as the runs that made them do.
        """
        for local in list(self._waiting):
            is_of_caller = self._names.id_separator not in local.call.request_id
            if is_of_caller and is_dropped(local.call):
                self._queue.withdraw(local.queued_call)
                self._refuse(local, Reason.KEY_INVALID, ORGANISATION_GONE)

    def note_start(self) -> None:
        """Forget what an earlier upstream at the address said of itself."""
        self._reports.note_start()

    def check(self, call: MeshCall) -> tuple[Reason, str] | None:
        """Return why a call is refused at once, whatever the queue, or None."""
        if call.service != self._service:
            detail = f"this host runs {self._service}, not {call.service}"
            return Reason.NO_UPSTREAM, detail
        if self.is_leaving or self._reports.is_leaving(call.instance):
            return Reason.LEAVING, "the upstream is leaving"
        if self.is_last_resort and call.n_placements_left:
            return Reason.LEAVING, "the daemon stops, and other instances can run it"
        if self._is_quarantined(call):
            # First, as the other refusals let the call be placed elsewhere.
            return Reason.QUARANTINED, _QUARANTINED
        if self._health.is_down:
            return Reason.UNREACHABLE, "the upstream recently refused a connection"
        if not self._repeats.may_start(call):
            return Reason.RETRY_BUDGET, _NO_REPEAT_LEFT
        return None

    def _admit(self, call: MeshCall) -> Reason | None:
        """Return why a call that gets a slot may not start, or None."""
        if self._is_quarantined(call):
            return Reason.QUARANTINED
        return None if self._repeats.try_start(call) else Reason.RETRY_BUDGET

    def _is_quarantined(self, call: MeshCall) -> bool:
        """Return whether this host does not run the request of a call now."""
        fingerprint = call.fingerprint
        return (
            bool(fingerprint) and self._quarantine.wait_s(fingerprint, self._host) > 0
        )

    def _refuse_waiting(self, local: LocalCall, reason: Reason) -> None:
        """Refuse a call whose wait has ended without a slot."""
        detail = f"waited too long for a slot{self._waiting_text(local.call)}"
        if reason is Reason.OVERLOAD and local.queued_call.is_returned:
            factor = self._queue.times.factor
            detail = f"would wait too long: work takes {factor:.2f} times as long now"
        elif reason is Reason.RETRY_BUDGET:
            detail = _NO_REPEAT_LEFT
        elif reason is Reason.QUARANTINED:
            detail = _QUARANTINED
        self._refuse(local, reason, detail)

    def _waiting_text(self, call: MeshCall) -> str:
        """Return how many calls of the organisation wait, empty without one."""
        if not call.organisation:
            return ""
        n_waiting = self._queue.n_waiting_of(call.rank, call.organisation)
        return (
            f"; {n_waiting} of {self._queue.n_waiting} waiting calls are of"
            f" {call.organisation} in this rank"
        )

    def _start(self, local: LocalCall) -> None:
        """Send a call that got a slot."""
        self._waiting.discard(local)
        call = local.call
        now_s = time.monotonic()
        local.started_s = now_s
        if call.n_done == 0:
            self._room.note_start(call.rank)
        time_left_ms = max(1, int((local.queued_call.deadline_s - now_s) * 1000))
        time_left_s = time_left_ms / 1000
        self._running.begin(call.request_id, local)
        names = self._names
        head = b"%b%b: %d\r\n%b: %b\r\n\r\n" % (
            call.head,
            names.time_left_ms,
            time_left_ms,
            names.expected_instance,
            call.instance.encode(),
        )
        loop = asyncio.get_running_loop()
        local.timer = loop.call_later(
            time_left_s + ANSWER_GRACE_S, self._time_out, local
        )
        self.n_runs += 1
        body, local.body = local.body, b""
        local.pending = self._pool.send(
            head,
            lambda outcome: self._on_outcome(local, outcome),
            call.request_id,
            call.is_idempotent,
            call.is_head,
            body,
        )

    def _time_out(self, local: LocalCall) -> None:
        """End a call that the upstream did not answer by its deadline."""
        if local.is_over:
            return
        local.pending.cancel()
        was_sent = local.pending.is_sent
        self._note_arrival(local, was_sent)
        verdict = Verdict.MAY_HAVE_RUN if was_sent else Verdict.NOT_RUN
        self._release_slot(local, time.monotonic() - local.started_s)
        self._answer(
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

    def _on_outcome(
        self, local: LocalCall, outcome: HttpAnswer | ExchangeFailure
    ) -> None:
        """Answer a call whose exchange with the upstream has ended."""
        if local.is_over:
            return
        latency_s = time.monotonic() - local.started_s
        is_unsent = (
            isinstance(outcome, ExchangeFailure)
            and outcome.kind is FailureKind.NOT_SENT
        )
        self._note_arrival(local, not is_unsent)
        if isinstance(outcome, ExchangeFailure):
            answer = self._classify_failure(local, outcome)
            self._log_failure(local, answer)
            self._release_slot(local, None)
        else:
            answer = self._classify_answer(local, outcome)
            has_run = answer.verdict is Verdict.RAN
            self._release_slot(local, latency_s if has_run else None)
        self._answer(local, answer)

    def _classify_answer(self, local: LocalCall, answer: HttpAnswer) -> MeshAnswer:
        names = self._names
        head: list[bytes] = []
        is_not_executed = False
        is_leaving = False
        rate_limit: bytes | None = None
        for name, value in answer.headers:
            if name == names.load:
                self._reports.note_load(value)
            elif name == names.rate_limit:
                rate_limit = value
            elif name == names.leaving:
                is_leaving = value.strip() == b"1"
            elif name == names.not_executed:
                is_not_executed = True
            if name not in HOP_BY_HOP:
                head.append(b"%b: %b\r\n" % (name, value))
        self._health.note_answer()
        call = local.call
        if answer.status == 421:
            detail = f"another instance answers at this address, not {call.instance}"
            return MeshAnswer(
                call.id, Verdict.NOT_RUN, Reason.NO_UPSTREAM, detail, was_sent=True
            )
        is_signed = answer.header(names.signature) is not None
        # A rejection without the header does not lift a limit, nor do stray bytes.
        if is_signed or (is_not_executed and rate_limit is not None):
            self._reports.note_rate_limit(call.request_id, rate_limit)
        if is_leaving and (is_signed or is_not_executed):
            self._reports.note_leaving(call.instance)
        if is_not_executed:
            self._load_counts["rejected"] += 1
            detail = f"the upstream rejected the request with status {answer.status}"
            return MeshAnswer(
                call.id,
                Verdict.NOT_RUN,
                Reason.OVERLOAD,
                detail,
                was_sent=True,
                is_load=True,
            )
        if not is_signed:
            return MeshAnswer(
                call.id,
                Verdict.MAY_HAVE_RUN,
                Reason.BAD_ANSWER,
                f"the answer with status {answer.status} has no signature",
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

    def _classify_failure(
        self, local: LocalCall, failure: ExchangeFailure
    ) -> MeshAnswer:
        call = local.call
        if failure.kind is FailureKind.NOT_SENT:
            self._health.note_refused(failure.detail)
            return MeshAnswer(
                call.id, Verdict.NOT_RUN, Reason.UNREACHABLE, failure.detail
            )
        reason = Reason.BAD_ANSWER
        if failure.kind is FailureKind.CLOSED:
            reason = Reason.CONNECTION_LOST
            self._health.note_lost(call.fingerprint)
        return MeshAnswer(
            call.id, Verdict.MAY_HAVE_RUN, reason, failure.detail, was_sent=True
        )

    def _log_failure(self, local: LocalCall, answer: MeshAnswer) -> None:
        call = local.call
        self._log.request(
            "upstream_lost",
            call.request_id.decode("latin-1"),
            route=call.route,
            instance=call.instance,
            reason=answer.reason,
            verdict=answer.verdict,
            detail=answer.detail,
            fingerprint=call.fingerprint.hex(),
            running=self._queue.n_running,
            waiting=self._queue.n_waiting,
            seconds=round(time.monotonic() - local.started_s, 4),
        )

    def _cancel(self, local: LocalCall) -> None:
        if local.is_over:
            return
        if local.pending is None:
            if local.queued_call is not None:
                self._queue.withdraw(local.queued_call)
        else:
            self._note_arrival(local, local.pending.is_sent)
            local.pending.cancel()
            self._release_slot(local, None)
        self._close(local)

    def _release_slot(self, local: LocalCall, latency_s: float | None) -> None:
        """Release the slot of a call that was started.

        Args:
            local: The call.
            latency_s: Seconds at the upstream, None to leave the averages as they are.
        """
        self._running.end(local.call.request_id, local)
        work_time = local.queued_call.work_time
        self._queue.finish(local.call.route, latency_s, work_time)

    def _note_arrival(self, local: LocalCall, has_arrived: bool) -> None:
        """Count a call whose exchange has ended if the upstream got it."""
        if has_arrived:
            self._repeats.note_request(local.call, local.started_s)

    def parent_of(self, request_id: bytes) -> LocalCall | None:
        """Return the running call that made a request, None if none here did."""
        return self._running.parent_of(request_id)

    def _refuse(self, local: LocalCall, reason: Reason, detail: str) -> None:
        is_load = reason in (Reason.OVERLOAD, Reason.DEADLINE, Reason.RETRY_BUDGET)
        if is_load:
            self._load_counts[str(reason)] += 1
        answer = MeshAnswer(
            local.call.id, Verdict.NOT_RUN, reason, detail, is_load=is_load
        )
        self._answer(local, answer)

    def _answer(self, local: LocalCall, answer: MeshAnswer) -> None:
        if local.is_over:
            return
        on_answer = local.on_answer
        self._close(local)
        queue = self._queue
        answer.n_reported = queue.n_running + queue.n_waiting
        if answer.was_sent or answer.is_load:
            own_room = self._room.share_for(local.call.rank)
            answer.room = min(own_room, local.downstream_room)
        answer.limit = round(queue.usable_slots)
        answer.is_leaving = self._reports.is_leaving(local.call.instance)
        answer.work_time = queue.times.factor
        answer.repeat_share = self._repeats.share_left(local.call.route)
        answer.wait_ms = int(queue.expected_wait_s(queue.n_waiting) * 1000)
        on_answer(answer)

    def _close(self, local: LocalCall) -> None:
        local.is_over = True
        self._waiting.discard(local)
        self.n_open -= 1
        if local.is_on_probation:
            self._quarantine.end(local.call.fingerprint)
        local.on_answer = local.queued_call = None
        local.body = b""
        if local.timer is not None:
            local.timer.cancel()
            local.timer = None
