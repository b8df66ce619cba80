"""Selects the instance that runs a call.

Load pattern: instances differ in speed by a factor of three, one becomes five times
slower, some shed or fail part of their calls, and failure domains get unequal
traffic. The cost of an instance is its load (reported by its last answer, plus the
calls that this daemon has sent since) times its slowness relative to the others.
Failures and another failure domain add to the cost. Calls in flight count as slow once
they last longer than usual, because the first answers of a slow instance come late.

Source: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

import attrs

from ..protocol.mesh_frames import MeshAnswer
from ..state.fleet_view import Instance, ServiceInstances
from ..verdict import Reason, Verdict

__all__ = ["InstanceRecord", "InstanceSelector", "SentCall"]

# Cost of another failure domain: traffic to it is charged and adds to the latency.
OTHER_DOMAIN_COST = 0.35
# Load added to every instance, so that slowness counts among idle ones too.
BASE_LOAD = 0.25
# Weights of one answer in the moving averages of a route's latency and of an
# instance's slowness.
ROUTE_LATENCY_WEIGHT = 0.02
SLOWNESS_WEIGHT = 0.08
# Upper bound of the slowness and of the overdue factor.
SLOWNESS_MAX = 8.0
# Number of calls in flight that have to be overdue. A single call may last long for
# reasons of its own.
MIN_CALLS_OVERDUE = 2
# The observed slowness decays, so that a slow instance is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
# Cost deducted for the instance on the local host, which saves a network hop.
LOCAL_BONUS = 0.1
# Load added to an instance whose calls all fail, and in proportion below that. An
# instance that sheds half of its calls immediately looks idle; it is used only while
# the healthy ones have long queues.
FAILURE_LOAD = 4.0
FAILURE_WEIGHT = 0.1
# The failure rate decays, so that an instance that failed is tried again.
FAILURE_HALF_LIFE_S = 1.0
# The reported load decays, so that an instance that was full is tried again.
REPORT_HALF_LIFE_S = 0.5
# Seconds for which an unreachable instance gets no calls.
UNAVAILABLE_S = 0.5
# A host that leaves for a restart is back after about this time in seconds.
LEAVING_S = 3.0
# Instances that are remembered as leaving, more than are replaced at a time.
LEAVING_MAX = 1024
# Instances compared in the local failure domain, and as many in the others. Comparing
# all would take too long in a large fleet.
SAMPLE_SIZE = 4
# Factor of the load of an instance that is still in its slow start.
COLD_LOAD_FACTOR = 2.0


@attrs.frozen(slots=True, eq=False)
class SentCall:
    """One call in flight.

    Attributes:
        instance: Instance that it was sent to.
        route: Name of the route.
        sent_s: Monotonic time of sending.
    """

    instance: Instance
    route: str
    sent_s: float


@attrs.define(slots=True)
class InstanceRecord:
    """What this daemon has observed of one instance.

    Attributes:
        sent: Calls of this daemon in flight there, the oldest first.
        n_own_at_report: Number of calls in ``sent`` at the last answer.
        n_reported: Calls running and queued there according to the last answer.
        limit: Slots according to the last answer, 0 if unknown.
        reported_s: Monotonic time of the last answer.
        failure_rate: Moving average of failed calls, 0 to 1, at the last outcome.
        failure_s: Monotonic time of the last outcome.
        slowness: Latency over the usual latency of the same route, at the last answer.
        slowness_s: Monotonic time of that answer.
        unavailable_until_s: Monotonic time until which it is sent no calls.
        cold_until_s: Monotonic time until which it counts as slow after its start.
    """

    sent: dict[SentCall, None] = attrs.field(factory=dict)
    n_own_at_report: int = 0
    n_reported: int = 0
    limit: int = 0
    reported_s: float = float("-inf")
    failure_rate: float = 0.0
    failure_s: float = 0.0
    slowness: float = 1.0
    slowness_s: float = 0.0
    unavailable_until_s: float = 0.0
    cold_until_s: float = 0.0

    @property
    def n_own_in_flight(self) -> int:
        """Number of calls of this daemon in flight."""
        return len(self.sent)

    def load(self, now_s: float, slots: int) -> float:
        """Return running and queued calls over slots."""
        weight = 0.5 ** ((now_s - self.reported_s) / REPORT_HALF_LIFE_S)
        n_new = max(0, self.n_own_in_flight - self.n_own_at_report)
        n_calls = max(self.n_own_in_flight, self.n_reported * weight + n_new)
        load = n_calls / (self.limit or slots or 1)
        if now_s < self.cold_until_s:
            load *= COLD_LOAD_FACTOR
        return load

    def cost(
        self, now_s: float, slots: int, route_latency_s: dict[str, float]
    ) -> float:
        """Return the cost by which instances are compared.

        Args:
            now_s: Monotonic time.
            slots: Slots according to the platform's entry of the instance.
            route_latency_s: Usual latency in seconds by route.
        """
        load = self.load(now_s, slots) + BASE_LOAD
        slow = max(
            self.current_slowness(now_s), self.overdue_factor(now_s, route_latency_s)
        )
        return load * slow + self.current_failure_rate(now_s) * FAILURE_LOAD

    def overdue_factor(self, now_s: float, route_latency_s: dict[str, float]) -> float:
        """Return the age of calls in flight over the usual latency, 0 if unknown.

        The second oldest call counts, since a single call may last long for reasons
        of its own.
        """
        if len(self.sent) < MIN_CALLS_OVERDUE:
            return 0.0
        oldest = iter(self.sent)
        next(oldest)
        call = next(oldest)
        usual = route_latency_s.get(call.route)
        if usual is None:
            return 0.0
        return min(SLOWNESS_MAX, (now_s - call.sent_s) / max(usual, 1e-6))

    def current_slowness(self, now_s: float) -> float:
        """Return the slowness, which decays towards 1 after the last answer."""
        kept = 0.5 ** ((now_s - self.slowness_s) / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self.slowness - 1.0) * kept

    def current_failure_rate(self, now_s: float) -> float:
        """Return the failure rate, which decays after the last outcome."""
        return self.failure_rate * 0.5 ** (
            (now_s - self.failure_s) / FAILURE_HALF_LIFE_S
        )


class InstanceSelector:
    """Selects among the instances of a service by this daemon's observations.

    Args:
        ip: Address of the local host.
        failure_domain: Local failure domain.
        rng: Random source of the samples.
        clock: Monotonic clock in seconds.
    """

    def __init__(
        self,
        ip: str,
        failure_domain: str,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._ip = ip
        self._failure_domain = failure_domain
        self._rng = rng
        self._clock = clock
        self._records: dict[str, InstanceRecord] = {}
        self._route_latency_s: dict[str, float] = {}
        # By identity and start, as an upstream may start again under its identity. They
        # outlive the records, which are dropped while an instance is not listed.
        self._leaving: dict[tuple[str, int], None] = {}

    @property
    def records(self) -> dict[str, InstanceRecord]:
        """Observations by instance."""
        return self._records

    def record(self, instance: Instance) -> InstanceRecord:
        """Return the observations of an instance."""
        found = self._records.get(instance.id)
        if found is None:
            cold_until_s = self._clock() + instance.cold_s
            found = InstanceRecord(cold_until_s=cold_until_s)
            self._records[instance.id] = found
        return found

    def choose(
        self,
        instances: ServiceInstances,
        tried: Collection[str],
        is_suspect: Callable[[str], bool],
    ) -> Instance | None:
        """Return the instance for the next attempt, or None if there is none.

        Args:
            instances: Instances of the service that take new calls.
            tried: Ids of the instances that this request has tried.
            is_suspect: Returns whether the host at an address seems unreachable.
        """
        now_s = self._clock()

        def is_usable(instance: Instance) -> bool:
            return (
                instance.id not in tried
                and self.record(instance).unavailable_until_s <= now_s
                and not is_suspect(instance.ip)
                and (instance.id, instance.started_ms) not in self._leaving
            )

        near, far = instances.split(self._failure_domain)
        best, cost = self._cheapest(near, is_usable, now_s)
        best_far, cost_far = self._cheapest(far, is_usable, now_s)
        return best_far if cost_far + OTHER_DOMAIN_COST < cost else best

    def note_sent(self, instance: Instance, route: str) -> SentCall:
        """Count a call as in flight, until ``note_answer`` or ``note_cancelled``.

        Args:
            instance: Instance that it is sent to.
            route: Name of the route.
        """
        sent = SentCall(instance, route, self._clock())
        self.record(instance).sent[sent] = None
        return sent

    def note_answer(self, sent: SentCall, answer: MeshAnswer) -> None:
        """Record the answer to a call."""
        instance = sent.instance
        self.record(instance).sent.pop(sent, None)
        if answer.is_leaving:
            self._leaving[instance.id, instance.started_ms] = None
            if len(self._leaving) > LEAVING_MAX:
                del self._leaving[next(iter(self._leaving))]
        if answer.limit:
            self.note_report(instance, answer.n_reported, answer.limit)
        if answer.was_sent and not _is_downstream_failure(answer):
            latency_s = self._clock() - sent.sent_s
            self.note_outcome(instance, _is_own_failure(answer), sent.route, latency_s)
        is_unreachable = answer.reason in _UNREACHABLE_REASONS
        if is_unreachable and not (answer.was_sent and answer.limit):
            self.note_unavailable(instance)

    def note_timeout(self, sent: SentCall) -> None:
        """Record a call that timed out; call ``note_cancelled`` afterwards."""
        latency_s = self._clock() - sent.sent_s
        self.note_outcome(sent.instance, False, sent.route, latency_s)

    def note_cancelled(self, sent: SentCall) -> None:
        """Stop counting a cancelled call as in flight."""
        self.record(sent.instance).sent.pop(sent, None)

    def note_unavailable(self, instance: Instance) -> None:
        """Send no calls to an instance for ``UNAVAILABLE_S``."""
        self.record(instance).unavailable_until_s = self._clock() + UNAVAILABLE_S

    def note_leaving(self, instance: Instance) -> None:
        """Send no calls to an instance whose host is leaving, for ``LEAVING_S``."""
        self.record(instance).unavailable_until_s = self._clock() + LEAVING_S

    def note_report(self, instance: Instance, n_reported: int, limit: int) -> None:
        """Record the load that an answer reported."""
        record = self.record(instance)
        record.n_reported = n_reported
        record.limit = limit
        record.reported_s = self._clock()
        record.n_own_at_report = record.n_own_in_flight

    def note_outcome(
        self, instance: Instance, is_failure: bool, route: str, latency_s: float
    ) -> None:
        """Record the outcome of a call.

        Args:
            instance: Instance that ran it.
            is_failure: Whether the instance itself failed.
            route: Name of the route.
            latency_s: Seconds from sending to the end.
        """
        record = self.record(instance)
        sample = 1.0 if is_failure else 0.0
        now_s = self._clock()
        rate = record.current_failure_rate(now_s)
        record.failure_rate = rate + (sample - rate) * FAILURE_WEIGHT
        record.failure_s = now_s
        if is_failure:
            return
        route_latency_s = self._route_latency_s.get(route, latency_s)
        self._route_latency_s[route] = (
            route_latency_s + (latency_s - route_latency_s) * ROUTE_LATENCY_WEIGHT
        )
        ratio = min(SLOWNESS_MAX, latency_s / max(route_latency_s, 1e-6))
        slow = record.current_slowness(now_s)
        record.slowness = slow + (ratio - slow) * SLOWNESS_WEIGHT
        record.slowness_s = now_s

    def keep_only(self, known: Iterable[str]) -> None:
        """Drop the observations of unknown instances that have no calls in flight."""
        kept = set(known)
        for id_ in [id_ for id_ in self._records if id_ not in kept]:
            if not self._records[id_].n_own_in_flight:
                del self._records[id_]

    def _cheapest(
        self,
        instances: list[Instance],
        is_usable: Callable[[Instance], bool],
        now_s: float,
    ) -> tuple[Instance | None, float]:
        """Return the usable instance of lowest cost in a sample, and its cost."""
        usable: list[Instance] = []
        if len(instances) > SAMPLE_SIZE:
            sample = self._rng.sample(instances, SAMPLE_SIZE)
            usable = [instance for instance in sample if is_usable(instance)]
        if not usable:
            usable = [instance for instance in instances if is_usable(instance)]
        best: Instance | None = None
        lowest = float("inf")
        for instance in usable:
            record = self.record(instance)
            cost = record.cost(now_s, instance.slots, self._route_latency_s)
            if instance.ip == self._ip:
                cost -= LOCAL_BONUS
            # Random tie-break among instances of equal cost.
            cost += self._rng.random() * 0.01
            if cost < lowest:
                best, lowest = instance, cost
        return best, lowest


_UNREACHABLE_REASONS = frozenset(
    {
        Reason.LEAVING,
        Reason.NO_UPSTREAM,
        Reason.UNREACHABLE,
        Reason.CONNECTION_LOST,
    }
)


def _is_downstream_failure(answer: MeshAnswer) -> bool:
    """Return whether a failure was caused by load at a downstream service."""
    return answer.verdict is Verdict.RAN and answer.status >= 500 and answer.is_load


def _is_own_failure(answer: MeshAnswer) -> bool:
    """Return whether an attempt that was sent failed at the instance itself.

    A timeout does not count as a failure but as a long latency.
    """
    if answer.verdict is Verdict.RAN:
        return answer.status >= 500
    return answer.reason is not Reason.DEADLINE
