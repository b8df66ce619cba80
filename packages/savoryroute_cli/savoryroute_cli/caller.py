"""HTTP client that follows the rules for callers: keys, deadlines and retry times."""

from __future__ import annotations

import asyncio
import json
import time

import aiohttp
import attrs
import yarl

from savoryroute.errors import ConnectionClosedError
from savoryroute.verdict import Reason, Verdict

__all__ = ["Caller", "Outcome"]

ATTEMPTS_MAX = 5
TIMEOUT_DEFAULT_MS = 60_000
ANSWER_GRACE_S = 1.0
"""Seconds after the deadline in which a refusal by the daemon may still arrive."""
MS_PER_S = 1000
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


@attrs.frozen
class Outcome:
    """Result of one request.

    Attributes:
        verdict: What is known about the execution of the request.
        status: HTTP status, or 0 if no complete answer arrived.
        body: Body of the answer.
        reason: Reason of a refusal; empty for an answer of the upstream.
        detail: Explanation for humans, one sentence.
        retry_after_s: Seconds after which the caller may retry, or None.
        key: Idempotency key for the next request of the action, or None.
    """

    verdict: Verdict
    status: int = 0
    body: bytes = b""
    reason: str = ""
    detail: str = ""
    retry_after_s: float | None = None
    key: str | None = None


@attrs.define
class Caller:
    """Sender of one action, in one or several requests.

    Attributes:
        url: Where to send the request.
        method: HTTP method.
        data: Body of the request.
        key: Idempotency key of the action, or None.
        timeout_ms: Milliseconds that the whole action may take, or None.
        is_retrying: Whether to retry after a refusal that names a retry time.
    """

    url: yarl.URL
    method: str
    data: bytes
    key: str | None = None
    timeout_ms: int | None = None
    is_retrying: bool = False
    _deadline_s: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        timeout_ms = self.timeout_ms or TIMEOUT_DEFAULT_MS
        self._deadline_s = time.monotonic() + timeout_ms / MS_PER_S

    async def run(self) -> Outcome:
        """Send the request; send it again if the daemon asks for a key or a retry."""
        may_have_run = False
        async with aiohttp.ClientSession(middlewares=(_send_once,)) as session:
            for _ in range(ATTEMPTS_MAX):
                outcome = self._merge_verdict(await self._send(session), may_have_run)
                may_have_run = outcome.verdict is Verdict.MAY_HAVE_RUN
                delay_s = self._retry_delay_s(outcome)
                if delay_s is None or self._remaining_s() <= delay_s:
                    break
                await asyncio.sleep(delay_s)
                self.key = self._next_key(outcome)
        return outcome

    def _merge_verdict(self, outcome: Outcome, may_have_run: bool) -> Outcome:
        """Return the outcome with the verdict on all requests of the action.

        If an earlier request may have run, only a daemon that knows the key can state
        that it did not run.
        """
        is_authoritative = self.key is not None and outcome.status != 0
        if (
            not may_have_run
            or is_authoritative
            or outcome.verdict is not Verdict.NOT_RUN
        ):
            return outcome
        return attrs.evolve(outcome, verdict=Verdict.MAY_HAVE_RUN)

    def _remaining_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def _retry_delay_s(self, outcome: Outcome) -> float | None:
        """Return the seconds to wait before the next request, or None to stop."""
        if outcome.verdict is Verdict.RAN:
            return None
        if outcome.reason == Reason.KEY_REQUIRED:
            return 0.0 if self.key is None and outcome.key else None
        if not self.is_retrying:
            return None
        is_idempotent = self.key is not None or self.method in SAFE_METHODS
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not is_idempotent:
            return None
        return outcome.retry_after_s

    def _next_key(self, outcome: Outcome) -> str | None:
        if outcome.verdict is Verdict.NOT_RUN:
            return outcome.key
        return self.key

    async def _send(self, session: aiohttp.ClientSession) -> Outcome:
        remaining_s = max(self._remaining_s(), 1 / MS_PER_S)
        timeout = aiohttp.ClientTimeout(total=remaining_s + ANSWER_GRACE_S)
        try:
            async with session.request(
                self.method,
                self.url,
                data=self.data or None,
                headers=self._headers(remaining_s),
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                return _read_outcome(answer, await answer.read())
        except aiohttp.ClientConnectorError as exc:
            return Outcome(Verdict.NOT_RUN, detail=str(exc))
        except (
            TimeoutError,
            ConnectionClosedError,
            aiohttp.ClientError,
            OSError,
        ) as exc:
            detail = str(exc) or type(exc).__name__
            return Outcome(Verdict.MAY_HAVE_RUN, detail=detail)

    def _headers(self, remaining_s: float) -> dict[str, str]:
        headers = {}
        if self.timeout_ms is not None:
            headers["grpc-timeout"] = f"{max(1, int(remaining_s * MS_PER_S))}m"
        if self.key is not None:
            headers["Idempotency-Key"] = self.key
        return headers


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent the HTTP client from retrying a request on its own.

    aiohttp retries idempotent methods, including DELETE, after a lost connection, but
    not after an exception of a type that it does not know.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise ConnectionClosedError(str(exc)) from exc


def _read_outcome(answer: aiohttp.ClientResponse, body: bytes) -> Outcome:
    try:
        verdict = Verdict(answer.headers.get("Savoryroute-Verdict", ""))
    except ValueError:
        detail = "the answer carries no verdict"
        return Outcome(Verdict.MAY_HAVE_RUN, answer.status, body, detail=detail)
    if verdict is Verdict.RAN:
        return Outcome(verdict, answer.status, body)
    problem = _read_problem(body)
    return Outcome(
        verdict,
        answer.status,
        body,
        reason=str(problem.get("reason", "")),
        detail=str(problem.get("detail", "")),
        retry_after_s=_read_retry_after(problem, answer),
        key=_read_key(problem, answer),
    )


def _read_problem(body: bytes) -> dict:
    try:
        problem = json.loads(body)
    except (ValueError, RecursionError):
        return {}
    return problem if isinstance(problem, dict) else {}


def _read_retry_after(problem: dict, answer: aiohttp.ClientResponse) -> float | None:
    value = problem.get("retry_after_s", answer.headers.get("Retry-After"))
    try:
        seconds = float(value)
    except (TypeError, ValueError):
        return None
    return seconds if 0 <= seconds < float("inf") else None


def _read_key(problem: dict, answer: aiohttp.ClientResponse) -> str | None:
    key = problem.get("idempotency_key", answer.headers.get("Idempotency-Key"))
    return key if isinstance(key, str) and key else None
