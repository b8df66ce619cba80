"""Loopback proxy that delays, silences, resets, refuses or prolongs connections."""

from __future__ import annotations

import asyncio
import enum
import random
import re
import socket
import struct

from tests.savoryroute_platform.endless_upstream import FAULTS, endless_answer

__all__ = ["Fault", "Proxy"]

DELAY_S = 0.15
REQUEST_ID = re.compile(rb"request-id: (\S+)", re.IGNORECASE)


class Fault(enum.Enum):
    """Fault that the proxy applies to all its connections.

    ``SILENCE`` drops all data, ``ONE_WAY`` only the data from the target; the
    connections stay open. ``ENDLESS`` sends an answer without end for a sound one.
    """

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one_way"
    REFUSE = "refuse"
    ENDLESS = "endless"


class Proxy:
    """TCP proxy from a listening address to a target."""

    def __init__(self, target: tuple[str, int], rng: random.Random) -> None:
        self._target = target
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.fault = Fault.NONE

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)

    def reset(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader, writer) -> None:
        if self.fault is Fault.REFUSE:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        self._spawn(self._pump(reader, target_writer, is_reply=False))
        self._spawn(self._pump(target_reader, writer, is_reply=True))

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _pump(self, reader, writer, is_reply: bool) -> None:
        try:
            while data := await reader.read(65536):
                if self.fault is Fault.SILENCE:
                    continue
                if self.fault is Fault.ONE_WAY and is_reply:
                    continue
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(DELAY_S)
                if self.fault is Fault.ENDLESS and is_reply:
                    await self._send_endless(writer, data)
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send_endless(self, writer, answer: bytes) -> None:
        """Send an answer of a random kind until the connection is closed."""
        found = REQUEST_ID.search(answer)
        name = self._rng.choice(sorted(FAULTS))
        first, repeated = endless_answer(name, found[1] if found else b"other-one")
        # Its end must be a reset: a body without a length is whole at the end of data.
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.write(first)
        while True:
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(0)
