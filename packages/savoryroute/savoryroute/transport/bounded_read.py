"""Complete bodies of answers that the aiohttp client reads, up to a length."""

from __future__ import annotations

import aiohttp

__all__ = ["read_body"]


async def read_body(answer: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Return the complete body, or None if it is longer than ``limit`` bytes.

    Raises:
        aiohttp.ClientPayloadError: The body is incomplete.
    """
    if answer.content_length is not None and answer.content_length > limit:
        return None
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)
