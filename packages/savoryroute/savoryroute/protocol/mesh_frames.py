"""Frames between daemons on the platform, which carry calls as serialized HTTP.

The first hop serializes the head of the request once; the daemon beside the upstream
only adds the headers that it alone knows. Each frame is a CBOR array whose first item
is its kind.
"""

from __future__ import annotations

import enum
from typing import Any

import attrs

from ..state.body_budget import SMALL_BODY_BYTES
from ..state.fleet_view import Instance
from ..verdict import Reason, Verdict
from .frame_fields import check_fields, check_types

__all__ = [
    "AttemptKind",
    "FrameKind",
    "Leaving",
    "MeshAnswer",
    "MeshCall",
    "ViewRequest",
    "ViewUpdate",
]

# Last fields of a ``ViewUpdate``, which only answers with a proof have.
N_PROOF_FIELDS = 3

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
    BODY = 10
    SUSPECTS_REQUEST = 11
    QUOTA_REQUEST = 12
    QUOTA_GRANT = 13
    QUOTA_RELEASE = 14


class AttemptKind(enum.IntEnum):
    """What an attempt is to the retry budget of the service that it is for."""

    # First attempt of a request of a caller.
    OF_CALLER = 0
    # First attempt of a call that a first run of an upstream made.
    OF_UPSTREAM = 1
    # First attempt of a call that a repeated run made.
    OF_REPEAT = 2
    RETRY = 3


@attrs.define(slots=True)
class MeshCall:
    """One attempt of a request.

    Attributes:
        id: Number of the call, unique on its link.
        service: Service that the call is for.
        instance: Identity of the only upstream instance that may run it.
        route: Name of its route.
        rank: Priority, 0 the highest.
        queue_timeout_ms: Longest wait for a slot of the upstream in milliseconds.
        time_left_ms: Milliseconds to the deadline.
        is_idempotent: Whether the request is idempotent.
        is_head: Whether the method is HEAD.
        kind: What it is to the retry budget.
        n_done: Calls that the run which makes this call has completed before.
        request_id: Identity of the request; the upstream echoes it.
        fingerprint: Digest by which the quarantine recognizes equal requests.
        head: Request line and headers, without the empty line.
        body_bytes: Length of the body. A short body follows in the frame, a long one
            in further frames (``body_transfer``).
        organisation: Name of the organisation of the action, or an empty string.
        n_placements_left: How often its first hop can place it elsewhere if no
            upstream got it.
        admitted_share: Share of the actions of its kind that its first hop admitted
            when it admitted this one, above 0 and at most 1.
        is_first_placement: Whether the request was not placed elsewhere before.
    """

    id: int
    service: str
    instance: str
    route: str
    rank: float
    queue_timeout_ms: int
    time_left_ms: int
    is_idempotent: bool
    is_head: bool
    kind: AttemptKind
    n_done: int
    request_id: bytes
    fingerprint: bytes
    head: bytes
    body_bytes: int
    organisation: str = ""
    n_placements_left: int = 0
    admitted_share: float = 1.0
    is_first_placement: bool = True

    @property
    def is_repeat(self) -> bool:
        """Whether it is a retry, or was made by a run that was one."""
        return self.kind >= AttemptKind.OF_REPEAT

    def to_frame(self, inline_body: bytes) -> list[Any]:
        """Return the frame.

        Args:
            inline_body: The complete body, or an empty string if it follows in further
                frames.
        """
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
            self.kind.value,
            self.n_done,
            self.request_id,
            self.fingerprint,
            self.head,
            self.body_bytes,
            self.organisation,
            self.n_placements_left,
            round(self.admitted_share, 3),
            self.is_first_placement,
            inline_body,
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> tuple[MeshCall, bytes]:
        """Return the call in a frame, and the body that is in the frame.

        Raises:
            TypeError: An item has a wrong type.
            ValueError: The number of items is wrong, or an item is out of range.
        """
        check_fields(cls, frame[1:-1])
        if type(frame[-1]) is not bytes:
            raise TypeError("the body of a call is not a byte string")
        call = cls(*frame[1:-1])
        _check_body(frame[-1], call.body_bytes)
        if not 0.0 < call.admitted_share <= 1.0:
            raise ValueError("an admitted share is not between 0 and 1")
        call.kind = AttemptKind(call.kind)
        return call, frame[-1]


