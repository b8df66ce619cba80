"""Requests of callers and of the own upstream: routed, placed, answered."""

from __future__ import annotations

import asyncio
import hashlib
import random
import time
from collections.abc import Callable

from ..protocol.header_names import HOP_BY_HOP, HeaderNames
from ..protocol.mesh_frames import MeshAnswer, MeshCall
from ..state.event_log import EventLog
from ..state.fleet_view import FleetView, Instance
from ..state.metrics import Metrics
from ..state.route_table import RouteTable, SplitCursor, TableRoute
from ..transport.http_server import Exchange
from ..verdict import Reason, Verdict
from .fleet_retries import FleetRetryBudget
from .host_choice import HostChoice
from .local_upstream import LocalCall, LocalUpstream
from .peer_links import PeerLinks
from .repeat_rule import NextStep, next_step, status_of
from .return_time import return_time_s
from .throttle import ActionThrottle

__all__ = ["FirstHop"]

# Part of the target latency that a call may wait for a slot: beyond it an answer
# would seldom still come within the target.
PATIENCE_SHARE = 0.15
# The same for calls of upstreams: refusing one wastes what its action has taken.
INNER_PATIENCE_SHARE = 0.5
# Time in seconds below which an attempt is not worth sending.
SHORTEST_ATTEMPT_S = 0.01
FINGERPRINT_BYTES = 8

_JSON = b"Content-Type: application/json\r\n"


class _Forwarding:
    """One request from its arrival to its final answer."""

    __slots__ = (
        "answer",
        "call",
        "deadline_s",
        "exchange",
        "failed_answer",
        "instance",
        "local",
        "may_have_run",
        "n_arrivals",
        "n_placements",
        "parent",
        "request_id",
        "route",
        "sent_s",
        "service",
        "timer",
        "tried",
    )

    def __init__(
        self,
        exchange: Exchange,
        route: TableRoute,
        service: str,
        request_id: bytes,
        deadline_s: float,
    ) -> None:
        self.exchange = exchange
        self.route = route
        self.service = service
        self.request_id = request_id
        self.deadline_s = deadline_s
        self.call: MeshCall | None = None
        self.instance: Instance | None = None
        self.local: LocalCall | None = None
        self.answer: MeshAnswer | None = None
        self.failed_answer: MeshAnswer | None = None
        self.parent: LocalCall | None = None
        self.tried: list[str] = []
        self.n_placements = 0
        self.sent_s = 0.0
        self.n_arrivals = 0
        self.may_have_run = False
        self.timer: asyncio.TimerHandle | None = None


