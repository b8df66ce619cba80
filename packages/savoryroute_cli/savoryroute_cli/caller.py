"""Well-behaved caller: keys, deadline and returns as the daemons ask."""

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
"""Time after the deadline in which the daemon's own refusal may still arrive."""
MS_PER_S = 1000
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")


@attrs.frozen
class Outcome:
    """What one send came to.

    Attributes:
        verdict: What is known about the execution of the request.
        status: HTTP status; 0 where no whole answer came.
        body: Body of the answer.
        reason: Reason of a refusal; empty for an upstream's own answer.
        detail: One sentence for a person.
        retry_after_s: Seconds after which to come back, or None.
        key: Idempotency key with which to go on, or None.
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
    """One action and the sends that it takes.

    Attributes:
        url: Where to send the request.
        method: HTTP method.
        data: Body of the request.
        key: Idempotency key of the action, or None.
        timeout_ms: Milliseconds that the whole action may take, or None.
        is_retrying: Whether to come back after a refusal that names a time.
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
        """Send the request, again with a key or later where asked to."""
        may_have_run = False
        async with aiohttp.ClientSession(middlewares=(_send_once,)) as session:
            for _ in range(ATTEMPTS_MAX):
                outcome = self._judge(await self._send(session), may_have_run)
                may_have_run = outcome.verdict is Verdict.MAY_HAVE_RUN
                wait_s = self._wait_s(outcome)
                if wait_s is None or self._left_s() <= wait_s:
                    break
                await asyncio.sleep(wait_s)
                self.key = self._next_key(outcome)
        return outcome

    def _judge(self, outcome: Outcome, may_have_run: bool) -> Outcome:
        """Return the outcome with the verdict on all sends of the action.

        Only a daemon that knows the key can say that an earlier send, which may
        have run, did not.
        """
        is_known = self.key is not None and outcome.status != 0
        if not may_have_run or is_known or outcome.verdict is not Verdict.NOT_RUN:
            return outcome
        return attrs.evolve(outcome, verdict=Verdict.MAY_HAVE_RUN)

    def _left_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def _wait_s(self, outcome: Outcome) -> float | None:
        """Return the wait before the next send, or None to stop."""
        if outcome.verdict is Verdict.RAN:
            return None
        if outcome.reason == Reason.KEY_REQUIRED:
            return 0.0 if self.key is None and outcome.key else None
        if not self.is_retrying:
            return None
        is_safe = self.key is not None or self.method in SAFE_METHODS
        if outcome.verdict is Verdict.MAY_HAVE_RUN and not is_safe:
            return None
        return outcome.retry_after_s

    def _next_key(self, outcome: Outcome) -> str | None:
        if outcome.verdict is Verdict.NOT_RUN:
            return outcome.key
        return self.key

    async def _send(self, session: aiohttp.ClientSession) -> Outcome:
        left_s = max(self._left_s(), 1 / MS_PER_S)
        timeout = aiohttp.ClientTimeout(total=left_s + ANSWER_GRACE_S)
        try:
            async with session.request(
                self.method,
                self.url,
                data=self.data or None,
                headers=self._headers(left_s),
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

    def _headers(self, left_s: float) -> dict[str, str]:
        headers = {}
        if self.timeout_ms is not None:
            headers["grpc-timeout"] = f"{max(1, int(left_s * MS_PER_S))}m"
        if self.key is not None:
            headers["Idempotency-Key"] = self.key
        return headers


async def _send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep the HTTP client from sending a request again on its own.

    The client repeats idempotent methods, DELETE among them, after a lost
    connection; it does not after an error that it does not know.
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