@attrs.define(slots=True)
class MeshAnswer:
    """Final answer to a call.

    Attributes:
        id: Number of the call, unique on its link.
        verdict: Whether the request ran.
        reason: Why the upstream gave no answer; None if it gave one.
        detail: Explanation of the reason for humans, one sentence.
        was_sent: Whether the request was sent to the upstream.
        status: HTTP status of the upstream, 0 if none.
        head: Header lines of the upstream's answer.
        body: The complete body. In the frame only if it is short; a long one follows in
            further frames (``body_transfer``).
        n_reported: Calls running and waiting at the upstream when it answered.
        limit: Number of slots of the upstream.
        wait_ms: Milliseconds that a new call would wait for a slot.
        is_load: Whether it failed for lack of capacity, here or downstream.
        room: Share of the offered actions of its rank for which the upstreams along
            the call chain have capacity, above 1 with capacity to spare; None if
            unknown.
        is_leaving: Whether the upstream said that it is leaving.
        repeat_share: Share of the repeats left to the upstream and further downstream.
        work_time: Factor by which work takes longer at the upstream now than usual,
            as far as the daemon beside it sees that confirmed by service times.
        body_bytes: Length of the body.
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
    room: float | None = None
    is_leaving: bool = False
    repeat_share: float = 1.0
    work_time: float = 1.0
    body_bytes: int = 0

    def to_frame(self, inline_body: bytes = b"") -> list[Any]:
        """Return the frame.

        Args:
            inline_body: The complete body, or an empty string if it follows in further
                frames.
        """
        return [
            FrameKind.ANSWER.value,
            self.id,
            _VERDICT_NUMBERS[self.verdict],
            None if self.reason is None else self.reason.value,
            self.detail,
            self.was_sent,
            self.status,
            self.head,
            inline_body,
            self.n_reported,
            self.limit,
            self.wait_ms,
            self.is_load,
            None if self.room is None else round(self.room, 3),
            self.is_leaving,
            round(self.repeat_share, 3),
            round(self.work_time, 2),
            len(self.body),
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> MeshAnswer:
        """Return the answer in a frame.

        Raises:
            TypeError: An item has a wrong type.
            ValueError: The number of items is wrong, or an item is out of range.
            IndexError: The number of the verdict is not known.
        """
        check_fields(cls, frame[1:])
        answer = cls(*frame[1:])
        if min(answer.n_reported, answer.limit, answer.wait_ms) < 0:
            raise ValueError("a figure of the load is negative")
        _check_body(answer.body, answer.body_bytes)
        if answer.work_time <= 0.0:
            raise ValueError("a work time is not above 0")
        answer.verdict = _VERDICTS[frame[2]]
        answer.reason = None if frame[3] is None else Reason(frame[3])
        return answer


@attrs.frozen
class Leaving:
    """Announcement that the daemon of the sender stops.

    Attributes:
        serves_ms: Milliseconds for which it still takes calls for its upstream. A
            daemon of an older version leaves it out and takes none.
    """

    serves_ms: int = 0

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [FrameKind.LEAVING.value, self.serves_ms]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> Leaving:
        """Return the announcement in a frame.

        Raises:
            TypeError: An item has a wrong type.
            ValueError: The number of items is wrong, or an item is out of range.
        """
        check_fields(cls, frame[1:], n_optional=1)
        leaving = cls(*frame[1:])
        if leaving.serves_ms < 0:
            raise ValueError("the time left to a leaving host is negative")
        return leaving


@attrs.frozen
class ViewRequest:
    """Request for newer routes and instances than the sender has.

    Attributes:
        version: Version of the sender's routes, -1 for none.
        revision: Revision of the sender's list of instances.
        number: Number that the answer repeats, 0 and not in the frame if the sender's
            routes contain no organisations.
    """

    version: int
    revision: int
    number: int = 0

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        frame = [FrameKind.VIEW_REQUEST.value, self.version, self.revision]
        return [*frame, self.number] if self.number else frame

    @classmethod
    def from_frame(cls, frame: list[Any]) -> ViewRequest:
        """Return the request in a frame.

        Raises:
            TypeError: An item has a wrong type.
            ValueError: The number of items is wrong, or an item is out of range.
        """
        check_fields(cls, frame[1:], n_optional=1)
        request = cls(*frame[1:])
        if len(frame) > 3 and request.number < 1:
            raise ValueError("the number of a poll is below 1")
        return request


@attrs.frozen
class ViewUpdate:
    """Newer routes and instances, sent in reply or pushed to peers.

    Attributes:
        version: Version of the routes, -1 if they are not newer.
        source: Routes document of that version as the platform published it.
        base: Revision that the rows are changes to, 0 if they are the complete list.
        revision: Revision of the list of instances, 0 if it is not newer.
        instances: Added or changed instances, each a row of its fields.
        removed: Identities of the removed instances.
        age_ms: Milliseconds since the platform confirmed the list.
        retain_ms: Milliseconds during which removed instances are retained, since the
            platform was unreachable and they may come back.
        number: Number of the request that this answers with the age of a proof; 0, and
            with the other two not in the frame, if it has none.
        proof_version: Version of the routes that the sender has a proof for.
        proof_age_ms: Milliseconds since this proof, when the answer was made.
    """

    version: int
    source: bytes
    base: int
    revision: int
    instances: list[list[Any]]
    removed: list[str]
    age_ms: int
    retain_ms: int
    number: int = 0
    proof_version: int = -1
    proof_age_ms: int = 0

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        row = attrs.astuple(self, recurse=False)
        if not self.number:
            row = row[:-N_PROOF_FIELDS]
        return [FrameKind.VIEW_UPDATE.value, *row]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> ViewUpdate:
        """Return the update in a frame.

        Raises:
            TypeError: An item has a wrong type.
            ValueError: The number of items is wrong, or an item is out of range.
        """
        check_fields(cls, frame[1:], n_optional=N_PROOF_FIELDS)
        update = cls(*frame[1:])
        for row in update.instances:
            # The ranges are checked when the row is merged: one entry that another
            # program wrote must not cost the link to a daemon that took it.
            check_types(Instance, row)
        if any(type(id_) is not str for id_ in update.removed):
            raise TypeError("the identity of a removed instance is not a text")
        return update


def _check_body(inline_body: bytes, body_bytes: int) -> None:
    """Check the part of a body that is in the frame of its call or answer.

    Raises:
        ValueError: It is neither empty nor the complete body, or a long one.
    """
    if len(inline_body) not in (0, body_bytes) or body_bytes < 0:
        raise ValueError(f"a body is not as long as stated, {body_bytes} bytes")
    if len(inline_body) > SMALL_BODY_BYTES:
        raise ValueError("a long body is in the frame of its call or answer")
