"""Calls that peers send to the local upstream over links that they opened."""

from __future__ import annotations

import time
from typing import Any

from ..protocol.body_transfer import BodySender, IncomingBodies, inline_body
from ..protocol.mesh_frames import FrameKind, MeshAnswer, MeshCall
from ..state.body_budget import BodyBudget
from ..transport.frame_link import FrameLink
from ..verdict import Reason, Verdict
from .local_upstream import LocalCall, LocalUpstream

__all__ = ["PeerCalls"]

_Key = tuple[FrameLink, int]


class PeerCalls:
    """Runs the calls of peers once their bodies are complete, and answers them.

    A call that is refused for other reasons than the queue is refused when its head
    arrives, so that its body need not be sent.

    Args:
        upstream: The upstream on this host.
        bodies: Memory for request bodies.
        answers: Memory for the bodies of answers, which are held until they are sent.
    """

    def __init__(
        self, upstream: LocalUpstream, bodies: BodyBudget, answers: BodyBudget
    ) -> None:
        self._upstream = upstream
        self._bodies = bodies
        self._answers = answers
        self._senders: dict[FrameLink, BodySender] = {}
        self._incoming = IncomingBodies()
        self._running: dict[_Key, LocalCall] = {}

    @property
    def n_sending(self) -> int:
        """Answers of which a part is unsent."""
        return sum(map(len, self._senders.values()))

    def on_frame(self, link: FrameLink, frame: list[Any]) -> bool:
        """Handle a frame; return whether it was one about calls.

        Raises:
            ValueError: The frame violates the protocol.
            TypeError: The frame has a wrong number of items, or items of a wrong type.
        """
        kind = frame[0]
        if kind == FrameKind.CALL:
            self._take(link, *MeshCall.from_frame(frame))
        elif kind == FrameKind.BODY:
            complete = self._incoming.add((link, frame[1]), frame[2], time.monotonic())
            if complete is not None:
                self._run(link, *complete)
        elif kind == FrameKind.CANCEL:
            self._cancel((link, frame[1]))
        else:
            return False
        return True

    def on_lost(self, link: FrameLink) -> None:
        """Cancel the calls of a peer whose link was lost."""
        for key in [*self._running, *self._incoming.keys()]:
            if key[0] is link:
                self._cancel(key)
        sender = self._senders.pop(link, None)
        if sender is not None:
            sender.stop_all()

    def sweep(self) -> None:
        """Refuse the calls whose bodies are incomplete at their deadline."""
        for key in self._incoming.overdue(time.monotonic()):
            call = self._incoming.drop(key)
            self._bodies.release(call.body_bytes)
            detail = "the body did not arrive before the deadline"
            self._refuse(key[0], call, Reason.DEADLINE, detail)

    def _take(self, link: FrameLink, call: MeshCall, body: bytes) -> None:
        if call.time_left_ms <= 0:
            raise ValueError("a call has no time left before its deadline")
        if len(body) == call.body_bytes:
            self._bodies.try_reserve(len(body))
            self._run(link, call, body)
            return
        refused = self._upstream.check(call)
        if refused is not None:
            self._refuse(link, call, *refused)
        elif not self._bodies.try_reserve(call.body_bytes):
            detail = (
                f"no memory for a body of {call.body_bytes} bytes:"
                f" bodies take up {self._bodies.held_bytes} bytes"
            )
            self._refuse(link, call, Reason.OVERLOAD, detail)
        else:
            self._incoming.begin((link, call.id), call, time.monotonic())

    def _run(self, link: FrameLink, call: MeshCall, body: bytes) -> None:
        """Run a call whose body is complete and has memory reserved."""
        key = (link, call.id)

        def answer(answer: MeshAnswer) -> None:
            self._running.pop(key, None)
            self._bodies.release(call.body_bytes)
            self._send_answer(link, answer)

        local = self._upstream.run(call, body, answer)
        if not local.is_over:
            self._running[key] = local

    def _send_answer(self, link: FrameLink, answer: MeshAnswer) -> None:
        """Send an answer, with a long body in pieces."""
        body = answer.body
        inline = inline_body(body)
        link.send(answer.to_frame(inline))
        if len(inline) == len(body) or not link.is_open:
            return
        sender = self._senders.get(link)
        if sender is None:
            sender = self._senders[link] = BodySender(link)
        self._answers.hold(len(body))
        n_bytes = len(body)
        sender.start(answer.id, body, lambda: self._answers.release(n_bytes))

    def _cancel(self, key: _Key) -> None:
        sender = self._senders.get(key[0])
        if sender is not None:
            sender.stop(key[1])
        local = self._running.pop(key, None)
        if local is not None:
            local.cancel()
            self._bodies.release(local.call.body_bytes)
            return
        call = self._incoming.drop(key)
        if call is not None:
            self._bodies.release(call.body_bytes)

    def _refuse(
        self, link: FrameLink, call: MeshCall, reason: Reason, detail: str
    ) -> None:
        is_load = reason in (Reason.OVERLOAD, Reason.DEADLINE)
        answer = MeshAnswer(call.id, Verdict.NOT_RUN, reason, detail, is_load=is_load)
        link.send(answer.to_frame())
