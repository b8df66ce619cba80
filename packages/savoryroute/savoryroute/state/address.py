"""Network addresses by IP number."""

from __future__ import annotations

import attrs

__all__ = ["Address"]


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
