"""Selects the host that runs an attempt, and ejects failing hosts."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable

import attrs

from ..protocol.frames import Answer
from ..state.audit import AuditKind, AuditTrail
from ..state.member import Member
from ..state.policies import EjectionPolicy
from ..verdict import Reason, Verdict

__all__ = ["Choice", "HostRecord", "Placement"]

EJECT_AFTER_FAILURES = 5
# Each consecutive ejection lasts twice as long, up to this many doublings.
EJECTION_DOUBLINGS_MAX = 5
# Load and latency in seconds that are added to those of each host, so that the latency
# counts among idle hosts, and the load among those without a measured latency.
IDLE_LOAD = 0.05
LATENCY_FLOOR_S = 0.02
# Weight of one answer in the moving average of the latency.
LATENCY_WEIGHT = 0.2
# The local upstream is taken at up to this multiple of the cost of the best host.
LOCAL_COST_FACTOR = 2.0
# The reported load and the latency decay, so that a host that was full is tried again.
REPORT_HALF_LIFE_S = 1.0
# Load assumed for each attempt in flight at a host whose limit is unknown.
UNKNOWN_LOAD = 0.25
# Load from which the local upstream is not preferred, and from which hosts of other
# failure domains take no spill-over.
SPILL_LOAD_MAX = 0.8
# Seconds for which a leaving host gets no attempts.
UNAVAILABLE_S = 0.5
# Load from which a host counts as full, so that attempts may spill over.
FULL_LOAD = 1.0
# Seconds in which the extra load of a host back from an ejection falls from 1 to 0.
RAMP_UP_S = 3.0


@attrs.define
class HostRecord:
    """What this daemon has observed of one host.

    Attributes:
        n_own_in_flight: Attempts of this daemon in flight there.
        n_reported: Requests in flight there according to its last answer.
        n_queued: Requests queued there according to its last answer.
        limit: Concurrency limit according to its last answer, 0 if unknown.
        n_own_at_report: Value of ``n_own_in_flight`` at the last answer.
        latency_s: Moving average of the latency in seconds.
        n_failures: Consecutive failures.
        n_ejections: Consecutive ejections.
        ejected_until_s: Monotonic time at which the last ejection ends.
        unavailable_until_s: Monotonic time until which it is sent no attempts.
        returned_s: Monotonic time of the return from the last ejection.
        reported_s: Monotonic time of the last answer.
    """

    n_own_in_flight: int = 0
    n_reported: int = 0
    n_queued: int = 0
    limit: int = 0
    n_own_at_report: int = 0
    latency_s: float = 0.0
    n_failures: int = 0
    n_ejections: int = 0
    ejected_until_s: float = 0.0
    unavailable_until_s: float = 0.0
    returned_s: float = float("-inf")
    reported_s: float = float("-inf")

    def load(self, now_s: float) -> float:
        """Return requests at the host over its limit.

        While the limit is unknown, an assumed load for each of this daemon's attempts
        is returned. The reported load decays, so that a host that was full is tried
        again.
        """
        if not self.limit:
            return UNKNOWN_LOAD * self.n_own_in_flight
        n_new = max(0, self.n_own_in_flight - self.n_own_at_report)
        n_requests = (self.n_reported + self.n_queued) * self._weight(now_s)
        return (n_requests + n_new) / self.limit

    def cost(self, now_s: float) -> float:
        """Return the cost by which hosts are compared: load times latency.

        A host back from an ejection gets an extra load at first, so that it does not
        attract all requests at once. Without new answers the latency decays like the
        load.
        """
        ramp = max(0.0, 1.0 - (now_s - self.returned_s) / RAMP_UP_S)
        latency_s = self.latency_s * self._weight(now_s)
        return (self.load(now_s) + ramp + IDLE_LOAD) * (latency_s + LATENCY_FLOOR_S)

    def _weight(self, now_s: float) -> float:
        """Return the weight of the last answer, which decays from 1 to 0."""
        return 0.5 ** ((now_s - self.reported_s) / REPORT_HALF_LIFE_S)


@attrs.frozen
class Choice:
    """A host for one attempt.

    Attributes:
        member: The host.
        is_spill_over: Whether it is in another failure domain because the local one
            lacks capacity.
    """

    member: Member
    is_spill_over: bool


class Placement:
    """Selects among the hosts of a service by this daemon's observations.

    The local failure domain is preferred, and in it the local upstream unless another
    one is clearly better. Other hosts are compared two at a time (Mitzenmacher, The
    Power of Two Choices in Randomized Load Balancing).
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        members_of: Callable[[str], list[Member]],
        audit: AuditTrail,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._failure_domain = failure_domain
        self._members_of = members_of
        self._audit = audit
        self._rng = rng
        self._clock = clock
        self._records: dict[str, HostRecord] = {}

    @property
    def records(self) -> dict[str, HostRecord]:
        """Observations by host."""
        return self._records

    def record(self, host: str) -> HostRecord:
        """Return the observations of a host."""
        found = self._records.get(host)
        if found is None:
            found = self._records[host] = HostRecord()
        return found

    def choose(
        self,
        service: str,
        excluded: Iterable[str],
        ejection: EjectionPolicy,
        may_spill_over: bool,
    ) -> Choice | None:
        """Return the host for the next attempt, or None if there is none.

        Args:
            service: Service that runs the attempt.
            excluded: Hosts that this request has already tried.
            ejection: Ejection policy.
            may_spill_over: Whether the overflow may go to another failure domain.
        """
        members = self._members_of(service)
        tried = set(excluded)
        usable = self._available(members, ejection)
        near = [m for m in usable if m.failure_domain == self._failure_domain]
        has_near = any(m.failure_domain == self._failure_domain for m in members)
        open_near = [m for m in near if m.host not in tried]
        best = self._choose_near(open_near)
        if best is not None and self._load_of(best) < FULL_LOAD:
            return Choice(best, False)
        if may_spill_over or not has_near:
            far = self._choose_far(usable, tried, has_near)
            if far is not None:
                return far
        return None if best is None else Choice(best, False)

    def begin(self, host: str) -> None:
        """Count an attempt as in flight."""
        self.record(host).n_own_in_flight += 1

    def end(self, host: str, answer: Answer | None, latency_s: float) -> None:
        """Record the end of an attempt.

        Args:
            host: Host that it was sent to.
            answer: The answer, or None if there was none.
            latency_s: Seconds from sending to the end.
        """
        record = self.record(host)
        record.n_own_in_flight -= 1
        if answer is not None:
            record.n_own_at_report = record.n_own_in_flight
            record.n_reported = answer.n_in_flight
            record.n_queued = answer.n_queued
            record.limit = answer.limit
            record.reported_s = self._clock()
        if answer is not None and answer.verdict == Verdict.RAN:
            self._note_success(record, latency_s)
        elif answer is not None and answer.reason == Reason.LEAVING:
            record.unavailable_until_s = self._clock() + UNAVAILABLE_S
        elif answer is None or not answer.is_load:
            record.n_failures += 1

    def eject_if_failing(
        self, host: str, service: str, ejection: EjectionPolicy
    ) -> None:
        """Eject a host after consecutive failures, within the limit of the policy."""
        record = self.record(host)
        if record.n_failures < EJECT_AFTER_FAILURES:
            return
        now_s = self._clock()
        if record.ejected_until_s > now_s or not self._may_eject(service, ejection):
            return
        doublings = min(record.n_ejections, EJECTION_DOUBLINGS_MAX)
        duration_s = ejection.base_s * 2**doublings
        record.n_ejections += 1
        record.n_failures = 0
        record.ejected_until_s = now_s + duration_s
        record.returned_s = record.ejected_until_s
        self._audit.record(
            AuditKind.EJECTION,
            host,
            f"ejected for {duration_s:.1f} s",
            f"{EJECT_AFTER_FAILURES} consecutive failures seen by {self._host}",
        )

    def _note_success(self, record: HostRecord, latency_s: float) -> None:
        record.n_failures = 0
        if self._clock() > record.returned_s + RAMP_UP_S:
            record.n_ejections = 0
        if not record.latency_s:
            record.latency_s = latency_s
        record.latency_s += LATENCY_WEIGHT * (latency_s - record.latency_s)

    def _load_of(self, member: Member) -> float:
        return self.record(member.host).load(self._clock())

    def _is_unavailable(self, host: str) -> bool:
        record = self._records.get(host)
        if record is None:
            return False
        now_s = self._clock()
        return max(record.ejected_until_s, record.unavailable_until_s) > now_s

    def _available(
        self, members: list[Member], ejection: EjectionPolicy
    ) -> list[Member]:
        """Return the available members, or all of them if none is available."""
        kept = [m for m in members if not self._is_unavailable(m.host)]
        return kept or members

    def _may_eject(self, service: str, ejection: EjectionPolicy) -> bool:
        """Return whether one more ejection stays within the limit of the policy.

        When most hosts of a service seem to fail, the observations are wrong or the
        whole service is slow.
        """
        members = self._members_of(service)
        n_unavailable = sum(self._is_unavailable(m.host) for m in members)
        return n_unavailable + 1 <= ejection.maximum_fraction * len(members)

    def _choose_near(self, members: list[Member]) -> Member | None:
        """Return the best host of the local failure domain, or None if there is none.

        The local upstream saves a network hop, so it is taken unless it is busy or
        clearly slower.
        """
        best = self._better_of_two(members)
        local = next((m for m in members if m.host == self._host), None)
        if local is None or self._load_of(local) >= SPILL_LOAD_MAX:
            return best
        now_s = self._clock()
        local_cost = self.record(local.host).cost(now_s)
        if local_cost <= LOCAL_COST_FACTOR * self.record(best.host).cost(now_s):
            return local
        return best

    def _better_of_two(self, members: list[Member]) -> Member | None:
        if not members:
            return None
        pair = self._rng.sample(members, min(2, len(members)))
        now_s = self._clock()
        return min(pair, key=lambda m: self.record(m.host).cost(now_s))

    def _choose_far(
        self, usable: list[Member], tried: set[str], has_near: bool
    ) -> Choice | None:
        """Return a host of another failure domain that has spare capacity."""
        far = [
            m
            for m in usable
            if m.failure_domain != self._failure_domain and m.host not in tried
        ]
        if has_near:
            far = [m for m in far if self._load_of(m) < SPILL_LOAD_MAX]
        best = self._better_of_two(far)
        return None if best is None else Choice(best, has_near)
