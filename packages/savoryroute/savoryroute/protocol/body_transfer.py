"""Transfer of long bodies of requests and answers between daemons, in pieces.

Load pattern: uploads share a link with small calls. A body in one frame keeps all
frames behind it waiting, pings included: on a link of 10 Mbit/s a body of 360 kB takes
0.3 s, after which the peer counts as unreachable. Pieces of all bodies take turns, and
other frames go ahead of the pieces that are not yet written.

The peer starts a call only with its complete body. A call whose last piece was not
written has therefore not run and never will.

An answer in one frame also takes up several times its length where it is encoded, sent,
received and decoded. Its pieces are written as the peer reads them.

Source: interleaving of messages by pieces as in HTTP/2 (RFC 9113, section 5).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Hashable
from typing import Any

import attrs

from ..state.body_budget import SMALL_BODY_BYTES
from ..transport.frame_link import FrameLink
from .mesh_frames import FrameKind, MeshAnswer, MeshCall

__all__ = ["BodySender", "IncomingAnswers", "IncomingBodies", "inline_body"]

PIECE_BYTES = 16 * 1024


def inline_body(body: bytes) -> bytes:
    """Return the part of a body that travels in the first frame: all or none."""
    return body if len(body) <= SMALL_BODY_BYTES else b""


@attrs.define(eq=False, slots=True)
class _Outgoing:
    """Body of one call, and the number of bytes that were written."""

    call_id: int
    body: bytes
    on_end: Callable[[], None] | None
    sent_bytes: int = 0


class BodySender:
    """Sends the bodies of calls on one link, one piece of each in turn.

    Args:
        link: The link; its frames are written ahead of waiting pieces.
    """

    def __init__(self, link: FrameLink) -> None:
        self._link = link
        self._outgoing: dict[int, _Outgoing] = {}
        self._turns: deque[_Outgoing] = deque()
        self._is_scheduled = False
        link.on_writable = self._schedule

    def __len__(self) -> int:
        return len(self._outgoing)

    def start(
        self, call_id: int, body: bytes, on_end: Callable[[], None] | None = None
    ) -> None:
        """Start to send a body after the first frame of its call or answer.

        Args:
            call_id: Number of the call.
            body: The complete body.
            on_end: Called once all of it is written, or it is stopped.
        """
        outgoing = _Outgoing(call_id, body, on_end)
        self._outgoing[call_id] = outgoing
        self._turns.append(outgoing)
        self._schedule()

    def stop(self, call_id: int) -> bool:
        """Stop sending a body; return whether a part of it was still unsent."""
        return self._end(call_id)

    def stop_all(self) -> None:
        """Stop sending, since the link was lost."""
        for call_id in list(self._outgoing):
            self._end(call_id)
        self._turns.clear()

    def is_unsent(self, call_id: int) -> bool:
        """Return whether a part of the body of a call is still unsent."""
        return call_id in self._outgoing

    def _end(self, call_id: int) -> bool:
        """Forget a body; return whether it was known."""
        outgoing = self._outgoing.pop(call_id, None)
        if outgoing is None:
            return False
        outgoing.body = b""
        if outgoing.on_end is not None:
            outgoing.on_end()
        return True

    def _schedule(self) -> None:
        """Write one piece in the next iteration of the loop, if the link takes it."""
        if self._turns and not self._is_scheduled and self._link.is_writable:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._send_piece)

    def _send_piece(self) -> None:
        self._is_scheduled = False
        if not self._turns or not self._link.is_writable:
            return
        outgoing = self._turns.popleft()
        if self._outgoing.get(outgoing.call_id) is outgoing:
            start = outgoing.sent_bytes
            piece = outgoing.body[start : start + PIECE_BYTES]
            outgoing.sent_bytes += len(piece)
            self._link.send([FrameKind.BODY.value, outgoing.call_id, piece])
            if outgoing.sent_bytes < len(outgoing.body):
                self._turns.append(outgoing)
            else:
                self._end(outgoing.call_id)
        self._schedule()


@attrs.define(eq=False, slots=True)
class _Incoming:
    """Call whose body is being received."""

    call: MeshCall
    deadline_s: float
    body: bytearray = attrs.field(factory=bytearray)


class IncomingBodies:
    """Calls whose bodies have not arrived in full, by link and number of the call."""

    def __init__(self) -> None:
        self._incoming: dict[Hashable, _Incoming] = {}

    def __len__(self) -> int:
        return len(self._incoming)

    def __contains__(self, key: Hashable) -> bool:
        return key in self._incoming

    def begin(self, key: Hashable, call: MeshCall, now_s: float) -> None:
        """Wait for the body of a call.

        Args:
            key: Link and number of the call.
            call: The call.
            now_s: Monotonic time in seconds.
        """
        self._incoming[key] = _Incoming(call, now_s + call.time_left_ms / 1000)

    def add(
        self, key: Hashable, piece: Any, now_s: float
    ) -> tuple[MeshCall, bytes] | None:
        """Add a piece; return the call and its body once the body is complete.

        Pieces of a call that was refused or cancelled meanwhile are ignored.

        Raises:
            ValueError: The pieces are longer than the announced body.
            TypeError: The piece is not a byte string.
        """
        incoming = self._incoming.get(key)
        if incoming is None:
            return None
        call = incoming.call
        if not _add_piece(incoming.body, piece, call.body_bytes):
            return None
        del self._incoming[key]
        call.time_left_ms = int((incoming.deadline_s - now_s) * 1000)
        return call, bytes(incoming.body)

    def drop(self, key: Hashable) -> MeshCall | None:
        """Forget a call; return it, or None if it was not waiting for its body."""
        incoming = self._incoming.pop(key, None)
        return None if incoming is None else incoming.call

    def keys(self) -> list[Hashable]:
        """Return the keys of all calls that wait for their bodies."""
        return list(self._incoming)

    def overdue(self, now_s: float) -> list[Hashable]:
        """Return the keys of the calls whose deadline has passed."""
        return [
            key
            for key, incoming in self._incoming.items()
            if now_s >= incoming.deadline_s
        ]


class IncomingAnswers:
    """Answers of one link whose bodies have not arrived in full, by number."""

    def __init__(self) -> None:
        self._incoming: dict[int, tuple[MeshAnswer, bytearray]] = {}

    def begin(self, answer: MeshAnswer) -> None:
        """Wait for the body of an answer."""
        self._incoming[answer.id] = (answer, bytearray())

    def __contains__(self, call_id: int) -> bool:
        return call_id in self._incoming

    def add(self, call_id: int, piece: Any) -> MeshAnswer | None:
        """Add a piece; return the answer once its body is complete.

        Pieces of an answer that is not waited for are ignored.

        Raises:
            ValueError: The pieces are longer than the announced body.
            TypeError: The piece is not a byte string.
        """
        incoming = self._incoming.get(call_id)
        if incoming is None:
            return None
        answer, body = incoming
        if not _add_piece(body, piece, answer.body_bytes):
            return None
        del self._incoming[call_id]
        answer.body = bytes(body)
        return answer

    def drop(self, call_id: int) -> int:
        """Forget an answer; return the length of its body, 0 if it is unknown."""
        incoming = self._incoming.pop(call_id, None)
        return 0 if incoming is None else incoming[0].body_bytes

    def drop_all(self) -> int:
        """Forget all answers; return the length of their bodies."""
        return sum(self.drop(call_id) for call_id in list(self._incoming))


def _add_piece(body: bytearray, piece: Any, body_bytes: int) -> bool:
    """Add a piece to a body; return whether it is complete.

    Raises:
        ValueError: The body is longer than ``body_bytes``.
        TypeError: The piece is not a byte string.
    """
    if type(piece) is not bytes:
        raise TypeError("a piece of a body is not a byte string")
    if len(body) + len(piece) > body_bytes:
        raise ValueError(f"a body is longer than its {body_bytes} bytes")
    body += piece
    return len(body) == body_bytes
