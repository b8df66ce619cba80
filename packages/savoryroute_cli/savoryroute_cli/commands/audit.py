"""Show the audit trail of a daemon."""

from __future__ import annotations

import asyncio
import datetime

import attrs
import uvloop
from result import Err, Ok, Result, is_err

from ..exit_code import ExitCode
from ..operators import FetchError, OperatorsClient
from ..options import Options
from ..output import print_error, print_line
from .registry import COMMANDS

__all__ = ["audit"]

FOLLOW_INTERVAL_S = 1.0


@attrs.frozen
class Page:
    """Page of the audit trail.

    Attributes:
        entries: New entries, oldest first.
        last_sequence: Sequence number of the daemon's latest entry. If the daemon does
            not report it, that of the last entry shown.
    """

    entries: list[dict]
    last_sequence: int


@COMMANDS.register("audit")
def audit(options: Options) -> ExitCode:
    """Print the entries of the trail; with ``--follow``, also new ones."""
    failure = uvloop.run(_print_trail(options))
    if failure is None:
        return ExitCode.OK
    print_error(failure.detail)
    return failure.exit_code


async def _print_trail(options: Options) -> FetchError | None:
    sequence = 0
    async with OperatorsClient(options.operator_key()) as client:
        while True:
            fetched = await _fetch_page(client, options, sequence)
            if is_err(fetched):
                return fetched.err_value
            page = fetched.ok_value
            if page.last_sequence < sequence:
                print_line("the daemon has restarted")
                sequence = 0
                continue
            for entry in page.entries:
                _print_entry(entry)
                sequence = entry["sequence"]
            if page.entries:
                continue
            if not options.is_following:
                return None
            await asyncio.sleep(FOLLOW_INTERVAL_S)


async def _fetch_page(
    client: OperatorsClient, options: Options, sequence: int
) -> Result[Page, FetchError]:
    (address,) = options.addresses
    answer = await client.fetch(address, f"/audit?after={sequence}")
    if is_err(answer):
        return answer
    entries = answer.ok_value.get("entries")
    last_sequence = answer.ok_value.get("last_sequence", sequence)
    is_page = isinstance(entries, list) and all(map(_is_entry, entries))
    if not is_page or type(last_sequence) is not int:
        detail = f"{address}: the answer holds no audit entries"
        return Err(FetchError(ExitCode.REFUSED, detail))
    new = [entry for entry in entries if entry["sequence"] > sequence]
    return Ok(Page(new, last_sequence))


def _is_entry(entry: object) -> bool:
    return isinstance(entry, dict) and type(entry.get("sequence")) is int


def _print_entry(entry: dict) -> None:
    print_line(
        entry["sequence"],
        _format_time(entry.get("wall_time_s")),
        entry.get("kind"),
        entry.get("subject"),
        entry.get("change"),
        f"({entry.get('evidence')})",
    )


def _format_time(wall_time_s: object) -> str:
    try:
        moment = datetime.datetime.fromtimestamp(wall_time_s, datetime.UTC)
    except (TypeError, ValueError, OverflowError, OSError):
        return "-"
    return moment.isoformat(timespec="milliseconds")
