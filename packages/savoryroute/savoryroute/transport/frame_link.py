"""Connections between daemons that carry length-prefixed CBOR frames.

WebSocket framing by the library costs more than the rest of a hop at the call rates of
services deep in the call chain (docs/design/platform.md). Frames therefore have only a
length prefix.
"""

from __future__ import annotations

import asyncio
import struct
import time
from collections.abc import Callable
from typing import Any

import cbor2

from .keepalive import enable_keepalive

__all__ = ["FrameHandler", "FrameLink", "FrameLinkServer"]

# Above the longest value of the platform. Long bodies travel in pieces.
FRAME_BYTES_MAX = 4 * 1024 * 1024
LISTEN_BACKLOG = 1024
# Bytes that wait to be written above which no further piece of a body is added: they
# delay all frames that are sent next.
WRITE_BUFFER_BYTES = 32 * 1024

_LENGTH = struct.Struct(">I")

FrameHandler = Callable[["FrameLink", list[Any]], None]


class FrameLink(asyncio.Protocol):
    """One connection; frames are CBOR arrays.

    Args:
        on_frame: Handles each frame.
        on_lost: Called when the connection is closed or lost.
        on_bad_frame: Called with the error in a frame before the connection is aborted,
            and when a frame is too long to be sent.
    """

    def __init__(
        self,
        on_frame: FrameHandler,
        on_lost: Callable[[FrameLink], None],
        on_bad_frame: Callable[[str], None],
    ) -> None:
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_bad_frame = on_bad_frame
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self._is_write_paused = False
        self.last_read_s = time.monotonic()
        self.peer_ip = ""
        # Called when the connection takes data again after its buffer was full.
        self.on_writable: Callable[[], None] | None = None

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def is_writable(self) -> bool:
        """Whether little enough data waits to be written that more should be added."""
        return self.is_open and not self._is_write_paused

    @property
    def has_unwritten(self) -> bool:
        """Whether a part of what was sent waits to be written."""
        return (
            self._transport is not None and self._transport.get_write_buffer_size() > 0
        )

    def send(self, frame: list[Any]) -> None:
        """Send one frame; it is dropped if the connection is closed or it is too long.

        The peer would close the connection, with all calls on it.
        """
        if self._transport is None or self._transport.is_closing():
            return
        data = cbor2.dumps(frame)
        if len(data) > FRAME_BYTES_MAX:
            detail = f"frame of kind {frame[0]} with {len(data)} bytes is not sent"
            self._on_bad_frame(f"to {self.peer_ip}: {detail}")
            return
        self._transport.write(_LENGTH.pack(len(data)) + data)

    def close(self) -> None:
        """Close the connection once all sent frames are written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Close the connection at once, without writing what is buffered."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport and enable keepalive."""
        self._transport = transport
        self.last_read_s = time.monotonic()
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        address = transport.get_extra_info("peername")
        self.peer_ip = address[0] if address else ""
        enable_keepalive(transport)

    def connection_lost(self, error: Exception | None) -> None:
        """Call ``on_lost``."""
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Note that the write buffer is full."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the write buffer has drained."""
        self._is_write_paused = False
        if self.on_writable is not None:
            self.on_writable()

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into frames."""
        self.last_read_s = time.monotonic()
        buffer = self._buffer
        buffer += data
        start, end = 0, len(buffer)
        try:
            while end - start >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(buffer, start)
                if length > FRAME_BYTES_MAX:
                    raise ValueError(f"frame of {length} bytes is too long")
                if end - start - _LENGTH.size < length:
                    break
                start += _LENGTH.size
                frame = cbor2.loads(bytes(buffer[start : start + length]))
                start += length
                if not isinstance(frame, list) or not frame:
                    raise ValueError("frame is not a non-empty array")
                self._on_frame(self, frame)
        except Exception as error:
            # Whatever a frame causes must not reach the event loop or other links.
            self._on_bad_frame(f"{self.peer_ip}: {error!r:.200}")
            self.abort()
            return
        del buffer[:start]


class FrameLinkServer:
    """Listening port for connections of peers.

    Args:
        make_link: Returns the protocol for an accepted connection.
    """

    def __init__(self, make_link: Callable[[], FrameLink]) -> None:
        self._make_link = make_link
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_link, ip, port, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Accept no further connections; open ones stay."""
        if self._server is not None:
            self._server.close()
