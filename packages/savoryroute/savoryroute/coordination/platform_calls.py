"""Decides how long calls to the platform may wait, and when to give one up.

Load pattern: the platform is silent for some seconds while changes wait for it, and all
daemons have just sent their watches. Those are never answered, nor are watches sent
before the platform is back. A daemon that only waits for them stays on its old
configuration for as long as a watch lasts, and no peer has news either.

A watch waits for long only while nothing casts doubt on its answer. A call that gets no
answer casts doubt on the pending watches of the other topics. They are given up, and
short calls take their place until one is answered. A loss that leaves no other trace is
found by a short watch of the configuration. Each is one with a probability that gives
the fleet a few at a time, however large it is.

Source: randomized probing that detects failures in constant time at a constant load of
each member (Das et al., "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol", 2002).
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from enum import Enum

import attrs

from ..state.event_log import EventLog

__all__ = ["PlatformCalls", "Topic"]

# Longest wait of a watch for changes.
WATCH_WAIT_S = 8.0
# The same of a short watch. With the margin for the answer, its loss is noticed within
# the 3 s after an outage in which the platform expects changes to be followed again.
SHORT_WAIT_MIN_S = 0.5
SHORT_WAIT_MAX_S = 1.5
# Short watches among those of the configuration that all hosts send at a time. Changes
# of the instances need none, as each host that learns of one passes it on to peers.
N_SHORT_WATCHES = 6
# The same of a call that finds out whether the platform answers.
PROBE_WAIT_S = 0.1


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
        is_doubtful: Whether the platform may not answer these calls.
        give_up: Ends the pending watch of the topic, if there is one.
    """

    sent_s: float = 0.0
    answered_s: float = float("-inf")
    n_failed: int = 0
    failing_since_s: float = 0.0
    is_doubtful: bool = False
    give_up: Callable[[], None] | None = None


class PlatformCalls:
    """Calls to the platform by topic.

    Args:
        log: Log of changes: topics whose calls fail, are given up or answered again.
        rng: Random source for the choice of short watches.
        clock: Clock in seconds.
    """

    def __init__(
        self,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._log = log
        self._rng = rng
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

    def on_give_up(self, topic: Topic, give_up: Callable[[], None]) -> None:
        """Set what ends the pending watch of a topic."""
        self._calls[topic].give_up = give_up

    def wait_s(self, topic: Topic, n_hosts: int) -> float:
        """Return how long the next watch of a topic may wait for changes, in seconds.

        Args:
            topic: Topic of the watch.
            n_hosts: Number of hosts that follow the platform.
        """
        if self._calls[topic].is_doubtful:
            return PROBE_WAIT_S
        is_short = self._rng.random() * n_hosts < N_SHORT_WATCHES
        if is_short and topic is Topic.CONFIGURATION:
            return self._rng.uniform(SHORT_WAIT_MIN_S, SHORT_WAIT_MAX_S)
        return WATCH_WAIT_S

    def start(self, topic: Topic) -> None:
        """Record that a call is sent."""
        self._calls[topic].sent_s = self._clock()

    def record_answer(self, topic: Topic) -> None:
        """Record an answer to the pending call."""
        calls = self._calls[topic]
        now_s = calls.answered_s = self._clock()
        calls.is_doubtful = False
        if not calls.n_failed:
            return
        self._log.change(
            "platform_call_answered",
            topic=topic.value,
            n_failed=calls.n_failed,
            failing_s=round(now_s - calls.failing_since_s, 3),
        )
        calls.n_failed = 0

    def record_failure(self, topic: Topic, error: str, is_answered: bool) -> None:
        """Record that the pending call failed; the log has the first of a series.

        Args:
            topic: Topic of the call.
            error: Why it failed.
            is_answered: Whether the answer shows that the platform is in order.
        """
        calls = self._calls[topic]
        calls.n_failed += 1
        if not is_answered:
            calls.is_doubtful = True
            for other in Topic:
                self.doubt(other, f"a call for {topic.value} got no answer")
        if calls.n_failed > 1:
            return
        now_s = calls.failing_since_s = self._clock()
        self._log.change(
            "platform_call_failed",
            topic=topic.value,
            waited_s=round(now_s - calls.sent_s, 3),
            error=error,
        )

    def doubt(self, topic: Topic, reason: str) -> None:
        """Give up the pending watch of a topic, unless its calls are short already."""
        calls = self._calls[topic]
        if calls.is_doubtful or calls.give_up is None:
            return
        calls.is_doubtful = True
        self._log.change(
            "platform_watch_given_up",
            topic=topic.value,
            waited_s=round(self._clock() - calls.sent_s, 3),
            reason=reason,
        )
        calls.give_up()
