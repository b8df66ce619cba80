"""Compare strategies to place non-idempotent actions in a seeded simulation.

Usage:
  placement_study.py [--seed=<n>] [--bookings=<n>]
"""

from __future__ import annotations

import abc
import heapq
import json
import random
import zlib

import attrs
from docopt import docopt

from savoryroute.registry import Registry
from savoryroute.state.idempotency_key import parse_key
from savoryroute.state.ledger_entry import RecordedAnswer, Replay, Run
from savoryroute.verdict import Verdict

from .placement_world import FAULT_PERIOD_S, FAULTS, N_DOMAINS, Host, World

__all__ = ["STRATEGIES", "Study", "main"]

DURATION_S = 90.0
DETECTION_S = 5.0
GRACE_S = 10.0
RETRY_DELAYS_S = (1.0, 2.0, 4.0, 8.0, 16.0, 29.0)
REQUEST_LOSS_FRACTION = 0.01
REPLY_LOSS_FRACTION = 0.03
OTHER_DOMAIN_FRACTION = 0.2
ANSWER = RecordedAnswer(201, (), b"")


@attrs.define(eq=False)
class Booking:
    """One action of a caller.

    Attributes:
        number: Identity of the action.
        arrival_s: Time of the first attempt in seconds.
        domain: Failure domain of the caller.
        n_sent: Attempts sent.
        n_runs: Executions of the action.
        key: Idempotency key, or an empty string.
        served_s: Time in seconds at which the caller got the answer, or None.
    """

    number: int
    arrival_s: float
    domain: int
    n_sent: int = 0
    n_runs: int = 0
    key: str = ""
    served_s: float | None = None

    def is_served(self, within_s: float = float("inf")) -> bool:
        """Return whether the caller got the answer within a time from its arrival."""
        return self.served_s is not None and self.served_s - self.arrival_s <= within_s


STRATEGIES: Registry[type[Strategy]] = Registry("way")


class Strategy(abc.ABC):
    """How a daemon handles an attempt.

    Attributes:
        retries: Whether the caller retries an attempt that may have run.
    """

    retries = True

    def __init__(self, world: World) -> None:
        self.world = world

    @abc.abstractmethod
    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Handle an attempt that reached ``entry``; return the verdict."""

    def run_once(self, host: Host, booking: Booking) -> Verdict:
        """Run an action at a host unless that host has run it before."""
        if booking.number not in host.executed:
            host.executed.add(booking.number)
            booking.n_runs += 1
        return Verdict.RAN


@STRATEGIES.register("a_hash")
class HashStrategy(Strategy):
    """Owner by rendezvous hash over the hosts viewed as alive.

    An owner runs no new action for ``GRACE_S`` after its view has changed.
    """

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Forward the attempt to the owner in the view of the entry daemon."""
        owner = self._owner(entry, booking)
        if not self.world.can_reach(entry, owner):
            return Verdict.MAY_HAVE_RUN
        if self._owner(owner, booking) is not owner:
            return Verdict.MAY_HAVE_RUN
        has_new_view = self.world.now_s - owner.view_changed_s < GRACE_S
        if has_new_view and booking.number not in owner.executed:
            return Verdict.MAY_HAVE_RUN
        return self.run_once(owner, booking)

    def _owner(self, entry: Host, booking: Booking) -> Host:
        alive_hosts = [
            h for h in self.world.published(entry) if self._is_alive(entry, h)
        ]
        view = frozenset(h.name for h in alive_hosts)
        if entry.view and view != entry.view:
            entry.view_changed_s = self.world.now_s
        entry.view = view
        return max(
            alive_hosts, key=lambda h: zlib.crc32(f"{h.name}/{booking.number}".encode())
        )

    def _is_alive(self, entry: Host, host: Host) -> bool:
        """Return whether a host counts as alive.

        An unreachable host does so until ``DETECTION_S`` after the start of the fault.
        """
        fault_age_s = self.world.now_s - FAULT_PERIOD_S[0]
        return (
            host is entry
            or self.world.can_reach(entry, host)
            or fault_age_s < DETECTION_S
        )


@STRATEGIES.register("b_key")
class KeyStrategy(Strategy):
    """Owner named in the idempotency key; decisions by the real ledger."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Forward the attempt to the owner of its key; mint a key if it has none."""
        if not booking.key:
            booking.key = entry.ledger.mint()
        owner = self.world.hosts[parse_key(booking.key).ok_value.host]
        is_known = owner is entry or owner in self.world.published(entry)
        if not is_known or not self.world.can_reach(entry, owner):
            return Verdict.MAY_HAVE_RUN
        begun = owner.ledger.begin(booking.key, b"")
        if isinstance(begun, Run):
            booking.n_runs += 1
            begun.entry.finish(ANSWER)
            return Verdict.RAN
        if isinstance(begun, Replay):
            return Verdict.RAN
        if begun.refusal.verdict is Verdict.NOT_RUN:
            booking.key = ""
        return begun.refusal.verdict


