"""Decisions of the trial document, computed and reported but not enforced."""

from __future__ import annotations

from collections import Counter

import attrs

from ..state.document import Document
from ..state.policies import ServicePolicy
from .limits import ConcurrencyLimit, make_limit

__all__ = ["ShadowDecision", "ShadowGate"]

LATENCY_WEIGHT = 0.1


@attrs.frozen
class ShadowDecision:
    """What the trial document would do with a call.

    Attributes:
        is_refused: Whether it would refuse the call.
        detail: Why, in one sentence.
    """

    is_refused: bool
    detail: str


class ShadowGate:
    """Estimate of what a gate under the trial document would decide.

    Calls run as the production document says, or unrefused where there is none.
    Those in flight above the trial's limit count as its queue.

    Args:
        service: Service of the host's upstream.
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
        """Calls by class: how many would be admitted and how many refused."""
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
        """Judge by this document from now on; counts begin anew."""
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
        """Judge a call that is about to run, and count it as in flight.

        Args:
            class_name: Class of the action.
            time_left_s: Seconds until the deadline.

        Returns:
            The judgement, or None without a trial document for this service.
        """
        decision = self._judge(class_name, time_left_s)
        self._n_in_flight += 1
        if decision is not None:
            self._counts[class_name, decision.is_refused] += 1
        return decision

    def end(self, latency_s: float, is_dropped: bool, self_time_s: float) -> None:
        """Count a call as ended.

        Args:
            latency_s: Seconds at the upstream.
            is_dropped: Whether the upstream itself failed under it.
            self_time_s: Seconds of these that the upstream did not spend waiting for
                further services.
        """
        if self._limit is not None:
            self._limit.on_answer(self_time_s, self._n_in_flight, is_dropped)
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)
        self._n_in_flight -= 1

    def _policy(self) -> ServicePolicy | None:
        if self._document is None:
            return None
        return self._document.services.get(self._service)

    def _judge(self, class_name: str, time_left_s: float) -> ShadowDecision | None:
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
