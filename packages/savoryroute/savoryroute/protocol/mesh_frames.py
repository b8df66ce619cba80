"""Frames between daemons that carry calls already written as HTTP.

The first hop writes the head of the request once; the daemon beside the upstream adds
only what it alone knows. Each frame is a CBOR array whose first item is its kind.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs

from ..verdict import Reason, Verdict

__all__ = ["FrameKind", "MeshAnswer", "MeshCall", "ViewRequest", "ViewUpdate"]

_VERDICTS = (Verdict.RAN, Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN)
_VERDICT_NUMBERS = {verdict: number for number, verdict in enumerate(_VERDICTS)}


class FrameKind(enum.IntEnum):
    """First item of each frame."""

    CALL = 1
    ANSWER = 2
    CANCEL = 3
    PING = 4
    PONG = 5
    LEAVING = 6
    VIEW_REQUEST = 7
    VIEW_UPDATE = 8
    SUSPECTS = 9


@attrs.define(slots=True)
class MeshCall:
    """One attempt of a request.

    Attributes:
        id: Number of the call on its link.
        service: Service that is to run it.
        instance: Identity of the upstream that alone may run it.
        route: Name of its route.
        rank: Importance, 0 the highest.
        queue_timeout_ms: Longest wait at the upstream in milliseconds.
        time_left_ms: Milliseconds to the deadline.
        is_idempotent: Whether the request is idempotent.
        is_head: Whether its method is HEAD.
        request_id: Identity that the upstream echoes.
        fingerprint: Digest under which equal requests are the same suspect.
        head: Request line and headers, without the empty line.
        body: The whole body.
    """

    id: int
    service: str
    instance: str
    route: str
    rank: int
    queue_timeout_ms: int
    time_left_ms: int
    is_idempotent: bool
    is_head: bool
    request_id: bytes
    fingerprint: bytes
    head: bytes
    body: bytes

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [
            FrameKind.CALL.value,
            self.id,
            self.service,
            self.instance,
            self.route,
            self.rank,
            self.queue_timeout_ms,
            self.time_left_ms,
            self.is_idempotent,
            self.is_head,
            self.request_id,
            self.fingerprint,
            self.head,
            self.body,
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> MeshCall:
        """Return the call in a frame.

        Raises:
            TypeError: The frame has another number of items.
        """
        return cls(*frame[1:])


@attrs.define(slots=True)
class MeshAnswer:
    """Final answer to a call.

    Attributes:
        id: Number of the call on its link.
        verdict: Whether the request ran.
        reason: Why there is no answer of the upstream; None if there is one.
        detail: One sentence for a person.
        was_sent: Whether the upstream got the request.
        status: HTTP status of the upstream, 0 if none.
        head: Header lines of the upstream's answer.
        body: The whole body.
        n_reported: Calls running and waiting at the upstream.
        limit: Slots of the upstream.
        wait_ms: Milliseconds that a new call would wait there.
        is_load: Whether it failed for want of capacity, here or further down.
        pressure: Load of the fullest line on the way, calls over slots.
    """

    id: int
    verdict: Verdict
    reason: Reason | None = None
    detail: str = ""
    was_sent: bool = False
    status: int = 0
    head: bytes = b""
    body: bytes = b""
    n_reported: int = 0
    limit: int = 0
    wait_ms: int = 0
    is_load: bool = False
    pressure: float = 0.0

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [
            FrameKind.ANSWER.value,
            self.id,
            _VERDICT_NUMBERS[self.verdict],
            None if self.reason is None else self.reason.value,
            self.detail,
            self.was_sent,
            self.status,
            self.head,
            self.body,
            self.n_reported,
            self.limit,
            self.wait_ms,
            self.is_load,
            round(self.pressure, 3),
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> MeshAnswer:
        """Return the answer in a frame.

        Raises:
            TypeError: The frame has another number of items.
            ValueError: An item has a value that is not known.
            IndexError: The verdict has a number that is not known.
        """
        answer = cls(*frame[1:])
        answer.verdict = _VERDICTS[frame[2]]
        answer.reason = None if frame[3] is None else Reason(frame[3])
        return answer


@attrs.frozen
class ViewRequest:
    """What a daemon knows; the peer answers with what is newer.

    Attributes:
        version: Version of the routes, -1 for none.
        revision: Revision of the list of instances.
    """

    version: int
    revision: int

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [FrameKind.VIEW_REQUEST.value, self.version, self.revision]


@attrs.frozen
class ViewUpdate:
    """What a peer knows that is newer.

    Attributes:
        version: Version of the routes, -1 if they are not newer.
        source: Text of that version as the platform published it.
        base: Revision from which the rows tell the changes, 0 if they are the whole
            list.
        revision: Revision of the list of instances, 0 if it is not newer.
        instances: Rows of the fields of instances.
        removed: Identities of those that have gone.
        age_ms: Milliseconds since the platform confirmed the list.
        retain_ms: Milliseconds for which removed entries may still come back, since
            the platform was away.
    """

    version: int
    source: bytes
    base: int
    revision: int
    instances: list[list[Any]]
    removed: list[str]
    age_ms: int
    retain_ms: int

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [FrameKind.VIEW_UPDATE.value, *attrs.astuple(self, recurse=False)]
