"""Selects the instance that runs a call.

Load pattern: instances differ in speed by a factor of three, one becomes five times
slower, some shed or fail part of their calls, and failure domains get unequal
traffic. The cost of an instance is its load (reported by its last answer, plus the
calls that this daemon has sent since) times its slowness relative to the others.
Failures and another failure domain add to the cost. Calls in flight count as slow once
they last longer than usual, because the first answers of a slow instance come late.

For services whose instances report a factor other than 1, in addition: other work on
the machine slows some instances, and demand differs by failure domain. Calls go to
another failure domain by expected wait, but not all of them to the same instance.

Source: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

from ..protocol.mesh_frames import MeshAnswer
from ..state.fleet_view import Instance, ServiceInstances
from ..verdict import Reason, Verdict
from .instance_record import InstanceRecord, SentCall
from .spill_rule import SpillRule
from .switches import ALL_ON, Switches, switchable

__all__ = ["InstanceSelector"]

# Cost of another failure domain: traffic to it is charged and adds to the latency.
OTHER_DOMAIN_COST = 0.35
# Weight of one answer in the moving average of a route's latency.
ROUTE_LATENCY_WEIGHT = 0.02
# Cost deducted for the instance on the local host, which saves a network hop.
LOCAL_BONUS = 0.1
# Weight of one outcome in the moving average of the failure rate.
FAILURE_WEIGHT = 0.1
# Seconds for which an unreachable instance gets no calls.
UNAVAILABLE_S = 0.5
# A host that leaves for a restart is back after about this time in seconds.
LEAVING_S = 3.0
# The same from the moment at which it takes no more calls.
RESTART_S = 0.7
# Cost added to an instance whose host is leaving and still takes calls that no other
# instance can take; above the cost of any load.
LEAVING_COST = 1000.0
# Instances that are remembered as leaving, more than are replaced at a time.
LEAVING_MAX = 1024
# Instances compared in the local failure domain, and as many in the others. Comparing
# all would take too long in a large fleet.
SAMPLE_SIZE = 4


class InstanceSelector:
    """Selects among the instances of a service by this daemon's observations.

    Args:
        ip: Address of the local host.
        failure_domain: Local failure domain.
        rng: Random source of the samples.
        clock: Monotonic clock in seconds.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self,
        ip: str,
        failure_domain: str,
        rng: random.Random,
        clock: Callable[[], float],
        switches: Switches = ALL_ON,
    ) -> None:
        self._other_domain_cost = switches.pick(
            "domain_preference", OTHER_DOMAIN_COST, 0.0
        )
        self._has_slowness = switches.has("slowness")
        self._has_failure_rate = switches.has("failure_rate")
        self._has_overdue = switches.has("overdue")
        self._has_warm_up = switches.has("warm_up")
        self._has_work_time = switches.has("work_time")
        self._ip = ip
        self._failure_domain = failure_domain
        self._rng = rng
        self._clock = clock
        self._records: dict[str, InstanceRecord] = {}
        self._route_latency_s: dict[str, float] = {}
        # By service, only while its instances report a factor other than 1.
        self._spill_rules: dict[str, SpillRule] = {}
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
            cold_s = instance.cold_s if self._has_warm_up else 0.0
            cold_until_s = self._clock() + cold_s
            found = InstanceRecord(cold_until_s=cold_until_s)
            self._records[instance.id] = found
        return found

    @switchable("domain_preference", "other failure domains cost as much as the own")
    @switchable("warm_up", "upstreams in their slow start get as many calls as others")
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
        near, far = instances.split(self._failure_domain)
        rule = None
        if self._spill_rules and near:
            rule = self._spill_rules.get(near[0].service)
        loads = (0.0, 0.0) if rule is None else rule.usual_loads
        near = self._usable(near, tried, is_suspect, now_s)
        best, cost = self._cheapest(near, now_s, loads[0])
        far = self._usable(far, tried, is_suspect, now_s)
        best_far, cost_far = self._cheapest(far, now_s, loads[1])
        cost_far += self._other_domain_cost
        if rule is None or best is None or best_far is None:
            return best_far if cost_far < cost else best
        cost += rule.wait_cost(self.record(best), False, now_s)
        cost_far += rule.wait_cost(self.record(best_far), True, now_s)
        spills = cost_far < cost and rule.allows(best_far.id, now_s)
        rule.note_choice(best_far.id if spills else None)
        return best_far if spills else best

    def note_sent(self, instance: Instance, route: str) -> SentCall:
        """Count a call as in flight, until ``note_answer`` or ``note_cancelled``.

        Args:
            instance: Instance that it is sent to.
            route: Name of the route.
        """
        now_s = self._clock()
        record = self.record(instance)
        sent = SentCall(
            instance,
            route,
            now_s,
            record.compared_load,
            record.wait_ms,
            record.compared_factor,
            now_s - record.reported_s,
        )
        record.sent[sent] = None
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
            self.note_report(
                instance,
                answer.n_reported,
                answer.limit,
                answer.wait_ms,
                answer.work_time,
            )
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

    def is_leaving(self, instance: Instance) -> bool:
        """Return whether the host of an instance is leaving and still takes calls."""
        return self._clock() < self.record(instance).leaves_s

    def note_leaving(self, instance: Instance, serves_s: float = 0.0) -> None:
        """Prefer others to an instance whose host is leaving, then send it no calls.

        Args:
            instance: The instance.
            serves_s: Seconds for which its host still takes calls.
        """
        record, now_s = self.record(instance), self._clock()
        record.leaves_s = now_s + serves_s
        record.returns_s = now_s + max(LEAVING_S, serves_s + RESTART_S)

    @switchable("work_time", "the work time that upstreams state is ignored")
    def note_report(
        self,
        instance: Instance,
        n_reported: int,
        limit: int,
        wait_ms: int = 0,
        work_time: float = 1.0,
    ) -> None:
        """Record what an answer reported.

        Args:
            instance: Instance that reported it.
            n_reported: Calls running and waiting there.
            limit: Its slots.
            wait_ms: Milliseconds that a new call would wait for a slot.
            work_time: Factor by which work takes longer there now than usual.
        """
        now_s = self._clock()
        record = self.record(instance)
        if not self._has_work_time:
            work_time = 1.0
        record.report(n_reported, limit, wait_ms, work_time, now_s)
        if work_time != 1.0 and instance.service not in self._spill_rules:
            self._spill_rules[instance.service] = SpillRule()
        if self._spill_rules:
            rule = self._spill_rules.get(instance.service)
            if rule is not None:
                is_far = instance.failure_domain != self._failure_domain
                rule.note_report(record, is_far, work_time)

    @switchable("slowness", "latencies do not tell slow instances from others")
    @switchable("failure_rate", "failed calls do not count against an instance")
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
        sample = 1.0 if is_failure and self._has_failure_rate else 0.0
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
        if self._has_slowness:
            record.note_latency(latency_s / max(route_latency_s, 1e-6), now_s)
        if self._spill_rules:
            self._note_spill_latency(instance.service, route_latency_s, now_s)

    def _note_spill_latency(self, service: str, latency_s: float, now_s: float) -> None:
        rule = self._spill_rules.get(service)
        if rule is None:
            return
        rule.note_latency(latency_s)
        if rule.is_over(now_s):
            del self._spill_rules[service]

    def keep_only(self, known: Iterable[str]) -> None:
        """Drop the observations of unknown instances that have no calls in flight."""
        kept = set(known)
        for id_ in [id_ for id_ in self._records if id_ not in kept]:
            if not self._records[id_].n_own_in_flight:
                del self._records[id_]

    def _usable(
        self,
        instances: list[Instance],
        tried: Collection[str],
        is_suspect: Callable[[str], bool],
        now_s: float,
    ) -> list[tuple[Instance, InstanceRecord]]:
        """Return the usable instances of a sample, or of all if the sample has none."""
        samples = [instances]
        if len(instances) > SAMPLE_SIZE:
            samples = [self._rng.sample(instances, SAMPLE_SIZE), instances]
        records, leaving = self._records, self._leaving
        usable: list[tuple[Instance, InstanceRecord]] = []
        for sample in samples:
            for instance in sample:
                id_ = instance.id
                if id_ in tried:
                    continue
                record = records.get(id_) or self.record(instance)
                if (
                    record.unavailable_until_s <= now_s
                    and not record.leaves_s <= now_s < record.returns_s
                    and not is_suspect(instance.ip)
                    and not (leaving and (id_, instance.started_ms) in leaving)
                ):
                    usable.append((instance, record))
            if usable:
                break
        return usable

    def _cheapest(
        self,
        usable: list[tuple[Instance, InstanceRecord]],
        now_s: float,
        usual_load: float,
    ) -> tuple[Instance | None, float]:
        """Return the instance of lowest cost, and its cost."""
        best: Instance | None = None
        lowest = float("inf")
        # Without the usual latencies no call counts as overdue.
        latencies_s = self._route_latency_s if self._has_overdue else {}
        for instance, record in usable:
            cost = record.cost(now_s, instance.slots, latencies_s, usual_load)
            if instance.ip == self._ip:
                cost -= LOCAL_BONUS
            if now_s < record.leaves_s:
                cost += LEAVING_COST
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
