"""Network addresses by IP number."""

from __future__ import annotations

import ipaddress
import re

import attrs

__all__ = ["Address"]

PORT_MAX = 65535


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

    @classmethod
    def parse(cls, text: str) -> Address | None:
        """Return the address in ``ip:port`` or ``[ip]:port``, or None."""
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
