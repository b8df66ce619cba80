"""Members of the fleet, and the updates about them that daemons exchange."""

from __future__ import annotations

import enum
from typing import Any

import attrs
from result import Err, Ok, Result

from ..errors import FrameError

__all__ = [
    "GOSSIP_STATUSES",
    "Evidence",
    "Member",
    "MemberStatus",
    "MemberUpdate",
    "MergeResult",
]

GOSSIP_STATUSES = ("alive", "suspect", "leaving")
TEXT_MAX = 256
NUMBER_MAX = 2**63 - 1


class MemberStatus(enum.StrEnum):
    """Status of a member in the view of one daemon."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    UNREACHABLE = "unreachable"
    LEAVING = "leaving"
    GONE = "gone"


class Evidence(enum.StrEnum):
    """Source of a change to the member table."""

    LIST = "list"
    HELLO = "hello"
    HEARTBEAT = "heartbeat"
    GOODBYE = "goodbye"
    SILENCE = "silence"
    RUMOUR = "rumour"
    DOMAIN_CUT = "domain_cut"
    DOMAIN_BACK = "domain_back"


class MergeResult(enum.Enum):
    """Effect of a member update on the table of its receiver."""

    NEW = enum.auto()
    KNOWN = enum.auto()
    REFUTED = enum.auto()


@attrs.frozen
class Member:
    """One host of the fleet.

    Attributes:
        host: Name of the host.
        service: Service of the host's upstream.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        peers_address: ``ip:port`` on which its daemon accepts connections of peers.
        incarnation: Incarnation of its daemon, or 0 if unknown.
        status: Status of the host in the view of this daemon.
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
    """Gossip from one daemon to another about a third.

    Attributes:
        member: The member, including its status.
        uptime_ms: Uptime of the member's daemon at the latest evidence, in
            milliseconds.
    """

    member: Member
    uptime_ms: int

    def pack(self) -> list[Any]:
        """Return the row that is sent in a heartbeat."""
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
        """Check a row received from a peer and build the update."""
        if type(values) is not list or len(values) != 8:
            return Err(FrameError("a member update must be a list of 8 fields"))
        texts, incarnation, status, uptime_ms = values[:5], *values[5:]
        for text in texts:
            if type(text) is not str or not 0 < len(text) <= TEXT_MAX:
                return Err(
                    FrameError("a text of a member update is missing or too long")
                )
        for number in (incarnation, uptime_ms):
            if type(number) is not int or not 0 <= number <= NUMBER_MAX:
                return Err(FrameError("a number of a member update is out of range"))
        if status not in GOSSIP_STATUSES:
            return Err(FrameError(f"a member update has status {status!r:.20}"))
        member = Member(*texts, incarnation, MemberStatus(status))
        return Ok(cls(member, uptime_ms))
