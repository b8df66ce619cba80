"""Callers that carry single actions through all of their attempts."""

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
KEYS_PER_MINT = 8
POLITE_PAUSE_S = 0.2
POLITE_JITTER = 0.25
IDS_PREFIX_BYTES = 4


class Caller:
    """Client that counts every attempt and verifies every answer.

    Args:
        entries: Addresses to send to by service; all are as good.
        seed: Seed of the choice of entries and of pauses.
        has_daemons: Whether the entries are daemons, not upstreams.
        mints_ahead: Whether keys are minted before the first send.
    """

    def __init__(
        self,
        entries: Mapping[str, Sequence[str]],
        seed: int = 0,
        has_daemons: bool = True,
        mints_ahead: bool = False,
    ) -> None:
        self._entries = {name: list(found) for name, found in entries.items()}
        self._random = random.Random(seed)
        self._has_daemons = has_daemons
        self._mints_ahead = mints_ahead
        self._keys: dict[str, list[str]] = {}
        self._numbers = itertools.count()
        self._prefix = os.urandom(IDS_PREFIX_BYTES).hex()
        self._session: aiohttp.ClientSession | None = None
        self.requests: list[LogicalRequest] = []

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def prepare(self, send: ActionTemplate) -> LogicalRequest:
        """Return a request that is yet to be sent, already counted."""
        number = next(self._numbers)
        request = LogicalRequest(
            class_name=send.class_name,
            service=send.service,
            method=send.method,
            path=send.path.format(n=number),
            idempotent=send.idempotent,
            request_id=f"{self._prefix}-{number}",
            trace_id=os.urandom(16).hex(),
            started_s=time.monotonic(),
        )
        self.requests.append(request)
        return request

    async def cancel(
        self, send: ActionTemplate, cancelled: LogicalRequest, key: str = ""
    ) -> LogicalRequest:
        """Carry a cancellation of another action.

        Args:
            send: Kind of the cancellation.
            cancelled: Action to cancel, whatever became of it.
            key: Key of that action; empty for the newest it was sent with.
        """
        cancels = key or cancelled.newest_key
        send = attrs.evolve(send, headers={**send.headers, CANCELS_HEADER: cancels})
        request = self.prepare(send)
        request.cancels = cancelled.request_id
        return await self.send(send, request=request)

    async def send(
        self, send: ActionTemplate, key: str = "", request: LogicalRequest | None = None
    ) -> LogicalRequest:
        """Carry one action through all of its attempts.

        Args:
            send: Kind of action.
            key: Idempotency key to start with; empty to get one.
            request: What ``prepare`` returned; None for a new one.
        """
        request = request or self.prepare(send)
        key = key or await self._first_key(send)
        entries = self._order_of_entries(send.service)
        for number in range(send.max_attempts):
            entry = entries[number % len(entries)]
            attempt = await self._attempt(send, request, entry, key)
            request.attempts.append(attempt)
            request.ended_s = time.monotonic()
            if not self._goes_on(send, attempt):
                break
            key = attempt.next_key or key
            if attempt.status != KEY_REQUIRED_STATUS:
                await self._pause(send, attempt)
        return request

    async def mint(self, service: str, n_keys: int = KEYS_PER_MINT) -> list[str]:
        """Return keys minted by any daemon, or none where none answers."""
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

    async def _first_key(self, send: ActionTemplate) -> str:
        if send.idempotent:
            return ""
        if not self._has_daemons:
            return f"lab.{os.urandom(8).hex()}"
        if not self._mints_ahead:
            return ""
        keys = self._keys.setdefault(send.service, [])
        if not keys:
            keys.extend(await self.mint(send.service))
        return keys.pop() if keys else ""

    def _order_of_entries(self, service: str) -> list[str]:
        entries = list(self._entries[service])
        self._random.shuffle(entries)
        return entries

    def _goes_on(self, send: ActionTemplate, attempt: Attempt) -> bool:
        if attempt.status == KEY_REQUIRED_STATUS:
            return bool(attempt.next_key)
        if send.retry_mode is RetryMode.NEVER:
            return False
        if attempt.verdict is Verdict.RAN:
            has_failed = attempt.status >= FAILED_STATUS
            return has_failed and send.idempotent and send.retries_failed
        if attempt.reason == Reason.CANCELLED:
            return False
        if not attempt.status:
            return True
        if not send.idempotent and attempt.verdict is Verdict.NOT_RUN:
            return bool(attempt.next_key) or not self._has_daemons
        return True

    async def _pause(self, send: ActionTemplate, attempt: Attempt) -> None:
        if send.retry_mode is not RetryMode.BACKOFF:
            return
        pause_s = attempt.retry_after_s or POLITE_PAUSE_S
        await asyncio.sleep(pause_s * (1 + POLITE_JITTER * self._random.random()))

    async def _attempt(
        self, send: ActionTemplate, request: LogicalRequest, entry: str, key: str
    ) -> Attempt:
        sent_s = time.monotonic()
        headers = self._headers(send, request, key)
        try:
            async with self._client().request(
                send.method,
                self._url(send, request, entry),
                headers=headers,
                data=send.body or None,
                timeout=aiohttp.ClientTimeout(total=send.timeout_s + send.grace_s),
            ) as response:
                body = await response.read()
        except aiohttp.ClientConnectorError as error:
            # No byte of the request left the caller.
            return self._failed(entry, key, sent_s, error, Verdict.NOT_RUN)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return self._failed(entry, key, sent_s, error, None)
        verdict = self._verdict(response)
        is_reusable = not self._has_daemons and verdict is Verdict.NOT_RUN
        attempt = Attempt(
            entry=entry,
            key="" if is_reusable else key,
            sent_s=sent_s,
            latency_s=time.monotonic() - sent_s,
            status=response.status,
            verdict=verdict,
        )
        return _read_answer(attempt, response, body, request.request_id)

    def _failed(
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
        self, send: ActionTemplate, request: LogicalRequest, key: str
    ) -> dict[str, str]:
        headers = {
            "grpc-timeout": format_timeout(send.timeout_s),
            "traceparent": new_traceparent(request.trace_id),
            LAB_REQUEST: request.request_id,
            **send.headers,
        }
        if key:
            headers[IDEMPOTENCY_KEY] = key
        return headers

    def _url(self, send: ActionTemplate, request: LogicalRequest, entry: str) -> str:
        base = f"http://{entry}"
        if self._has_daemons:
            base += f"/{send.service}"
        return base + request.path + send.plan.query()

    def _verdict(self, response: aiohttp.ClientResponse) -> Verdict | None:
        stated = response.headers.get(VERDICT_HEADER)
        if stated is not None:
            return Verdict(stated)
        if self._has_daemons:
            return None
        return Verdict.NOT_RUN if response.status == SHED_STATUS else Verdict.RAN

    def _client(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = client_session(connector=aiohttp.TCPConnector(limit=0))
        return self._session


def _read_answer(
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
