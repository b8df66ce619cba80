"""Counts of requests by organisation, with a bounded number of labels.

Load pattern: thousands of organisations, of which a few send most of the requests.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set

import attrs

__all__ = ["OrganisationCounters"]

# Organisations with the most requests that have labels of their own.
N_LABELS = 10
# Label of all other organisations together.
OTHER_LABEL = "other"
# Label of refused requests that no organisation can be named for.
UNKNOWN_LABEL = ""


@attrs.define(slots=True)
class _Counts:
    """Requests of one organisation: all, and the refused ones by status."""

    n_requests: int = 0
    n_unauthorised: int = 0
    n_over_quota: int = 0
    n_refused: int = 0

    def add(self, other: _Counts) -> None:
        """Add the counts of another organisation."""
        self.n_requests += other.n_requests
        self.n_unauthorised += other.n_unauthorised
        self.n_over_quota += other.n_over_quota
        self.n_refused += other.n_refused


class OrganisationCounters:
    """Counts requests of callers by organisation."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}
        self._gone = _Counts()

    def note_request(self, organisation: str) -> None:
        """Count a request whose organisation is known."""
        self._counts_of(organisation).n_requests += 1

    def note_refusal(self, organisation: str, status: int) -> None:
        """Count a refused request.

        Args:
            organisation: Name of the organisation, or an empty string.
            status: HTTP status that the caller gets.
        """
        counts = self._counts_of(organisation)
        if status == 401:
            counts.n_unauthorised += 1
        elif status == 429:
            counts.n_over_quota += 1
        else:
            counts.n_refused += 1

    def keep_only(self, organisations: Set[str]) -> None:
        """Add the counts of organisations that are gone to those of the others."""
        for name in self._counts.keys() - organisations - {UNKNOWN_LABEL}:
            self._gone.add(self._counts.pop(name))

    def gauges(self) -> dict[str, dict[str, int]]:
        """Return counts by label; ``other`` falls when one gets a label of its own."""
        requests = {name: item.n_requests for name, item in self._counts.items()}
        requests.pop(UNKNOWN_LABEL, None)
        largest = {name for name, _ in Counter(requests).most_common(N_LABELS)}
        by_label: dict[str, _Counts] = {}
        if self._gone != _Counts():
            by_label.setdefault(OTHER_LABEL, _Counts()).add(self._gone)
        for name, counts in self._counts.items():
            is_own = name in largest or name == UNKNOWN_LABEL
            label = _escape(name) if is_own else OTHER_LABEL
            by_label.setdefault(label, _Counts()).add(counts)
        return {
            f"organisation_{field}": {
                label: getattr(counts, f"n_{field}")
                for label, counts in by_label.items()
            }
            for field in ("requests", "unauthorised", "over_quota", "refused")
        }

    def _counts_of(self, organisation: str) -> _Counts:
        counts = self._counts.get(organisation)
        if counts is None:
            counts = self._counts[organisation] = _Counts()
        return counts


def _escape(name: str) -> str:
    """Return a name as a label; the metrics library does not escape labels."""
    return name.replace("\\", "\\\\").replace('"', '\\"')
