"""Connections between daemons that carry length-prefixed CBOR frames.

WebSocket framing by the library costs more than the rest of a hop at the call rates of
services deep in the call chain (docs/design/platform.md). Frames therefore have only a
length prefix.

Load pattern: a peer in trouble sends small frames without end. One read holds tens of
thousands, which would be handled before anyone else is served. The links take turns
instead. Their share of the time has no bound, since sound peers may need all of it.
"""

from __future__ import annotations

import asyncio
import struct
import sys
import time
from collections.abc import Callable
from typing import Any

import cbor2

from ..state.body_budget import BodyBudget
from .input_pacer import SLICE_S
from .keepalive import enable_keepalive

__all__ = ["FrameHandler", "FrameLink", "FrameLinkServer"]

# Above the longest value of the platform. Long bodies travel in pieces.
FRAME_BYTES_MAX = 4 * 1024 * 1024
# Items in a frame, counted in longer ones before they are decoded: an item of one byte
# takes up some 70 bytes. A list of 1,000 instances has some 10,000.
ITEMS_MAX = 64 * 1024
LISTEN_BACKLOG = 1024
# Bytes that each link may hold uncounted, so that links with short frames go on while
# others take up the memory.
UNCOUNTED_BYTES = 64 * 1024
# Seconds in which a frame longer than that has to be complete: the longest value of the
# platform then needs 0.8 Mbit/s.
FRAME_TIMEOUT_S = 10.0
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
        on_bad_frame: Called with the error in a frame, or the lack of memory, before
            the connection is aborted, and when a frame is too long to be sent.
        memory: Memory for frames that are partly received or not written, shared with
            other links; without limit if None.
    """

    def __init__(
        self,
        on_frame: FrameHandler,
        on_lost: Callable[[FrameLink], None],
        on_bad_frame: Callable[[str], None],
        memory: BodyBudget | None = None,
    ) -> None:
        self._memory = BodyBudget(sys.maxsize) if memory is None else memory
        self._counted_bytes = 0
        self._frame_timer: asyncio.TimerHandle | None = None
        self._on_frame = on_frame
        self._on_lost = on_lost
        self._on_bad_frame = on_bad_frame
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        # Whether complete frames wait for the next iteration of the loop.
        self._has_turn = False
        self._is_lost = False
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
        self._count_memory()

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
        """Call ``on_lost`` once the frames that were received are handled."""
        self._is_lost = True
        if not self._has_turn:
            self._end()

    def pause_writing(self) -> None:
        """Note that the write buffer is full."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Note that the write buffer has drained."""
        self._is_write_paused = False
        self._count_memory()
        if self.on_writable is not None:
            self.on_writable()

    def data_received(self, data: bytes) -> None:
        """Split the received bytes into frames."""
        self.last_read_s = time.monotonic()
        self._buffer += data
        if not self._has_turn:
            self._handle_frames()
        self._count_memory()

    def _count_memory(self) -> None:
        """Count what the link holds; abort it if there is no memory for that."""
        if not self.is_open:
            return
        n_bytes = len(self._buffer) + self._transport.get_write_buffer_size()
        if n_bytes <= UNCOUNTED_BYTES:
            n_bytes = 0
        added = n_bytes - self._counted_bytes
        if added < 0:
            self._memory.release(-added)
        elif added and not self._memory.try_reserve(added, self._counted_bytes):
            held = f"it holds {n_bytes} bytes, all links {self._memory.held_bytes}"
            self._on_bad_frame(f"{self.peer_ip}: no memory for the link: {held}")
            self.abort()
            return
        self._counted_bytes = n_bytes
        # While complete frames wait for a turn, it is not the peer who is slow.
        if self._has_turn or len(self._buffer) <= UNCOUNTED_BYTES:
            self._stop_timer()
        elif self._frame_timer is None:
            loop = asyncio.get_running_loop()
            self._frame_timer = loop.call_later(FRAME_TIMEOUT_S, self._time_out)

    def _time_out(self) -> None:
        """Abort a link whose frame stays incomplete and holds memory for good."""
        detail = f"{len(self._buffer)} bytes of a frame stay incomplete"
        self._on_bad_frame(f"{self.peer_ip}: {detail}")
        self.abort()

    def _stop_timer(self) -> None:
        if self._frame_timer is not None:
            self._frame_timer.cancel()
            self._frame_timer = None

    def _end(self) -> None:
        """Drop what refers to this link or takes up memory."""
        self._buffer = bytearray()
        self._memory.release(self._counted_bytes)
        self._counted_bytes = 0
        self._stop_timer()
        self._on_lost(self)
        self.on_writable = None

    def _take_turn(self) -> None:
        """Go on with the received frames, and then read again."""
        self._has_turn = False
        self._handle_frames()
        if self._has_turn:
            return
        if self._is_lost:
            self._end()
        elif self.is_open:
            self._count_memory()
            self._transport.resume_reading()

    def _wait_for_turn(self) -> None:
        """Handle further frames in the next iteration of the loop; read no more."""
        self._has_turn = True
        if self.is_open:
            self._transport.pause_reading()
        asyncio.get_running_loop().call_soon(self._take_turn)

    def _handle_frames(self) -> None:
        """Handle the complete frames, as many as fit into a turn."""
        buffer = self._buffer
        start, end = 0, len(buffer)
        ends_s = time.monotonic() + SLICE_S
        try:
            while end - start >= _LENGTH.size:
                (length,) = _LENGTH.unpack_from(buffer, start)
                if length > FRAME_BYTES_MAX:
                    raise ValueError(f"frame of {length} bytes is too long")
                if end - start - _LENGTH.size < length:
                    break
                if start and time.monotonic() > ends_s:
                    self._wait_for_turn()
                    break
                start += _LENGTH.size
                encoded = bytes(buffer[start : start + length])
                start += length
                if length > ITEMS_MAX:
                    _check_items(encoded)
                frame = cbor2.loads(encoded)
                if not isinstance(frame, list) or not frame:
                    raise ValueError("frame is not a non-empty array")
                self._on_frame(self, frame)
        except Exception as error:
            # Whatever a frame causes must not reach the event loop or other links.
            self._on_bad_frame(f"{self.peer_ip}: {error!r:.200}")
            self._buffer = bytearray()
            self.abort()
            return
        del buffer[:start]


def _check_items(encoded: bytes) -> None:
    """Check that a long frame has few enough items to be decoded.

    The heads of all items are read in turn, nested ones too; strings are passed over.

    Raises:
        ValueError: There are more than ``ITEMS_MAX``, or one is of a kind that frames
            do not have, tags and strings of indefinite length.

    Source: RFC 8949, section 3.
    """
    start, n_items = 0, 0
    while start < len(encoded):
        major, value = encoded[start] >> 5, encoded[start] & 31
        start += 1
        if value > 27 or major == 6:
            raise ValueError("a long frame has a tag or an item of unknown length")
        if value > 23:
            width = 1 << (value - 24)
            value = int.from_bytes(encoded[start : start + width], "big")
            start += width
        if major in (2, 3):
            start += value
        n_items += 1
        if n_items > ITEMS_MAX:
            raise ValueError(f"a frame has more than {ITEMS_MAX} items")


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
