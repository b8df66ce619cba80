"""Requests in progress at the local upstream, and what their calls inherit."""

from __future__ import annotations

import asyncio
import secrets
import time

import attrs

from ..verdict import Refusal
from .admission_level import HIGHEST_LEVEL
from .allowance import Allowance

__all__ = ["Hop", "HopTable"]


@attrs.define
class Hop:
    """One request while the upstream processes it.

    Attributes:
        id: Id of the hop, which the upstream passes on in ``tracestate``.
        action: Id of the action.
        key: Idempotency key, or an empty string.
        class_name: Class of the action.
        deadline_s: Monotonic time of the deadline.
        allowance: Deliveries that calls of this hop may still cause.
        depth: Position in the call chain, 1 for the upstream that a first hop calls.
        traceparent: W3C trace context.
        level: Lowest admission level that answers to calls of this hop reported.
        n_calls: Calls that the upstream made for this hop.
        n_calls_open: Calls of these that are in flight.
        refusal: Last refusal for load of a call of this hop, or None.
    """

    id: str
    action: str
    key: str
    class_name: str
    deadline_s: float
    allowance: Allowance
    depth: int
    traceparent: str
    level: float = HIGHEST_LEVEL
    n_calls: int = 0
    n_calls_open: int = 0
    refusal: Refusal | None = None
    _downstream_s: float = 0.0
    _downstream_began_s: float = 0.0
    _sub_keys: dict[tuple[str, bytes], str] = attrs.field(factory=dict)
    _tasks: set[asyncio.Task] = attrs.field(factory=set)

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()

    @property
    def downstream_s(self) -> float:
        """Seconds during which at least one downstream call was in flight."""
        if self.n_calls_open == 0:
            return self._downstream_s
        return self._downstream_s + time.monotonic() - self._downstream_began_s

    def begin_call(self) -> None:
        """Count the start of a downstream call."""
        self.n_calls += 1
        self.n_calls_open += 1
        if self.n_calls_open == 1:
            self._downstream_began_s = time.monotonic()

    def end_call(self) -> None:
        """Count the end of a downstream call."""
        self.n_calls_open -= 1
        if self.n_calls_open == 0:
            self._downstream_s += time.monotonic() - self._downstream_began_s

    def sub_key(self, own_key: str, fingerprint: bytes) -> str | None:
        """Return the key of an earlier call with the same content, or None.

        Args:
            own_key: Idempotency key that the upstream set itself.
            fingerprint: Digest of the content of the call.
        """
        return self._sub_keys.get((own_key, fingerprint))

    def keep_sub_key(self, own_key: str, fingerprint: bytes, key: str) -> str:
        """Record the key of a call of this hop unless one is recorded; return it."""
        return self._sub_keys.setdefault((own_key, fingerprint), key)

    def forget_sub_key(self, key: str) -> None:
        """Drop a fenced key, so that a retry of the call gets a new one."""
        for content, recorded in list(self._sub_keys.items()):
            if recorded == key:
                del self._sub_keys[content]

    def note_level(self, level: float) -> None:
        """Record the admission level that an answer reported."""
        self.level = min(self.level, level)

    def attach_task(self, task: asyncio.Task) -> None:
        """Cancel this task when the hop ends."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def end(self) -> None:
        """Cancel the calls still in flight."""
        for task in list(self._tasks):
            task.cancel()


class HopTable:
    """Open hops of this daemon by id."""

    def __init__(self) -> None:
        self._hops: dict[str, Hop] = {}

    def __len__(self) -> int:
        return len(self._hops)

    def open(
        self,
        action: str,
        key: str,
        class_name: str,
        time_left_s: float,
        allowance: int,
        depth: int,
        traceparent: str,
    ) -> Hop:
        """Open a hop.

        Args:
            action: Id of the action.
            key: Idempotency key, or an empty string.
            class_name: Class of the action.
            time_left_s: Seconds until the deadline.
            allowance: Deliveries that calls of the hop may cause.
            depth: Position in the call chain, 1 for the upstream that a first hop
                calls.
            traceparent: W3C trace context.
        """
        hop = Hop(
            id=secrets.token_hex(8),
            action=action,
            key=key,
            class_name=class_name,
            deadline_s=time.monotonic() + time_left_s,
            allowance=Allowance(allowance),
            depth=depth,
            traceparent=traceparent,
        )
        self._hops[hop.id] = hop
        return hop

    def get(self, hop_id: str) -> Hop | None:
        """Return an open hop, or None."""
        return self._hops.get(hop_id)

    def close(self, hop: Hop) -> None:
        """Close a hop and cancel its calls still in flight."""
        self._hops.pop(hop.id, None)
        hop.end()
