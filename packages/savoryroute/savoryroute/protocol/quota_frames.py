"""Frames with which first hops obtain credits of quotas, checked when they are read."""

from __future__ import annotations

import enum
from typing import Any

import attrs

from .mesh_frames import FrameKind

__all__ = ["N_CREDITS_MAX", "QuotaGrant", "QuotaRequest", "Scope"]

# Credits that one frame may ask for.
N_CREDITS_MAX = 10_000
NAME_CHARACTERS_MAX = 1024
NUMBER_MAX = 2**63
WAIT_MS_MAX = 3_600_000


class Scope(enum.IntEnum):
    """Hosts over which a bucket counts."""

    FLEET = 0
    FAILURE_DOMAIN = 1


def _is_integer(value: Any, least: int, most: int) -> bool:
    return type(value) is int and least <= value <= most


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= NAME_CHARACTERS_MAX


@attrs.frozen
class QuotaRequest:
    """Request for credits.

    Attributes:
        scope: Whether the bucket of the fleet or the reserve is asked.
        organisation: Name of the organisation.
        n: Number of credits asked for.
        number: Number of the request, unique at its sender.
    """

    scope: Scope
    organisation: str
    n: int
    number: int

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [
            FrameKind.QUOTA_REQUEST.value,
            self.scope.value,
            self.organisation,
            self.n,
            self.number,
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> QuotaRequest | None:
        """Return the request in a frame, None if the frame is malformed."""
        if len(frame) != 5:
            return None
        _, scope, organisation, n, number = frame
        if not (
            _is_integer(scope, 0, len(Scope) - 1)
            and _is_name(organisation)
            and _is_integer(n, 1, N_CREDITS_MAX)
            and _is_integer(number, 0, NUMBER_MAX)
        ):
            return None
        return cls(Scope(scope), organisation, n, number)


@attrs.frozen
class QuotaGrant:
    """Answer to a request for credits.

    Attributes:
        scope: Scope of the request.
        organisation: Name of the organisation.
        n: Number of credits granted.
        number: Number of the request.
        is_holder: Whether the sender holds the bucket and may grant.
        wait_ms: Milliseconds until the bucket has a further credit.
    """

    scope: Scope
    organisation: str
    n: int
    number: int
    is_holder: bool
    wait_ms: int

    def to_frame(self) -> list[Any]:
        """Return the frame."""
        return [
            FrameKind.QUOTA_GRANT.value,
            self.scope.value,
            self.organisation,
            self.n,
            self.number,
            self.is_holder,
            self.wait_ms,
        ]

    @classmethod
    def from_frame(cls, frame: list[Any]) -> QuotaGrant | None:
        """Return the grant in a frame, None if the frame is malformed."""
        if len(frame) != 7:
            return None
        _, scope, organisation, n, number, is_holder, wait_ms = frame
        if not (
            _is_integer(scope, 0, len(Scope) - 1)
            and _is_name(organisation)
            and _is_integer(n, 0, N_CREDITS_MAX)
            and _is_integer(number, 0, NUMBER_MAX)
            and isinstance(is_holder, bool)
            and _is_integer(wait_ms, 0, WAIT_MS_MAX)
        ):
            return None
        return cls(Scope(scope), organisation, n, number, is_holder, wait_ms)
