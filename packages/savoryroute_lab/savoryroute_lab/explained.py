"""Why a request was refused, from the operators' ports of a fleet's daemons."""

from __future__ import annotations

import urllib.parse
from collections.abc import Iterable

import aiohttp

from savoryroute.verdict import Reason, Verdict

from .http import client_session
from .tally import Attempt, LogicalRequest
from .wiring import LOOPBACK, OPERATOR_KEY, Wiring

__all__ = ["explain_refusal", "latest_refusal"]

ASK_TIMEOUT_S = 2.0


def latest_refusal(requests: Iterable[LogicalRequest]) -> Attempt | None:
    """Return the latest attempt refused because of overload, or None."""
    refusals = [
        attempt
        for request in requests
        for attempt in request.attempts
        if attempt.verdict is Verdict.NOT_RUN
        and attempt.reason == Reason.OVERLOAD
        and attempt.action
    ]
    return max(refusals, key=lambda attempt: attempt.sent_s, default=None)


async def explain_refusal(wiring: Wiring, attempt: Attempt) -> list[str]:
    """Ask all daemons for their decisions about the action of an attempt.

    Returns:
        A heading, then one line for each decision; the decisions of each daemon are
        in the order in which it returns them, oldest first.
    """
    lines = [f"why {attempt.action} was refused (status {attempt.status}):"]
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
    async with client_session(headers=headers, timeout=timeout) as session:
        for host, ports in wiring.ports.items():
            action = urllib.parse.quote(attempt.action, safe="")
            url = f"http://{LOOPBACK}:{ports.operators}/explain/{action}"
            async with session.get(url) as response:
                answer = await response.json()
            lines += [
                f"  {host}: {entry['uptime_s']:.3f} s {entry['what']}: "
                f"{entry['detail']}"
                for entry in answer["decisions"]
            ]
    return lines
