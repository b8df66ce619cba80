"""Load header in the answers of upstreams."""

from __future__ import annotations

import math
import re

import attrs

from ..state.instance_check import SLOTS_MAX

__all__ = ["ServerLoad", "read_server_load"]

# Longer figures are taken for garbage.
_FIGURE = re.compile(rb"[ \t]*([0-9]{1,9})[ \t]*")


@attrs.frozen(slots=True)
class ServerLoad:
    """Figures of the load header; None for those that are missing or unreadable.

    Attributes:
        n_running: Requests that run at the upstream.
        n_waiting: Requests that wait there.
        n_slots: Requests that it runs concurrently, from 1 to ``SLOTS_MAX``.
        work_time: Factor by which work takes longer there now than usual.
        unreadable: Names of the figures that are present but cannot be read.
    """

    n_running: int | None
    n_waiting: int | None
    n_slots: int | None
    work_time: float | None
    unreadable: tuple[str, ...] = attrs.field(default=(), eq=False)


def read_server_load(value: bytes) -> ServerLoad:
    """Decode the load header by position: running, waiting, slots, work time.

    Args:
        value: Non-negative integers separated by commas. The fourth, in percent, is
            stated by some upstreams only; further ones are ignored.
    """
    figures: list[int | None] = []
    unreadable: list[str] = []
    names = ("n_running", "n_waiting", "n_slots", "work_time")
    lowest = (0, 0, 1, 1)
    highest = (math.inf, math.inf, SLOTS_MAX, math.inf)
    for text, name, low, high in zip(
        value.split(b","), names, lowest, highest, strict=False
    ):
        match = _FIGURE.fullmatch(text)
        figure = int(match[1]) if match else None
        if figure is None or not low <= figure <= high:
            unreadable.append(name)
            figure = None
        figures.append(figure)
    figures += [None] * (len(names) - len(figures))
    n_running, n_waiting, n_slots, percent = figures
    work_time = None if percent is None else percent / 100
    return ServerLoad(n_running, n_waiting, n_slots, work_time, tuple(unreadable))
