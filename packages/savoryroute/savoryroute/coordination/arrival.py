"""A call that arrived for the local upstream."""

from __future__ import annotations

import time

import attrs

from ..protocol.frames import Call
from .hops import Hop

__all__ = ["Arrival"]


@attrs.define
class Arrival:
    """Inbound call on its way to the local upstream.

    Attributes:
        call: Frame of the call.
        deadline_s: Monotonic time of the deadline.
        fingerprint: Digest of the request content.
        hop: The open hop, or None before the call is sent to the upstream.
    """

    call: Call
    deadline_s: float
    fingerprint: bytes
    hop: Hop | None = None

    @property
    def time_left_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline_s - time.monotonic()
