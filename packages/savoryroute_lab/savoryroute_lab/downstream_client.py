"""Downstream calls of a stand-in upstream."""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections.abc import Callable, Mapping, Sequence

import aiohttp
import attrs
from result import Err, Ok, Result

from .answers import verify_answer
from .calls import Plan, Step
from .http import IDEMPOTENCY_KEY, LAB_REQUEST, client_session, format_timeout
from .upstream_settings import UpstreamSettings

__all__ = ["DownstreamClient", "DownstreamFailure"]

KEY_REQUIRED_STATUS = 428
PROPAGATED_HEADERS = ("traceparent", "tracestate")


@attrs.frozen
class DownstreamFailure:
    """Reason why a downstream call got no complete answer.

    Attributes:
        detail: Readable description in one sentence.
        retry_after: Value of ``Retry-After``, or an empty string.
    """

    detail: str
    retry_after: str = ""


class DownstreamClient:
    """Client with which one upstream calls other services.

    Args:
        upstream_side: Address of the daemon on the same host; empty for none.
        direct: Addresses by service, used in round-robin order without a daemon.
        settings: Current settings of the upstream; None for one attempt per call.
    """

    def __init__(
        self,
        upstream_side: str,
        direct: Mapping[str, Sequence[str]],
        settings: Callable[[], UpstreamSettings] | None = None,
    ) -> None:
        self._upstream_side = upstream_side
        self._settings = settings
        self._direct = {name: itertools.cycle(items) for name, items in direct.items()}
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def call(
        self, plan: Plan, headers: Mapping[str, str], deadline_s: float = math.inf
    ) -> list[DownstreamFailure]:
        """Make the calls of a plan concurrently and return the failures.

        Args:
            plan: Plan of the request being processed.
            headers: Headers of that request.
            deadline_s: Deadline of that request in monotonic seconds.
        """
        calls = [
            self._call_with_retries(plan, step, headers, f".{number}", deadline_s)
            for number, step in enumerate(plan.downstream_steps)
        ]
        results = await asyncio.gather(*calls)
        return [result.err_value for result in results if result.is_err()]

    async def _call_with_retries(
        self,
        plan: Plan,
        step: Step,
        headers: Mapping[str, str],
        suffix: str,
        deadline_s: float,
    ) -> Result[None, DownstreamFailure]:
        n_attempts, attempt_timeout_s = 1, math.inf
        if self._settings is not None:
            n_attempts = self._settings().attempts_per_hop
            attempt_timeout_s = self._settings().hop_timeout_s or math.inf
        for _ in range(n_attempts):
            now_s = time.monotonic()
            attempt_deadline_s = min(deadline_s, now_s + attempt_timeout_s)
            result = await self._call_step(
                plan, step, headers, suffix, attempt_deadline_s
            )
            if result.is_ok() or time.monotonic() >= deadline_s:
                break
        return result

    async def _call_step(
        self,
        plan: Plan,
        step: Step,
        headers: Mapping[str, str],
        suffix: str,
        deadline_s: float,
    ) -> Result[None, DownstreamFailure]:
        url = self._base_url(step.service) + step.path + plan.downstream_query(step)
        request_id = headers.get(LAB_REQUEST, "") + suffix
        request_headers = {
            name: headers[name] for name in PROPAGATED_HEADERS if name in headers
        }
        request_headers[LAB_REQUEST] = request_id
        timeout_s = None
        if math.isfinite(deadline_s):
            timeout_s = max(0.001, deadline_s - time.monotonic())
            request_headers["grpc-timeout"] = format_timeout(timeout_s)
        result = await self._exchange(step.method, url, request_headers, timeout_s)
        if isinstance(result, _KeyRequired):
            request_headers[IDEMPOTENCY_KEY] = result.key
            result = await self._exchange(step.method, url, request_headers, timeout_s)
        if isinstance(result, _KeyRequired):
            return Err(DownstreamFailure("status 428 although the call carried a key"))
        return result

    async def _exchange(
        self, method: str, url: str, headers: dict[str, str], timeout_s: float | None
    ) -> Result[None, DownstreamFailure] | _KeyRequired:
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._client().request(
                method, url, headers=headers, timeout=timeout
            ) as response:
                body = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Err(DownstreamFailure(f"{url}: {type(error).__name__}"))
        if response.status == KEY_REQUIRED_STATUS:
            return _KeyRequired(response.headers.get(IDEMPOTENCY_KEY, ""))
        if response.status != 200:
            retry_after = response.headers.get("Retry-After", "")
            return Err(
                DownstreamFailure(f"{url}: status {response.status}", retry_after)
            )
        verified = verify_answer(body, headers[LAB_REQUEST])
        if verified.is_err():
            return Err(DownstreamFailure(f"{url}: {verified.err_value}"))
        return Ok(None)

    def _base_url(self, service: str) -> str:
        if self._upstream_side:
            return f"http://{self._upstream_side}/{service}"
        return f"http://{next(self._direct[service])}"

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = client_session(connector=connector)
        return self._session


@attrs.frozen
class _KeyRequired:
    key: str
