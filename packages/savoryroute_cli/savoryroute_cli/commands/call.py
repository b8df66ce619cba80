"""Send one request according to the rules for callers."""

from __future__ import annotations

import sys

import uvloop
import yarl

from savoryroute.verdict import Verdict

from ..caller import Caller, Outcome
from ..exit_code import ExitCode
from ..options import Options, UsageError
from ..output import escape_unprintable, print_error
from .registry import COMMANDS

__all__ = ["call"]


@COMMANDS.register("call")
def call(options: Options) -> ExitCode:
    """Send the request; print the verdict to stderr and the body to stdout."""
    caller = Caller(
        url=_parse_url(options.url),
        method=options.method,
        data=options.data,
        key=options.key,
        timeout_ms=options.timeout_ms,
        is_retrying=options.is_retrying,
    )
    outcome = uvloop.run(caller.run())
    _print_outcome(outcome, caller.key)
    if outcome.verdict is Verdict.RAN:
        return ExitCode.OK
    return ExitCode.REFUSED if outcome.status else ExitCode.UNREACHABLE


def _parse_url(text: str) -> yarl.URL:
    try:
        url = yarl.URL(text)
    except ValueError as exc:
        raise UsageError(f"{text}: {exc}") from None
    if url.scheme != "http" or not url.host:
        raise UsageError(
            f"{text}: not a URL such as http://127.0.0.1:7101/planner/plans/1"
        )
    return url


def _print_outcome(outcome: Outcome, key: str | None) -> None:
    fields = {
        "verdict": outcome.verdict,
        "status": outcome.status or None,
        "reason": outcome.reason,
        "detail": outcome.detail,
        "retry after (s)": outcome.retry_after_s,
        "key": key,
        "next key": outcome.key,
    }
    for name, value in fields.items():
        if value not in (None, ""):
            print_error(f"{name}: {escape_unprintable(value)}")
    sys.stdout.buffer.write(outcome.body)
    sys.stdout.buffer.flush()
