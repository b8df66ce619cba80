"""Calls that peers send to the local upstream over links that they opened."""

from __future__ import annotations

import time
from typing import Any

from ..protocol.body_transfer import BodySender, IncomingBodies, inline_body
from ..protocol.mesh_frames import FrameKind, MeshAnswer, MeshCall
from ..state.body_budget import SMALL_BODY_BYTES, BodyBudget
from ..transport.frame_link import FrameLink
from ..verdict import Reason, Verdict
from .local_upstream import LocalCall, LocalUpstream

__all__ = ["PeerCalls"]

# Memory of a call in progress beside its body and head.
CALL_OVERHEAD_BYTES = 2048

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
        # Memory of the calls without a long body, which uploads do not displace.
        self._small_bytes = 0

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
            self._release(call)
            detail = "the body did not arrive before the deadline"
            self._refuse(key[0], call, Reason.DEADLINE, detail)

    def _take(self, link: FrameLink, call: MeshCall, body: bytes) -> None:
        if call.time_left_ms <= 0:
            raise ValueError("a call has no time left before its deadline")
        if self._is_in_progress((link, call.id)):
            raise ValueError(f"call {call.id} is in progress already")
        is_complete = len(body) == call.body_bytes
        refused = None if is_complete else self._upstream.check(call)
        if refused is not None:
            self._refuse(link, call, *refused)
        elif not self._try_reserve(call):
            detail = (
                f"no memory for a call of {_cost(call)} bytes: bodies take up"
                f" {self._bodies.held_bytes} bytes, other calls {self._small_bytes}"
            )
            self._refuse(link, call, Reason.OVERLOAD, detail)
        elif is_complete:
            self._run(link, call, body)
        else:
            self._incoming.begin((link, call.id), call, time.monotonic())

    def _is_in_progress(self, key: _Key) -> bool:
        """Whether a call has not ended, or a part of its answer is unsent."""
        sender = self._senders.get(key[0])
        return (
            key in self._running
            or key in self._incoming
            or (sender is not None and sender.is_unsent(key[1]))
        )

    def _try_reserve(self, call: MeshCall) -> bool:
        """Reserve memory for a call; return whether there is any."""
        n_bytes = _cost(call)
        if _is_long(call):
            return self._bodies.try_reserve(n_bytes)
        if self._small_bytes + n_bytes > self._bodies.limit_bytes:
            return False
        self._small_bytes += n_bytes
        return True

    def _release(self, call: MeshCall) -> None:
        """Return the memory of a call."""
        if _is_long(call):
            self._bodies.release(_cost(call))
        else:
            self._small_bytes -= _cost(call)

    def _run(self, link: FrameLink, call: MeshCall, body: bytes) -> None:
        """Run a call whose body is complete and has memory reserved."""
        key = (link, call.id)

        def answer(answer: MeshAnswer) -> None:
            self._running.pop(key, None)
            self._release(call)
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
            self._release(local.call)
            return
        call = self._incoming.drop(key)
        if call is not None:
            self._release(call)

    def _refuse(
        self, link: FrameLink, call: MeshCall, reason: Reason, detail: str
    ) -> None:
        is_load = reason in (Reason.OVERLOAD, Reason.DEADLINE)
        answer = MeshAnswer(call.id, Verdict.NOT_RUN, reason, detail, is_load=is_load)
        link.send(answer.to_frame())


def _cost(call: MeshCall) -> int:
    """Return the memory in bytes that a call takes up while it is in progress."""
    return call.body_bytes + len(call.head) + CALL_OVERHEAD_BYTES


def _is_long(call: MeshCall) -> bool:
    """Return whether a call counts among the uploads."""
    return max(call.body_bytes, len(call.head)) > SMALL_BODY_BYTES
