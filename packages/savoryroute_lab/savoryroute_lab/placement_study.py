"""Compare ways to place non-idempotent actions, in memory and seeded.

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

from .placement_world import FAULT_S, FAULTS, N_DOMAINS, Host, World

__all__ = ["WAYS", "Study", "main"]

RUN_S = 90.0
SILENCE_S = 5.0
GRACE_S = 10.0
RESEND_S = (1.0, 2.0, 4.0, 8.0, 16.0, 29.0)
REQUEST_LOSS = 0.01
REPLY_LOSS = 0.03
OTHER_DOMAIN = 0.2
ANSWER = RecordedAnswer(201, (), b"")


@attrs.define(eq=False)
class Booking:
    """One action of a caller."""

    number: int
    at_s: float
    domain: int
    n_sent: int = 0
    n_runs: int = 0
    key: str = ""
    served_s: float | None = None

    def is_served(self, within_s: float = float("inf")) -> bool:
        """Return whether the caller had the answer within a time."""
        return self.served_s is not None and self.served_s - self.at_s <= within_s


WAYS: Registry[type[Way]] = Registry("way")


class Way(abc.ABC):
    """How a daemon treats one copy; returns ran, not_run or may_have_run."""

    resends = True

    def __init__(self, world: World) -> None:
        self.world = world

    @abc.abstractmethod
    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Serve one copy that reached ``entry``."""

    def run_once(self, host: Host, booking: Booking) -> Verdict:
        """Run at a host that remembers what it ran."""
        if booking.number not in host.answers:
            host.answers.add(booking.number)
            booking.n_runs += 1
        return Verdict.RAN


@WAYS.register("a_hash")
class HashWay(Way):
    """Home by rendezvous hash over hosts believed alive, with a grace."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Send the copy to the owner that the entry daemon believes in."""
        owner = self._owner(entry, booking)
        if not self.world.reaches(entry, owner):
            return Verdict.MAY_HAVE_RUN
        if self._owner(owner, booking) is not owner:
            return Verdict.MAY_HAVE_RUN
        is_new = self.world.now_s - owner.view_changed_s < GRACE_S
        if is_new and booking.number not in owner.answers:
            return Verdict.MAY_HAVE_RUN
        return self.run_once(owner, booking)

    def _owner(self, entry: Host, booking: Booking) -> Host:
        believed = [h for h in self.world.published(entry) if self._lives(entry, h)]
        view = frozenset(h.name for h in believed)
        if entry.view and view != entry.view:
            entry.view_changed_s = self.world.now_s
        entry.view = view
        return max(
            believed, key=lambda h: zlib.crc32(f"{h.name}/{booking.number}".encode())
        )

    def _lives(self, entry: Host, host: Host) -> bool:
        """Return whether a host was heard within the time for silence."""
        was_cut_s = self.world.now_s - FAULT_S[0]
        return host is entry or self.world.reaches(entry, host) or was_cut_s < SILENCE_S


@WAYS.register("b_key")
class KeyWay(Way):
    """Home named by the key; the real ledger decides."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Send the copy to the home in its key, which the entry mints at first."""
        if not booking.key:
            booking.key = entry.ledger.mint()
        home = self.world.hosts[parse_key(booking.key).ok_value.host]
        is_known = home is entry or home in self.world.published(entry)
        if not is_known or not self.world.reaches(entry, home):
            return Verdict.MAY_HAVE_RUN
        begun = home.ledger.begin(booking.key, b"")
        if isinstance(begun, Run):
            booking.n_runs += 1
            begun.entry.finish(ANSWER)
            return Verdict.RAN
        if isinstance(begun, Replay):
            return Verdict.RAN
        if begun.refusal.verdict is Verdict.NOT_RUN:
            booking.key = ""
        return begun.refusal.verdict


@WAYS.register("c_ask_all")
class AskWay(Way):
    """Ask all hosts of the list, mark there, ask again, then run here."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Run only if every host listed answers and none has a mark."""
        others = [h for h in self.world.published(entry) if h is not entry]
        if booking.number in entry.answers:
            return Verdict.RAN
        if not all(self.world.reaches(entry, other) for other in others):
            return Verdict.MAY_HAVE_RUN
        if any(booking.number in other.answers for other in others):
            return Verdict.RAN
        if any(booking.number in host.marks for host in [entry, *others]):
            return Verdict.MAY_HAVE_RUN
        for host in [entry, *others]:
            host.marks.add(booking.number)
        return self.run_once(entry, booking)


@WAYS.register("d_resend")
class ResendWay(Way):
    """No control: each copy runs where it arrives; the caller re-sends."""

    def serve(self, entry: Host, booking: Booking) -> Verdict:
        """Run the copy."""
        booking.n_runs += 1
        return Verdict.RAN


@WAYS.register("d_honest")
class HonestWay(ResendWay):
    """No control; the caller never re-sends what may have run."""

    resends = False


class Study:
    """One way under one fault."""

    def __init__(self, way: str, fault: str, seed: int, n_bookings: int) -> None:
        self._rng = random.Random(seed)
        self._world = World(fault)
        self._way = WAYS.get(way)(self._world)
        self._bookings = [
            Booking(n, self._rng.uniform(0, RUN_S), self._rng.randrange(N_DOMAINS))
            for n in range(n_bookings)
        ]

    def run(self) -> list[Booking]:
        """Serve all bookings with their re-sends; return them."""
        events = [(booking.at_s, booking.number) for booking in self._bookings]
        heapq.heapify(events)
        while events:
            now_s, number = heapq.heappop(events)
            self._world.advance(now_s)
            booking = self._bookings[number]
            is_over = self._send(booking)
            if not is_over and booking.n_sent <= len(RESEND_S):
                gap_s = RESEND_S[booking.n_sent - 1] * self._rng.uniform(0.8, 1.2)
                heapq.heappush(events, (now_s + gap_s, number))
        return self._bookings

    def _send(self, booking: Booking) -> bool:
        """Send one copy; return whether the caller is done."""
        booking.n_sent += 1
        entry = self._entry(booking)
        if not self._world.is_up(entry):
            return False
        if self._rng.random() < REQUEST_LOSS:
            return not self._way.resends
        verdict = self._way.serve(entry, booking)
        if self._rng.random() < REPLY_LOSS:
            return not self._way.resends
        if verdict is not Verdict.RAN:
            return verdict is Verdict.MAY_HAVE_RUN and not self._way.resends
        booking.served_s = self._world.now_s
        return True

    def _entry(self, booking: Booking) -> Host:
        """Return the daemon that gets the next copy, at times another domain's."""
        domain = booking.domain
        if booking.n_sent > 1 and self._rng.random() < OTHER_DOMAIN:
            domain = self._rng.randrange(N_DOMAINS)
        hosts = self._world.hosts.values()
        live = [h for h in hosts if h.domain == domain and self._world.is_dialled(h)]
        return self._rng.choice(live)


def _row(way: str, fault: str, seed: int, bookings: list[Booking]) -> dict:
    """Return the figures of one way under one fault."""
    during = [b for b in bookings if FAULT_S[0] <= b.at_s < FAULT_S[1]]
    return {
        "way": way,
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
    """Print one JSON line for each way and fault."""
    options = docopt(__doc__)
    seed = int(options["--seed"] or 1)
    n_bookings = int(options["--bookings"] or 5000)
    for fault in FAULTS:
        for way in WAYS:
            bookings = Study(way, fault, seed, n_bookings).run()
            print(json.dumps(_row(way, fault, seed, bookings)))


if __name__ == "__main__":
    main()
