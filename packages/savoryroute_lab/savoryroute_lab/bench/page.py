"""Table, plots and summary of all runs."""

from __future__ import annotations

import json
import pathlib
from collections.abc import Iterable, Mapping, Sequence

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

from ..report import Window  # noqa: E402
from ..tally import Outcome  # noqa: E402
from .figures import Figures  # noqa: E402

__all__ = ["plot", "save", "summary", "table"]

BIN_S = 0.5
COLUMNS = (
    ("deployment", 12),
    ("variant", 22),
    ("surge", 6),
    ("before", 7),
    ("protected", 10),
    ("settled", 8),
    ("all", 7),
    ("after", 7),
    ("recovery s", 11),
    ("attempts", 9),
    ("cpu mean", 9),
    ("cpu max", 8),
    ("lag ms", 7),
    ("targets", 8),
)


def table(figures: Iterable[Figures]) -> str:
    """Return a line of headings and one line for each run.

    ``before`` and ``after`` are shares of timely requests. ``protected`` and ``all``
    are ratios of the goodput during the trigger to the oracle's. ``settled`` is the
    ratio of the protected classes without the first seconds of the trigger, in which
    requests from before it end.
    """
    lines = [_line([name for name, _ in COLUMNS])]
    lines += [_line(_cells(item)) for item in figures]
    return "\n".join(lines)


def summary(
    figures: Iterable[Figures], metadata: Mapping[str, object]
) -> dict[str, object]:
    """Return the figures of all runs for JSON, by deployment, variant and surge.

    Args:
        figures: Figures of the runs.
        metadata: Further members at the top level.
    """
    result: dict[str, object] = dict(metadata)
    for item in figures:
        run = item.run
        of_deployment = result.setdefault(run.scenario.name, {})
        of_variant = of_deployment.setdefault(run.variant.name, {})
        of_variant[f"{run.surge:g}x"] = _run_summary(item)
    return result


def plot(figures: Sequence[Figures], folder: pathlib.Path) -> list[pathlib.Path]:
    """Plot complete answers over time, one file for each deployment and surge."""
    folder.mkdir(parents=True, exist_ok=True)
    groups: dict[tuple[str, float], list[Figures]] = {}
    for item in figures:
        groups.setdefault((item.run.scenario.name, item.run.surge), []).append(item)
    paths = []
    for (name, surge), items in groups.items():
        path = folder / f"{name}-{surge:g}x.png"
        _draw(f"{name}, demand {surge:g}x", items, path)
        paths.append(path)
    return paths


def save(text: str, data: Mapping[str, object], folder: pathlib.Path) -> None:
    """Write the table and the summary to files in a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "report.txt").write_text(text + "\n")
    (folder / "report.json").write_text(json.dumps(data, indent=1) + "\n")


def _cells(item: Figures) -> list[str]:
    run = item.run
    recovery = "none" if item.recovery_s is None else f"{item.recovery_s:.0f}"
    n_attempts = sum(len(request.attempts) for request in run.requests)
    return [
        run.scenario.name,
        run.variant.name,
        f"{run.surge:g}x",
        f"{item.steady:.3f}",
        f"{item.protected_ratio:.3f}",
        f"{item.settled_protected_ratio:.3f}",
        f"{item.ratio:.3f}",
        f"{item.after:.3f}",
        recovery,
        str(n_attempts),
        f"{run.cpu.mean:.2f}" + ("!" if run.cpu.was_saturated else ""),
        f"{run.cpu.highest:.2f}",
        f"{run.cpu.highest_lag_s * 1000:.0f}",
        "met" if item.meets_targets else "missed",
    ]


def _line(cells: Sequence[str]) -> str:
    widths = [width for _, width in COLUMNS]
    parts = zip(cells, widths, strict=True)
    return "".join(cell.rjust(width) for cell, width in parts)


def _run_summary(item: Figures) -> dict[str, object]:
    names = sorted(item.oracle)
    return {
        "steady": round(item.steady, 3),
        "protected_ratio": round(item.protected_ratio, 3),
        "settled_protected_ratio": round(item.settled_protected_ratio, 3),
        "all_ratio": round(item.ratio, 3),
        "after": round(item.after, 3),
        "recovery_s": item.recovery_s,
        "targets_met": item.meets_targets,
        "cpu_mean": round(item.run.cpu.mean, 2),
        "cpu_was_full": item.run.cpu.was_saturated,
        "whole": {name: item.complete.get(name, 0) for name in names},
        "endings": dict(item.endings),
        "oracle": {name: round(item.oracle[name], 1) for name in names},
    }


def _draw(title: str, items: Sequence[Figures], path: pathlib.Path) -> None:
    figure, (all_axes, protected) = pyplot.subplots(2, 1, figsize=(10, 8), sharex=True)
    for item in items:
        classes = set(item.run.scenario.ranks)
        all_axes.plot(*_rates(item, classes), label=item.run.variant.name)
        protected.plot(*_rates(item, item.run.scenario.protected))
    phases = items[0].run.phases
    for axes in (all_axes, protected):
        axes.axvspan(
            phases.steady_s, phases.steady_s + phases.trigger_s, color="0.9", zorder=0
        )
        axes.set_ylim(bottom=0)
    all_axes.set_title(title)
    all_axes.set_ylabel("complete answers per second, all classes")
    protected.set_ylabel("complete answers per second, protected classes")
    protected.set_xlabel("seconds (grey: trigger)")
    all_axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _rates(item: Figures, classes: set[str]) -> tuple[list[float], list[float]]:
    run = item.run
    n_bins = int(run.phases.total_s / BIN_S)
    counts = [0] * n_bins
    span = Window(run.start_s, run.start_s + n_bins * BIN_S)
    for request in run.requests:
        is_inside = span.start_s <= request.ended_s < span.end_s
        is_complete = request.outcome is Outcome.COMPLETE
        if is_inside and is_complete and request.class_name in classes:
            counts[int((request.ended_s - span.start_s) / BIN_S)] += 1
    times_s = [(number + 0.5) * BIN_S for number in range(n_bins)]
    return times_s, [count / BIN_S for count in counts]
