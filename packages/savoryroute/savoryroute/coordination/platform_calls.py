"""State of the calls by which a daemon follows the platform."""

from __future__ import annotations

import time
from collections.abc import Callable
from enum import Enum

import attrs

from ..state.event_log import EventLog

__all__ = ["PlatformCalls", "Topic"]


class Topic(Enum):
    """What a call to the platform asks for."""

    CONFIGURATION = "configuration"
    INSTANCES = "instances"
    PROOF = "proof"


@attrs.define
class _Calls:
    """Calls of one topic, at most one of which is pending.

    Attributes:
        sent_s: When the latest call was sent.
        answered_s: When the latest answer arrived.
        n_failed: Failed calls since the latest answer.
        failing_since_s: When the first of them failed.
    """

    sent_s: float = 0.0
    answered_s: float = float("-inf")
    n_failed: int = 0
    failing_since_s: float = 0.0


class PlatformCalls:
    """Calls to the platform by topic.

    Args:
        log: Log of changes: topics whose calls fail, and are answered again.
        clock: Clock in seconds.
    """

    def __init__(
        self, log: EventLog, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self._log = log
        self._clock = clock
        self._calls = {topic: _Calls() for topic in Topic}

    @property
    def answer_ages_s(self) -> dict[str, float]:
        """Seconds since the latest answer by topic, without those never answered."""
        now_s = self._clock()
        return {
            topic.value: now_s - calls.answered_s
            for topic, calls in self._calls.items()
            if calls.answered_s != float("-inf")
        }

    def start(self, topic: Topic) -> None:
        """Record that a call is sent."""
        self._calls[topic].sent_s = self._clock()

    def record_answer(self, topic: Topic) -> None:
        """Record an answer to the pending call."""
        calls = self._calls[topic]
        now_s = calls.answered_s = self._clock()
        if not calls.n_failed:
            return
        self._log.change(
            "platform_call_answered",
            topic=topic.value,
            n_failed=calls.n_failed,
            failing_s=round(now_s - calls.failing_since_s, 3),
        )
        calls.n_failed = 0

    def record_failure(self, topic: Topic, error: str) -> None:
        """Record that the pending call failed; the log has the first of a series.

        Args:
            topic: Topic of the call.
            error: Why it failed.
        """
        calls = self._calls[topic]
        calls.n_failed += 1
        if calls.n_failed > 1:
            return
        now_s = calls.failing_since_s = self._clock()
        self._log.change(
            "platform_call_failed",
            topic=topic.value,
            waited_s=round(now_s - calls.sent_s, 3),
            error=error,
        )
