"""One deliberate fault in the mechanism behind a promise."""

from __future__ import annotations

import attrs

__all__ = ["Mutation"]


@attrs.frozen
class Mutation:
    """One deliberate fault.

    Attributes:
        name: Promise or mechanism, and the faulty behaviour.
        file: Path relative to the package.
        old: Text to replace; it must occur exactly once in the file.
        new: Replacement.
        test: Module, class or method that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str
