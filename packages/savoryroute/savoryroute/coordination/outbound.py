"""Routes requests of callers and of the local upstream to the hosts that run them."""

from __future__ import annotations

import asyncio
import random
import time

import attrs
from result import Err, Ok, Result

from ..protocol.callers_http import Outcome
from ..protocol.request import Request, Response
from ..state.decisions import DecisionLog
from ..state.quarantine import Quarantine
from ..verdict import Reason, Refusal, Verdict
from .action import Action, ActionOpener
from .admission_level import LevelMap
from .attempts import RETRY_DELAY_S, Attempts
from .hops import HopTable
from .keys import KeyManager
from .placement import Choice, Placement
from .retry_after import spread_retry_after_s

__all__ = ["Outbound"]


class Outbound:
    """Runs each request as an action, at one or more hosts, to its outcome."""

    def __init__(
        self,
        opener: ActionOpener,
        attempts: Attempts,
        placement: Placement,
        levels: LevelMap,
        hops: HopTable,
        keys: KeyManager,
        quarantine: Quarantine,
        decisions: DecisionLog,
        rng: random.Random,
    ) -> None:
        self._opener = opener
        self._attempts = attempts
        self._placement = placement
        self._levels = levels
        self._hops = hops
        self._keys = keys
        self._quarantine = quarantine
        self._decisions = decisions
        self._rng = rng

    async def from_caller(self, request: Request) -> Outcome:
        """Serve the request of a caller."""
        action = self._opener.open(request, None)
        if isinstance(action, Err):
            refusal = await self._keys.confirm(request.key, action.err_value)
            return Outcome(Err(refusal))
        outcome = await self._serve(action.ok_value)
        self._note_refusal(outcome)
        return Outcome(
            outcome.result,
            outcome.action,
            outcome.key,
            outcome.next_key,
            action.ok_value.policy.name,
        )

    async def from_upstream(self, request: Request) -> Outcome:
        """Serve a call of the local upstream.

        The call belongs to the hop named in ``tracestate``; without one it starts
        a new action.
        """
        if not request.hop_id:
            return await self.from_caller(request)
        hop = self._hops.get(request.hop_id)
        if hop is None:
            return Outcome(
                Err(Refusal.not_run(Reason.BAD_REQUEST, "the parent request has ended"))
            )
        task = asyncio.current_task()
        assert task is not None
        hop.attach_task(task)
        hop.begin_call()
        try:
            action = self._opener.open(request, hop)
            if isinstance(action, Err):
                return Outcome(action)
            outcome = await self._serve(action.ok_value)
            self._note_refusal(outcome)
            return outcome
        finally:
            hop.end_call()

    def _note_refusal(self, outcome: Outcome) -> None:
        """Record why a request was refused."""
        if isinstance(outcome.result, Err):
            refusal = outcome.result.err_value
            what = f"told the caller {refusal.reason}: {refusal.verdict}"
            self._decisions.note(outcome.action, what, refusal.detail)

    async def _serve(self, action: Action) -> Outcome:
        """Run an action; the outcome may offer its caller a new key."""
        if action.time_left_s <= 0:
            refusal = Refusal.not_run(Reason.DEADLINE, "the deadline has passed")
            refusal = await self._keys.confirm(action.key, refusal)
            return Outcome(Err(refusal), action.id)
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
        if _is_new_key_offered(result.err_value):
            if action.hop is not None:
                action.hop.forget_sub_key(action.key)
            else:
                next_key = await self._mint_one(action)
        return Outcome(result, action.id, action.key, next_key)

    async def _mint_one(self, action: Action) -> str:
        keys = await self._keys.mint(action.request.service, 1, action.request.cancels)
        return keys[0] if keys else ""

    async def _ask_for_key(self, action: Action) -> Outcome:
        """Refuse a non-idempotent request without a key, and offer one."""
        key = await self._mint_one(action)
        if not key:
            detail = f"no host of {action.request.service} is known"
            return Outcome(
                Err(Refusal.not_run(Reason.NO_UPSTREAM, detail, 1.0)), action.id
            )
        detail = "send the request again with this key, and use it for every retry"
        refused = Err(Refusal.not_run(Reason.KEY_REQUIRED, detail, 0.0))
        return Outcome(refused, action.id, next_key=key)

    async def _take_sub_key(self, action: Action) -> Err[Refusal] | None:
        """Set the key of a non-idempotent call of an upstream.

        Only a hop that itself runs at most once may make such a call. Any other hop
        may run again and would repeat the call.
        """
        hop = action.hop
        assert hop is not None
        if not hop.key:
            detail = "an idempotent request called a route that is not idempotent"
            return Err(Refusal.not_run(Reason.KEY_REQUIRED, detail))
        own_key = action.request.key
        key = hop.sub_key(own_key, action.fingerprint)
        if key is None:
            key = await self._mint_one(action)
            if not key:
                detail = f"no host of {action.request.service} is known"
                return Err(Refusal.not_run(Reason.NO_UPSTREAM, detail, 1.0))
            key = hop.keep_sub_key(own_key, action.fingerprint, key)
        action.key = key
        return None

    async def _run_keyed(self, action: Action) -> Result[Response, Refusal]:
        """Run an action at the owner of its key, the only host that may run it."""
        owner = self._keys.owner_of(action.key)
        if isinstance(owner, Err):
            return owner
        choice = Choice(owner.ok_value, False)
        action.is_target_fenced = await self._keys.fence_target(
            action.key, action.request.cancels
        )
        n_attempts = 0
        lost: Err[Refusal] | None = None
        while True:
            n_attempts += 1
            result = await self._attempts.send(action, choice)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.reason is Reason.KEY_HOME_GONE and lost is not None:
                # A caller may replace a key whose owner was gone at the first
                # attempt. Here an earlier attempt may have run, so report that one.
                return lost
            if refusal.reason is Reason.CONNECTION_LOST:
                lost = result
            if refusal.verdict is Verdict.NOT_RUN and _is_refused_locally(refusal):
                result = Err(await self._keys.confirm(action.key, refusal))
            if not self._attempts.try_retry(action, refusal, n_attempts):
                return result
            await asyncio.sleep(RETRY_DELAY_S)

    async def _run_idempotent(self, action: Action) -> Result[Response, Refusal]:
        """Run an action at hosts of its service until it is answered or not retried."""
        quarantined = self._quarantine.check(action.fingerprint)
        if quarantined is not None:
            return Err(quarantined)
        verdict = Verdict.NOT_RUN
        last: Refusal | None = None
        self._attempts.note_first_attempt(action)
        n_attempts = 0
        while True:
            n_attempts += 1
            result = await self._place(action)
            if isinstance(result, Ok):
                return result
            refusal = result.err_value
            if refusal.reason is Reason.NO_UPSTREAM and last is not None:
                return Err(attrs.evolve(last, verdict=verdict))
            last = refusal
            if refusal.verdict is Verdict.MAY_HAVE_RUN:
                verdict = Verdict.MAY_HAVE_RUN
            if not self._attempts.try_retry(action, refusal, n_attempts):
                return Err(attrs.evolve(refusal, verdict=verdict))

    async def _place(self, action: Action) -> Result[Response, Refusal]:
        """Choose a host for one attempt and send the attempt."""
        document = action.document
        service = action.request.service
        choice = self._placement.choose(
            service,
            action.tried,
            document.ejection,
            document.spill_over.is_enabled,
        )
        if choice is None:
            detail = f"no untried host of {service} is available"
            retry_after_s = spread_retry_after_s(0.0, None, self._rng)
            return Err(Refusal.not_run(Reason.NO_UPSTREAM, detail, retry_after_s))
        if action.depth == 0 and not self._is_admitted_downstream(action):
            detail = f"{action.policy.name} is refused by a service downstream"
            retry_after_s = spread_retry_after_s(0.0, None, self._rng)
            refusal = Refusal(
                Verdict.NOT_RUN,
                Reason.OVERLOAD,
                detail,
                retry_after_s,
                is_load=True,
                from_downstream=True,
            )
            return Err(refusal)
        action.tried.append(choice.member.host)
        return await self._attempts.send(action, choice)

    def _is_admitted_downstream(self, action: Action) -> bool:
        """Return whether the services downstream are likely to admit a new action."""
        now_s = time.monotonic()
        key = action.level_key
        return self._levels.admits(key, action.policy.rank, now_s, self._rng)


def _is_refused_locally(refusal: Refusal) -> bool:
    """Return whether this daemon refused, and not the owner of the key."""
    return refusal.reason in (Reason.UNREACHABLE, Reason.ALLOWANCE_SPENT)


def _is_new_key_offered(refusal: Refusal) -> bool:
    """Return whether the caller of a refused keyed action gets a new key."""
    if refusal.reason is Reason.CANCELLED:
        return False
    return refusal.verdict is Verdict.NOT_RUN
