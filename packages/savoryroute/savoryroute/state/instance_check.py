"""Range checks of instances, from the platform's list or from a peer.

Load pattern: another program writes an entry beside those of the upstreams, with values
of the right types that no upstream can have. Kept, such a value fails later, in the
comparison of instances or in the encoding of a frame for peers.
"""

from __future__ import annotations

import ipaddress
import re

from .checking import INTEGER_MAX, is_encodable
from .fleet_view import Instance

__all__ = ["SLOTS_MAX", "check_instance", "is_identity"]

# No host can open more connections to one address.
SLOTS_MAX = 65_535
# Longest slow start in seconds.
COLD_MAX_S = 3600.0
# End of the year 9999, in Unix milliseconds.
STARTED_MS_MAX = 253_402_300_799_999
NAME_CHARACTERS_MAX = 200

# Identities are sent in a header.
_IDENTITY = re.compile(rf"[!-~]{{1,{NAME_CHARACTERS_MAX}}}")


def is_identity(text: str) -> bool:
    """Return whether a text can be the identity of an instance."""
    return _IDENTITY.fullmatch(text) is not None


def check_instance(instance: Instance) -> str | None:
    """Return which value is out of range, or None if the instance can be used.

    Args:
        instance: Instance with values of the annotated types.
    """
    if not is_identity(instance.id):
        return "the identity is not 1 to 200 printable ASCII characters"
    if not _is_name(instance.service) or not _is_name(instance.failure_domain):
        return "a name is not 1 to 200 encodable characters"
    if not _is_host(instance.ip):
        return "the address is not that of a host"
    if not 1 <= instance.slots <= SLOTS_MAX:
        return f"the slots are not from 1 to {SLOTS_MAX}"
    # False for a float that is not a number, too.
    if not 0.0 <= instance.cold_s <= COLD_MAX_S:
        return f"the slow start is not from 0 to {COLD_MAX_S:.0f} seconds"
    if not 0 <= instance.started_ms <= STARTED_MS_MAX:
        return "the start is not a time in Unix milliseconds"
    if not 0 <= instance.sequence <= INTEGER_MAX:
        return "the number of the report is out of range"
    return None


def _is_name(text: str) -> bool:
    return 1 <= len(text) <= NAME_CHARACTERS_MAX and is_encodable(text)


def _is_host(ip: str) -> bool:
    try:
        address = ipaddress.IPv4Address(ip)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast or address.is_reserved)
