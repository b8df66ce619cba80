"""Show the state of daemons."""

from __future__ import annotations

import asyncio

import uvloop
from result import Result, is_err

from ..exit_code import ExitCode
from ..operators import FetchError, OperatorsClient
from ..options import Options
from ..output import print_error, print_line, print_table
from .registry import COMMANDS

__all__ = ["status"]

STATUS_PATH = "/status"
ENVIRONMENTS = ("production", "trial")
DIGEST_CHARACTERS = 12
MISSING = "-"
TITLES = ("address", "host", "service", "readiness", *ENVIRONMENTS, "members")


@COMMANDS.register("status")
def status(options: Options) -> ExitCode:
    """Print a row for each daemon, and whether their documents agree."""
    answers = uvloop.run(_fetch_all(options))
    found = []
    exit_code = ExitCode.OK
    for address, answer in zip(options.addresses, answers, strict=True):
        if is_err(answer):
            print_error(answer.err_value.detail)
            exit_code = max(exit_code, answer.err_value.exit_code)
        else:
            found.append((address, answer.ok_value))
    if found:
        print_table([TITLES, *(_row(address, state) for address, state in found)])
        _print_agreement([state for _, state in found])
    return exit_code


async def _fetch_all(options: Options) -> list[Result[dict, FetchError]]:
    async with OperatorsClient(options.operator_key()) as client:
        fetches = (client.fetch(address, STATUS_PATH) for address in options.addresses)
        return await asyncio.gather(*fetches)


def _row(address: object, state: dict) -> tuple[object, ...]:
    documents = (_show_document(state, environment) for environment in ENVIRONMENTS)
    return (
        address,
        state.get("host", MISSING),
        state.get("service", MISSING),
        state.get("readiness", MISSING),
        *documents,
        _show_members(state.get("members")),
    )


def _document(state: dict, environment: str) -> dict | None:
    documents = state.get("documents")
    document = documents.get(environment) if isinstance(documents, dict) else None
    return document if isinstance(document, dict) else None


def _show_document(state: dict, environment: str) -> str:
    document = _document(state, environment)
    if document is None:
        return MISSING
    digest = str(document.get("digest", ""))[:DIGEST_CHARACTERS]
    return f"v{document.get('version')} r{document.get('revision')} {digest}"


def _show_members(members: object) -> str:
    if not isinstance(members, list):
        return MISSING
    states = [m.get("status") for m in members if isinstance(m, dict)]
    counts = (f"{states.count(name)} {name}" for name in sorted(set(map(str, states))))
    return ", ".join(counts) or "none"


def _print_agreement(states: list[dict]) -> None:
    for environment in ENVIRONMENTS:
        shown = {_show_document(state, environment) for state in states}
        if len(shown) > 1:
            print_line(f"{environment} documents differ: {', '.join(sorted(shown))}")
