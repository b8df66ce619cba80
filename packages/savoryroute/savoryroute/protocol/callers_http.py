"""HTTP server for callers, and for the local upstream when it makes calls."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import StreamReader, web
from result import Err, Ok, Result

from ..state.settings import Address
from ..verdict import Reason, Refusal, Verdict
from . import headers
from .callers_protocol import CallersProtocolServer
from .problem import problem_response
from .request import Request, Response, pairs

__all__ = ["CallersServer", "Outcome"]

HEADER_LINE_BYTES_MAX = 8190
HEADERS_MAX = 100
KEEPALIVE_S = 75.0
BODY_TIMEOUT_S = 30.0
CONTINUE_LINE = b"HTTP/1.1 100 Continue\r\n\r\n"
KEYS_PATH = "/-/keys/"
KEYS_MAX = 32

_logger = logging.getLogger(__name__)


@attrs.frozen
class Outcome:
    """Result of handling a request.

    Attributes:
        result: Complete answer, or the final refusal.
        action: Identity of the action; empty if it was refused without one.
        key: Idempotency key under which it ran, or an empty string.
        next_key: Idempotency key for the caller's next attempt, or an empty string.
        class_name: Class of the action, or an empty string.
    """

    result: Result[Response, Refusal]
    action: str = ""
    key: str = ""
    next_key: str = ""
    class_name: str = ""


RequestHandler = Callable[[Request], Awaitable[Outcome]]
KeyConfirmer = Callable[[str, Refusal], Awaitable[Refusal]]
KeyMinter = Callable[[str, int], Awaitable[list[str]]]


class CallersServer:
    """Listening port that turns HTTP messages into requests.

    Args:
        address: Where to listen.
        handle: Handles one request.
        mint: Returns new idempotency keys for a service.
        confirm: Returns a refusal, with ``MAY_HAVE_RUN`` if the request has a key
            and the owner of the key does not confirm that it never runs.
        body_limit: Returns the longest request body of a service in bytes.
        is_upstream_side: Whether the caller is the local upstream.
    """

    def __init__(
        self,
        address: Address,
        handle: RequestHandler,
        mint: KeyMinter,
        confirm: KeyConfirmer,
        body_limit: Callable[[str], int],
        is_upstream_side: bool = False,
    ) -> None:
        self._address = address
        self._handle = handle
        self._mint = mint
        self._confirm = confirm
        self._body_limit = body_limit
        self._is_upstream_side = is_upstream_side
        self._is_leaving = False
        self._n_open = 0
        self._server: CallersProtocolServer | None = None
        self._listener: asyncio.Server | None = None

    @property
    def n_open(self) -> int:
        """Requests not yet answered, including those with an incomplete head."""
        if self._server is None:
            return 0
        heads = sum(protocol.is_head_open for protocol in self._server.connections)
        return self._n_open + heads

    async def start(self) -> None:
        """Listen for callers."""
        self._server = CallersProtocolServer(
            self._serve,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=HEADER_LINE_BYTES_MAX,
            max_field_size=HEADER_LINE_BYTES_MAX,
            max_headers=HEADERS_MAX,
            auto_decompress=False,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, self._address.ip, self._address.port, backlog=1024
        )

    def announce_leaving(self) -> None:
        """Close each connection after its next answer."""
        self._is_leaving = True

    def stop_listening(self) -> None:
        """Accept no further connections; open ones stay."""
        if self._listener is not None:
            self._listener.close()

    async def stop(self, timeout_s: float) -> None:
        """Stop listening; close connections still open after ``timeout_s`` seconds."""
        self.stop_listening()
        if self._server is not None:
            await self._server.shutdown(timeout_s)

    async def _serve(self, http: web.BaseRequest) -> web.StreamResponse:
        self._n_open += 1
        http.protocol.note_request()
        try:
            response = await self._respond(http)
        finally:
            self._n_open -= 1
            http.protocol.note_answer()
        if self._is_leaving:
            response.force_close()
        return response

    async def _respond(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.path.startswith(KEYS_PATH):
            return await self._mint_keys(http)
        read = await self._read_request(http)
        if isinstance(read, Err):
            key = http.headers.get(headers.IDEMPOTENCY_KEY, "")
            response = problem_response(await self._confirm(key, read.err_value))
            response.force_close()
            return response
        outcome = await self._handle(read.ok_value)
        return _http_response(outcome)

    async def _read_request(self, http: web.BaseRequest) -> Result[Request, Refusal]:
        """Return the request with its complete body, or why it is refused."""
        service, _, rest = http.raw_path.lstrip("/").partition("/")
        service, query_mark, query = service.partition("?")
        fields = http.headers
        timeout_text = fields.get(headers.GRPC_TIMEOUT)
        timeout_s = None
        if timeout_text is not None:
            timeout_s = headers.parse_timeout(timeout_text)
            if timeout_s is None:
                return _bad_request(f"invalid grpc-timeout {timeout_text!r:.40}")
        body = await self._read_body(http, service)
        if isinstance(body, Err):
            return body
        hop_id = ""
        if self._is_upstream_side:
            hop_id = headers.hop_of_tracestate(fields.get(headers.TRACESTATE, ""))
        return Ok(
            Request(
                service=service,
                method=http.method,
                target="/" + rest + query_mark + query,
                headers=headers.end_to_end(fields.items()),
                body=body.ok_value,
                time_left_s=timeout_s,
                key=fields.get(headers.IDEMPOTENCY_KEY, ""),
                cancels=fields.get(headers.CANCELS, ""),
                traceparent=fields.get(headers.TRACEPARENT, ""),
                hop_id=hop_id,
            )
        )

    async def _read_body(
        self, http: web.BaseRequest, service: str
    ) -> Result[bytes, Refusal]:
        """Return the complete body if it is within the service's limit."""
        if not http.body_exists:
            return Ok(b"")
        limit = self._body_limit(service)
        if http.headers.get("Expect", "").lower() == "100-continue":
            http.transport.write(CONTINUE_LINE)
        if http.content_length is not None and http.content_length > limit:
            return _too_large(limit)
        try:
            if http.content.is_eof():
                body = http.content.read_nowait()
            else:
                async with asyncio.timeout(BODY_TIMEOUT_S):
                    body = await _read_within(http.content, limit)
        except TimeoutError:
            return _bad_request(
                f"the request body did not arrive within {BODY_TIMEOUT_S:.0f} s"
            )
        except web.RequestPayloadError as error:
            return _bad_request(f"the request body is incomplete: {error}")
        return _too_large(limit) if len(body) > limit else Ok(body)

    async def _mint_keys(self, http: web.BaseRequest) -> web.Response:
        """Answer ``POST /-/keys/<service>?n=8``."""
        service = http.path[len(KEYS_PATH) :]
        wanted = http.query.get("n", "1")
        if http.method != "POST" or not wanted.isdecimal() or not int(wanted):
            return problem_response(
                _bad_request("POST /-/keys/<service>?n=1..32").err_value
            )
        n_keys = min(int(wanted), KEYS_MAX)
        keys = await self._mint(service, n_keys)
        if not keys:
            refusal = Refusal(
                Verdict.NOT_RUN,
                Reason.NO_UPSTREAM,
                f"no host of service {service!r:.40} is known",
                retry_after_s=1.0,
            )
            return problem_response(refusal)
        return web.json_response({"keys": keys})


