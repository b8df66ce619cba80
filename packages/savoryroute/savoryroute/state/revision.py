"""Revisions of the platform's store, ordered over its returns from older copies.

A store that returns from a copy gives out revisions again. Each return begins a new
era, so an era and a revision within it are kept as one number that only rises.
"""

from __future__ import annotations

__all__ = ["era_of", "ordered_revision", "revision_in_era"]

# More revisions than a store gives out in its lifetime: at 1,000 changes a second it
# takes 34 years to count to this.
REVISIONS_PER_ERA = 2**40


def ordered_revision(era: int, revision: int) -> int:
    """Return the number that orders a revision among those of all eras."""
    return era * REVISIONS_PER_ERA + revision


def era_of(ordered: int) -> int:
    """Return the era of an ordered revision."""
    return ordered // REVISIONS_PER_ERA


def revision_in_era(ordered: int) -> int:
    """Return the revision by which the store itself knows an ordered revision."""
    return ordered % REVISIONS_PER_ERA
