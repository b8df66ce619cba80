"""Decides which repeats an upstream gets: retries, and calls made by repeated runs.

Load pattern: a service sheds many of its requests. Chains of several calls to it are
served only if most calls get through, so repeats are scarce and go first to the
actions of the highest priority and to those that have made progress. A repeated run
makes all of its calls again, so it starts only if the services that it calls can bear
them; a call of a run that has started is refused last.

Answers carry the share of the repeats that is left along the call chain, as they carry
the load. Retries that would be refused are thus not sent.

Sources: priorities as in DAGOR (Zhou and others, Overload Control for Scaling WeChat
Microservices, 2018); refusal with a probability that grows as the rest shrinks as in
random early detection (Floyd and Jacobson, 1993); multiplicative decrease after Chiu
and Jain (1989).
"""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable

import attrs

from ..protocol.mesh_frames import AttemptKind, MeshCall
from .rank_table import value_for_rank
from .repeat_budget import WINDOW_S, RepeatBudget
from .switches import ALL_ON, Switches, switchable

__all__ = ["RepeatAdmission", "reserved_share"]

# Shares are those of the repeats that the budget may save up.
# Share of the repeats that stays reserved for better ranks, by rank.
RESERVED_BY_RANK = (0.0, 0.4, 0.7)
# Share of the rest that stays reserved for runs with progress while a run has completed
# no call, and the part of it that remains with each completed call. Retries spread
# evenly would complete hardly any chain.
RESERVED_AT_START = 0.4
RESERVED_PER_CALL = 0.6
# Share that stays reserved for calls of repeated runs.
RESERVED_FOR_RUNS = 0.25
# A refused call of a repeated run multiplies the share of repeated runs that start by
# the first factor, each second without one by the second. After a window without one
# all may start again.
RUNS_DECREASE = 0.5
RUNS_INCREASE_PER_S = 1.1
# Seconds after which a share that was heard from downstream says nothing any more.
DOWNSTREAM_EXPIRY_S = 1.0
# Seconds for which calls are taken for those of a repeated run after it has started.
REPEATED_RUN_S = 30.0


@switchable("repeat_reserves", "repeats are admitted first come, first served")
def reserved_share(call: MeshCall) -> float:
    """Return the share of the repeats that a repeat must leave to others."""
    by_progress = RESERVED_AT_START * RESERVED_PER_CALL**call.n_done
    if call.kind is AttemptKind.OF_REPEAT:
        return by_progress
    by_rank = value_for_rank(RESERVED_BY_RANK, call.rank)
    return max(RESERVED_FOR_RUNS, by_rank + (1.0 - by_rank) * by_progress)


@attrs.define
class _RepeatedRuns:
    """Share of the repeated runs of a route that may start.

    Attributes:
        share: The share when a call was last refused.
        refused_s: Monotonic time in seconds at which that was.
    """

    share: float = 1.0
    refused_s: float = -math.inf

    def share_at(self, now_s: float) -> float:
        """Return the share at a time."""
        seconds = now_s - self.refused_s
        if seconds >= WINDOW_S:
            return 1.0
        return min(1.0, self.share * RUNS_INCREASE_PER_S**seconds)

    def note_refusal(self, now_s: float) -> None:
        """Decrease the share."""
        self.share = self.share_at(now_s) * RUNS_DECREASE
        self.refused_s = now_s


