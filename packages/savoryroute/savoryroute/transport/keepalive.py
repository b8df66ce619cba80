"""TCP keepalive, which detects a peer that went silent without a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket

__all__ = ["enable_keepalive", "limit_unacked"]

# A silent peer is detected after the idle time and the intervals of all probes, about
# three seconds. The platform requires a host that fell behind to follow its changes
# again within that time.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES_MAX = 2
# Time for which sent data may stay unacknowledged.
UNACKED_MS = 2500


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Let the kernel detect a peer that went silent without a reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES_MAX),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_MS),
    )
    for level, name, value in options:
        # Some sockets lack some options; timeouts of higher layers apply there.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)


def limit_unacked(transport: asyncio.BaseTransport, is_limited: bool) -> None:
    """Set whether the kernel closes a connection whose data stays unacknowledged.

    Linux also closes a connection of which the peer keeps its receive window closed.

    Args:
        transport: Transport of the connection.
        is_limited: Whether ``UNACKED_MS`` applies, or the much longer default.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    timeout_ms = UNACKED_MS if is_limited else 0
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
