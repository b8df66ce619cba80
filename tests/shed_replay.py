"""Replay of a leaf service that sheds half of what it gets, in virtual time.

Actions enter at random first hops and make their calls to the leaf one after the
other. An action is served if all of its calls are. Admission of
repeats, retry rule and throttle are those of the product; repeats are admitted by the
daemons beside the upstreams of the leaf. An oracle knows arrivals and the share of shed
calls, and spends the retries that the fleet is allowed where they serve the most worth.
"""

from __future__ import annotations

import bisect
import random
from collections import deque

import attrs

from savoryroute.coordination.repeat_admission import RepeatAdmission, reserved_share
from savoryroute.coordination.repeat_budget import RepeatBudget, slack_part
from savoryroute.coordination.retry_rule import NextStep, next_step
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.protocol.mesh_frames import AttemptKind, MeshAnswer, MeshCall
from savoryroute.verdict import Reason, Verdict

from .virtual_time import VirtualTime

__all__ = ["RATIO", "Leaf", "Route", "ShedReplay", "oracle_worth"]

LEAF = "leaf"
RATIO = 0.2
BUDGET_WINDOW_S = 10.0
ATTEMPTS_MAX = 2
SLOTS = 40
SHED_ANSWER_S = 0.003
# The leaf has free slots all the time.
IDLE_ROOM = 2.0
PLACEMENTS_MAX = 3


@attrs.frozen
class Route:
    """Actions of one kind.

    Attributes:
        name: Name of the route.
        rank: Priority, 0 the highest.
        per_s: Actions per second.
        n_calls: Calls of an action to the leaf, one after the other.
        worth: Worth of a served action.
        is_direct: Whether the action itself is the call to the leaf.
    """

    name: str
    rank: int
    per_s: float
    n_calls: int
    worth: float
    is_direct: bool = False


@attrs.frozen
class Leaf:
    """The leaf service and its fault.

    Attributes:
        call_s: Mean seconds of a call.
        from_s: Start of the fault.
        to_s: End of the fault.
        shed_share: Share of the arrivals that are shed during the fault.
    """

    call_s: float
    from_s: float
    to_s: float
    shed_share: float


@attrs.define(eq=False)
class _Action:
    route: Route
    began_s: float
    first_hop: int
    n_done: int = 0


