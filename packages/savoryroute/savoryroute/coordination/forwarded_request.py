"""One request on its way through the first hop."""

from __future__ import annotations

import asyncio

from ..protocol.mesh_frames import MeshAnswer, MeshCall
from ..state.fleet_view import Instance
from ..state.route_table import TableRoute
from ..transport.http_server import Exchange
from .instance_selector import SentCall
from .local_upstream import LocalCall

__all__ = ["ForwardedRequest"]


class ForwardedRequest:
    """One request from its arrival to its final answer.

    Attributes:
        exchange: The caller's request, to be answered once.
        route: Its route.
        service: Service that runs it, a part of a split route.
        request_id: Its identity.
        deadline_s: Monotonic time of its deadline.
        call: Frame of the present attempt.
        sent: The present attempt, or None before the first.
        local: The attempt, if it is at the own upstream.
        answer: End of the latest attempt.
        failed_answer: Whole answer that tells a failure, kept for want of a better.
        parent: Run at the own upstream that made the request, or None.
        tried: Identities of the instances that it has been to.
        n_placements: Attempts so far.
        n_arrivals: Attempts so far that reached an upstream.
        may_have_run: Whether one of the attempts may have run it.
        timer: Ends the request at its deadline.
    """

    __slots__ = (
        "answer",
        "call",
        "deadline_s",
        "exchange",
        "failed_answer",
        "local",
        "may_have_run",
        "n_arrivals",
        "n_placements",
        "parent",
        "request_id",
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
        self.parent: LocalCall | None = None
        self.tried: list[str] = []
        self.n_placements = 0
        self.n_arrivals = 0
        self.may_have_run = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def instance(self) -> Instance | None:
        """Where the present attempt is."""
        return None if self.sent is None else self.sent.instance