class FirstHop:
    """Where requests enter the fleet.

    Args:
        service: Service of this host, told to upstreams as the caller's.
        ip: Address of this host.
        names: Header names of the platform.
        table: Returns the routes in force, or None before the first.
        view: Instances of upstreams.
        choice: Choice among them.
        links: Links to other daemons.
        upstream: The upstream on this host.
        budget: Budget of repeats.
        throttle: Refusal of whole actions where they enter.
        metrics: Counters and latencies.
        log: Log of decisions.
        rng: Source of jitter.
    """

    def __init__(
        self,
        service: str,
        ip: str,
        names: HeaderNames,
        table: Callable[[], RouteTable | None],
        view: FleetView,
        choice: HostChoice,
        links: PeerLinks,
        upstream: LocalUpstream,
        budget: FleetRetryBudget,
        throttle: ActionThrottle,
        metrics: Metrics,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._ip = ip
        self._names = names
        self._table = table
        self._view = view
        self._choice = choice
        self._links = links
        self._upstream = upstream
        self._budget = budget
        self._throttle = throttle
        self._metrics = metrics
        self._log = log
        self._rng = rng
        self._split = SplitCursor()
        self._n_repeats = 0
        self._n_repeats_refused = 0
        self._dropped_headers = HOP_BY_HOP | names.set_by_fleet
        self._caller_line = b"%b: %b\r\n" % (names.caller_service, service.encode())

    def gauges(self) -> dict[str, float]:
        """Return counts of repeats, and the budget that is left by service."""
        left = {
            f"repeats_left_{service}": tokens
            for service, tokens in self._budget.tokens.items()
        }
        shares = {
            f"admitted_share_{route}": share
            for route, share in self._throttle.shares.items()
        }
        return {
            **shares,
            "repeats": self._n_repeats,
            "repeats_refused": self._n_repeats_refused,
            **left,
        }

    def handle(self, exchange: Exchange) -> None:
        """Take a request; it is answered at some later time."""
        request = exchange.request
        table = self._table()
        if table is None:
            self._answer_problem(exchange, 503, Reason.NOT_READY, "no routes yet", 0.5)
            return
        host = request_id = time_left = b""
        head = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in request.headers:
            if name == b"host":
                host = value
            elif name == self._names.request_id:
                request_id = value
            elif name == self._names.time_left_ms:
                time_left = value
            if name not in self._dropped_headers:
                head.append(b"%b: %b\r\n" % (name, value))
        target = request.target.decode("latin-1")
        route = table.find(host.decode("latin-1"), target)
        if route is None:
            detail = f"no route for {target:.80}"
            self._answer_problem(exchange, 404, Reason.UNKNOWN_ROUTE, detail, None)
            return
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            head.append(b"content-length: %d\r\n" % len(request.body))
        head.append(self._caller_line)
        time_left_s = route.timeout_s
        if time_left.isdigit():
            time_left_s = min(time_left_s, int(time_left) / 1000)
        service = self._split.next_service(route.parts)
        forwarding = _Forwarding(
            exchange, route, service, request_id, request.read_s + time_left_s
        )
        parent = self._upstream.parent_of(request_id)
        forwarding.parent = parent
        rank = route.rank if parent is None else parent.call.rank
        patience_share = PATIENCE_SHARE if parent is None else INNER_PATIENCE_SHARE
        forwarding.call = MeshCall(
            id=0,
            service=service,
            instance="",
            group=route.name,
            rank=rank,
            patience_ms=int(route.target_latency_s * patience_share * 1000),
            time_left_ms=0,
            may_repeat=route.is_idempotent,
            is_head=request.method == b"HEAD",
            request_id=request_id,
            fingerprint=self._fingerprint(request.target, request.body),
            head=b"".join(head),
            body=request.body,
        )
        if parent is None and not self._throttle.admits(route.name, route.rank):
            detail = "requests like this one fail for want of capacity"
            self._give_up(forwarding, Reason.OVERLOAD, detail)
            return
        exchange.on_abort = lambda: self._abandon(forwarding)
        forwarding.timer = asyncio.get_running_loop().call_later(
            max(0.0, forwarding.deadline_s - time.monotonic()),
            self._run_out,
            forwarding,
        )
        self._budget.note_request(service)
        self._place(forwarding)

    def _fingerprint(self, target: bytes, body: bytes) -> bytes:
        digest = hashlib.blake2b(target, digest_size=FINGERPRINT_BYTES)
        digest.update(self._service.encode())
        digest.update(body)
        return digest.digest()

    def _place(self, forwarding: _Forwarding) -> None:
        """Send the next attempt of a request."""
        time_left_s = forwarding.deadline_s - time.monotonic()
        if time_left_s < SHORTEST_ATTEMPT_S:
            self._give_up(forwarding, Reason.DEADLINE, "no time left")
            return
        listed = self._view.of_service(forwarding.service)
        # Where all are suspect, the evidence is more likely wrong than they.
        instances = [i for i in listed if not self._links.is_suspect(i.ip)] or listed
        instance = self._choice.choose(instances, forwarding.tried)
        if instance is None:
            detail = f"none of {len(instances)} instances can be asked"
            reason = Reason.NO_UPSTREAM
            if forwarding.answer is not None and forwarding.answer.reason is not None:
                reason = forwarding.answer.reason
                detail += f"; the last said: {forwarding.answer.detail}"
            self._give_up(forwarding, reason, detail)
            return
        forwarding.instance = instance
        forwarding.tried.append(instance.id)
        forwarding.n_placements += 1
        call = forwarding.call
        call.instance = instance.id
        call.time_left_ms = int(time_left_s * 1000)
        self._choice.record(instance).n_mine += 1
        forwarding.sent_s = time.monotonic()
        forwarding.local = None
        if instance.ip == self._ip:
            local = self._upstream.run(
                call, lambda answer: self._on_answer(forwarding, instance, answer)
            )
            if not local.is_over:
                forwarding.local = local
        else:
            self._links.call(
                instance.ip,
                call,
                lambda answer: self._on_answer(forwarding, instance, answer),
            )

    def _on_answer(
        self, forwarding: _Forwarding, instance: Instance, answer: MeshAnswer
    ) -> None:
        """Learn from an attempt's end and take the next step."""
        self._note_instance(forwarding, instance, answer)
        if forwarding.exchange.is_done:
            return
        forwarding.answer = answer
        if answer.was_sent:
            forwarding.n_arrivals += 1
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            forwarding.may_have_run = True
        elif answer.verdict is Verdict.RAN:
            forwarding.may_have_run = True
            forwarding.failed_answer = answer
        route = forwarding.route
        step = next_step(
            answer,
            route.is_idempotent,
            forwarding.n_placements,
            forwarding.n_arrivals,
            route.attempts_max,
        )
        if step is NextStep.REPEAT:
            step = self._pay_repeat(forwarding, answer)
        if step is NextStep.DELIVER:
            self._deliver(forwarding, answer)
        elif step is NextStep.GIVE_UP:
            self._give_up(forwarding, answer.reason, answer.detail)
        else:
            self._log.request(
                "placed_again",
                forwarding.request_id.decode("latin-1"),
                route=route.name,
                instance=instance.id,
                reason=answer.reason,
                verdict=answer.verdict,
                was_sent=answer.was_sent,
            )
            self._place(forwarding)

    def _pay_repeat(self, forwarding: _Forwarding, answer: MeshAnswer) -> NextStep:
        """Return ``REPEAT`` if the budget pays for it, else how to end."""
        if self._budget.try_repeat(forwarding.service):
            self._n_repeats += 1
            return NextStep.REPEAT
        self._n_repeats_refused += 1
        ran = answer.verdict is Verdict.RAN
        return NextStep.DELIVER if ran else NextStep.GIVE_UP

    def _note_instance(
        self, forwarding: _Forwarding, instance: Instance, answer: MeshAnswer
    ) -> None:
        """Keep what an attempt tells about the instance."""
        choice = self._choice
        choice.record(instance).n_mine -= 1
        if answer.limit:
            choice.note_report(instance, answer.n_told, answer.limit)
        if answer.was_sent:
            is_run_out = answer.reason is Reason.DEADLINE
            is_whole = answer.verdict is Verdict.RAN and answer.status < 500
            # A failure for load further down is not the instance's own.
            is_failure = not (is_whole or is_run_out or answer.is_load)
            latency_s = time.monotonic() - forwarding.sent_s
            if is_whole or is_run_out or is_failure:
                choice.note_outcome(
                    instance, is_failure, forwarding.route.name, latency_s
                )
            elif answer.verdict is Verdict.NOT_RUN:
                choice.note_outcome(instance, True, forwarding.route.name, latency_s)
        if answer.reason in (
            Reason.LEAVING,
            Reason.NO_UPSTREAM,
            Reason.UNREACHABLE,
            Reason.CONNECTION_LOST,
        ) and not (answer.was_sent and answer.limit):
            choice.note_unavailable(instance)

    def _deliver(self, forwarding: _Forwarding, answer: MeshAnswer) -> None:
        forwarding.timer.cancel()
        self._note_end(forwarding, answer.status >= 500 and answer.is_load)
        latency_s = time.monotonic() - forwarding.exchange.request.read_s
        route = forwarding.route
        self._metrics.count(
            route.name, Verdict.RAN, f"status {answer.status // 100}xx", latency_s
        )
        self._log.request(
            "answered",
            forwarding.request_id.decode("latin-1"),
            route=route.name,
            rank=forwarding.call.rank,
            instance=forwarding.instance.id,
            status=answer.status,
            is_load=answer.is_load,
            pressure=round(answer.pressure, 2),
            arrivals=forwarding.n_arrivals,
            routes_version=self._version(),
            list_revision=self._view.revision,
            seconds=round(latency_s, 4),
        )
        forwarding.exchange.respond(answer.status, answer.head, answer.body)

    def _give_up(
        self, forwarding: _Forwarding, reason: Reason | None, detail: str
    ) -> None:
        """Answer a request that no upstream answered well."""
        if forwarding.failed_answer is not None:
            self._deliver(forwarding, forwarding.failed_answer)
            return
        verdict = Verdict.NOT_RUN
        if forwarding.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        if forwarding.timer is not None:
            forwarding.timer.cancel()
            is_load = forwarding.answer is not None and forwarding.answer.is_load
            self._note_end(forwarding, is_load or reason is Reason.DEADLINE)
        answer = forwarding.answer
        wait_s = 0.0 if answer is None else answer.wait_ms / 1000
        time_left_s = forwarding.deadline_s - time.monotonic()
        back_s = None
        if verdict is Verdict.NOT_RUN:
            back_s = return_time_s(wait_s, time_left_s, self._rng)
        status = status_of(verdict, reason)
        seconds = time.monotonic() - forwarding.exchange.request.read_s
        self._metrics.count(forwarding.route.name, verdict, str(reason), seconds)
        self._log.request(
            "refused" if verdict is Verdict.NOT_RUN else "gave_up",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
            rank=forwarding.call.rank,
            service=forwarding.service,
            reason=reason,
            verdict=verdict,
            status=status,
            detail=detail,
            tried=forwarding.tried,
            arrivals=forwarding.n_arrivals,
            routes_version=self._version(),
            list_revision=self._view.revision,
            seconds=round(seconds, 4),
        )
        self._answer_problem(forwarding.exchange, status, reason, detail, back_s)

    def _note_end(self, forwarding: _Forwarding, is_load_failure: bool) -> None:
        """Learn from the end of a request that had entered."""
        pressure = 0.0 if forwarding.answer is None else forwarding.answer.pressure
        if forwarding.parent is not None:
            forwarding.parent.note_call_below(pressure, is_load_failure)
        else:
            self._throttle.note_end(forwarding.route.name, pressure, is_load_failure)

    def _answer_problem(
        self,
        exchange: Exchange,
        status: int,
        reason: Reason | None,
        detail: str,
        back_s: float | None,
    ) -> None:
        head = _JSON
        if back_s is not None:
            head += b"Retry-After: %.3f\r\n" % back_s
        body = b'{"reason":"%b"}' % str(reason).encode()
        exchange.respond(status, head, body)

    def _run_out(self, forwarding: _Forwarding) -> None:
        """End a request whose time is over."""
        if forwarding.exchange.is_done:
            return
        local = forwarding.local
        if local is None or local.pending is not None:
            # A call at a peer may be running; one that waits here is not.
            forwarding.may_have_run = True
        if forwarding.instance is not None:
            latency_s = time.monotonic() - forwarding.sent_s
            self._choice.note_outcome(
                forwarding.instance, False, forwarding.route.name, latency_s
            )
        self._cancel_attempt(forwarding)
        self._give_up(forwarding, Reason.DEADLINE, "the time for an answer is over")

    def _abandon(self, forwarding: _Forwarding) -> None:
        """Give up a request whose caller has gone."""
        forwarding.timer.cancel()
        self._note_end(forwarding, False)
        self._log.request(
            "caller_gone",
            forwarding.request_id.decode("latin-1"),
            route=forwarding.route.name,
        )
        seconds = time.monotonic() - forwarding.exchange.request.read_s
        self._metrics.count(forwarding.route.name, "", "caller_gone", seconds)
        self._cancel_attempt(forwarding)

    def _cancel_attempt(self, forwarding: _Forwarding) -> None:
        instance = forwarding.instance
        if instance is None:
            return
        self._choice.record(instance).n_mine -= 1
        if forwarding.local is not None:
            forwarding.local.cancel()
        else:
            self._links.cancel(instance.ip, forwarding.call)

    def _version(self) -> int:
        table = self._table()
        return -1 if table is None else table.version
