"""Callers that send bytes without end, or that do not read their answers."""

from __future__ import annotations

import asyncio

from tests.savoryroute_platform.endless_upstream import BODY, CHUNK, TRAILERS

__all__ = ["INPUTS", "STEADY", "UPGRADE", "misbehave"]

GET = b"GET /faulty/%b HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: e\r\n"
STEADY = b"GET /steady/ahead HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: a%d\r\n"
POST = b"POST /upload/endless HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
UPGRADE = b"Connection: Upgrade\r\nUpgrade: websocket\r\n\r\n"
# First bytes of a caller, and the bytes that follow until the connection is closed.
INPUTS = {
    "request-line": (b"GET /", BODY),
    "no-http": (b"", BODY),
    "header-line": (POST + b"A: ", BODY),
    "header-lines": (POST, TRAILERS),
    "body-of-900-GB": (POST + b"Content-Length: 900000000000\r\n\r\n", BODY),
    "body-that-stops": (POST + b"Content-Length: 99000\r\n\r\n" + BODY, b""),
    "chunks": (CHUNKED, CHUNK),
    "chunks-of-one-byte": (CHUNKED, b"1\r\na\r\n" * 10_000),
    "chunk-extension": (CHUNKED + b"4;", BODY),
    "trailer-line": (CHUNKED + b"1\r\na\r\n0\r\nA: ", BODY),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", TRAILERS),
    "requests-ahead": (b"", (GET % b"short-answer" + b"\r\n") * 300),
    "long-heads-ahead": (b"", (GET % b"short-answer" + b"A: %b\r\n\r\n" % BODY[:3000])),
    "upgrades": (b"", (GET % b"short-answer" + UPGRADE) * 100),
    "unread-answers": ((GET % b"long-answer" + b"\r\n") * 8, b""),
}


async def misbehave(ip: str, port: int, name: str, count: int, seconds: float) -> None:
    """Send one of the inputs over several connections and read nothing."""
    callers = [
        asyncio.create_task(_send(ip, port, *INPUTS[name])) for _ in range(count)
    ]
    _, pending = await asyncio.wait(callers, timeout=seconds)
    for caller in pending:
        caller.cancel()
    await asyncio.gather(*callers, return_exceptions=True)


async def _send(ip: str, port: int, first: bytes, repeated: bytes) -> None:
    try:
        _, writer = await asyncio.open_connection(ip, port, limit=1024)
    except OSError:
        return
    try:
        writer.write(first)
        while True:
            writer.write(repeated)
            await writer.drain()
            await asyncio.sleep(0 if repeated else 0.1)
    except OSError:
        pass
    finally:
        writer.transport.abort()
