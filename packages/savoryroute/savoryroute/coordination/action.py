"""Actions: requests with their route, class, deadline and attempt allowance."""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from ..protocol import headers
from ..protocol.request import Request
from ..state.document import Document
from ..state.policies import ClassPolicy, Route
from ..state.quarantine import fingerprint
from ..verdict import Reason, Refusal
from .admission_level import LevelKey, request_shape
from .allowance import Allowance
from .hops import Hop

__all__ = ["Action", "ActionOpener"]


@attrs.define
class Action:
    """One request, with what it inherits from its hop or gets at the first hop.

    Attributes:
        request: The request.
        document: Active document when the request arrived.
        route: Route that the request matched.
        policy: Policy of the class of the whole action.
        id: Id of the action.
        key: Idempotency key, or an empty string.
        deadline_s: Monotonic time of the deadline.
        allowance: Deliveries that the action may still cause.
        depth: Number of hops on the caller side, 0 at the first hop.
        traceparent: W3C trace context.
        fingerprint: Digest of the request's content.
        hop: Hop that the request belongs to, or None at the first hop.
        tried: Hosts that refused the request or failed.
        n_lost: Attempts whose connection was lost.
        is_target_fenced: Whether the owner of the action to cancel has fenced or
            finished it; False if the same host owns the cancellation.
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
    is_target_fenced: bool = False

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()

    @property
    def level_key(self) -> LevelKey:
        """Key of the downstream call chain that the action takes."""
        shape = request_shape(self.request.target)
        return LevelKey(self.request.service, self.policy.name, shape)


class ActionOpener:
    """Opens an action for each request, by the rules of the active document."""

    def __init__(self, document: Callable[[], Document | None]) -> None:
        self._document = document

    def open(self, request: Request, hop: Hop | None) -> Result[Action, Refusal]:
        """Find the route and class of a request.

        Args:
            request: The request.
            hop: Hop whose upstream sent the request, or None at the first hop.

        Returns:
            The action, or why the request is refused at once.
        """
        document = self._document()
        if document is None:
            return Err(
                Refusal.not_run(Reason.NOT_READY, "no document is active yet", 1.0)
            )
        service = document.services.get(request.service)
        if service is None:
            detail = f"service {request.service!r:.60} is not in the active document"
            return Err(Refusal.not_run(Reason.UNKNOWN_SERVICE, detail))
        route = service.find_route(request.method, request.path)
        if route is None:
            detail = f"{request.service} has no route for {request.method} "
            return Err(
                Refusal.not_run(Reason.UNKNOWN_ROUTE, detail + f"{request.path!r:.80}")
            )
        class_name = route.class_name if hop is None else hop.class_name
        policy = document.classes.get(class_name)
        if policy is None:
            detail = f"class {class_name!r} is no longer in the active document"
            return Err(Refusal.not_run(Reason.NOT_READY, detail, 1.0))
        return Ok(self._make_action(request, document, route, policy, hop))

    def _make_action(
        self,
        request: Request,
        document: Document,
        route: Route,
        policy: ClassPolicy,
        hop: Hop | None,
    ) -> Action:
        """Return the action with its deadline, allowance and id.

        A call of an upstream takes these from its hop, a request of a caller from its
        class, route and headers.
        """
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
        return Action(
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