async def _read_within(content: StreamReader, limit: int) -> bytes:
    """Return the complete body, or its start once that exceeds the limit."""
    body = bytearray()
    async for chunk in content.iter_any():
        body += chunk
        if len(body) > limit:
            break
    return bytes(body)


def _http_response(outcome: Outcome) -> web.Response:
    """Return the HTTP response for an outcome."""
    if isinstance(outcome.result, Err):
        return problem_response(
            outcome.result.err_value, outcome.action, outcome.next_key
        )
    answer = outcome.result.ok_value
    response = web.Response(status=answer.status, body=answer.body)
    for name, value in pairs(answer.headers):
        response.headers.add(name, value)
    response.headers[headers.VERDICT] = Verdict.RAN
    if outcome.key:
        response.headers[headers.IDEMPOTENCY_KEY] = outcome.key
    refusal = answer.downstream_refusal
    if (
        refusal is not None
        and refusal.retry_after_s is not None
        and answer.status >= 500
    ):
        response.headers.setdefault("Retry-After", str(int(refusal.retry_after_s) + 1))
    return response


def _bad_request(detail: str) -> Err[Refusal]:
    return Err(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))


def _too_large(limit: int) -> Err[Refusal]:
    detail = f"the request body is longer than {limit} bytes"
    return Err(Refusal(Verdict.NOT_RUN, Reason.TOO_LARGE, detail))
