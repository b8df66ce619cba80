"""Messages between daemons and their CBOR encoding.

The daemon of ``savoryroute.daemon`` uses these frames over WebSocket connections. The
daemon on the platform uses those of ``mesh_frames`` instead.
"""

from __future__ import annotations

from typing import Any, ClassVar, get_type_hints

import attrs
import cbor2

from ..errors import FrameError
from ..registry import Registry

__all__ = [
    "FRAMES",
    "FRAME_BYTES_MAX",
    "Answer",
    "Call",
    "Cancel",
    "DocumentFrame",
    "DocumentRequest",
    "Fence",
    "FenceAnswer",
    "Frame",
    "Goodbye",
    "Heartbeat",
    "Hello",
    "decode",
    "encode",
]

# Above the 8 MiB allowed for the payload of a document and for the body of a call or an
# answer.
FRAME_BYTES_MAX = 9 * 1024 * 1024
DEPTH_MAX = 8

FRAMES: Registry[type[Frame]] = Registry("frame")


class Frame:
    """Base of all messages between daemons.

    A frame is encoded as a CBOR array: its code, then its fields in order.
    """

    code: ClassVar[int]
    field_types: ClassVar[tuple[tuple[str, type], ...]]


def _frame(code: int):
    """Return a decorator that turns a class into a frozen frame and registers it."""

    def decorate(cls: type) -> type:
        cls = attrs.frozen(cls)
        hints = get_type_hints(cls)
        cls.code = code
        cls.field_types = tuple(
            (field.name, _plain_type(hints[field.name])) for field in attrs.fields(cls)
        )
        return FRAMES.register(code)(cls)

    return decorate


def _plain_type(hint: Any) -> type:
    """Return the class to check a decoded value against."""
    return getattr(hint, "__origin__", hint)


@_frame(1)
class Hello(Frame):
    """First frame in each direction of a connection.

    Attributes:
        host: Name of the sending host.
        incarnation: Random number, drawn at each start of the sender.
        service: Service of the sender's upstream.
        failure_domain: Failure domain of the sender.
        region: Region of the sender.
        peers: Address at which the sender accepts peers, ``ip:port``.
        uptime_ms: Milliseconds since the sender started.
    """

    host: str
    incarnation: int
    service: str
    failure_domain: str
    region: str
    peers: str
    uptime_ms: int


@_frame(2)
class Call(Frame):
    """One attempt of a request, for the receiver's upstream.

    Attributes:
        id: Number of the call, unique within its connection.
        action: Identity of the action (idempotency key or trace id).
        key: Idempotency key, or an empty string.
        cancels: Key of the action that this one cancels, or an empty string.
        is_target_fenced: Whether the owner of ``cancels``, another host, has
            fenced or finished that action.
        class_name: Class of the action, the same on all its hops.
        time_left_ms: Milliseconds until the deadline.
        allowance: Deliveries to upstreams that this call may cause.
        depth: Number of hops on the caller side of this one.
        is_spill_over: Whether the call comes from another failure domain
            because that one had no capacity.
        traceparent: W3C trace context, or an empty string.
        method: HTTP method.
        target: Path and query within the service.
        headers: Further headers for the upstream, as flat name, value pairs.
        body: The complete body.
        was_lost: Whether an earlier attempt ended with a lost connection.
    """

    id: int
    action: str
    key: str
    cancels: str
    is_target_fenced: bool
    class_name: str
    time_left_ms: int
    allowance: int
    depth: int
    is_spill_over: bool
    traceparent: str
    method: str
    target: str
    headers: list[str]
    body: bytes
    was_lost: bool = False


@_frame(3)
class Answer(Frame):
    """Final answer to one call.

    Attributes:
        id: Number of the call.
        verdict: A ``Verdict`` value.
        reason: A ``Reason`` value, or an empty string for ``ran``.
        detail: One sentence, or an empty string.
        retry_after_ms: Milliseconds after which to retry, or 0.
        is_load: Whether the cause of a refusal was load.
        from_deep: Whether a hop downstream of the call's receiver refused.
        status: HTTP status of the upstream, or 0.
        headers: Headers of the upstream's answer, flat pairs.
        body: The complete body.
        allowance_left: Part of the call's allowance that was not used.
        level: Lowest admission level along the call chain, from 0 to 8, see
            ``coordination.admission_level``.
        n_in_flight: Requests in flight at the upstream of the call's receiver.
        limit: Concurrency limit of that upstream.
        n_queued: Requests waiting for that upstream.
    """

    id: int
    verdict: str
    reason: str
    detail: str
    retry_after_ms: int
    is_load: bool
    from_deep: bool
    status: int
    headers: list[str]
    body: bytes
    allowance_left: int
    level: float
    n_in_flight: int
    limit: int
    n_queued: int


