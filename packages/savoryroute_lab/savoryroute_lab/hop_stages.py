"""Time of a profiled daemon by stage."""

from __future__ import annotations

import pstats
from collections import Counter

__all__ = ["stage_shares"]

STAGE_OF_PATH = {
    "aiohttp": "http",
    "multidict": "http",
    "yarl": "http",
    "websockets": "websocket",
    "cbor2": "cbor",
    "savoryroute/protocol": "own protocol",
    "savoryroute/transport": "own transport",
    "savoryroute/coordination": "decide",
    "savoryroute/state": "decide",
    "asyncio": "event loop",
    "uvloop": "event loop",
    "logging": "logging",
}
TOP_FUNCTIONS = 25
IDLE_NAMES = ("run_until_complete", "poll", "run")


def stage_shares(path: str) -> dict[str, object]:
    """Return the seconds by stage and the slowest functions of a profile.

    Args:
        path: File that cProfile wrote.
    """
    stages: Counter[str] = Counter()
    functions: Counter[str] = Counter()
    for (file, line, name), (_, n_calls, own_s, _, _) in _entries(path):
        stages[_stage(file, name)] += own_s
        functions[f"{file[-44:]}:{line} {name} ({n_calls} calls)"] = own_s
    return {
        "seconds": {name: round(spent, 3) for name, spent in stages.most_common()},
        "functions": {
            name: round(spent, 3)
            for name, spent in functions.most_common(TOP_FUNCTIONS)
        },
    }


def _entries(path: str):
    return pstats.Stats(path).stats.items()  # type: ignore[attr-defined]


def _stage(file: str, name: str) -> str:
    for part, stage in STAGE_OF_PATH.items():
        if f"/{part}/" in file or part in name:
            return stage
    return "event loop and socket" if file == "~" else "other"
