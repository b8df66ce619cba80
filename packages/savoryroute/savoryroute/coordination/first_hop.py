"""Routing, placement and answers for requests of callers and the local upstream."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Set

from result import Ok

from ..protocol.header_names import HeaderNames
from ..protocol.mesh_frames import AttemptKind, MeshAnswer, MeshCall
from ..protocol.request_head import RequestHead, read_request_head, with_organisation
from ..state.body_budget import BodyBudget
from ..state.fleet_view import FleetView, Instance, ServiceInstances
from ..state.quarantine import Quarantine, fingerprint
from ..state.route_table import RouteTable, TableRoute, WeightedRoundRobin
from ..transport.caller_exchange import CallerRequest, Exchange
from ..verdict import Reason, Verdict
from .answer_lengths import AnswerLengths
from .attempt_choice import choose_instance
from .caller_check import CallerCheck
from .caller_identity import CallerIdentity
from .forwarded_request import ForwardedRequest
from .instance_record import SentCall
from .instance_selector import InstanceSelector
from .local_upstream import ORGANISATION_GONE, LocalCall, LocalUpstream
from .mesh_retry_after import SHORTEST_S, mesh_retry_after_s
from .peer_links import PeerLinks
from .quota_account import QuotaDecision
from .quotas import Quotas
from .request_records import RequestRecords
from .retry_rule import (
    REJECTIONS_MAX,
    NextStep,
    n_placements_left,
    next_step,
    status_of,
)
from .switches import Switches, switchable
from .throttle import ActionThrottle

__all__ = ["FirstHop"]

# Share of the target latency that a call may wait for a slot. After a longer wait its
# answer would seldom come within the target.
QUEUE_TIMEOUT_SHARE = 0.15
# The same for calls of upstreams: refusing one wastes the work done for its action.
DOWNSTREAM_QUEUE_TIMEOUT_SHARE = 0.5
# No attempt is sent with less time in seconds left than this.
MIN_TIME_LEFT_S = 0.01
# Retry-After in seconds of a daemon that has no routes yet or cannot read one.
NO_ROUTES_RETRY_AFTER_S = 0.5

_JSON_HEADER = b"Content-Type: application/json\r\n"


class FirstHop:
    """Handles requests where they enter the fleet.

    Args:
        service: Service of this host, sent to upstreams as the calling service.
        ip: Address of this host.
        names: Header names of the platform.
        table: Returns the active routes, or None before the first are known.
        view: Instances of upstreams.
        selector: Selects an instance for each attempt.
        links: Links to other daemons.
        upstream: The upstream on this host.
        throttle: Refuses new actions by the load downstream.
        quarantine: Requests that crashed upstreams, as reported by peers.
        records: Log lines and metrics of requests.
        rng: Source of jitter.
        proof_age_s: Returns the age in seconds of the newest proof that the active
            routes are in force, infinite without any.
        revocation_s: Seconds after which a revoked key must not be used, None if
            revocation has no such bound.
        quotas: Quotas of organisations.
        answers: Memory of answers.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        service: str,
        ip: str,
        names: HeaderNames,
        table: Callable[[], RouteTable | None],
        view: FleetView,
        selector: InstanceSelector,
        links: PeerLinks,
        upstream: LocalUpstream,
        throttle: ActionThrottle,
        quarantine: Quarantine,
        records: RequestRecords,
        rng: random.Random,
        proof_age_s: Callable[[], float],
        revocation_s: float | None,
        quotas: Quotas,
        answers: BodyBudget,
        switches: Switches,
    ) -> None:
        self._service = service
        self._ip = ip
        self._names = names
        self._table = table
        self._view = view
        self._selector = selector
        self._links = links
        self._upstream = upstream
        self._throttle = throttle
        self._quarantine = quarantine
        self._records = records
        self._rng = rng
        self._caller_check = CallerCheck(names, records, proof_age_s, revocation_s)
        # Requests that need the key of an organisation and were not answered yet.
        self._of_organisations: set[ForwardedRequest] = set()
        self._quotas = quotas
        self._answers = answers
        self._answer_lengths = AnswerLengths()
        self._switches = switches
        self._rejections_max = switches.pick("rejected_again", REJECTIONS_MAX, 0)
        self._is_suspect = switches.pick(
            "suspect_links", links.is_suspect, lambda ip: False
        )
        self._split = WeightedRoundRobin()
        self._n_retries: Counter[str] = Counter()
        self._n_retries_refused: Counter[str] = Counter()
        self._caller_header = b"%b: %b\r\n" % (names.caller_service, service.encode())
        self._stops_s = float("inf")

    def gauges(self) -> dict[str, float | dict[str, float]]:
        """Return admitted shares by route, and retries by service."""
        return {
            "admitted_share": self._throttle.shares,
            "repeats": dict(self._n_retries),
            "repeats_refused": dict(self._n_retries_refused),
        }

    def stop_at(self, stops_s: float) -> None:
        """Refuse further requests of callers with deadlines after the process's end.

        Args:
            stops_s: Monotonic time in seconds.
        """
        self._stops_s = stops_s

    def handle(self, exchange: Exchange) -> None:
        """Start to serve a request; it is answered now or later."""
        request = exchange.request
        table = self._table()
        if table is None:
            self._answer_problem(
                exchange, 503, Reason.NOT_READY, NO_ROUTES_RETRY_AFTER_S
            )
            return
        fields = read_request_head(
            request,
            self._names,
            self._caller_header,
            table.organisations is not None,
        )
        route = table.find(fields.host, request.target.decode("latin-1"))
        if route is None and table.is_complete:
            self._answer_problem(exchange, 404, Reason.UNKNOWN_ROUTE, None)
            return
        if route is None or not route.parts:
            # Published, but this daemon cannot read where its requests go.
            self._answer_problem(
                exchange, 503, Reason.UNREADABLE_ROUTE, NO_ROUTES_RETRY_AFTER_S
            )
            return
        parent = self._upstream.parent_of(fields.request_id)
        identity = self._identify(exchange, table, route, fields, parent)
        if identity is None:
            return
        forwarded = self._open(exchange, table, route, fields, parent, identity)
        if request.is_body_skipped:
            detail = "no memory for the body: other bodies take up too much"
            self._give_up(forwarded, Reason.OVERLOAD, detail)
            return
        if self._answers.is_spent and self._answer_lengths.is_long(route.name):
            detail = (
                "no memory for the answer: answers that callers have not read take up"
                f" {self._answers.held_bytes} bytes"
            )
            self._give_up(forwarded, Reason.OVERLOAD, detail)
            return
        call = forwarded.call
        if forwarded.parent is None:
            if forwarded.deadline_s > self._stops_s:
                detail = "the host may stop before the request is answered"
                self._give_up(forwarded, Reason.LEAVING, detail)
                return
            share = self._throttle.admit(route.name, call.rank, call.organisation)
            if share is None:
                detail = self._throttle.refusal_detail(
                    route.name, call.rank, call.organisation
                )
                self._give_up(forwarded, Reason.OVERLOAD, detail)
                return
            call.admitted_share = share
        exchange.on_abort = lambda: self._on_caller_gone(forwarded)
        forwarded.timer = asyncio.get_running_loop().call_later(
            max(0.0, forwarded.deadline_s - time.monotonic()),
            self._on_deadline,
            forwarded,
        )
        if parent is None and identity.name and not route.is_public:
            self._of_organisations.add(forwarded)
        if forwarded.parent is None and self._quotas.needs_credit(
            forwarded.call.organisation
        ):
            self._await_credit(forwarded)
        else:
            self._place(forwarded)

    def _await_credit(self, forwarded: ForwardedRequest) -> None:
        """Place a request once it has a credit of its organisation's quota."""

        def on_decision(decision: QuotaDecision) -> None:
            forwarded.credit_wait = None
            forwarded.credit_expires_s = decision.expires_s
            if decision.expires_s is not None:
                self._place(forwarded)
                return
            # A request that was not admitted says nothing about the load downstream.
            forwarded.timer.cancel()
            forwarded.timer = None
            is_empty = decision.status == 429
            self._give_up(
                forwarded,
                Reason.QUOTA if is_empty else Reason.UNREACHABLE,
                f"no credit for {forwarded.call.organisation}: {decision.by}",
                decision.retry_after_s,
            )

        name = forwarded.call.organisation
        wait = self._quotas.acquire(name, forwarded.request_id, on_decision)
        if not wait.is_over:
            forwarded.credit_wait = wait

    def _end_quota(self, forwarded: ForwardedRequest) -> None:
        """End the wait for a credit, and give back one that was not used."""
        if forwarded.credit_wait is not None:
            self._quotas.cancel(forwarded.credit_wait)
            forwarded.credit_wait = None
        expires_s, forwarded.credit_expires_s = forwarded.credit_expires_s, None
        # A request that reached an upstream counts there, also if it was rejected.
        is_unused = not forwarded.may_have_run and not forwarded.n_arrivals
        if expires_s is not None and is_unused:
            self._quotas.give_back(forwarded.call.organisation, expires_s)

    def refuse_waiting(self, organisations: Set[str]) -> None:
        """Refuse requests of organisations whose current attempt has not run.

        Requests in the call queue of the local upstream are refused there.

        Args:
            organisations: Names that the active configuration no longer has.
        """
        for forwarded in list(self._of_organisations):
            if forwarded.call.organisation in organisations and self._waits(forwarded):
                self._cancel_attempt(forwarded)
                self._give_up(forwarded, Reason.KEY_INVALID, ORGANISATION_GONE)

    def _waits(self, forwarded: ForwardedRequest) -> bool:
        """Return whether no part of the current attempt can have run elsewhere."""
        sent = forwarded.sent
        if sent is None:
            return True
        if forwarded.local is not None:
            return False
        return self._links.is_unsent(sent.instance.ip, forwarded.call)

    def _identify(
        self,
        exchange: Exchange,
        table: RouteTable,
        route: TableRoute,
        fields: RequestHead,
        parent: LocalCall | None,
    ) -> CallerIdentity | None:
        """Return whose request it is, or None after refusing it."""
        request = exchange.request
        identified = self._caller_check.identify(
            table, route, fields, parent, request.read_s
        )
        if isinstance(identified, Ok):
            return identified.ok_value
        refusal = identified.err_value
        retry_after_s = None
        if refusal.status == 503:
            time_left_s = self._deadline_s(request, route, fields) - time.monotonic()
            retry_after_s = self._retry_after_within(0.0, time_left_s)
        headers = self._caller_check.headers_of(refusal)
        self._answer_problem(
            exchange, refusal.status, refusal.reason, retry_after_s, headers
        )
        return None

    def _deadline_s(
        self, request: CallerRequest, route: TableRoute, fields: RequestHead
    ) -> float:
        """Return the monotonic time until which a request may take."""
        time_left_s = route.timeout_s
        if fields.time_left_s is not None:
            time_left_s = min(time_left_s, fields.time_left_s)
        return request.begun_s + time_left_s

    def _open(
        self,
        exchange: Exchange,
        table: RouteTable,
        route: TableRoute,
        fields: RequestHead,
        parent: LocalCall | None,
        identity: CallerIdentity,
    ) -> ForwardedRequest:
        """Return a request with its service, deadline and rank."""
        request = exchange.request
        head = fields.head
        if identity.name:
            head = with_organisation(head, self._names, identity.name)
        forwarded = ForwardedRequest(
            exchange,
            route,
            self._split.next_service(route.parts),
            fields.request_id,
            self._deadline_s(request, route, fields),
        )
        forwarded.parent = parent
        forwarded.call = MeshCall(
            id=0,
            service=forwarded.service,
            instance="",
            route=route.name,
            rank=table.rank_of(route, identity.organisation)
            if parent is None
            else self._rank_of_call(table, route, parent),
            queue_timeout_ms=int(self._queue_timeout_s(route, parent) * 1000),
            time_left_ms=0,
            is_idempotent=route.is_idempotent,
            is_head=request.method == b"HEAD",
            kind=self._upstream.repeats.first_attempt_of(fields.request_id),
            n_done=0 if parent is None else parent.n_downstream_served,
            request_id=fields.request_id,
            fingerprint=fingerprint(
                request.method.decode("latin-1"),
                # A split or a new configuration may send it to other services.
                fields.host,
                request.target.decode("latin-1"),
                request.body,
            ),
            head=head,
            body_bytes=len(request.body),
            admitted_share=1.0 if parent is None else parent.call.admitted_share,
            organisation=identity.name if parent is None else parent.call.organisation,
        )
        return forwarded

    @switchable("queue_timeout", "calls wait for a slot until their deadline")
    def _queue_timeout_s(self, route: TableRoute, parent: LocalCall | None) -> float:
        if not self._switches.has("queue_timeout"):
            return route.timeout_s
        if parent is None:
            return route.target_latency_s * QUEUE_TIMEOUT_SHARE
        return route.target_latency_s * DOWNSTREAM_QUEUE_TIMEOUT_SHARE

    @switchable("action_rank", "calls of upstreams have the rank of their own route")
    def _rank_of_call(
        self, table: RouteTable, route: TableRoute, parent: LocalCall
    ) -> float:
        if self._switches.has("action_rank"):
            return parent.call.rank
        return table.rank_of(route, None)

    def _place(self, forwarded: ForwardedRequest) -> None:
        """Send the next attempt of a request."""
        if self._is_organisation_gone(forwarded):
            self._give_up(forwarded, Reason.KEY_INVALID, ORGANISATION_GONE)
            return
        time_left_s = forwarded.deadline_s - time.monotonic()
        if time_left_s < MIN_TIME_LEFT_S:
            self._give_up(
                forwarded, Reason.DEADLINE, "too little time left for an attempt"
            )
            return
        suspect = forwarded.call.fingerprint
        suspicion = self._quarantine.check(suspect)
        if suspicion is not None:
            self._give_up_suspect(forwarded, suspicion.detail)
            return
        instances = self._view.of_service(forwarded.service)
        if self._quarantine.is_on_probation(suspect):
            instance = self._choose_on_probation(forwarded, instances)
            if instance is None:
                detail = "no instance is open to a request that crashed upstreams"
                self._give_up_suspect(forwarded, detail)
                return
        else:
            instance = choose_instance(
                forwarded, instances, self._selector, self._is_suspect
            )
        if instance is None:
            detail = f"none of {len(instances)} instances is available"
            reason = Reason.NO_UPSTREAM
            if forwarded.answer is not None and forwarded.answer.reason is not None:
                reason = forwarded.answer.reason
                detail += f"; last answer: {forwarded.answer.detail}"
            self._give_up(forwarded, reason, detail)
            return
        forwarded.tried.append(instance.id)
        forwarded.n_placements += 1
        call = forwarded.call
        call.instance = instance.id
        call.time_left_ms = int(time_left_s * 1000)
        call.is_first_placement = forwarded.n_placements == 1
        # An instance whose host is leaving is chosen only if there is no other.
        n_untried = len(instances) - len(forwarded.tried)
        if self._selector.is_leaving(instance):
            n_untried = 0
        call.n_placements_left = n_placements_left(forwarded.n_placements, n_untried)
        sent = forwarded.sent = self._selector.note_sent(instance, forwarded.route.name)
        self._records.placed(sent)
        forwarded.local = None
        body = forwarded.exchange.request.body

        def on_answer(answer: MeshAnswer) -> None:
            self._on_answer(forwarded, sent, answer)

        if instance.ip == self._ip:
            local = self._upstream.run(call, body, on_answer)
            if not local.is_over:
                forwarded.local = local
        else:
            self._links.call(instance.ip, call, body, on_answer)

    def _choose_on_probation(
        self, forwarded: ForwardedRequest, instances: ServiceInstances
    ) -> Instance | None:
        """Return the instance for the only attempt of a request after its quarantine.

        Hosts open in an order that all daemons know, so that all copies meet at the
        first one, where one of them runs at a time.

        Args:
            forwarded: The request.
            instances: Instances of its service.
        """
        if forwarded.tried:
            return None
        suspect = forwarded.call.fingerprint
        waits_s = {
            item.id: self._quarantine.wait_s(suspect, item.ip) for item in instances
        }
        is_open = [item for item in instances if waits_s[item.id] <= 0]
        for instance in sorted(is_open, key=lambda item: waits_s[item.id]):
            only = ServiceInstances([instance])
            if self._selector.choose(only, (), self._is_suspect) is not None:
                return instance
        return None

    def _give_up_suspect(self, forwarded: ForwardedRequest, detail: str) -> None:
        """Refuse a request that crashed upstreams.

        Callers come back after the end of its quarantine, not all at once.

        Args:
            forwarded: The request.
            detail: One sentence for a person.
        """
        suspect = forwarded.call.fingerprint
        suspicion = self._quarantine.check(suspect)
        if suspicion is not None:
            wait_s = suspicion.retry_after_s
        else:
            instances = self._view.of_service(forwarded.service)
            waits_s = (self._quarantine.wait_s(suspect, item.ip) for item in instances)
            wait_s = min(waits_s, default=0.0)
        retry_after_s = None
        if wait_s > 0:
            jitter_s = self._rng.uniform(0.0, self._quarantine.spread_s(suspect))
            retry_after_s = wait_s + jitter_s
        self._give_up(forwarded, Reason.QUARANTINED, detail, retry_after_s)

    def _is_organisation_gone(self, forwarded: ForwardedRequest) -> bool:
        """Return whether the organisation of a caller's request was removed since."""
        if forwarded not in self._of_organisations:
            return False
        organisations = self._table().organisations
        if organisations is None:
            return False
        return organisations.by_name(forwarded.call.organisation) is None

    def _on_answer(
        self, forwarded: ForwardedRequest, sent: SentCall, answer: MeshAnswer
    ) -> None:
        """Record the answer to an attempt and take the next step."""
        self._selector.note_answer(sent, answer)
        if forwarded.exchange.is_done:
            return
        forwarded.answer = answer
        if answer.room is not None:
            forwarded.rooms.append(answer.room)
        if answer.was_sent:
            forwarded.n_arrivals += 1
            forwarded.reached.add(sent.instance.id)
            if answer.verdict is Verdict.NOT_RUN:
                forwarded.rejected.add(sent.instance.id)
            else:
                forwarded.rejected.discard(sent.instance.id)
        if answer.verdict is Verdict.MAY_HAVE_RUN:
            forwarded.may_have_run = True
        elif answer.verdict is Verdict.RAN:
            forwarded.may_have_run = True
            self._keep_failed_answer(forwarded, answer)
            if self._quarantine.is_on_probation(forwarded.call.fingerprint):
                self._quarantine.note_success(forwarded.call.fingerprint)
        route = forwarded.route
        step = next_step(
            answer,
            route.is_idempotent,
            forwarded.n_placements,
            forwarded.n_arrivals,
            route.attempts_max,
            self._rejections_max,
        )
        if step is NextStep.RETRY:
            step = self._try_retry(forwarded, answer)
        if step is NextStep.RETURN_ANSWER:
            self._return_answer(forwarded, answer)
        elif answer.reason is Reason.QUARANTINED:
            self._give_up_suspect(forwarded, answer.detail)
        elif step is NextStep.GIVE_UP:
            self._give_up(forwarded, answer.reason, answer.detail)
        else:
            self._records.placed_again(forwarded, answer)
            self._place(forwarded)

    def _keep_failed_answer(
        self, forwarded: ForwardedRequest, answer: MeshAnswer | None
    ) -> None:
        """Keep a complete answer with a failure during a retry; count its memory."""
        if forwarded.failed_answer is not None:
            self._answers.release(len(forwarded.failed_answer.body))
        forwarded.failed_answer = answer
        if answer is not None:
            self._answers.hold(len(answer.body))

    def _try_retry(self, forwarded: ForwardedRequest, answer: MeshAnswer) -> NextStep:
        """Return ``RETRY`` if one is likely admitted, else how to end the request.

        The daemon beside the upstream that gets the retry decides.
        """
        call = forwarded.call
        call.kind = AttemptKind.RETRY
        if answer.repeat_share > self._upstream.repeats.reserved_share(call):
            self._n_retries[forwarded.service] += 1
            return NextStep.RETRY
        self._n_retries_refused[forwarded.service] += 1
        ran = answer.verdict is Verdict.RAN
        return NextStep.RETURN_ANSWER if ran else NextStep.GIVE_UP

    def _return_answer(self, forwarded: ForwardedRequest, answer: MeshAnswer) -> None:
        forwarded.timer.cancel()
        is_failure = answer.status >= 500
        self._keep_failed_answer(forwarded, None)
        self._answer_lengths.note(forwarded.route.name, len(answer.body))
        self._note_end(forwarded, is_failure and answer.is_load, not is_failure)
        self._records.answered(forwarded, answer)
        forwarded.exchange.respond(answer.status, answer.head, answer.body)

    def _give_up(
        self,
        forwarded: ForwardedRequest,
        reason: Reason | None,
        detail: str,
        retry_after_s: float | None = None,
    ) -> None:
        """End a request for which no attempt succeeded.

        The caller gets the last complete answer if there is one, else a refusal.

        Args:
            forwarded: The request.
            reason: Why the request is given up.
            detail: One sentence for a person.
            retry_after_s: Seconds until it can be served, or None to estimate them
                from the last answer. Sent only if the request did not run.
        """
        if forwarded.failed_answer is not None:
            self._return_answer(forwarded, forwarded.failed_answer)
            return
        verdict = Verdict.NOT_RUN
        if forwarded.may_have_run:
            verdict = Verdict.MAY_HAVE_RUN
        self._end_quota(forwarded)
        if forwarded.timer is not None:
            forwarded.timer.cancel()
            is_load = forwarded.answer is not None and forwarded.answer.is_load
            self._note_end(forwarded, is_load or reason is Reason.DEADLINE)
        if verdict is not Verdict.NOT_RUN:
            retry_after_s = None
        elif retry_after_s is None:
            retry_after_s = self._retry_after_s(forwarded)
        status = status_of(verdict, reason)
        self._records.given_up(forwarded, verdict, reason, status, detail)
        self._answer_problem(forwarded.exchange, status, reason, retry_after_s)

    def _retry_after_s(self, forwarded: ForwardedRequest) -> float:
        answer = forwarded.answer
        wait_s = 0.0 if answer is None else answer.wait_ms / 1000
        time_left_s = forwarded.deadline_s - time.monotonic()
        return self._retry_after_within(wait_s, time_left_s)

    def _retry_after_within(self, wait_s: float, time_left_s: float) -> float:
        if not self._switches.has("retry_after"):
            return SHORTEST_S
        return mesh_retry_after_s(wait_s, time_left_s, self._rng)

    def _note_end(
        self,
        forwarded: ForwardedRequest,
        is_load_failure: bool,
        is_served: bool = False,
    ) -> None:
        """Report the end of an admitted request to its parent call or the throttle."""
        answer = forwarded.answer
        self._of_organisations.discard(forwarded)
        if forwarded.parent is not None:
            forwarded.parent.note_downstream_call(
                forwarded.service,
                answer,
                forwarded.rooms,
                is_load_failure,
                is_served,
            )
        else:
            call = forwarded.call
            self._throttle.note_end(
                call.route, forwarded.rooms, call.rank, call.organisation
            )

    def _answer_problem(
        self,
        exchange: Exchange,
        status: int,
        reason: Reason | None,
        retry_after_s: float | None,
        headers: bytes = b"",
    ) -> None:
        """Send a refusal with its reason, ``Retry-After`` and further headers."""
        head = _JSON_HEADER + headers
        if retry_after_s is not None:
            head += b"Retry-After: %.3f\r\n" % retry_after_s
        body = b'{"reason":"%b"}' % str(reason).encode()
        exchange.respond(status, head, body)

    def _on_deadline(self, forwarded: ForwardedRequest) -> None:
        """End a request at its deadline."""
        if forwarded.exchange.is_done:
            return
        if forwarded.sent is not None:
            self._selector.note_timeout(forwarded.sent)
        if forwarded.credit_wait is not None:
            forwarded.timer = None
        self._cancel_attempt(forwarded)
        self._give_up(forwarded, Reason.DEADLINE, "no answer before the deadline")

    def _on_caller_gone(self, forwarded: ForwardedRequest) -> None:
        """Give up a request whose caller closed the connection."""
        forwarded.timer.cancel()
        if forwarded.credit_wait is None:
            self._note_end(forwarded, False)
        self._records.caller_gone(forwarded)
        self._keep_failed_answer(forwarded, None)
        self._cancel_attempt(forwarded)
        self._end_quota(forwarded)

    def _cancel_attempt(self, forwarded: ForwardedRequest) -> None:
        """Cancel the attempt in progress; note whether it may have run."""
        sent = forwarded.sent
        if sent is None:
            return
        self._selector.note_cancelled(sent)
        if forwarded.local is None:
            was_sent = self._links.cancel(sent.instance.ip, forwarded.call)
        else:
            was_sent = forwarded.local.is_sent
            forwarded.local.cancel()
        forwarded.may_have_run |= was_sent
