"""HTTP requests to the local upstream and classification of their results."""

from __future__ import annotations

import attrs
from result import Err, Ok, Result

from ..protocol.frames import Call
from ..protocol.request import Response
from ..protocol.upstream_http import UpstreamRequest
from ..state.policies import ServicePolicy
from ..verdict import Reason, Refusal, Verdict
from .hops import Hop

__all__ = ["classify_result", "is_dropped", "is_late_downstream", "upstream_request"]

SHED_RETRY_AFTER_S = 0.5


def upstream_request(call: Call, hop: Hop, service: ServicePolicy) -> UpstreamRequest:
    """Return the HTTP request for a call."""
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


def classify_result(
    result: Result[Response, Refusal], hop: Hop, service: ServicePolicy
) -> Result[Response, Refusal]:
    """Return the result, classified by what the calls of the hop encountered.

    A shedding status means that nothing ran only if the upstream made no downstream
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
            retry_after_s=SHED_RETRY_AFTER_S,
            is_load=True,
            status=response.status,
        )
        return Err(refusal)
    if hop.refusal is not None and response.status >= 500:
        downstream_refusal = attrs.evolve(hop.refusal, from_downstream=True)
        return Ok(attrs.evolve(response, downstream_refusal=downstream_refusal))
    return result


def is_dropped(result: Result[Response, Refusal]) -> bool:
    """Return whether the upstream itself shed the request or timed out on it."""
    if isinstance(result, Ok):
        return False
    return result.err_value.reason in (Reason.OVERLOAD, Reason.DEADLINE)


def is_late_downstream(result: Result[Response, Refusal], hop: Hop) -> bool:
    """Return whether the deadline passed after downstream calls were made.

    That does not show that this upstream has too many requests.
    """
    if isinstance(result, Ok) or result.err_value.reason is not Reason.DEADLINE:
        return False
    return hop.n_calls > 0
