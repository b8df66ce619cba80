"""Show the recent decisions of a daemon about one action."""

from __future__ import annotations

import urllib.parse

import uvloop
from result import Result, is_err

from ..exit_code import ExitCode
from ..operators import FetchError, OperatorsClient
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["explain"]


@COMMANDS.register("explain")
def explain(options: Options) -> ExitCode:
    """Print a line for each decision, oldest first."""
    answer = uvloop.run(_fetch(options))
    if is_err(answer):
        print_error(answer.err_value.detail)
        return answer.err_value.exit_code
    decisions = answer.ok_value.get("decisions")
    if not isinstance(decisions, list) or not decisions:
        print_error(f"nothing is known about action {options.action}")
        return ExitCode.REFUSED
    for entry in decisions:
        _print_decision(entry if isinstance(entry, dict) else {})
    return ExitCode.OK


async def _fetch(options: Options) -> Result[dict, FetchError]:
    action = urllib.parse.quote(options.action, safe="")
    (address,) = options.addresses
    async with OperatorsClient(options.operator_key()) as client:
        return await client.fetch(address, f"/explain/{action}")


def _print_decision(entry: dict) -> None:
    uptime_s = entry.get("uptime_s")
    shown = f"{uptime_s:.3f} s" if isinstance(uptime_s, int | float) else "-"
    print_line(shown, entry.get("what"), entry.get("detail"))
