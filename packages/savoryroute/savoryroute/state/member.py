"""One member of the fleet, and what daemons tell each other of it."""

from __future__ import annotations

import enum
from typing import Any

import attrs
from result import Err, Ok, Result

from ..errors import FrameError

__all__ = [
    "SPREAD_STATUSES",
    "Evidence",
    "Member",
    "MemberStatus",
    "MemberUpdate",
    "MergeResult",
]

SPREAD_STATUSES = ("alive", "suspect", "leaving")
TEXT_MAX = 256
NUMBER_MAX = 2**63 - 1


class MemberStatus(enum.StrEnum):
    """What is believed of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    GONE = "gone"


class Evidence(enum.StrEnum):
    """Where a change of the table came from."""

    LIST = "list"
    HELLO = "hello"
    HEARTBEAT = "heartbeat"
    GOODBYE = "goodbye"
    SILENCE = "silence"
    RUMOUR = "rumour"
    DOMAIN_CUT = "domain_cut"
    DOMAIN_BACK = "domain_back"


class MergeResult(enum.Enum):
    """What a rumour was to the one who heard it."""

    NEW = enum.auto()
    KNOWN = enum.auto()
    REFUTED = enum.auto()


@attrs.frozen
class Member:
    """One host of the fleet.

    Attributes:
        host: Name of the host.
        service: Service of its upstream.
        failure_domain: Its failure domain.
        region: Its region.
        peers_address: ``ip:port`` at which its daemon takes peers.
        incarnation: Incarnation of its daemon, 0 while unknown.
        status: What is believed of it.
    """

    host: str
    service: str
    failure_domain: str
    region: str
    peers_address: str
    incarnation: int
    status: MemberStatus


@attrs.frozen
class MemberUpdate:
    """What one daemon tells another of a third.

    Attributes:
        member: The member, its status included.
        uptime_ms: Uptime of the member's daemon at the latest evidence.
    """

    member: Member
    uptime_ms: int

    def pack(self) -> list[Any]:
        """Return the form that travels in a heartbeat."""
        member = self.member
        return [
            member.host,
            member.service,
            member.failure_domain,
            member.region,
            member.peers_address,
            member.incarnation,
            member.status.value,
            self.uptime_ms,
        ]

    @classmethod
    def unpack(cls, values: Any) -> Result[MemberUpdate, FrameError]:
        """Check values received from a peer and build the rumour."""
        if type(values) is not list or len(values) != 8:
            return Err(FrameError("a rumour has 8 fields"))
        texts, incarnation, status, uptime_ms = values[:5], *values[5:]
        for text in texts:
            if type(text) is not str or not 0 < len(text) <= TEXT_MAX:
                return Err(FrameError("a rumour's text is missing or too long"))
        for number in (incarnation, uptime_ms):
            if type(number) is not int or not 0 <= number <= NUMBER_MAX:
                return Err(FrameError("a rumour's number is out of range"))
        if status not in SPREAD_STATUSES:
            return Err(FrameError(f"a rumour of status {status!r:.20}"))
        member = Member(*texts, incarnation, MemberStatus(status))
        return Ok(cls(member, uptime_ms))
