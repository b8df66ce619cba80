"""Client that sends actions and makes all attempts that they need."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import random
import time
from collections.abc import Mapping, Sequence

import aiohttp
import attrs

from savoryroute.verdict import Reason, Verdict

from .action_templates import ActionTemplate, RetryMode
from .answers import verify_answer
from .http import (
    IDEMPOTENCY_KEY,
    LAB_REQUEST,
    client_session,
    format_timeout,
    new_traceparent,
)
from .tally import Attempt, LogicalRequest

__all__ = ["Caller"]

CANCELS_HEADER = "Savoryroute-Cancels"
VERDICT_HEADER = "Savoryroute-Verdict"
KEY_REQUIRED_STATUS = 428
SHED_STATUS = 503
FAILED_STATUS = 500
KEYS_PER_REQUEST = 8
RETRY_DELAY_S = 0.2
RETRY_JITTER = 0.25
ID_PREFIX_BYTES = 4


class Caller:
    """Client that records every attempt and verifies every answer.

    Args:
        entries: Addresses to send to by service, without any preference.
        seed: Seed of the choice of entries and of retry delays.
        has_daemons: Whether the entries are daemons rather than upstreams.
        mints_ahead: Whether keys are minted before the first attempt.
    """

    def __init__(
        self,
        entries: Mapping[str, Sequence[str]],
        seed: int = 0,
        has_daemons: bool = True,
        mints_ahead: bool = False,
    ) -> None:
        self._entries = {name: list(items) for name, items in entries.items()}
        self._random = random.Random(seed)
        self._has_daemons = has_daemons
        self._mints_ahead = mints_ahead
        self._keys: dict[str, list[str]] = {}
        self._numbers = itertools.count()
        self._prefix = os.urandom(ID_PREFIX_BYTES).hex()
        self._session: aiohttp.ClientSession | None = None
        self.requests: list[LogicalRequest] = []

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def prepare(self, template: ActionTemplate) -> LogicalRequest:
        """Create and record a request without sending it."""
        number = next(self._numbers)
        request = LogicalRequest(
            class_name=template.class_name,
            service=template.service,
            method=template.method,
            path=template.path.format(n=number),
            idempotent=template.idempotent,
            request_id=f"{self._prefix}-{number}",
            trace_id=os.urandom(16).hex(),
            started_s=time.monotonic(),
        )
        self.requests.append(request)
        return request

    async def cancel(
        self, template: ActionTemplate, cancelled: LogicalRequest, key: str = ""
    ) -> LogicalRequest:
        """Send the cancellation of another action.

        Args:
            template: Template of the cancellation.
            cancelled: Action to cancel, whatever its outcome.
            key: Key of that action; empty for the newest key it was sent with.
        """
        cancelled_key = key or cancelled.newest_key
        template = attrs.evolve(
            template, headers={**template.headers, CANCELS_HEADER: cancelled_key}
        )
        request = self.prepare(template)
        request.cancels = cancelled.request_id
        return await self.send(template, request=request)

    async def send(
        self,
        template: ActionTemplate,
        key: str = "",
        request: LogicalRequest | None = None,
    ) -> LogicalRequest:
        """Send one action and retry it as its template says.

        Args:
            template: Template of the action.
            key: Idempotency key of the first attempt; empty to obtain one.
            request: Request from ``prepare``; None to create one.
        """
        request = request or self.prepare(template)
        key = key or await self._first_key(template)
        entries = self._shuffled_entries(template.service)
        for number in range(template.max_attempts):
            entry = entries[number % len(entries)]
            attempt = await self._attempt(template, request, entry, key)
            request.attempts.append(attempt)
            request.ended_s = time.monotonic()
            if not self._should_retry(template, attempt):
                break
            key = attempt.next_key or key
            if attempt.status != KEY_REQUIRED_STATUS:
                await self._wait_before_retry(template, attempt)
        return request

    async def mint(self, service: str, n_keys: int = KEYS_PER_REQUEST) -> list[str]:
        """Return keys minted by a random daemon; empty if it does not answer."""
        if not self._has_daemons:
            return []
        entry = self._random.choice(self._entries[service])
        url = f"http://{entry}/-/keys/{service}?n={n_keys}"
        try:
            async with self._client().post(url) as response:
                if response.status != 200:
                    return []
                return list((await response.json())["keys"])
        except (aiohttp.ClientError, TimeoutError, OSError):
            return []

    async def _first_key(self, template: ActionTemplate) -> str:
        if template.idempotent:
            return ""
        if not self._has_daemons:
            return f"lab.{os.urandom(8).hex()}"
        if not self._mints_ahead:
            return ""
        keys = self._keys.setdefault(template.service, [])
        if not keys:
            keys.extend(await self.mint(template.service))
        return keys.pop() if keys else ""

    def _shuffled_entries(self, service: str) -> list[str]:
        entries = list(self._entries[service])
        self._random.shuffle(entries)
        return entries

    def _should_retry(self, template: ActionTemplate, attempt: Attempt) -> bool:
        if attempt.status == KEY_REQUIRED_STATUS:
            return bool(attempt.next_key)
        if template.retry_mode is RetryMode.NEVER:
            return False
        if attempt.verdict is Verdict.RAN:
            has_failed = attempt.status >= FAILED_STATUS
            return has_failed and template.idempotent and template.retries_failed
        if attempt.reason == Reason.CANCELLED:
            return False
        if not attempt.status:
            return True
        if not template.idempotent and attempt.verdict is Verdict.NOT_RUN:
            return bool(attempt.next_key) or not self._has_daemons
        return True

    async def _wait_before_retry(
        self, template: ActionTemplate, attempt: Attempt
    ) -> None:
        if template.retry_mode is not RetryMode.BACKOFF:
            return
        delay_s = attempt.retry_after_s or RETRY_DELAY_S
        await asyncio.sleep(delay_s * (1 + RETRY_JITTER * self._random.random()))

    async def _attempt(
        self, template: ActionTemplate, request: LogicalRequest, entry: str, key: str
    ) -> Attempt:
        sent_s = time.monotonic()
        headers = self._headers(template, request, key)
        try:
            async with self._client().request(
                template.method,
                self._url(template, request, entry),
                headers=headers,
                data=template.body or None,
                timeout=aiohttp.ClientTimeout(
                    total=template.timeout_s + template.grace_s
                ),
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            # No byte of the request left the caller.
            return self._failed_attempt(entry, key, sent_s, error, Verdict.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return self._failed_attempt(entry, key, sent_s, error, None)
        verdict = self._verdict(response)
        is_key_unused = not self._has_daemons and verdict is Verdict.NOT_RUN
        attempt = Attempt(
            entry=entry,
            key="" if is_key_unused else key,
            sent_s=sent_s,
            latency_s=time.monotonic() - sent_s,
            status=response.status,
            verdict=verdict,
        )
        return _with_answer(attempt, response, body, request.request_id)

    def _failed_attempt(
        self,
        entry: str,
        key: str,
        sent_s: float,
        error: Exception,
        verdict: Verdict | None,
    ) -> Attempt:
        return Attempt(
            entry=entry,
            key="" if verdict is Verdict.NOT_RUN else key,
            sent_s=sent_s,
            latency_s=time.monotonic() - sent_s,
            verdict=verdict,
            reason=type(error).__name__,
            next_key=key if verdict is Verdict.NOT_RUN else "",
        )

    def _headers(
        self, template: ActionTemplate, request: LogicalRequest, key: str
    ) -> dict[str, str]:
        headers = {
            "grpc-timeout": format_timeout(template.timeout_s),
            "traceparent": new_traceparent(request.trace_id),
            LAB_REQUEST: request.request_id,
            **template.headers,
        }
        if key:
            headers[IDEMPOTENCY_KEY] = key
        return headers

    def _url(
        self, template: ActionTemplate, request: LogicalRequest, entry: str
    ) -> str:
        base = f"http://{entry}"
        if self._has_daemons:
            base += f"/{template.service}"
        return base + request.path + template.plan.query()

    def _verdict(self, response: aiohttp.ClientResponse) -> Verdict | None:
        verdict_name = response.headers.get(VERDICT_HEADER)
        if verdict_name is not None:
            return Verdict(verdict_name)
        if self._has_daemons:
            return None
        return Verdict.NOT_RUN if response.status == SHED_STATUS else Verdict.RAN

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = client_session(connector=aiohttp.TCPConnector(limit=0))
        return self._session


def _with_answer(
    attempt: Attempt, response: aiohttp.ClientResponse, body: bytes, request_id: str
) -> Attempt:
    if attempt.verdict is Verdict.RAN:
        is_verified = verify_answer(body, request_id).is_ok()
        return attrs.evolve(attempt, has_verified_body=is_verified)
    if response.content_type != "application/problem+json":
        return attempt
    problem = json.loads(body)
    return attrs.evolve(
        attempt,
        reason=problem.get("reason", ""),
        retry_after_s=problem.get("retry_after_s"),
        next_key=problem.get("idempotency_key", ""),
        action=problem.get("action", ""),
    )
