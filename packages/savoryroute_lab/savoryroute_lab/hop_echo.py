"""Exchange of a call and an answer over one WebSocket connection, without daemons.

Usage:
  hop_echo --port=N
"""

from __future__ import annotations

import asyncio
import subprocess
import sys

import docopt
import uvloop

from savoryroute.errors import ConnectionClosedError
from savoryroute.protocol.frames import FRAME_BYTES_MAX, Answer, Call, decode, encode
from savoryroute.state.address import Address
from savoryroute.transport import websocket
from savoryroute.verdict import Verdict

from .http import LOOPBACK, wait_for_signal
from .wiring import FLEET_KEY, free_ports

__all__ = ["EchoPeer", "main"]

BODY = b"x" * 1024
DIAL_ATTEMPTS = 50
DIAL_PAUSE_S = 0.1


class EchoPeer:
    """Process that answers each call immediately, and the connection to it."""

    def __init__(self) -> None:
        self._process: subprocess.Popen[bytes] | None = None
        self._connection: websocket.Connection | None = None
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Start the process and connect to it.

        Raises:
            ConnectionClosedError: No connection after ``DIAL_ATTEMPTS`` attempts.
        """
        port = free_ports(1)[0]
        command = [sys.executable, "-m", "savoryroute_lab.hop_echo", f"--port={port}"]
        self._process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        for _ in range(DIAL_ATTEMPTS):
            address = Address(LOOPBACK, port)
            dialled = await websocket.dial(address, FLEET_KEY, FRAME_BYTES_MAX)
            if dialled.is_ok():
                self._connection = dialled.ok_value
                return
            await asyncio.sleep(DIAL_PAUSE_S)
        raise ConnectionClosedError("the echo peer did not accept a connection in time")

    async def stop(self) -> None:
        """Close the connection and terminate the process."""
        if self._connection is not None:
            await self._connection.close()
        if self._process is not None:
            self._process.terminate()
            self._process.wait()

    async def exchange(self) -> None:
        """Send one call and wait for its answer."""
        async with self._lock:
            await websocket.send(self._connection, encode(_call()))
            decode(await websocket.receive(self._connection))


def _call() -> Call:
    return Call(
        id=1,
        action="a" * 32,
        key="",
        cancels="",
        is_target_fenced=False,
        class_name="view",
        time_left_ms=5000,
        allowance=64,
        depth=0,
        is_spill_over=False,
        traceparent="00-" + "a" * 32 + "-" + "b" * 16 + "-01",
        method="POST",
        target="/items/1",
        headers=["Accept", "*/*", "Content-Type", "application/octet-stream"],
        body=BODY,
    )


def _answer(call: Call) -> Answer:
    return Answer(
        id=call.id,
        verdict=Verdict.RAN,
        reason="",
        detail="",
        retry_after_ms=0,
        is_load=False,
        from_deep=False,
        status=200,
        headers=["Content-Type", "application/json"],
        body=call.body,
        allowance_left=63,
        level=9.0,
        n_in_flight=1,
        limit=64,
        n_queued=0,
    )


async def _answer_all(connection: websocket.Connection) -> None:
    """Answer each call on a connection until it is closed."""
    try:
        while True:
            call = decode(await websocket.receive(connection))
            await websocket.send(connection, encode(_answer(call)))
    except ConnectionClosedError:
        return


async def _serve(port: int) -> None:
    address = Address(LOOPBACK, port)
    server = await websocket.listen(address, FLEET_KEY, FRAME_BYTES_MAX, _answer_all)
    await wait_for_signal()
    server.close()


def main() -> int:
    """Answer calls until SIGTERM or SIGINT."""
    options = docopt.docopt(__doc__)
    uvloop.run(_serve(int(options["--port"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
