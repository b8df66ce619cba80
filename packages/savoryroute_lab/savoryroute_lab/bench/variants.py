"""Variants to compare: baselines without daemons, and environment documents."""

from __future__ import annotations

import copy
from collections.abc import Callable

import attrs

from ..deployment import QUEUE_PER_SLOT

__all__ = ["FEATURES_OFF", "FIXED_LIMITS", "NO_CONTROL", "SAVORYROUTE", "Variant"]

PAYLOAD_BYTES = 512
CONNECTION_COST_S = 0.001
ATTEMPTS_PER_HOP = 3
HOP_TIMEOUT_S = 1.5

Document = dict[str, object]


def _unchanged(document: Document) -> None:
    pass


@attrs.frozen
class Variant:
    """One way to run a deployment.

    Attributes:
        name: Name in the report.
        has_daemons: Whether calls go through daemons.
        outlasts_callers: Whether upstreams continue work after its caller has
            disconnected.
        queue_per_slot: Queue length of an upstream for each of its slots; None for no
            limit.
        change: Changes the environment document in place.
    """

    name: str
    has_daemons: bool = True
    outlasts_callers: bool = False
    queue_per_slot: int | None = QUEUE_PER_SLOT
    change: Callable[[Document], None] = _unchanged

    def upstream_settings(self, slots: int) -> dict[str, object]:
        """Return the settings of an upstream.

        Without daemons, the upstreams retry their downstream calls themselves.

        Args:
            slots: Slots of the upstream.
        """
        queue_length = None
        if self.queue_per_slot is not None:
            queue_length = self.queue_per_slot * slots
        return {
            "payload_bytes": PAYLOAD_BYTES,
            "connection_cost_s": CONNECTION_COST_S,
            "queue_length": queue_length,
            "outlasts_callers": self.outlasts_callers,
            "attempts_per_hop": 1 if self.has_daemons else ATTEMPTS_PER_HOP,
            "hop_timeout_s": None if self.has_daemons else HOP_TIMEOUT_S,
        }

    def document(self, document: Document) -> Document:
        """Return a copy of a document with the changes of this variant."""
        changed = copy.deepcopy(document)
        self.change(changed)
        return changed


def _equal_ranks(document: Document) -> None:
    for policy in document["classes"].values():
        policy["rank"] = 0


def _fixed_limits(document: Document) -> None:
    for service in document["services"].values():
        service["limit"]["kind"] = "fixed"


def _unlimited_retries(document: Document) -> None:
    document["retries"]["budget_ratio"] = 1.0
    document["retries"]["budget_minimum_per_s"] = 1000.0


def _no_spill_over(document: Document) -> None:
    document["spill_over"]["enabled"] = False


def _no_ejection(document: Document) -> None:
    document["ejection"]["maximum_fraction"] = 0.0


NO_CONTROL = Variant(
    "no control", has_daemons=False, outlasts_callers=True, queue_per_slot=None
)
FIXED_LIMITS = Variant("fixed limits", has_daemons=False)
SAVORYROUTE = Variant("ours")
FEATURES_OFF = (
    Variant("ours, equal ranks", change=_equal_ranks),
    Variant("ours, fixed limit", change=_fixed_limits),
    Variant("ours, free retries", change=_unlimited_retries),
    Variant("ours, no spill-over", change=_no_spill_over),
    Variant("ours, no ejection", change=_no_ejection),
)
