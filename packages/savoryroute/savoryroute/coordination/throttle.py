"""Refusal of whole actions at the first hop, by the room downstream.

Load pattern: a service far downstream is short of slots. Each action makes several
calls to it, so refusing single calls there fails nearly every action after most of
its work is done. Answers report the share of the offered actions for which the
services on their path have room (``upstream_room``); the first hop admits that share.
Ranks with a lower priority get what the others leave.

The refused requests of organisations are those of the ones that send most
(``fair_share``).

Sources: overload control of DAGOR (Zhou and others, Overload Control for Scaling
WeChat Microservices, 2018) for refusing at the first hop by downstream load; for the
admitted share see ``upstream_room``.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Mapping

import attrs

from .fair_share import MaxMinShares
from .switches import ALL_ON, Switches, switchable

__all__ = ["ActionThrottle"]

# Least weight of one answer in the mean of the reported room. The answers of an action
# come from several instances of a service, some of them fuller than others.
ANSWER_WEIGHT = 0.15
# Time constant in seconds with which earlier answers lose weight.
MEMORY_S = 0.3
# After this time in seconds without answers the admitted share begins to grow, by the
# factor e in each of the following time.
SILENCE_S = 0.5
GROWTH_S = 1.0
# Share that is always admitted, to detect when the overload has ended.
ADMITTED_SHARE_MIN = 0.05

# Route, and rank of the requests with an organisation.
_Key = tuple[str, float | None]


@attrs.define(slots=True)
class _RouteState:
    """Room for the actions of a route, as the answers report it.

    Attributes:
        heard_s: Monotonic time of the last answer.
        room: Mean share of the offered actions that fits; all fit above 1.
        organisations: Shares of the organisations in what is admitted.
    """

    heard_s: float
    room: float = 1.0
    organisations: MaxMinShares | None = None

    def note(self, room: float, now_s: float) -> None:
        """Add what an answer reports."""
        weight = max(ANSWER_WEIGHT, 1.0 - math.exp((self.heard_s - now_s) / MEMORY_S))
        self.room += (room - self.room) * weight
        self.heard_s = now_s

    def share(self, now_s: float) -> float:
        """Return the share of the requests to admit."""
        share = min(1.0, max(ADMITTED_SHARE_MIN, self.room))
        silence_s = now_s - self.heard_s - SILENCE_S
        if share < 1.0 and silence_s > 0.0:
            # A silence of many times the growth time must not overflow.
            share = min(1.0, share * math.exp(min(silence_s / GROWTH_S, 10.0)))
        return share


@switchable("throttle", "every action is admitted at its first hop")
class ActionThrottle:
    """Throttles the requests of one first hop by route.

    With organisations, requests of one route have several ranks. Each rank has its own
    share, as the room for it differs.

    Args:
        clock: Monotonic clock in seconds.
        rng: Source of randomness for the choice of refused requests.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rng: random.Random,
        switches: Switches = ALL_ON,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._is_on = switches.has("throttle")
        self._knows_organisations = switches.has("fair_shares")
        self._states: dict[_Key, _RouteState] = {}
        self._n_refused: Counter[str] = Counter()

    @property
    def n_refused(self) -> Mapping[str, int]:
        """Requests refused since the start, by route."""
        return self._n_refused

    @property
    def shares(self) -> dict[str, float]:
        """Admitted share by route, the least of its ranks."""
        now_s = self._clock()
        shares: dict[str, float] = {}
        for (route, _), state in self._states.items():
            shares[route] = min(state.share(now_s), shares.get(route, 1.0))
        return shares

    def admit(self, route: str, rank: float, organisation: str = "") -> float | None:
        """Admit or refuse a request.

        Args:
            route: Name of its route.
            rank: Rank of the request, 0 the highest priority.
            organisation: Name of the organisation that sent it, or an empty string.
                Requests without one are admitted by the share of the route alone.

        Returns:
            The share of such requests that is admitted now, above 0 and at most 1, or
            None if this one is refused.
        """
        if not self._is_on:
            return 1.0
        now_s = self._clock()
        key = _key(route, rank, organisation)
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = _RouteState(now_s)
        share = state.share(now_s)
        if organisation and self._knows_organisations:
            if state.organisations is None:
                state.organisations = MaxMinShares(self._clock)
            # Counted even if nothing is refused, so that the first refusals are right.
            n_requests = state.organisations.note_request(organisation)
            if share < 1.0:
                share = state.organisations.share_for(n_requests, share)
        if share >= 1.0 or self._rng.random() < share:
            return share
        self._n_refused[route] += 1
        return None

    def refusal_detail(self, route: str, rank: float, organisation: str) -> str:
        """Return why a request was refused, as one sentence for a person."""
        state = self._states.get(_key(route, rank, organisation))
        if state is None:
            return "no room downstream"
        now_s = self._clock()
        share = state.share(now_s)
        detail = (
            f"downstream is room for {state.room:.2f} of the requests of this route"
            f" and rank, reported {now_s - state.heard_s:.2f} s ago"
        )
        if not organisation or state.organisations is None:
            return f"{detail}: admitted are {share:.2f}"
        own = state.organisations.share_of(organisation, share)
        return (
            f"{detail}: admitted are {share:.2f} of all and {own:.2f} of those of"
            f" {organisation}"
        )

    def note_end(
        self,
        route: str,
        rooms: list[float],
        rank: float = 0.0,
        organisation: str = "",
    ) -> None:
        """Record what the answers to the attempts of an admitted request report.

        Args:
            route: Name of its route.
            rooms: Shares of the offered actions that fit downstream.
            rank: Rank of the request.
            organisation: Name of its organisation, or an empty string.
        """
        state = self._states.get(_key(route, rank, organisation))
        if state is not None and rooms:
            state.note(sum(rooms) / len(rooms), self._clock())


def _key(route: str, rank: float, organisation: str) -> _Key:
    return route, rank if organisation else None
