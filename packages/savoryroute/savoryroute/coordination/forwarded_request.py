"""State of one request at its first hop."""

from __future__ import annotations

import asyncio

from ..protocol.mesh_frames import MeshAnswer, MeshCall
from ..state.fleet_view import Instance
from ..state.route_table import TableRoute
from ..transport.caller_exchange import Exchange
from .instance_record import SentCall
from .local_upstream import LocalCall
from .quota_account import CreditWait

__all__ = ["ForwardedRequest"]


class ForwardedRequest:
    """One request at its first hop, from its arrival to its answer.

    Attributes:
        exchange: HTTP exchange with the caller, answered exactly once.
        route: Route that the request matched.
        service: Service that runs it, chosen by the traffic split of the route.
        request_id: Id of the request.
        deadline_s: Monotonic time of the deadline.
        call: Frame of the current attempt.
        sent: The current attempt, or None before the first.
        local: The current attempt if it is at the local upstream, else None.
        answer: Answer to the latest finished attempt, or None.
        rooms: Room reported in the answers to its attempts.
        failed_answer: Complete answer with a failure, sent if no attempt succeeds.
        parent: Call at the local upstream that made this request, or None.
        tried: Ids of the instances that have been tried.
        reached: Ids of the instances whose upstream got the request.
        rejected: Ids of those of them that rejected it without running it.
        n_placements: Attempts made so far.
        n_arrivals: Attempts made so far that reached an upstream.
        may_have_run: Whether one of the attempts may have run the request.
        timer: Ends the request at its deadline.
        credit_wait: Wait for a credit of the organisation's quota, or None.
        credit_expires_s: When its unused credit expires; None without one.
    """

    __slots__ = (
        "answer",
        "call",
        "credit_expires_s",
        "credit_wait",
        "deadline_s",
        "exchange",
        "failed_answer",
        "local",
        "may_have_run",
        "n_arrivals",
        "n_placements",
        "parent",
        "reached",
        "rejected",
        "request_id",
        "rooms",
        "route",
        "sent",
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
        self.sent: SentCall | None = None
        self.local: LocalCall | None = None
        self.answer: MeshAnswer | None = None
        self.failed_answer: MeshAnswer | None = None
        self.rooms: list[float] = []
        self.parent: LocalCall | None = None
        self.tried: list[str] = []
        self.reached: set[str] = set()
        self.rejected: set[str] = set()
        self.n_placements = 0
        self.n_arrivals = 0
        self.may_have_run = False
        self.timer: asyncio.TimerHandle | None = None
        self.credit_wait: CreditWait | None = None
        self.credit_expires_s: float | None = None

    @property
    def instance(self) -> Instance | None:
        """Instance of the current attempt, or None before the first."""
        return None if self.sent is None else self.sent.instance