@_frame(4)
class Cancel(Frame):
    """The sender no longer wants the answer to a call."""

    id: int


@_frame(5)
class Heartbeat(Frame):
    """Liveness signal with gossip about other hosts.

    Attributes:
        uptime_ms: Milliseconds since the sender started.
        rumours: Member updates, each an array as in
            ``state.member.MemberUpdate.pack``.
        suspects: Requests that were in flight when an upstream crashed, rows as in
            ``state.quarantine.Quarantine.export``.
        revisions: Revisions of the active documents, rows as in
            ``coordination.distribution.Distribution.revisions``; may be empty.
    """

    uptime_ms: int
    rumours: list[Any]
    suspects: list[Any]
    revisions: list[Any]


@_frame(6)
class DocumentRequest(Frame):
    """Request for a document newer than the sender's.

    Attributes:
        environment: ``production`` or ``trial``.
        have_revision: Revision that is active at the sender, 0 for none.
        whole: Whether the complete document is wanted instead of a difference.
    """

    environment: str
    have_revision: int
    whole: bool


@_frame(7)
class DocumentFrame(Frame):
    """A document, complete or as the difference from an older revision.

    Attributes:
        environment: ``production`` or ``trial``.
        revision: Revision of the document, as assigned by the platform.
        base_revision: Revision that the difference applies to, 0 for a complete
            document.
        digest: SHA-256 of the canonical CBOR of the resulting document.
        payload: CBOR of the complete document, or of the difference. Empty if the
            frame only states the revision that is active at the sender.
    """

    environment: str
    revision: int
    base_revision: int
    digest: bytes
    payload: bytes


@_frame(8)
class Goodbye(Frame):
    """The sender is leaving and takes no new calls."""

    host: str
    incarnation: int


@_frame(9)
class Fence(Frame):
    """Request to the owner of a key to make sure that its action never runs.

    Attributes:
        id: Number of the request, unique within its connection.
        key: Idempotency key.
        is_cancellation: Whether the fence is for a cancellation whose own key
            another host owns.
    """

    id: int
    key: str
    is_cancellation: bool


@_frame(10)
class FenceAnswer(Frame):
    """What the owner of a key knows after a fence, as a ``Verdict`` value."""

    id: int
    verdict: str


def encode(frame: Frame) -> bytes:
    """Return the CBOR encoding of a frame."""
    values = [frame.code]
    for name, _ in frame.field_types:
        values.append(getattr(frame, name))
    return cbor2.dumps(values)


def decode(data: bytes) -> Frame:
    """Return the frame in ``data``.

    Raises:
        FrameError: The bytes are too long, not CBOR, nested too deeply, of an
            unknown code, or a field is missing or has a wrong type.
    """
    if len(data) > FRAME_BYTES_MAX:
        raise FrameError(
            f"frame of {len(data)} bytes exceeds the {FRAME_BYTES_MAX} allowed"
        )
    try:
        values = cbor2.loads(data, max_depth=DEPTH_MAX, allow_indefinite=False)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise FrameError(f"frame is not valid CBOR: {error}") from error
    if type(values) is not list or not values:
        raise FrameError("frame is not a non-empty array")
    return _build(values)


def _build(values: list[Any]) -> Frame:
    """Return the frame for decoded values after checking each field."""
    code = values[0]
    if type(code) is not int or code not in FRAMES:
        raise FrameError(f"unknown frame code {code!r:.40}")
    cls = FRAMES.get(code)
    expected = cls.field_types
    if len(values) != len(expected) + 1:
        raise FrameError(f"{cls.__name__} does not have {len(expected)} fields")
    for (name, kind), value in zip(expected, values[1:], strict=True):
        if kind is float and type(value) is int:
            continue
        if type(value) is not kind:
            raise FrameError(f"{cls.__name__}.{name} is not of type {kind.__name__}")
    return cls(*values[1:])
