"""Test oracle: compares the results that callers got with the upstreams' executions."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import attrs

from savoryroute.verdict import Verdict

from .records import Execution, ExecutionState
from .tally import LogicalRequest, Outcome

__all__ = ["Findings", "find_violations"]


@attrs.define
class Findings:
    """Violations of the promises to callers, as ids of logical requests, and counts.

    docs/PROMISES.md lists the promises.

    Attributes:
        wrong: Requests answered with status 200 and a body that is incomplete or
            belongs to another request.
        ran_twice: Non-idempotent actions that started more than once.
        not_run_but_ran: Requests that ran although their caller got "not run".
        ran_cancelled: Cancelled actions that started after the complete answer to
            their cancellation.
        executions: Executions of non-idempotent actions by class.
        unended: Executions interrupted by a crash of their upstream.
        most_unended: Largest number of interrupted executions of one action.
        most_executions: Largest number of executions of one action on all hops.
    """

    wrong: list[str] = attrs.field(factory=list)
    ran_twice: list[str] = attrs.field(factory=list)
    not_run_but_ran: list[str] = attrs.field(factory=list)
    ran_cancelled: list[str] = attrs.field(factory=list)
    executions: Counter[str] = attrs.field(factory=Counter)
    unended: int = 0
    most_unended: int = 0
    most_executions: int = 0

    @property
    def is_clean(self) -> bool:
        """Whether no violation was found."""
        violations = (
            self.wrong,
            self.ran_twice,
            self.not_run_but_ran,
            self.ran_cancelled,
        )
        return not any(violations)


def find_violations(
    requests: Iterable[LogicalRequest], executions: Iterable[Execution]
) -> Findings:
    """Compare requests with executions.

    The header ``x-lab-request`` assigns an execution to a request; the ids of
    downstream calls extend the id of the request, separated by dots.
    """
    requests, executions = list(requests), list(executions)
    n_by_request = Counter(execution.request_id for execution in executions)
    keys = {execution.key for execution in executions if execution.key}
    unended = [e for e in executions if e.state is ExecutionState.STARTED]
    findings = Findings(
        unended=len(unended),
        most_unended=_max_executions_of_one_action(unended),
        most_executions=_max_executions_of_one_action(executions),
    )
    for request in requests:
        n_executions = n_by_request[request.request_id]
        if request.outcome is Outcome.WRONG:
            findings.wrong.append(request.request_id)
        if _ran_despite_not_run(request, n_executions, keys):
            findings.not_run_but_ran.append(request.request_id)
        if request.idempotent:
            continue
        findings.executions[request.class_name] += n_executions
        if n_executions > 1:
            findings.ran_twice.append(request.request_id)
    findings.ran_twice += _downstream_run_twice(executions)
    findings.ran_cancelled += _ran_cancelled(requests, executions)
    return findings


def _max_executions_of_one_action(executions: list[Execution]) -> int:
    named = (e.request_id for e in executions if e.request_id)
    roots = Counter(request_id.split(".")[0] for request_id in named)
    return max(roots.values(), default=0)


def _ran_despite_not_run(
    request: LogicalRequest, n_executions: int, keys: set[str]
) -> bool:
    if request.outcome is Outcome.REFUSED and n_executions:
        return True
    refused = (a for a in request.attempts if a.verdict is Verdict.NOT_RUN)
    return any(attempt.key in keys for attempt in refused if attempt.key)


def _downstream_run_twice(executions: list[Execution]) -> list[str]:
    """Return the downstream calls that ran more than once under one key."""
    downstream = (e for e in executions if e.key and "." in e.request_id)
    starts = Counter((e.key, e.request_id) for e in downstream)
    return [request_id for (_, request_id), count in starts.items() if count > 1]


def _ran_cancelled(
    requests: list[LogicalRequest], executions: list[Execution]
) -> list[str]:
    """Return the actions that started after their cancellation was answered."""
    cancellation_ended_s = {
        request.cancels: request.ended_s
        for request in requests
        if request.cancels and request.outcome is Outcome.COMPLETE
    }
    return [
        execution.request_id
        for execution in executions
        if execution.started_s
        > cancellation_ended_s.get(execution.request_id, math.inf)
    ]
