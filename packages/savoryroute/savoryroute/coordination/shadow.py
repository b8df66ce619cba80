"""Shadow evaluation: decisions of the trial document, reported but not enforced."""

from __future__ import annotations

from collections import Counter

import attrs

from ..state.document import Document
from ..state.policies import ServicePolicy
from .limits import ConcurrencyLimit, make_limit

__all__ = ["ShadowDecision", "ShadowGate"]

# Weight of one call in the moving average of the latency.
LATENCY_WEIGHT = 0.1


@attrs.frozen
class ShadowDecision:
    """Decision on a call under the trial document.

    Attributes:
        is_refused: Whether the call would be refused.
        detail: Why, in one sentence.
    """

    is_refused: bool
    detail: str


class ShadowGate:
    """Estimates the decisions of an admission gate under the trial document.

    Calls run under the production document, or are all admitted if there is none.
    Calls in flight in excess of the trial limit count as the trial queue.

    Args:
        service: Service of the local upstream.
    """

    def __init__(self, service: str) -> None:
        self._service = service
        self._document: Document | None = None
        self._limit: ConcurrencyLimit | None = None
        self._n_in_flight = 0
        self._latency_s = 0.0
        self._counts: Counter[tuple[str, bool]] = Counter()

    @property
    def counts(self) -> dict[str, dict[str, int]]:
        """Numbers of calls that would be admitted and refused, by class."""
        found: dict[str, dict[str, int]] = {}
        for (class_name, is_refused), n_calls in self._counts.items():
            word = "refused" if is_refused else "admitted"
            found.setdefault(class_name, {})[word] = n_calls
        return found

    @property
    def document(self) -> Document | None:
        """The trial document, or None."""
        return self._document

    def set_document(self, document: Document) -> None:
        """Evaluate calls under this document from now on; reset the counts."""
        old = self._policy()
        self._document = document
        new = self._policy()
        self._counts.clear()
        if new is not None and (
            old is None or (old.limit, old.slots) != (new.limit, new.slots)
        ):
            limit = new.limit
            self._limit = make_limit(limit.kind, limit.minimum, new.slots, new.slots)

    def begin(self, class_name: str, time_left_s: float) -> ShadowDecision | None:
        """Evaluate a call that is about to run, and count it as in flight.

        Args:
            class_name: Class of the action.
            time_left_s: Seconds until the deadline.

        Returns:
            The decision, or None without a trial document for this service.
        """
        decision = self._evaluate(class_name, time_left_s)
        self._n_in_flight += 1
        if decision is not None:
            self._counts[class_name, decision.is_refused] += 1
        return decision

    def end(self, latency_s: float, is_dropped: bool, self_time_s: float) -> None:
        """Count a call as ended.

        Args:
            latency_s: Seconds at the upstream.
            is_dropped: Whether the upstream itself timed out or shed the call.
            self_time_s: Part of ``latency_s`` that the upstream did not spend waiting
                for downstream services.
        """
        if self._limit is not None:
            self._limit.on_answer(self_time_s, self._n_in_flight, is_dropped)
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._n_in_flight -= 1

    def _policy(self) -> ServicePolicy | None:
        if self._document is None:
            return None
        return self._document.services.get(self._service)

    def _evaluate(self, class_name: str, time_left_s: float) -> ShadowDecision | None:
        service = self._policy()
        if service is None or self._limit is None:
            return None
        policy = self._document.classes.get(class_name)
        if policy is None:
            return ShadowDecision(
                True, f"class {class_name} is not in the trial document"
            )
        n_ahead = self._n_in_flight - self._limit.limit
        if n_ahead < 0:
            return ShadowDecision(False, "a slot is free")
        if n_ahead >= service.queue_length:
            return ShadowDecision(True, "the queue would be full")
        wait_s = (n_ahead + 1) * self._latency_s / self._limit.limit
        if wait_s > min(policy.queue_timeout_s, time_left_s - self._latency_s):
            return ShadowDecision(True, f"the wait would be {wait_s * 1000:.0f} ms")
        return ShadowDecision(False, f"after a wait of {wait_s * 1000:.0f} ms")
