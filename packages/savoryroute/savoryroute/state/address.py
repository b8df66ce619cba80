"""Numeric network addresses."""

from __future__ import annotations

import ipaddress
import re

import attrs

__all__ = ["Address"]

PORT_MAX = 65535


@attrs.frozen
class Address:
    """IP address and port of a socket.

    Attributes:
        ip: IPv4 or IPv6 address.
        port: Port; 0 if the system chooses one.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address | None:
        """Parse ``ip:port`` or ``[ip]:port``; return None if it is malformed."""
        ip, colon, port = text.rpartition(":")
        if not colon or not re.fullmatch(r"[0-9]{1,5}", port):
            return None
        is_bracketed = ip.startswith("[") and ip.endswith("]")
        try:
            number = ipaddress.ip_address(ip[1:-1] if is_bracketed else ip)
        except ValueError:
            return None
        if is_bracketed != (number.version == 6) or int(port) > PORT_MAX:
            return None
        return cls(str(number), int(port))