class ShedReplay:
    """Hosts that make calls to the leaf, and their first hops.

    Args:
        routes: Actions that arrive.
        leaf: The leaf service.
        n_hosts: Hosts at which actions enter; each has a daemon.
        n_upstreams: Upstreams of the leaf.
        slack: Retries that the fleet may make beyond the ratio in a window.
        seed: Seed of arrivals and faults.
    """

    def __init__(
        self,
        routes: list[Route],
        leaf: Leaf,
        n_hosts: int,
        n_upstreams: int,
        slack: float,
        seed: int,
    ) -> None:
        self._routes = routes
        self._leaf = leaf
        self._slack = slack
        self._rng = random.Random(seed)
        self._time = VirtualTime()
        clock = self._time.now_s
        self._upstreams = []
        for number in range(n_upstreams):
            budget = RepeatBudget(RATIO, clock)
            budget.set_slack(slack_part(slack, number, n_upstreams))
            rng = random.Random(seed * 1000 + number)
            self._upstreams.append(RepeatAdmission(budget, b".", clock, rng))
        self._throttles = [
            ActionThrottle(clock, random.Random(seed * 1000 + host))
            for host in range(n_hosts)
        ]
        self.arrived: list[tuple[float, Route]] = []
        self.served: list[tuple[float, Route]] = []
        # Times of the calls that callers make themselves.
        self.direct_calls: list[float] = []
        self.retries: list[float] = []

    def play(self, seconds: float) -> ShedReplay:
        """Replay the actions of a number of seconds until all have ended."""
        for route in self._routes:
            at_s = 0.0
            while (at_s := at_s + self._rng.expovariate(route.per_s)) < seconds:
                self._time.at(at_s, lambda route=route: self._arrive(route))
        self._time.run()
        return self

    def worth(self, from_s: float, to_s: float) -> float:
        """Return the worth served of the actions that began in a time span."""
        return sum(route.worth for at_s, route in self.served if from_s <= at_s < to_s)

    def share(self, name: str, from_s: float, to_s: float) -> float:
        """Return the share of a route's actions of a time span that was served."""

        def count(actions: list[tuple[float, Route]]) -> int:
            return sum(
                route.name == name and from_s <= at_s < to_s for at_s, route in actions
            )

        return count(self.served) / count(self.arrived)

    def excess_of_budget(self) -> float:
        """Return by how much any window exceeds the retries that are allowed.

        The requests counted are those of the window, of the one before it or of the
        one half a window before it, whichever has most.
        """
        worst = float("-inf")
        n_requests = _SlidingCount(self.direct_calls)
        window: deque[float] = deque()
        for at_s in self.retries:
            window.append(at_s)
            while window[0] <= at_s - BUDGET_WINDOW_S:
                window.popleft()
            most = max(
                n_requests.between(end_s - BUDGET_WINDOW_S, end_s)
                for end_s in (at_s, at_s - BUDGET_WINDOW_S, at_s - BUDGET_WINDOW_S / 2)
            )
            worst = max(worst, len(window) - RATIO * most - self._slack)
        return worst

    def _arrive(self, route: Route) -> None:
        now_s = self._time.now_s()
        self.arrived.append((now_s, route))
        n_hosts = len(self._throttles)
        first_hop = self._rng.randrange(n_hosts)
        if self._throttles[first_hop].admit(route.name, route.rank) is None:
            return
        self._call(_Action(route, now_s, first_hop))

    def _call(self, action: _Action) -> None:
        kind = AttemptKind.OF_UPSTREAM
        if action.route.is_direct:
            kind = AttemptKind.OF_CALLER
            self.direct_calls.append(self._time.now_s())
        self._send(action, kind, 1)

    def _send(self, action: _Action, kind: AttemptKind, n_arrivals: int) -> None:
        """Send an attempt to an upstream that admits it, if one of three does."""
        leaf, now_s = self._leaf, self._time.now_s()
        call = _call_of(action, kind)
        for upstream in self._rng.sample(self._upstreams, PLACEMENTS_MAX):
            if upstream.may_start(call) and upstream.try_start(call):
                break
        else:
            self._end(action)
            return
        if call.is_repeat:
            self.retries.append(now_s)
        upstream.note_request(call, now_s)
        is_failing = leaf.from_s <= now_s < leaf.to_s
        if is_failing and self._rng.random() < leaf.shed_share:
            answer = MeshAnswer(
                0,
                Verdict.NOT_RUN,
                Reason.OVERLOAD,
                was_sent=True,
                is_load=True,
                n_reported=SLOTS // 2,
                limit=SLOTS,
                repeat_share=upstream.share_left(LEAF),
            )
            delay_s = SHED_ANSWER_S
        else:
            answer = MeshAnswer(0, Verdict.RAN, status=200, was_sent=True)
            delay_s = leaf.call_s * self._rng.uniform(0.5, 1.5)
        self._time.after(delay_s, lambda: self._on_answer(action, answer, n_arrivals))

    def _on_answer(self, action: _Action, answer: MeshAnswer, n_arrivals: int) -> None:
        step = next_step(answer, True, n_arrivals, n_arrivals, ATTEMPTS_MAX)
        if step is NextStep.RETURN_ANSWER:
            action.n_done += 1
            if action.n_done < action.route.n_calls:
                self._call(action)
                return
            self.served.append((action.began_s, action.route))
            self._end(action)
        elif step is NextStep.RETRY and answer.repeat_share > reserved_share(
            _call_of(action, AttemptKind.RETRY)
        ):
            self._send(action, AttemptKind.RETRY, n_arrivals + 1)
        else:
            self._end(action)

    def _end(self, action: _Action) -> None:
        route = action.route
        throttle = self._throttles[action.first_hop]
        throttle.note_end(route.name, [IDLE_ROOM], route.rank)


def _call_of(action: _Action, kind: AttemptKind) -> MeshCall:
    """Return the frame of an attempt, as far as admission reads it."""
    return MeshCall(
        id=0,
        service=LEAF,
        instance="",
        route=LEAF,
        rank=action.route.rank,
        queue_timeout_ms=0,
        time_left_ms=0,
        is_idempotent=True,
        is_head=False,
        kind=kind,
        n_done=action.n_done,
        request_id=b"",
        fingerprint=b"",
        head=b"",
        body_bytes=0,
    )


class _SlidingCount:
    """Number of events in any time span, from their sorted times."""

    def __init__(self, times_s: list[float]) -> None:
        self._times_s = sorted(times_s)

    def between(self, from_s: float, to_s: float) -> int:
        """Return the number of events after ``from_s``, up to ``to_s``."""
        times_s = self._times_s
        return bisect.bisect(times_s, to_s) - bisect.bisect(times_s, from_s)


def oracle_worth(routes: list[Route], leaf: Leaf, slack: float) -> float:
    """Return the expected worth that an oracle serves during the fault.

    The fleet may repeat ``RATIO`` of the calls of callers, and the slack. A call gets
    through after an expected ``shed / (1 - shed)`` retries. The oracle completes first
    the actions with the most worth for each retry; the others get no retry and are
    served if none of their calls is shed.
    """
    seconds = leaf.to_s - leaf.from_s
    shed = leaf.shed_share
    n_direct = sum(route.per_s for route in routes if route.is_direct) * seconds
    budget = RATIO * n_direct + slack
    worth = 0.0
    for route in sorted(routes, key=lambda route: -route.worth / route.n_calls):
        n_actions = route.per_s * seconds
        cost = route.n_calls * shed / (1.0 - shed)
        n_completed = min(n_actions, budget / cost)
        budget -= n_completed * cost
        by_luck = (1.0 - shed) ** route.n_calls
        worth += route.worth * (n_completed + (n_actions - n_completed) * by_luck)
    return worth
