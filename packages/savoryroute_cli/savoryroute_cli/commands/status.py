"""Show the active documents, members and readiness of daemons."""

from __future__ import annotations

import asyncio
import collections

import uvloop
from result import Result, is_err

from ..exit_code import ExitCode
from ..operators import FetchError, OperatorsClient
from ..options import Options
from ..output import print_error, print_line, print_table
from .registry import COMMANDS

__all__ = ["status"]

STATUS_PATH = "/status"
DIGEST_CHARACTERS = 12
MISSING = "-"
TITLES = ("address", "host", "readiness", "production", "trial", "members")


@COMMANDS.register("status")
def status(options: Options) -> ExitCode:
    """Print a row for each daemon, and which of their documents differ."""
    answers = uvloop.run(_fetch_all(options))
    answered = []
    exit_code = ExitCode.OK
    for address, answer in zip(options.addresses, answers, strict=True):
        if is_err(answer):
            print_error(answer.err_value.detail)
            exit_code = max(exit_code, answer.err_value.exit_code)
        else:
            answered.append((address, answer.ok_value))
    if answered:
        print_table([TITLES, *(_row(address, state) for address, state in answered)])
        _print_differences([state for _, state in answered])
    return exit_code


async def _fetch_all(options: Options) -> list[Result[dict, FetchError]]:
    async with OperatorsClient(options.operator_key()) as client:
        fetches = (client.fetch(address, STATUS_PATH) for address in options.addresses)
        return await asyncio.gather(*fetches)


def _row(address: object, state: dict) -> tuple[object, ...]:
    return (
        address,
        state.get("host", MISSING),
        _format_readiness(state.get("not_ready")),
        _format_document(state),
        _format_document(state.get("trial")),
        _format_members(state.get("members")),
    )


def _format_readiness(not_ready: object) -> str:
    if not isinstance(not_ready, str):
        return MISSING
    return not_ready or "ready"


def _format_document(document: object) -> str:
    """Return the version, revision and digest of an active document as text."""
    if not isinstance(document, dict) or document.get("version") is None:
        return MISSING
    digest = str(document.get("digest", ""))[:DIGEST_CHARACTERS]
    shown = f"v{document['version']} r{document.get('revision', MISSING)} {digest}"
    return shown.rstrip()


def _format_members(members: object) -> str:
    if not isinstance(members, dict):
        return MISSING
    counts = collections.Counter(map(str, members.values()))
    shown = (f"{n_members} {status}" for status, n_members in sorted(counts.items()))
    return ", ".join(shown) or "none"


def _print_differences(states: list[dict]) -> None:
    documents = {
        "production": {_format_document(state) for state in states},
        "trial": {_format_document(state.get("trial")) for state in states},
    }
    for environment, shown in documents.items():
        if len(shown) > 1:
            print_line(f"{environment} documents differ: {', '.join(sorted(shown))}")
