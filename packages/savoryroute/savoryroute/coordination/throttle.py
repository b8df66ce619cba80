"""Refusal of whole actions at the first hop, by the load downstream.

Load pattern: a service far downstream is short of slots. Each action makes several
calls to it, so refusing single calls there fails nearly every action after most of
its work is done. Answers report the load of the fullest call queue on their path;
the first hop admits the share of each route's requests that keeps this load near
the number of slots. Routes with a lower priority are throttled at a lower load,
so that those with a higher priority find capacity.

The refused requests of organisations are those of the ones that send most
(``fair_share``).

Sources: overload control of DAGOR (Zhou and others, Overload Control for Scaling
WeChat Microservices, 2018) for refusing at the first hop by downstream load;
additive increase, multiplicative decrease after Chiu and Jain (1989).
"""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs

from .fair_share import MaxMinShares
from .rank_table import value_for_rank

__all__ = ["ActionThrottle"]

# Seconds between changes of the admitted share: about the duration of one action.
WINDOW_S = 0.3
# Load of the fullest call queue above which a route is throttled, by rank. The load
# counts calls of the route's own rank or a better one. The excess over 1 is queued
# and waits for about that fraction of the service time of a call.
PRESSURE_TARGETS = (1.5, 1.35, 1.25)
# Load of the fullest call queue from which a failure is one for lack of capacity. At a
# service that sheds with free slots, refusing actions leaves nothing to the others.
FULL_PRESSURE = 0.9
# Share of load failures among the answers above which a route is throttled, by rank.
FAILURE_TARGETS = (0.3, 0.1, 0.04)
# Excess load that corresponds to an excess of 1 in the share of load failures.
FAILURE_FACTOR = 2.0
# Decrease of the share for an excess of 1, and the most per window, as fractions.
DECREASE_FACTOR = 0.4
DECREASE_MAX = 0.25
# Share added per window without excess, and further growth for each 1 of spare load.
INCREASE_STEP = 0.03
INCREASE_FACTOR = 0.5
# Share that is always admitted, to detect when the overload has ended.
ADMITTED_SHARE_MIN = 0.05

# Route, and rank of the requests with an organisation.
_Key = tuple[str, float | None]


@attrs.define(slots=True)
class _RouteState:
    """Admitted share of a route and the outcomes of its current window."""

    since_s: float
    share: float = 1.0
    n_ended: int = 0
    n_load_failures: int = 0
    pressure_sum: float = 0.0
    organisations: MaxMinShares | None = None

    def adjust(self, now_s: float, rank: float) -> None:
        """Set the admitted share by the window's outcomes and begin the next window."""
        excess = self._excess(rank)
        if excess is None:
            self.share += INCREASE_STEP
        elif excess > 0.0:
            self.share *= 1.0 - min(DECREASE_MAX, DECREASE_FACTOR * excess)
        else:
            self.share += INCREASE_STEP - self.share * INCREASE_FACTOR * excess
        self.share = min(1.0, max(ADMITTED_SHARE_MIN, self.share))
        self.since_s = now_s
        self.n_ended = self.n_load_failures = 0
        self.pressure_sum = 0.0

    def _excess(self, rank: float) -> float | None:
        """Return the excess of load or failures over the targets, None without data."""
        if not self.n_ended:
            return None
        pressure = self.pressure_sum / self.n_ended
        failure_share = self.n_load_failures / self.n_ended
        # A single failure among few answers is not significant.
        is_significant = self.n_load_failures > 1
        excess = pressure - value_for_rank(PRESSURE_TARGETS, rank)
        if is_significant:
            failure_excess = failure_share - value_for_rank(FAILURE_TARGETS, rank)
            excess = max(excess, failure_excess * FAILURE_FACTOR)
        return excess


class ActionThrottle:
    """Throttles the requests of one first hop by route.

    With organisations, requests of one route have several ranks. Each rank has its own
    share, as the load that counts for it differs.

    Args:
        clock: Monotonic clock in seconds.
        rng: Source of randomness for the choice of refused requests.
    """

    def __init__(self, clock: Callable[[], float], rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._states: dict[_Key, _RouteState] = {}

    @property
    def shares(self) -> dict[str, float]:
        """Admitted share by route, the least of its ranks."""
        shares: dict[str, float] = {}
        for (route, _), state in self._states.items():
            shares[route] = min(state.share, shares.get(route, 1.0))
        return shares

    def admits(self, route: str, rank: float, organisation: str = "") -> bool:
        """Return whether a request is admitted.

        Args:
            route: Name of its route.
            rank: Rank of the request, 0 the highest priority.
            organisation: Name of the organisation that sent it, or an empty string.
                Requests without one are admitted by the share of the route alone.
        """
        now_s = self._clock()
        key = _key(route, rank, organisation)
        state = self._states.get(key)
        if state is None:
            state = self._states[key] = _RouteState(now_s)
        if now_s - state.since_s >= WINDOW_S:
            state.adjust(now_s, rank)
        share = state.share
        if organisation:
            if state.organisations is None:
                state.organisations = MaxMinShares(self._clock)
            # Counted even if nothing is refused, so that the first refusals are right.
            n_requests = state.organisations.note_request(organisation)
            if share < 1.0:
                share = state.organisations.share_for(n_requests, share)
        return share >= 1.0 or self._rng.random() < share

    def refusal_detail(self, route: str, rank: float, organisation: str) -> str:
        """Return why a request was refused, as one sentence for a person."""
        detail = "too many requests of this route fail for lack of downstream capacity"
        state = self._states.get(_key(route, rank, organisation))
        if not organisation or state is None or state.organisations is None:
            return detail
        share = state.organisations.share_of(organisation, state.share)
        return (
            f"{detail}: admitted are {state.share:.2f} of all requests"
            f" of this rank here and {share:.2f} of those of {organisation}"
        )

    def note_end(
        self,
        route: str,
        pressure: float,
        is_load_failure: bool,
        rank: float = 0.0,
        organisation: str = "",
    ) -> None:
        """Record how an admitted request ended.

        Args:
            route: Name of its route.
            pressure: Load of the fullest call queue on its path, calls over slots.
            is_load_failure: Whether an upstream or a daemon refused it or one of its
                calls for load. It counts against the route if a queue was full.
            rank: Rank of the request.
            organisation: Name of its organisation, or an empty string.
        """
        state = self._states.get(_key(route, rank, organisation))
        if state is not None:
            state.n_ended += 1
            state.n_load_failures += is_load_failure and pressure >= FULL_PRESSURE
            state.pressure_sum += pressure


def _key(route: str, rank: float, organisation: str) -> _Key:
    return route, rank if organisation else None
