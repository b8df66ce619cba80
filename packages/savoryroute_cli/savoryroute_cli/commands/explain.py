"""Show the recent decisions of a daemon about one action."""

from __future__ import annotations

import json
import pathlib
import urllib.parse

import uvloop
from result import Result, is_err

from ..exit_code import ExitCode
from ..operators import FetchError, OperatorsClient
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["explain"]

# Seconds before a decision in which changes of belief are shown beside it.
CHANGES_BEFORE_S = 1.0
SHOWN_APART = frozenset({"time", "event", "host"})


@COMMANDS.register("explain")
def explain(options: Options) -> ExitCode:
    """Print a line for each decision, oldest first."""
    if options.logs is not None:
        return _explain_by_logs(options.logs, options.action)
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


def _explain_by_logs(path: str, action: str) -> ExitCode:
    """Print the decisions about a request, then what changed while it ran.

    The lines of the request itself and of the further calls of its action count;
    beside them stand changes of belief of the same hosts in the second before each.
    """
    try:
        text = pathlib.Path(path).read_text(errors="replace")
    except OSError as exc:
        print_error(f"{path}: {exc.strerror}")
        return ExitCode.UNREACHABLE
    entries = [entry for line in text.splitlines() if (entry := _parse_line(line))]
    decisions = [entry for entry in entries if _is_about(entry, action)]
    if not decisions:
        print_error(f"{path}: no line is about request {action}")
        return ExitCode.REFUSED
    shown = [
        entry
        for entry in entries
        if entry in decisions or any(_is_just_before(entry, d) for d in decisions)
    ]
    for entry in sorted(shown, key=lambda entry: entry["time"]):
        fields = {k: v for k, v in entry.items() if k not in SHOWN_APART}
        told = " ".join(f"{name}={value}" for name, value in fields.items())
        print_line(f"{entry['time']:.3f}", entry["host"], entry["event"], told)
    return ExitCode.OK


def _parse_line(line: str) -> dict | None:
    """Return the log entry in a line, None if there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(entry, dict) or not entry.keys() >= SHOWN_APART:
        return None
    return entry if isinstance(entry["time"], int | float) else None


def _is_about(entry: dict, action: str) -> bool:
    """Return whether an entry is about a request or a further call of its action."""
    request = str(entry.get("request", ""))
    return request == action or request.startswith(f"{action}.")


def _is_just_before(entry: dict, decision: dict) -> bool:
    """Return whether an entry is a change of belief that a decision may rest on."""
    is_change = "request" not in entry and entry["host"] == decision["host"]
    return is_change and 0.0 <= decision["time"] - entry["time"] <= CHANGES_BEFORE_S


async def _fetch(options: Options) -> Result[dict, FetchError]:
    action = urllib.parse.quote(options.action, safe="")
    (address,) = options.addresses
    async with OperatorsClient(options.operator_key()) as client:
        return await client.fetch(address, f"/explain/{action}")


def _print_decision(entry: dict) -> None:
    uptime_s = entry.get("uptime_s")
    shown = f"{uptime_s:.3f} s" if isinstance(uptime_s, int | float) else "-"
    print_line(shown, entry.get("what"), entry.get("detail"))