class RepeatAdmission:
    """Admits repeats at the upstream of this host.

    Args:
        budget: Repeats that the upstream may get.
        separator: Separator between the parts of a request id, of which the first is
            that of the action.
        clock: Monotonic clock in seconds.
        rng: Source of randomness for repeated runs when little is left downstream.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        budget: RepeatBudget,
        separator: bytes,
        clock: Callable[[], float],
        rng: random.Random,
        switches: Switches = ALL_ON,
    ) -> None:
        self._reserved_share = switches.pick(
            "repeat_reserves", reserved_share, lambda call: 0.0
        )
        self._budget = budget
        self._separator = separator
        self._clock = clock
        self._rng = rng
        # Share left and time at which it was heard, by route and called service.
        self._downstream: dict[str, dict[str, tuple[float, float]]] = {}
        self._runs: dict[str, _RepeatedRuns] = {}
        # Actions with a repeated run here, and the time of its start.
        self._repeated: OrderedDict[bytes, float] = OrderedDict()
        self.n_admitted = 0
        self.n_refused = 0

    @property
    def left(self) -> float:
        """Repeats that the upstream may still get now."""
        return self._budget.left

    def reserved_share(self, call: MeshCall) -> float:
        """Return the share of the repeats that a repeat must leave to others."""
        return self._reserved_share(call)

    def may_start(self, call: MeshCall) -> bool:
        """Return whether a call could start now, as far as repeats are limited."""
        if not call.is_repeat:
            return True
        may_start = self._budget.allows() and self._bears(call.route)
        self.n_refused += not may_start
        return may_start

    def try_start(self, call: MeshCall) -> bool:
        """Take a repeat if the call is one; return whether the call may start."""
        if not call.is_repeat:
            return True
        if not self._budget.try_take(self._n_kept(call)):
            self.n_refused += 1
            return False
        self.n_admitted += 1
        self._note_repeated(call.request_id)
        return True

    def note_request(self, call: MeshCall, at_s: float) -> None:
        """Count a call that was sent to the upstream.

        Args:
            call: The call.
            at_s: Monotonic time in seconds at which it was sent.
        """
        if call.kind is AttemptKind.OF_CALLER:
            self._budget.note_request(at_s)

    def note_downstream(self, route: str, service: str, share: float) -> None:
        """Record what an answer to a call of a run says is left of the repeats.

        Args:
            route: Route of the run.
            service: Service that it called.
            share: Share left at this service and further downstream.
        """
        self._downstream.setdefault(route, {})[service] = share, self._clock()

    def note_refused_call(self, route: str) -> None:
        """Record that a call of a repeated run of a route found no repeat left."""
        self._runs.setdefault(route, _RepeatedRuns()).note_refusal(self._clock())

    def share_left(self, route: str) -> float:
        """Return the share of the repeats left here and downstream, 0 to 1."""
        saved_max = self._budget.saved_max
        left = max(0.0, self._budget.left)
        share = min(1.0, left / saved_max) if saved_max > 0.0 else 0.0
        return min(share, self._downstream_share(route))

    def first_attempt_of(self, request_id: bytes) -> AttemptKind:
        """Return the kind of the first attempt of a request that enters here.

        A call of the upstream counts as one of a repeated run if its action has had
        such a run here. The run itself may have ended by then, and another run of the
        same action may be in progress.
        """
        action, separator, _ = request_id.partition(self._separator)
        if not separator:
            return AttemptKind.OF_CALLER
        if action in self._repeated:
            return AttemptKind.OF_REPEAT
        return AttemptKind.OF_UPSTREAM

    def _n_kept(self, call: MeshCall) -> int:
        """Return the repeats that have to be left for others.

        A part of a repeat counts with that probability, as an upstream with few
        requests saves up less than one repeat.
        """
        n_kept = self.reserved_share(call) * self._budget.saved_max
        return int(n_kept) + (self._rng.random() < n_kept % 1.0)

    def _bears(self, route: str) -> bool:
        """Return whether the services called by a route's runs can bear another run."""
        share = self._downstream_share(route)
        runs = self._runs.get(route)
        if runs is not None:
            share *= runs.share_at(self._clock())
        return self._rng.random() < share

    def _downstream_share(self, route: str) -> float:
        since_s = self._clock() - DOWNSTREAM_EXPIRY_S
        shares = self._downstream.get(route, {}).values()
        return min((share for share, at_s in shares if at_s > since_s), default=1.0)

    def _note_repeated(self, request_id: bytes) -> None:
        """Record that the upstream runs an action repeatedly."""
        action = request_id.partition(self._separator)[0]
        now_s = self._clock()
        self._repeated[action] = now_s
        self._repeated.move_to_end(action)
        while next(iter(self._repeated.values())) <= now_s - REPEATED_RUN_S:
            self._repeated.popitem(last=False)
