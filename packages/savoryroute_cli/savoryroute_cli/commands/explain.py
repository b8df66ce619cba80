"""Show the recent decisions about one action, from a daemon or from its logs."""

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

# Changes of a host's state are shown if they occurred at most this many seconds before
# one of its decisions.
CHANGES_BEFORE_S = 1.0
COLUMN_FIELDS = frozenset({"time", "event", "host"})


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
        print_error(f"no recorded decisions about action {options.action}")
        return ExitCode.REFUSED
    for entry in decisions:
        _print_decision(entry if isinstance(entry, dict) else {})
    return ExitCode.OK


def _explain_by_logs(path: str, action: str) -> ExitCode:
    """Print the log lines about a request, with the changes that preceded them.

    Lines about the request itself and about the downstream calls of its action are
    selected. For each of them, the changes of state that the same host logged in the
    second before are printed too.
    """
    try:
        text = pathlib.Path(path).read_text(errors="replace")
    except OSError as exc:
        print_error(f"{path}: {exc.strerror}")
        return ExitCode.UNREACHABLE
    entries = [entry for line in text.splitlines() if (entry := _parse_line(line))]
    decisions = [entry for entry in entries if _is_about(entry, action)]
    if not decisions:
        print_error(f"{path}: no log line about request {action}")
        return ExitCode.REFUSED
    selected = [
        entry
        for entry in entries
        if entry in decisions or any(_is_just_before(entry, d) for d in decisions)
    ]
    for entry in sorted(selected, key=lambda entry: entry["time"]):
        fields = {k: v for k, v in entry.items() if k not in COLUMN_FIELDS}
        fields_text = " ".join(f"{name}={value}" for name, value in fields.items())
        print_line(f"{entry['time']:.3f}", entry["host"], entry["event"], fields_text)
    return ExitCode.OK


def _parse_line(line: str) -> dict | None:
    """Return the log entry in a line, or None if there is none."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = json.loads(line[start:])
    except ValueError:
        return None
    if not isinstance(entry, dict) or not entry.keys() >= COLUMN_FIELDS:
        return None
    return entry if isinstance(entry["time"], int | float) else None


def _is_about(entry: dict, action: str) -> bool:
    """Return whether an entry is about a request or a downstream call of its action."""
    request = str(entry.get("request", ""))
    return request == action or request.startswith(f"{action}.")


def _is_just_before(entry: dict, decision: dict) -> bool:
    """Return whether an entry is a change of state that may explain a decision."""
    is_change = "request" not in entry and entry["host"] == decision["host"]
    return is_change and 0.0 <= decision["time"] - entry["time"] <= CHANGES_BEFORE_S


async def _fetch(options: Options) -> Result[dict, FetchError]:
    action = urllib.parse.quote(options.action, safe="")
    (address,) = options.addresses
    async with OperatorsClient(options.operator_key()) as client:
        return await client.fetch(address, f"/explain/{action}")


def _print_decision(entry: dict) -> None:
    uptime_s = entry.get("uptime_s")
    uptime = f"{uptime_s:.3f} s" if isinstance(uptime_s, int | float) else "-"
    print_line(uptime, entry.get("what"), entry.get("detail"))
