"""HTTP client for the local upstream."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import attrs
from multidict import CIMultiDict
from result import Err, Ok, Result
from yarl import URL

from ..state.settings import Address
from ..transport.bounded_read import read_body
from ..verdict import Reason, Refusal, Verdict
from . import headers
from .request import Response, pairs

__all__ = ["ProbeResult", "UpstreamClient", "UpstreamRequest"]

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 20.0
HEALTH_TIMEOUT_S = 1.0
HEALTH_BYTES_MAX = 64 * 1024


@attrs.frozen
class UpstreamRequest:
    """Request to the upstream.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: End-to-end headers, flat pairs.
        body: The complete body.
        time_left_s: Seconds until the deadline.
        key: Idempotency key, or an empty string.
        class_name: Class of the action.
        traceparent: W3C trace context.
        hop_id: Identity of the hop; calls that the upstream makes refer to it.
        answer_bytes: Longest accepted answer body in bytes.
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
class ProbeResult:
    """Result of a health probe.

    Attributes:
        is_reachable: Whether the upstream answered.
        is_leaving: Whether the upstream reported that it is leaving.
    """

    is_reachable: bool
    is_leaving: bool


class UpstreamClient:
    """Pool of connections to one upstream.

    Args:
        address: Address of the upstream.
        connections: Maximum number of connections; 0 for no limit.
    """

    def __init__(self, address: Address, connections: int) -> None:
        self._address = address
        self._base = f"http://{address}"
        self._connections = connections
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Create the connection pool."""
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
        # By default aiohttp re-sends idempotent methods when a reused connection turns
        # out to be closed. That attempt would not be counted.
        self._session._retry_connection = False

    async def stop(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def send(self, request: UpstreamRequest) -> Result[Response, Refusal]:
        """Send one request and return its complete answer.

        Cancelling this coroutine closes the connection, which cancels the request.

        Returns:
            The complete answer, or a refusal: ``NOT_RUN`` only if no connection
            could be opened, ``MAY_HAVE_RUN`` if a byte may have been sent.
        """
        try:
            async with asyncio.timeout(request.time_left_s):
                return await self._exchange(request)
        except TimeoutError:
            return _may_have_run(Reason.DEADLINE, "the upstream did not answer in time")
        except aiohttp.ClientConnectorError as error:
            detail = f"no connection to the upstream: {error.os_error.strerror}"
            return Err(Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail))
        except aiohttp.ConnectionTimeoutError:
            detail = "connecting to the upstream timed out"
            return Err(Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, detail))
        except aiohttp.ClientPayloadError:
            return _may_have_run(Reason.BAD_ANSWER, "the answer body is incomplete")
        except (aiohttp.ClientError, OSError) as error:
            detail = f"the connection to the upstream was lost: {type(error).__name__}"
            return _may_have_run(Reason.CONNECTION_LOST, detail)

    async def probe(self) -> ProbeResult:
        """Probe the health of the upstream."""
        assert self._session is not None
        try:
            async with asyncio.timeout(HEALTH_TIMEOUT_S):
                async with self._session.get(f"{self._base}/health") as answer:
                    body = await read_body(answer, HEALTH_BYTES_MAX)
            report = None if body is None else json.loads(body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
            return ProbeResult(is_reachable=False, is_leaving=False)
        is_leaving = isinstance(report, dict) and report.get("status") == "leaving"
        return ProbeResult(is_reachable=True, is_leaving=is_leaving)

    async def _exchange(self, request: UpstreamRequest) -> Result[Response, Refusal]:
        assert self._session is not None
        async with self._session.request(
            request.method,
            URL(self._base + request.target, encoded=True),
            headers=_fields(request),
            data=request.body or None,
            allow_redirects=False,
        ) as answer:
            body = await read_body(answer, request.answer_bytes)
            if body is None:
                detail = f"the answer body is longer than {request.answer_bytes} bytes"
                return _may_have_run(Reason.BAD_ANSWER, detail)
            return Ok(
                Response(
                    answer.status, headers.end_to_end(answer.headers.items()), body
                )
            )


def _fields(request: UpstreamRequest) -> CIMultiDict[str]:
    """Return the headers of the request to the upstream."""
    fields = CIMultiDict(pairs(request.headers))
    fields[headers.GRPC_TIMEOUT] = headers.format_timeout(request.time_left_s)
    fields[headers.TRACEPARENT] = request.traceparent
    fields[headers.TRACESTATE] = f"savoryroute={request.hop_id}"
    fields[headers.CLASS] = request.class_name
    if request.key:
        fields[headers.IDEMPOTENCY_KEY] = request.key
    return fields


def _may_have_run(reason: Reason, detail: str) -> Err[Refusal]:
    return Err(Refusal(Verdict.MAY_HAVE_RUN, reason, detail))
