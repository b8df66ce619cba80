"""Links to the daemons of other hosts: sends calls and receives their answers."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable
from typing import Any

import attrs

from ..protocol.body_transfer import BodySender, IncomingAnswers, inline_body
from ..protocol.mesh_frames import FrameKind, MeshAnswer, MeshCall
from ..state.body_budget import BodyBudget
from ..state.event_log import EventLog
from ..transport.frame_link import FrameLink
from ..verdict import Reason, Verdict
from .switches import switchable

__all__ = ["PeerLinks"]

DIAL_TIMEOUT_S = 0.6
# Time in seconds for which an unreachable host is not dialled again.
REDIAL_DELAY_S = 0.5
# Seconds without a frame after which a link with several calls in flight is pinged.
PING_AFTER_S = 0.15
# The same with a single call in flight, whose answer often takes as long.
PING_AFTER_SINGLE_CALL_S = 0.3
# Seconds without a frame after a ping, after which the peer gets no further calls:
# several round trips and the longest pauses of a healthy event loop.
SUSPECT_AFTER_S = 0.25
# Seconds without a frame after a ping, after which the link is closed: longer than the
# longest observed pause of a loaded peer.
LINK_TIMEOUT_S = 1.6

AnswerHandler = Callable[[MeshAnswer], None]


@attrs.frozen(eq=False)
class _QueuedCall:
    """A call that waits for its link to open."""

    call: MeshCall
    body: bytes
    on_answer: AnswerHandler


@attrs.define(eq=False)
class _Link:
    """A link that this daemon dialled.

    Attributes:
        connection: The connection to the peer.
        bodies: Sends the long bodies of calls.
        answers: Answers whose bodies are being received.
        pending: Answer handlers of the calls in flight by call number.
        next_id: Number of the next call on this link.
        pinged_s: Monotonic time of a ping that has not been answered, or None.
    """

    connection: FrameLink
    bodies: BodySender
    answers: IncomingAnswers = attrs.field(factory=IncomingAnswers)
    pending: dict[int, AnswerHandler] = attrs.field(factory=dict)
    next_id: int = 1
    pinged_s: float | None = None


class PeerLinks:
    """Links to peers, by address of the peer's host.

    Args:
        port: Port on which daemons accept links, the same on all hosts.
        log: Event log.
        on_control_frame: Handles frames that are not about calls; gets the address of
            the peer, the connection and the frame.
        answers: Memory for the bodies of answers; without limit if None.
        frames: Memory for frames on their way; without limit if None.
    """

    def __init__(
        self,
        port: int,
        log: EventLog,
        on_control_frame: Callable[[str, FrameLink, list[Any]], None],
        answers: BodyBudget | None = None,
        frames: BodyBudget | None = None,
    ) -> None:
        self._port = port
        self._log = log
        self._on_control_frame = on_control_frame
        self._answers = BodyBudget(sys.maxsize) if answers is None else answers
        self._frames = frames
        self._links: dict[str, _Link] = {}
        self._dialling: dict[str, asyncio.Task] = {}
        self._queued: dict[str, list[_QueuedCall]] = {}
        self._queued_frames: dict[str, list[list[Any]]] = {}
        self._unreachable_until_s: dict[str, float] = {}

    @property
    def open_connections(self) -> dict[str, FrameLink]:
        """Open connections by address of the peer's host."""
        return {
            ip: link.connection
            for ip, link in self._links.items()
            if link.connection.is_open
        }

    @switchable("suspect_links", "hosts get calls although their link is silent")
    def is_suspect(self, ip: str) -> bool:
        """Return whether a host does not answer pings or was unreachable recently."""
        link = self._links.get(ip)
        if link is None:
            return time.monotonic() < self._unreachable_until_s.get(ip, 0.0)
        pinged_s = link.pinged_s
        return (
            pinged_s is not None
            and link.connection.last_read_s <= pinged_s
            and time.monotonic() - pinged_s > SUSPECT_AFTER_S
        )

    def call(
        self, ip: str, call: MeshCall, body: bytes, on_answer: AnswerHandler
    ) -> None:
        """Send a call; ``on_answer`` is called exactly once, possibly before returning.

        Args:
            ip: Address of the host.
            call: The call; this method sets its number.
            body: Its complete body.
            on_answer: Handles the answer of the peer, or a refusal by this daemon.
        """
        link = self._links.get(ip)
        if link is not None and link.connection.is_open:
            self._send(link, _QueuedCall(call, body, on_answer))
        elif ip in self._unreachable_until_s:
            # Dialled again in the background, so that no call waits for it.
            if time.monotonic() >= self._unreachable_until_s[ip]:
                self.dial(ip)
            on_answer(
                _unreachable(f"{ip} was unreachable at the last attempt to connect")
            )
        else:
            queued = _QueuedCall(call, body, on_answer)
            self._queued.setdefault(ip, []).append(queued)
            self.dial(ip)

    def send_frame(self, ip: str, frame: list[Any]) -> bool:
        """Send a frame that is not about calls, once a link is open.

        Returns:
            False if the host was unreachable at the last attempt to connect.
        """
        link = self._links.get(ip)
        if link is not None and link.connection.is_open:
            link.connection.send(frame)
            return True
        if ip not in self._unreachable_until_s:
            self._queued_frames.setdefault(ip, []).append(frame)
            self.dial(ip)
            return True
        if time.monotonic() >= self._unreachable_until_s[ip]:
            self.dial(ip)
        return False

    def cancel(self, ip: str, call: MeshCall) -> bool:
        """Cancel a call; its handler is not called any more.

        Returns:
            Whether the peer may have run it: it got the call with its complete body.
        """
        queued = self._queued.get(ip, [])
        for item in queued:
            if item.call is call:
                queued.remove(item)
                return False
        link = self._links.get(ip)
        if link is None or link.pending.pop(call.id, None) is None:
            return True
        self._answers.release(link.answers.drop(call.id))
        is_incomplete = link.bodies.stop(call.id)
        link.connection.send([FrameKind.CANCEL.value, call.id])
        return not is_incomplete

    def is_unsent(self, ip: str, call: MeshCall) -> bool:
        """Return whether a part of a call in progress has not been sent."""
        if any(item.call is call for item in self._queued.get(ip, [])):
            return True
        link = self._links.get(ip)
        if link is None or call.id not in link.pending:
            return False
        return link.bodies.is_unsent(call.id)

    def dial(self, ip: str) -> None:
        """Start to open a link to a host unless that is already under way."""
        if ip in self._dialling:
            return
        task = asyncio.get_running_loop().create_task(self._dial(ip))
        self._dialling[ip] = task
        task.add_done_callback(lambda _: self._dialling.pop(ip, None))

    def sweep(self) -> None:
        """Ping silent peers with calls in flight; close links whose ping timed out."""
        now_s = time.monotonic()
        for link in list(self._links.values()):
            if not link.pending:
                link.pinged_s = None
                continue
            if (
                link.pinged_s is not None
                and link.connection.last_read_s > link.pinged_s
            ):
                link.pinged_s = None
            if link.pinged_s is None:
                silence_s = now_s - link.connection.last_read_s
                if silence_s > max(
                    PING_AFTER_S, PING_AFTER_SINGLE_CALL_S / len(link.pending)
                ):
                    link.pinged_s = now_s
                    link.connection.send([FrameKind.PING.value])
            elif now_s - link.pinged_s > LINK_TIMEOUT_S:
                link.connection.abort()
                self._on_lost(link.connection)

    def keep_only(self, ips: set[str]) -> None:
        """Close links without calls in flight to all other hosts."""
        for ip, link in list(self._links.items()):
            if ip not in ips and not link.pending:
                link.connection.close()

    def close(self) -> None:
        """Close all links at once."""
        for task in list(self._dialling.values()):
            task.cancel()
        for link in list(self._links.values()):
            link.connection.abort()

    async def _dial(self, ip: str) -> None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: FrameLink(
                        self._on_frame, self._on_lost, self._on_bad, self._frames
                    ),
                    ip,
                    self._port,
                )
            if not connection.is_open:
                # Its loss came before the link was known, and is not reported again.
                raise ConnectionResetError("the connection was lost at once")
        except (OSError, TimeoutError) as error:
            self._unreachable_until_s[ip] = time.monotonic() + REDIAL_DELAY_S
            self._log.change("peer_unreachable", peer=ip, error=repr(error)[:120])
            detail = f"cannot open a link to {ip}: {error!r:.80}"
            self._queued_frames.pop(ip, None)
            for queued in self._queued.pop(ip, []):
                self._call_handler(queued.on_answer, _unreachable(detail))
            return
        connection.peer_ip = ip
        replaced = self._links.get(ip)
        if replaced is not None:
            # Closed, but its loss was not reported yet.
            self._on_lost(replaced.connection)
        link = _Link(connection, BodySender(connection))
        self._links[ip] = link
        self._unreachable_until_s.pop(ip, None)
        self._log.change("peer_linked", peer=ip)
        for frame in self._queued_frames.pop(ip, []):
            connection.send(frame)
        for queued in self._queued.pop(ip, []):
            self._send(link, queued)

    def _send(self, link: _Link, queued: _QueuedCall) -> None:
        call = queued.call
        call.id = link.next_id
        link.next_id += 1
        if not link.pending:
            # Silence is measured from the first call, not from the last answer.
            link.connection.last_read_s = time.monotonic()
        link.pending[call.id] = queued.on_answer
        inline = inline_body(queued.body)
        link.connection.send(call.to_frame(inline))
        if len(inline) < len(queued.body):
            link.bodies.start(call.id, queued.body)

    def _on_frame(self, connection: FrameLink, frame: list[Any]) -> None:
        if frame[0] == FrameKind.ANSWER:
            link = self._links.get(connection.peer_ip)
            if link is None or link.connection is not connection:
                return
            # Read first: a call whose answer cannot be read ends with its link.
            answer = MeshAnswer.from_frame(frame)
            if answer.id in link.answers:
                raise ValueError(f"call {answer.id} is answered twice")
            link.bodies.stop(answer.id)
            if answer.body_bytes == len(answer.body):
                self._deliver(link, answer)
            elif answer.id in link.pending:
                self._await_body(link, answer)
        elif frame[0] == FrameKind.BODY:
            link = self._links.get(connection.peer_ip)
            if link is None or link.connection is not connection:
                return
            answer = link.answers.add(frame[1], frame[2])
            if answer is not None:
                self._answers.release(answer.body_bytes)
                self._deliver(link, answer)
        elif frame[0] == FrameKind.PING:
            connection.send([FrameKind.PONG.value])
        elif frame[0] != FrameKind.PONG:
            self._on_control_frame(connection.peer_ip, connection, frame)

    def _await_body(self, link: _Link, answer: MeshAnswer) -> None:
        """Receive the body of an answer, if there is memory for it."""
        if self._answers.try_reserve(answer.body_bytes):
            link.answers.begin(answer)
            return
        link.connection.send([FrameKind.CANCEL.value, answer.id])
        answer.verdict = Verdict.MAY_HAVE_RUN
        answer.reason = Reason.BAD_ANSWER
        answer.detail = (
            f"no memory for an answer of {answer.body_bytes} bytes: answers take up"
            f" {self._answers.held_bytes} bytes"
        )
        self._deliver(link, answer)

    def _deliver(self, link: _Link, answer: MeshAnswer) -> None:
        """Pass an answer to the call that waits for it, if one does."""
        on_answer = link.pending.pop(answer.id, None)
        if on_answer is not None:
            self._call_handler(on_answer, answer)

    def _call_handler(self, on_answer: AnswerHandler, answer: MeshAnswer) -> None:
        """Call the handler of an answer; its failure must not affect other calls."""
        try:
            on_answer(answer)
        except Exception as error:
            self._log.request("answer_failed", "", error=repr(error)[:200])

    def _on_lost(self, connection: FrameLink) -> None:
        link = self._links.get(connection.peer_ip)
        if link is None or link.connection is not connection:
            return
        del self._links[connection.peer_ip]
        self._log.change(
            "peer_lost", peer=connection.peer_ip, n_calls=len(link.pending)
        )
        self._answers.release(link.answers.drop_all())
        pending, link.pending = link.pending, {}
        for call_id, on_answer in pending.items():
            lost = _lost(connection.peer_ip, link.bodies.stop(call_id))
            self._call_handler(on_answer, lost)

    def _on_bad(self, detail: str) -> None:
        self._log.change("peer_sent_bad_frame", detail=detail)


def _lost(ip: str, is_incomplete: bool) -> MeshAnswer:
    """Return the answer to a call whose link was lost.

    Args:
        ip: Address of the peer.
        is_incomplete: Whether a part of the body was not sent, so that the peer cannot
            have started the call.
    """
    if is_incomplete:
        detail = f"the link to {ip} was lost before the complete body was sent"
        return MeshAnswer(0, Verdict.NOT_RUN, Reason.CONNECTION_LOST, detail)
    detail = f"the link to {ip} was lost during the call"
    return MeshAnswer(
        0, Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, detail, was_sent=True
    )


def _unreachable(detail: str) -> MeshAnswer:
    return MeshAnswer(0, Verdict.NOT_RUN, Reason.UNREACHABLE, detail)
