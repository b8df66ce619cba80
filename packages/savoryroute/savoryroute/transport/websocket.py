"""WebSocket connections that carry binary messages."""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from http import HTTPStatus

from result import Err, Ok, Result
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.http11 import Request, Response

from ..errors import ConnectionClosedError
from ..state.settings import Address

__all__ = ["Connection", "Server", "dial", "listen", "receive", "send"]

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 0.5
PING_INTERVAL_S = 5.0
PING_TIMEOUT_S = 5.0
# Received messages that are buffered before TCP flow control holds the sender back.
QUEUE_FRAMES = 64
WRITE_BUFFER_BYTES = 256 * 1024

ConnectionHandler = Callable[[Connection], Awaitable[None]]


async def listen(
    address: Address, fleet_key: str, max_bytes: int, handler: ConnectionHandler
) -> Server:
    """Accept connections of peers that present the fleet key.

    Args:
        address: Where to listen.
        fleet_key: Secret that every daemon of the fleet holds.
        max_bytes: Longest accepted message; a longer one closes the connection.
        handler: Called once for each accepted connection.
    """
    expected = f"Bearer {fleet_key}".encode()

    def check_key(connection: ServerConnection, request: Request) -> Response | None:
        offered = request.headers.get("Authorization", "").encode()
        if hmac.compare_digest(offered, expected):
            return None
        return connection.respond(HTTPStatus.UNAUTHORIZED, "fleet key required\n")

    return await serve(
        handler,
        address.ip,
        address.port,
        process_request=check_key,
        max_size=max_bytes,
        **_common_options(),
    )


async def dial(
    address: Address, fleet_key: str, max_bytes: int
) -> Result[Connection, ConnectionClosedError]:
    """Open a connection to a peer."""
    try:
        connection = await connect(
            f"ws://{address}/",
            additional_headers={"Authorization": f"Bearer {fleet_key}"},
            max_size=max_bytes,
            proxy=None,
            **_common_options(),
        )
    except (OSError, TimeoutError, WebSocketException) as error:
        return Err(ConnectionClosedError(f"no connection to {address}: {error}"))
    return Ok(connection)


async def send(connection: Connection, data: bytes) -> None:
    """Send one message.

    Raises:
        ConnectionClosedError: The connection is closed; the message may still have
            reached the peer.
    """
    try:
        await connection.send(data)
    except ConnectionClosed as error:
        raise ConnectionClosedError(str(error)) from error


async def receive(connection: Connection) -> bytes:
    """Return the next message.

    Raises:
        ConnectionClosedError: The connection is closed, or the peer sent text.
    """
    try:
        data = await connection.recv()
    except ConnectionClosed as error:
        raise ConnectionClosedError(str(error)) from error
    if isinstance(data, str):
        raise ConnectionClosedError("text message from a peer")
    return data


def _common_options() -> dict[str, object]:
    """Return the options of both the client and the server side."""
    return {
        "compression": None,
        "open_timeout": OPEN_TIMEOUT_S,
        "close_timeout": CLOSE_TIMEOUT_S,
        "ping_interval": PING_INTERVAL_S,
        "ping_timeout": PING_TIMEOUT_S,
        "max_queue": QUEUE_FRAMES,
        "write_limit": WRITE_BUFFER_BYTES,
    }