@STRATEGIES.register("c_ask_all")
class AskAllStrategy(Strategy):
    """Query all listed hosts, mark the action there, query again, then run it."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Run at the entry if all listed hosts answer and none ran or marked it."""
        others = [h for h in self.world.published(entry) if h is not entry]
        if booking.number in entry.executed:
            return Verdict.RAN
        if not all(self.world.can_reach(entry, other) for other in others):
            return Verdict.MAY_HAVE_RUN
        if any(booking.number in other.executed for other in others):
            return Verdict.RAN
        if any(booking.number in host.marks for host in [entry, *others]):
            return Verdict.MAY_HAVE_RUN
        for host in [entry, *others]:
            host.marks.add(booking.number)
        return self.run_once(entry, booking)


@STRATEGIES.register("d_resend")
class RetryStrategy(Strategy):
    """No control: each attempt runs where it arrives, and the caller retries."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Run the action."""
        booking.n_runs += 1
        return Verdict.RAN


@STRATEGIES.register("d_honest")
class NoRetryStrategy(RetryStrategy):
    """No control; the caller never retries an action that may have run."""

    retries = False


class Study:
    """Simulation of one strategy under one fault.

    Args:
        strategy: Name in ``STRATEGIES``.
        fault: Name in ``FAULTS``.
        seed: Seed of all random choices.
        n_bookings: Number of actions.
    """

    def __init__(self, strategy: str, fault: str, seed: int, n_bookings: int) -> None:
        self._rng = random.Random(seed)
        self._world = World(fault)
        self._strategy = STRATEGIES.get(strategy)(self._world)
        self._bookings = [
            Booking(n, self._rng.uniform(0, DURATION_S), self._rng.randrange(N_DOMAINS))
            for n in range(n_bookings)
        ]

    def run(self) -> list[Booking]:
        """Run all bookings with their retries; return them."""
        events = [(booking.arrival_s, booking.number) for booking in self._bookings]
        heapq.heapify(events)
        while events:
            now_s, number = heapq.heappop(events)
            self._world.advance(now_s)
            booking = self._bookings[number]
            is_over = self._send(booking)
            if not is_over and booking.n_sent <= len(RETRY_DELAYS_S):
                gap_s = RETRY_DELAYS_S[booking.n_sent - 1] * self._rng.uniform(0.8, 1.2)
                heapq.heappush(events, (now_s + gap_s, number))
        return self._bookings

    def _send(self, booking: Booking) -> bool:
        """Send one attempt; return whether the caller stops retrying."""
        booking.n_sent += 1
        entry = self._entry(booking)
        if not self._world.is_up(entry):
            return False
        if self._rng.random() < REQUEST_LOSS_FRACTION:
            return not self._strategy.retries
        verdict = self._strategy.serve(entry, booking)
        if self._rng.random() < REPLY_LOSS_FRACTION:
            return not self._strategy.retries
        if verdict is not Verdict.RAN:
            return verdict is Verdict.MAY_HAVE_RUN and not self._strategy.retries
        booking.served_s = self._world.now_s
        return True

    def _entry(self, booking: Booking) -> Host:
        """Return the daemon for the next attempt.

        Some retries go to a random failure domain instead of the caller's.
        """
        domain = booking.domain
        if booking.n_sent > 1 and self._rng.random() < OTHER_DOMAIN_FRACTION:
            domain = self._rng.randrange(N_DOMAINS)
        hosts = self._world.hosts.values()
        dialled = [h for h in hosts if h.domain == domain and self._world.is_dialled(h)]
        return self._rng.choice(dialled)


def _row(strategy: str, fault: str, seed: int, bookings: list[Booking]) -> dict:
    """Return the figures of one strategy under one fault."""
    during = [
        b for b in bookings if FAULT_PERIOD_S[0] <= b.arrival_s < FAULT_PERIOD_S[1]
    ]
    return {
        "way": strategy,
        "fault": fault,
        "seed": seed,
        "bookings": len(bookings),
        "served": sum(b.is_served() for b in bookings),
        "bookings_in_fault": len(during),
        "served_in_fault": sum(b.is_served() for b in during),
        "served_in_fault_within_10_s": sum(b.is_served(10.0) for b in during),
        "ran_twice": sum(b.n_runs > 1 for b in bookings),
        "ran_untold": sum(b.n_runs > 0 and not b.is_served() for b in bookings),
        "not_run": sum(b.n_runs == 0 for b in bookings),
    }


def main() -> None:
    """Print one JSON line for each strategy and fault."""
    options = docopt(__doc__)
    seed = int(options["--seed"] or 1)
    n_bookings = int(options["--bookings"] or 5000)
    for fault in FAULTS:
        for strategy in STRATEGIES:
            bookings = Study(strategy, fault, seed, n_bookings).run()
            print(json.dumps(_row(strategy, fault, seed, bookings)))


if __name__ == "__main__":
    main()
