"""Attempts of an action: sending, retry budget, and recording of results."""

from __future__ import annotations

import time

from result import Err, Ok, Result

from ..protocol.frames import Answer, Call
from ..protocol.request import Response
from ..state.decisions import DecisionLog
from ..state.policies import RetryPolicy
from ..verdict import Reason, Refusal, Verdict
from .action import Action
from .admission_level import LevelMap
from .call_sender import CallSender, result_of
from .pause import PauseDetector
from .placement import Choice, Placement
from .retries import RetryBudget, may_retry

__all__ = ["RETRY_DELAY_S", "Attempts"]

# Seconds before a retry of a keyed action; no action is retried with less time left.
RETRY_DELAY_S = 0.02


class Attempts:
    """Sends attempts and holds the retry budget of each service."""

    def __init__(
        self,
        call_sender: CallSender,
        placement: Placement,
        levels: LevelMap,
        pause: PauseDetector,
        decisions: DecisionLog,
    ) -> None:
        self._call_sender = call_sender
        self._placement = placement
        self._levels = levels
        self._pause = pause
        self._decisions = decisions
        self._budgets: dict[str, tuple[RetryPolicy, RetryBudget]] = {}

    def note_first_attempt(self, action: Action) -> None:
        """Credit the retry budget of the service for a first attempt."""
        self._budget(action).note_first_attempt()

    def try_retry(self, action: Action, refusal: Refusal, n_attempts: int) -> bool:
        """Return whether one more attempt may be made, and take it from the budget.

        An attempt after ``LEAVING`` takes nothing from the budget.

        Args:
            action: The action.
            refusal: How the last attempt ended.
            n_attempts: Attempts made so far.
        """
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
        if refusal.reason is Reason.LEAVING:
            return True
        if not self._budget(action).try_retry():
            self._decisions.note(action.id, "not retried", "the budget is spent")
            return False
        return True

    async def send(self, action: Action, choice: Choice) -> Result[Response, Refusal]:
        """Send one attempt to a host and record its result.

        Args:
            action: The action; the attempt takes a part of its allowance.
            choice: Host to send it to.
        """
        self._pause.check()
        lent = action.allowance.lend()
        if lent == 0:
            detail = "the action has used up its allowance of attempts"
            return Err(Refusal.not_run(Reason.ALLOWANCE_SPENT, detail))
        host = choice.member.host
        call = self._to_call(action, choice, lent)
        self._decisions.note(action.id, "placed", host)
        self._placement.begin(host)
        started_s = time.monotonic()
        answer: Answer | None = None
        try:
            sent = await self._call_sender.send(choice.member, call)
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
            action.allowance.give_back(min(lent, answer.allowance_left))
            self._note_level(action, answer)
            result = result_of(answer)
        self._note_failure(action, host, result)
        return result

    def _note_level(self, action: Action, answer: Answer) -> None:
        """Record the admission level that an answer carries."""
        if answer.verdict is not Verdict.NOT_RUN or action.hop is not None:
            # A gate that refuses a call from a first hop has called nothing downstream,
            # so its answer says nothing about the levels there.
            self._levels.note(action.level_key, answer.level, time.monotonic())
        if action.hop is not None:
            action.hop.note_level(answer.level)

    def _note_failure(
        self, action: Action, host: str, result: Result[Response, Refusal]
    ) -> None:
        """Record what a failed attempt shows about the host and the request."""
        if isinstance(result, Ok):
            downstream = result.ok_value.downstream_refusal
            if downstream is not None and action.hop is not None:
                action.hop.refusal = downstream
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

    def _budget(self, action: Action) -> RetryBudget:
        """Return the retry budget of the service that the action calls."""
        service = action.request.service
        policy = action.document.retries
        entry = self._budgets.get(service)
        if entry is None or entry[0] != policy:
            budget = RetryBudget(
                policy.budget_ratio, policy.budget_minimum_per_s, time.monotonic
            )
            entry = self._budgets[service] = (policy, budget)
        return entry[1]

    def _to_call(self, action: Action, choice: Choice, lent: int) -> Call:
        """Return the frame of one attempt."""
        request = action.request
        return Call(
            id=0,
            action=action.id,
            key=action.key,
            cancels=request.cancels,
            is_target_fenced=action.is_target_fenced,
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
            was_lost=action.n_lost > 0,
        )
