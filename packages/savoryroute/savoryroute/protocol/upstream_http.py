"""HTTP towards the host's own upstream."""

from __future__ import annotations

import asyncio

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from ..state.settings import Address
from ..verdict import Reason, Refusal, Verdict
from . import headers
from .request import Response, pairs

__all__ = ["UpstreamClient", "UpstreamHealth", "UpstreamRequest"]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 20.0
HEALTH_TIMEOUT_S = 1.0


@attrs.frozen
class UpstreamRequest:
    """What is sent to the upstream.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers, flat pairs.
        body: The whole body.
        time_left_s: Seconds until the deadline.
        key: Idempotency key, or an empty string.
        class_name: Class of the action.
        traceparent: W3C trace context.
        hop_id: Hop that calls of the upstream refer to.
        answer_bytes: Longest answer body accepted.
    """

    method: str
    target: str
    headers: tuple[str, ...]
    body: bytes
    time_left_s: float
    key: str
    class_name: str
    traceparent: str
    hop_id: str
    answer_bytes: int


@attrs.frozen
class UpstreamHealth:
    """What the health probe said.

    Attributes:
        is_reachable: Whether the upstream answered.
        is_leaving: Whether it said that it leaves.
    """

    is_reachable: bool
    is_leaving: bool


class UpstreamClient:
    """Connections to one upstream.

    Args:
        address: Address of the upstream.
        connections: Most connections; 0 for no bound.
    """

    def __init__(self, address: Address, connections: int) -> None:
        self._address = address
        self._base = f"http://{address}"
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Make the connection pool."""
        connector = aiohttp.TCPConnector(
            limit=self._connections,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        # aiohttp re-sends idempotent methods by itself on a connection that turns
        # out closed, which would be an attempt that nobody counts.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, request: UpstreamRequest) -> Result[Response, Refusal]:
        """Run one request and return its whole answer.

        Cancelling the call closes the connection, which cancels the request.

        Returns:
            The whole answer, or a refusal: ``NOT_RUN`` only if no connection
            could be made, ``MAY_HAVE_RUN`` once a byte may have left.
        """
        try:
            async with asyncio.timeout(request.time_left_s):
                return await self._exchange(request)
        except TimeoutError:
            return _lost(Reason.DEADLINE, "the upstream did not answer in time")
        except aiohttp.ClientConnectorError as error:
            detail = f"no connection to the upstream: {error.os_error.strerror}"
            return Err(Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail))
        except aiohttp.ConnectionTimeoutError:
            detail = "no connection to the upstream in time"
            return Err(Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail))
        except aiohttp.ClientPayloadError:
            return _lost(Reason.BAD_ANSWER, "the upstream's answer was cut short")
        except (aiohttp.ClientError, OSError) as error:
            detail = f"the upstream's connection was lost: {type(error).__name__}"
            return _lost(Reason.CONNECTION_LOST, detail)

    async def probe(self) -> UpstreamHealth:
        """Ask the upstream for its health."""
        assert self._session is not None
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(f"{self._base}/health") as answer:
                    said = await answer.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return UpstreamHealth(is_reachable=False, is_leaving=False)
        is_leaving = isinstance(said, dict) and said.get("status") == "leaving"
        return UpstreamHealth(is_reachable=True, is_leaving=is_leaving)

    async def _exchange(self, request: UpstreamRequest) -> Result[Response, Refusal]:
        assert self._session is not None
        async with self._session.request(
            request.method,
            URL(self._base + request.target, encoded=True),
            headers=_fields(request),
            data=request.body or None,
            allow_redirects=False,
        ) as answer:
            body = await _read_whole(answer, request.answer_bytes)
            if body is None:
                detail = f"the answer is longer than {request.answer_bytes} bytes"
                return _lost(Reason.BAD_ANSWER, detail)
            return Ok(
                Response(
                    answer.status, headers.end_to_end(answer.headers.items()), body
                )
            )


def _fields(request: UpstreamRequest) -> CIMultiDict[str]:
    """Return the headers of the HTTP request."""
    fields = CIMultiDict(pairs(request.headers))
    fields[headers.GRPC_TIMEOUT] = headers.format_timeout(request.time_left_s)
    fields[headers.TRACEPARENT] = request.traceparent
    fields[headers.TRACESTATE] = f"savoryroute={request.hop_id}"
    fields[headers.CLASS] = request.class_name
    if request.key:
        fields[headers.IDEMPOTENCY_KEY] = request.key
    return fields


async def _read_whole(answer: aiohttp.ClientResponse, limit: int) -> bytes | None:
    """Return the whole body, or None if it is longer than ``limit``."""
    if answer.content_length is not None:
        if answer.content_length > limit:
            return None
        return await answer.read()
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > limit:
            return None
    return bytes(body)


def _lost(reason: Reason, detail: str) -> Err[Refusal]:
    return Err(Refusal(Verdict.MAY_HAVE_RUN, reason, detail))
