"""Goodput over time, recovery time and the result table of a run."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import attrs

from .tally import LogicalRequest, Outcome, Tally

__all__ = ["Window", "goodput", "reasons_line", "recovery_s", "table"]

BIN_S = 0.5
RECOVERED_SHARE = 0.9
COLUMNS = (
    ("class", 16),
    ("sent", 6),
    ("attempts", 9),
    ("whole", 6),
    ("refused", 8),
    ("may have run", 13),
    ("failed", 7),
    ("wrong", 6),
    ("p50 ms", 8),
    ("p99 ms", 8),
)


@attrs.frozen
class Window:
    """Interval of monotonic time, without its end."""

    start_s: float
    end_s: float

    def contains(self, request: LogicalRequest) -> bool:
        """Return whether a request started in this window."""
        return self.start_s <= request.started_s < self.end_s


def goodput(requests: Iterable[LogicalRequest], window: Window) -> float:
    """Return the fraction of requests in a window that got a complete answer.

    A window without requests has a goodput of 1.
    """
    in_window = [request for request in requests if window.contains(request)]
    if not in_window:
        return 1.0
    n_complete = sum(request.outcome is Outcome.COMPLETE for request in in_window)
    return n_complete / len(in_window)


def recovery_s(
    requests: Sequence[LogicalRequest], baseline: float, window: Window
) -> float | None:
    """Return how long goodput took to recover for the rest of a window.

    Args:
        requests: Requests of the whole run.
        baseline: Goodput before the trigger.
        window: Time from the end of the trigger to the end of the observation.

    Returns:
        Seconds from the start of the window until goodput stays at
        ``RECOVERED_SHARE`` of the baseline or above; None if it does not recover.
    """
    n_bins = int((window.end_s - window.start_s) / BIN_S)
    first_recovered_bin = 0
    for number in range(n_bins):
        start_s = window.start_s + number * BIN_S
        share = goodput(requests, Window(start_s, start_s + BIN_S))
        if share < RECOVERED_SHARE * baseline:
            first_recovered_bin = number + 1
    return None if first_recovered_bin >= n_bins else first_recovered_bin * BIN_S


def table(tallies: Iterable[Tally]) -> str:
    """Return a table with a header line and one line for each class."""
    lines = ["".join(name.rjust(width) for name, width in COLUMNS)]
    for tally in sorted(tallies, key=lambda tally: tally.class_name):
        cells = _cells(tally)
        widths = (width for _, width in COLUMNS)
        parts = zip(cells, widths, strict=True)
        lines.append("".join(cell.rjust(width) for cell, width in parts))
    return "\n".join(lines)


def reasons_line(tally: Tally) -> str:
    """Return why requests of a class failed, with the most frequent reasons first."""
    parts = (f"{reason} {count}" for reason, count in tally.reasons.most_common())
    return f"{tally.class_name} without a complete answer: {', '.join(parts)}"


def _cells(tally: Tally) -> list[str]:
    outcomes = tally.outcomes
    return [
        tally.class_name,
        str(tally.n_sent),
        str(tally.n_attempts),
        str(outcomes[Outcome.COMPLETE]),
        str(outcomes[Outcome.REFUSED]),
        str(outcomes[Outcome.MAY_HAVE_RUN]),
        str(outcomes[Outcome.FAILED]),
        str(outcomes[Outcome.WRONG]),
        f"{tally.latency_s(0.5) * 1000:.1f}",
        f"{tally.latency_s(0.99) * 1000:.1f}",
    ]
