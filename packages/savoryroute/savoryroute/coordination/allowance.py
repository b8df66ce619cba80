"""Bound on the deliveries that one action causes along its call chain."""

from __future__ import annotations

__all__ = ["Allowance"]


class Allowance:
    """Deliveries to upstreams that a request may still cause.

    ``left + lent + spent`` never exceeds the total, whatever the order of calls.
    A loan whose answer is lost stays lent, so nothing is counted twice. By
    induction over the chain, deliveries below and at this hop are at most
    ``total``.

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
        """Deliveries lent to further hops and not given back."""
        return self._lent

    def spend(self) -> bool:
        """Take one delivery; return whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def lend(self) -> int:
        """Take three quarters of what is left, at least 1, for a further hop.

        Returns:
            The deliveries lent, 0 if nothing is left.
        """
        if self._left == 0:
            return 0
        n_lent = max(1, self._left * 3 // 4)
        self._left -= n_lent
        self._lent += n_lent
        return n_lent

    def give_back(self, n: int) -> None:
        """Take back what a further hop did not use.

        Args:
            n: Deliveries that the answer brought back, clamped to what is lent.
                Call this at most once for each loan.
        """
        n = min(max(0, n), self._lent)
        self._lent -= n
        self._left += n
