"""Requests now at the host's upstream, and what their further calls inherit."""

from __future__ import annotations

import asyncio
import secrets
import time

import attrs

from ..verdict import Refusal
from .allowance import Allowance
from .pressure import HIGHEST_LEVEL

__all__ = ["Hop", "HopTable"]


@attrs.define
class Hop:
    """One request while the upstream works on it.

    Attributes:
        id: Identity that the upstream passes on in ``tracestate``.
        action: Identity of the action.
        key: Idempotency key, or an empty string.
        class_name: Class of the whole action.
        deadline_s: Monotonic time of the deadline.
        allowance: Deliveries that calls of this hop may cause.
        depth: Number of hops above this one.
        traceparent: W3C trace context.
        level: Lowest level met by calls of this hop.
        n_calls: Calls that the upstream made for this hop.
        n_calls_open: Those of them under way.
        refusal: Last refusal for load that a call of this hop met, or None.
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
        """Seconds during which calls of the upstream were under way."""
        if self.n_calls_open == 0:
            return self._downstream_s
        return self._downstream_s + time.monotonic() - self._downstream_began_s

    def begin_call(self) -> None:
        """Count a call of the upstream as under way."""
        self.n_calls += 1
        self.n_calls_open += 1
        if self.n_calls_open == 1:
            self._downstream_began_s = time.monotonic()

    def end_call(self) -> None:
        """Count a call of the upstream as ended."""
        self.n_calls_open -= 1
        if self.n_calls_open == 0:
            self._downstream_s += time.monotonic() - self._downstream_began_s

    def sub_key(self, own_key: str, fingerprint: bytes) -> str | None:
        """Return the key of a call made before with this content, or None."""
        return self._sub_keys.get((own_key, fingerprint))

    def keep_sub_key(self, own_key: str, fingerprint: bytes, key: str) -> str:
        """Remember under which key a call of this hop runs; the first one stays."""
        return self._sub_keys.setdefault((own_key, fingerprint), key)

    def forget_sub_key(self, key: str) -> None:
        """Forget a key that is fenced, so that a re-send gets a new one."""
        for content, kept in list(self._sub_keys.items()):
            if kept == key:
                del self._sub_keys[content]

    def note_level(self, level: float) -> None:
        """Take note of the level that an answer carried."""
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
    """The open hops of this daemon by id."""

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
            action: Identity of the action.
            key: Idempotency key, or an empty string.
            class_name: Class of the whole action.
            time_left_s: Seconds until the deadline.
            allowance: Deliveries that calls of the hop may cause.
            depth: Number of hops above.
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
        """Close a hop and cancel the calls it still has in flight."""
        self._hops.pop(hop.id, None)
        hop.end()
