"""Kernel probes that notice a peer which went silent without a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket

__all__ = ["enable_keepalive"]

# A silent peer is noticed within about three seconds, the time within which the
# platform asks a host to follow again.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBES_MAX = 2
UNACKED_MS = 2500


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Have the kernel notice a peer that went silent without a reset."""
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
        # Not every socket takes every option; time-outs above bound the rest.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)
