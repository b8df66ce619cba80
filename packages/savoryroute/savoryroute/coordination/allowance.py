"""Bound on the deliveries that one action causes in its call graph."""

from __future__ import annotations

__all__ = ["Allowance"]


class Allowance:
    """Deliveries to upstreams that a request may still cause.

    ``left + lent + spent`` never exceeds ``total``, in any order of calls. A loan
    whose answer is lost stays lent, so no delivery is counted twice. By induction
    over the call chain, this hop and those downstream of it make at most ``total``
    deliveries.

    Args:
        total: Deliveries given to this hop with the request.
    """

    def __init__(self, total: int) -> None:
        self._left = max(0, total)
        self._lent = 0

    @property
    def left(self) -> int:
        """Deliveries neither spent nor lent."""
        return self._left

    @property
    def lent(self) -> int:
        """Deliveries lent to downstream hops and not returned."""
        return self._lent

    def spend(self) -> bool:
        """Use one delivery; return whether one was left."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def lend(self) -> int:
        """Lend three quarters of what is left, at least 1, to a downstream hop.

        Returns:
            Number of deliveries lent, 0 if none are left.
        """
        if self._left == 0:
            return 0
        n_lent = max(1, self._left * 3 // 4)
        self._left -= n_lent
        self._lent += n_lent
        return n_lent

    def give_back(self, n: int) -> None:
        """Take back deliveries that a downstream hop did not use.

        Args:
            n: Unused deliveries in the hop's answer, clamped to the number lent.
                Call this at most once per loan.
        """
        n = min(max(0, n), self._lent)
        self._lent -= n
        self._left += n
