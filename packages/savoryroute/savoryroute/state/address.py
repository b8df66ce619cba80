"""Network addresses by IP number."""

from __future__ import annotations

import ipaddress
import re

import attrs

__all__ = ["PORT_MAX", "Address", "parse_address"]

PORT_MAX = 65535
PORT_PATTERN = re.compile(r"[0-9]{1,5}")


@attrs.frozen
class Address:
    """IP number and port of a socket.

    Attributes:
        ip: IP number, version 4 or 6.
        port: Port; 0 for one that the system chooses.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_address(value: object) -> Address | None:
    """Return the address that a text such as ``127.0.0.1:7101`` names, or None.

    Args:
        value: Text of an IP number, a colon and a port; version 6 in brackets.
    """
    if type(value) is not str:
        return None
    ip, colon, port = value.rpartition(":")
    if not colon or not PORT_PATTERN.fullmatch(port):
        return None
    is_bracketed = ip.startswith("[") and ip.endswith("]")
    try:
        parsed = ipaddress.ip_address(ip[1:-1] if is_bracketed else ip)
    except ValueError:
        return None
    if is_bracketed != (parsed.version == 6):
        return None
    if int(port) > PORT_MAX:
        return None
    return Address(str(parsed), int(port))
