"""Requests of callers and of the host's upstream: from arrival to an outcome."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..protocol import headers
from ..protocol.callers_http import Outcome
from ..protocol.frames import Answer, Call
from ..protocol.request import Request, Response
from ..state.decisions import DecisionLog
from ..state.document import Document
from ..state.policies import ClassPolicy, Route
from ..state.quarantine import Quarantine, fingerprint
from ..verdict import Reason, Refusal, Verdict
from .allowance import Allowance
from .delivery import Delivery, result_of
from .hops import Hop, HopTable
from .keys import KeyRing
from .pause import PauseDetector
from .placement import Choice, Placement
from .pressure import PressureKey, PressureMap, request_shape
from .retries import RetryBudget, may_retry
from .retry_after import spread_retry_after_s

__all__ = ["Outbound"]

RETRY_DELAY_S = 0.02


@attrs.define
class _Action:
    """One request on its way, with what it inherits or is given.

    Attributes:
        request: The request.
        document: Document in force when it arrived.
        route: Route that it matched.
        policy: Class of the whole action.
        id: Identity of the action.
        key: Idempotency key, or an empty string.
        deadline_s: Monotonic time of the deadline.
        allowance: Deliveries that it may still cause.
        depth: Hops above.
        traceparent: W3C trace context.
        fingerprint: Digest of the request's content.
        hop: Hop that it belongs to, or None at the first hop.
        tried: Hosts that refused or failed it.
        n_lost: Attempts that ended with the loss of a connection.
    """

    request: Request
    document: Document
    route: Route
    policy: ClassPolicy
    id: str
    key: str
    deadline_s: float
    allowance: Allowance
    depth: int
    traceparent: str
    fingerprint: bytes
    hop: Hop | None
    tried: list[str] = attrs.field(factory=list)
    n_lost: int = 0

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()


class Outbound:
    """Router of requests to the hosts that run them."""

    def __init__(
        self,
        document: Callable[[], Document | None],
        delivery: Delivery,
        placement: Placement,
        pressure: PressureMap,
        hops: HopTable,
        keys: KeyRing,
        quarantine: Quarantine,
        pause: PauseDetector,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._document = document
        self._delivery = delivery
        self._placement = placement
        self._pressure = pressure
        self._hops = hops
        self._keys = keys
        self._quarantine = quarantine
        self._pause = pause
        self._decisions = decisions
        self._rng = rng
        self._budgets: dict[str, RetryBudget] = {}

    async def from_caller(self, request: Request) -> Outcome:
        """Serve the request of a caller."""
        action = self._open(request, None)
        if isinstance(action, Err):
            return Outcome(action)
        return await self._serve(action.ok_value)

    async def from_upstream(self, request: Request) -> Outcome:
        """Serve a further call of the host's own upstream.

        The call belongs to the hop named in ``tracestate``; without one it opens
        an action of its own.
        """
        if not request.hop_id:
            return await self.from_caller(request)
        hop = self._hops.get(request.hop_id)
        if hop is None:
            return Outcome(_not_run(Reason.BAD_REQUEST, "the request has ended"))
        task = asyncio.current_task()
        assert task is not None
        hop.adopt(task)
        hop.begin_call()
        try:
            action = self._open(request, hop)
            if isinstance(action, Err):
                return Outcome(action)
            return await self._serve(action.ok_value)
        finally:
            hop.end_call()

    def _open(self, request: Request, hop: Hop | None) -> Result[_Action, Refusal]:
        """Find the route and class of a request."""
        document = self._document()
        if document is None:
            return _not_run(Reason.NOT_READY, "no document is in force", 1.0)
        service = document.services.get(request.service)
        if service is None:
            detail = f"service {request.service!r:.60} is not in the document"
            return _not_run(Reason.UNKNOWN_SERVICE, detail)
        route = service.find_route(request.method, request.path)
        if route is None:
            detail = f"{request.service} has no route for {request.method} "
            return _not_run(Reason.UNKNOWN_ROUTE, detail + f"{request.path!r:.80}")
        class_name = route.class_name if hop is None else hop.class_name
        policy = document.classes.get(class_name)
        if policy is None:
            detail = f"class {class_name!r} is no longer in the document"
            return _not_run(Reason.NOT_READY, detail, 1.0)
        return Ok(self._inherit(request, document, route, policy, hop))

    def _inherit(
        self,
        request: Request,
        document: Document,
        route: Route,
        policy: ClassPolicy,
        hop: Hop | None,
    ) -> _Action:
        """Return the action with deadline, allowance and identity."""
        content = fingerprint(
            request.method, request.service, request.target, request.body
        )
        time_left_s = policy.timeout_s if hop is None else hop.time_left_s
        if request.time_left_s is not None:
            time_left_s = min(time_left_s, request.time_left_s)
        traceparent = request.traceparent if hop is None else hop.traceparent
        if not headers.trace_id_of(traceparent):
            traceparent = headers.new_traceparent()
        key = "" if route.is_idempotent else request.key
        trace_id = headers.trace_id_of(traceparent)
        return _Action(
            request=request,
            document=document,
            route=route,
            policy=policy,
            id=hop.action if hop is not None else key or trace_id,
            key=key,
            deadline_s=time.monotonic() + time_left_s,
            allowance=Allowance(policy.allowance) if hop is None else hop.allowance,
            depth=0 if hop is None else hop.depth,
            traceparent=traceparent,
            fingerprint=content,
            hop=hop,
        )

    async def _serve(self, action: _Action) -> Outcome:
        """Run an action and say how its caller may go on."""
        if action.time_left_s <= 0:
            refused = _not_run(Reason.DEADLINE, "no time is left")
            return Outcome(refused, action.id)
        if action.route.is_idempotent:
            return Outcome(await self._run_idempotent(action), action.id)
        if action.hop is not None:
            refused = await self._take_sub_key(action)
            if refused is not None:
                return Outcome(refused, action.id)
        elif not action.key:
            return await self._ask_for_key(action)
        result = await self._run_keyed(action)
        if isinstance(result, Ok):
            return Outcome(result, action.id, action.key)
        next_key = ""
        if result.err_value.verdict is Verdict.NOT_RUN and action.hop is None:
            next_key = await self._mint_one(action)
        return Outcome(result, action.id, action.key, next_key)

    async def _mint_one(self, action: _Action) -> str:
        keys = await self._keys.mint(action.request.service, 1, action.request.cancels)
        return keys[0] if keys else ""

    async def _ask_for_key(self, action: _Action) -> Outcome:
        """Refuse a non-idempotent request without a key, and offer one."""
        key = await self._mint_one(action)
        if not key:
            detail = f"no host of {action.request.service} is known"
            return Outcome(_not_run(Reason.NO_UPSTREAM, detail, 1.0), action.id)
        detail = "send the request again with this key, and each re-send with it too"
        refused = _not_run(Reason.KEY_REQUIRED, detail, 0.0)
        return Outcome(refused, action.id, next_key=key)

    async def _take_sub_key(self, action: _Action) -> Err[Refusal] | None:
        """Give a non-idempotent call of an upstream its key.

        Only a hop that itself runs at most once may make such a call: any other
        may be run again, and the call with it.
        """
        hop = action.hop
        assert hop is not None
        if not hop.key:
            detail = "an idempotent request called a route that is not"
            return _not_run(Reason.KEY_REQUIRED, detail)
        own_key = action.request.key
        key = hop.sub_key(own_key, action.fingerprint)
        if key is None:
            key = await self._mint_one(action)
            if not key:
                detail = f"no host of {action.request.service} is known"
                return _not_run(Reason.NO_UPSTREAM, detail, 1.0)
            hop.keep_sub_key(own_key, action.fingerprint, key)
        action.key = key
        return None

    async def _run_keyed(self, action: _Action) -> Result[Response, Refusal]:
        """Run an action at the home of its key, and nowhere else."""
        home = self._keys.home_of(action.key)
        if isinstance(home, Err):
            return home
        choice = Choice(home.ok_value, False)
        n_attempts = 0
        while True:
            n_attempts += 1
            result = await self._attempt(action, choice)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.verdict is Verdict.NOT_RUN and _is_own_word(refusal):
                # Nothing left this daemon, but another copy may be on its way.
                result = Err(await self._fence(action, refusal))
            if not self._shall_retry(action, refusal, n_attempts):
                return result
            await asyncio.sleep(RETRY_DELAY_S)

    async def _fence(self, action: _Action, refusal: Refusal) -> Refusal:
        """Return the refusal with what the home of the key says of it."""
        verdict = await self._keys.fence(action.key)
        if verdict is Verdict.NOT_RUN:
            return refusal
        return refusal.as_may_have_run()

    async def _run_idempotent(self, action: _Action) -> Result[Response, Refusal]:
        """Run an action at the hosts of its service until one answers."""
        quarantined = self._quarantine.check(action.fingerprint)
        if quarantined is not None:
            return Err(quarantined)
        verdict = Verdict.NOT_RUN
        self._budget(action).note_first_try()
        n_attempts = 0
        while True:
            n_attempts += 1
            result = await self._place(action)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
            if not self._shall_retry(action, refusal, n_attempts):
                return Err(attrs.evolve(refusal, verdict=verdict))

    async def _place(self, action: _Action) -> Result[Response, Refusal]:
        """Choose a host for one attempt and send it there."""
        document = action.document
        service = action.request.service
        choice = self._placement.choose(
            service,
            action.tried,
            document.ejection,
            document.spill_over.is_enabled,
        )
        if choice is None:
            detail = f"no host of {service} is left to try"
            retry_after_s = spread_retry_after_s(0.0, None, self._rng)
            return _not_run(Reason.NO_UPSTREAM, detail, retry_after_s)
        if action.depth == 0 and not self._is_admitted_below(action):
            detail = f"{action.policy.name} is refused along the chain below"
            retry_after_s = spread_retry_after_s(0.0, None, self._rng)
            refusal = Refusal(
                Verdict.NOT_RUN,
                Reason.OVERLOAD,
                detail,
                retry_after_s,
                is_load=True,
                from_deep=True,
            )
            return Err(refusal)
        action.tried.append(choice.member.host)
        return await self._attempt(action, choice)

    def _is_admitted_below(self, action: _Action) -> bool:
        """Return whether the chain below is likely to admit a new action."""
        key = _pressure_key(action)
        now_s = time.monotonic()
        return self._pressure.admits(key, action.policy.rank, now_s, self._rng)

    async def _attempt(
        self, action: _Action, choice: Choice
    ) -> Result[Response, Refusal]:
        """Send one attempt to a host and take note of how it went."""
        self._pause.check()
        lent = action.allowance.lend()
        if lent == 0:
            detail = "the action has used up its attempts"
            return _not_run(Reason.ALLOWANCE_SPENT, detail)
        host = choice.member.host
        call = self._to_call(action, choice, lent)
        self._decisions.note(action.id, "placed", host)
        self._placement.begin(host)
        started_s = time.monotonic()
        answer: Answer | None = None
        try:
            sent = await self._delivery.send(choice.member, call)
            if isinstance(sent, Ok):
                answer = sent.ok_value
        finally:
            latency_s = time.monotonic() - started_s
            self._placement.end(host, answer, latency_s)
        if answer is None:
            refusal = sent.err_value
            if refusal.verdict is Verdict.NOT_RUN:
                action.allowance.give_back(lent)
            result: Result[Response, Refusal] = sent
        else:
            action.allowance.give_back(answer.allowance_left)
            self._learn(action, answer)
            result = result_of(answer)
        self._note_failure(action, host, result)
        return result

    def _learn(self, action: _Action, answer: Answer) -> None:
        """Take note of the level that an answer carries."""
        key = _pressure_key(action)
        self._pressure.note(key, answer.level, time.monotonic())
        if action.hop is not None:
            action.hop.note_level(answer.level)

    def _note_failure(
        self, action: _Action, host: str, result: Result[Response, Refusal]
    ) -> None:
        """Keep what a failed attempt tells about the host and the request."""
        if isinstance(result, Ok):
            deep = result.ok_value.deep_refusal
            if deep is not None and action.hop is not None:
                action.hop.refusal = deep
            return
        refusal = result.err_value
        self._decisions.note(
            action.id, f"{refusal.reason}: {refusal.verdict}", refusal.detail
        )
        if refusal.is_load and action.hop is not None:
            action.hop.refusal = refusal
        if refusal.reason is Reason.CONNECTION_LOST:
            action.n_lost += 1
        self._placement.eject_if_failing(
            host, action.request.service, action.document.ejection
        )

    def _shall_retry(self, action: _Action, refusal: Refusal, n_attempts: int) -> bool:
        """Return whether one more attempt may be made, and pay for it."""
        policy = action.document.retries
        is_allowed = may_retry(
            refusal,
            action.route.is_idempotent,
            n_attempts,
            policy.attempts_per_hop,
            bool(action.key),
        )
        if not is_allowed or action.time_left_s <= RETRY_DELAY_S:
            return False
        if refusal.reason is Reason.NO_UPSTREAM:
            return False
        if action.n_lost >= action.document.quarantine.crashes:
            return False
        if not self._budget(action).try_retry():
            self._decisions.note(action.id, "not retried", "the budget is spent")
            return False
        return True

    def _budget(self, action: _Action) -> RetryBudget:
        """Return the retry budget of the service that the action is for."""
        service = action.request.service
        budget = self._budgets.get(service)
        if budget is None:
            policy = action.document.retries
            budget = RetryBudget(
                policy.budget_ratio, policy.budget_minimum_per_s, time.monotonic
            )
            self._budgets[service] = budget
        return budget

    def _to_call(self, action: _Action, choice: Choice, lent: int) -> Call:
        """Return the frame of one attempt."""
        request = action.request
        return Call(
            id=0,
            action=action.id,
            key=action.key,
            cancels=request.cancels,
            class_name=action.policy.name,
            time_left_ms=max(0, int(action.time_left_s * 1000)),
            allowance=lent,
            depth=action.depth,
            is_spill_over=choice.is_spill_over,
            traceparent=action.traceparent,
            method=request.method,
            target=request.target,
            headers=list(request.headers),
            body=request.body,
        )


def _pressure_key(action: _Action) -> PressureKey:
    """Return the key of the chain that an action goes down."""
    request = action.request
    shape = request_shape(request.target)
    return PressureKey(request.service, action.policy.name, shape)


def _is_own_word(refusal: Refusal) -> bool:
    """Return whether this daemon itself refused, and not the home of the key."""
    return refusal.reason in (Reason.UNREACHABLE, Reason.ALLOWANCE_SPENT)


def _not_run(
    reason: Reason, detail: str, retry_after_s: float | None = None
) -> Err[Refusal]:
    return Err(Refusal(Verdict.NOT_RUN, reason, detail, retry_after_s))
