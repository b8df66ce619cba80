"""Choice of the instance that runs a call.

Load pattern: instances differ in speed by a factor of three, some shed or fail part
of their calls, and failure domains get unequal traffic. The load that an instance
reported with its last answer, plus what this daemon has sent since, decides; the own
failure domain is preferred until it is nearly full.

Source: Mitzenmacher, The Power of Two Choices in Randomized Load Balancing (2001).
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs

from ..state.fleet_view import Instance

__all__ = ["HostChoice", "InstanceRecord"]

# Load, as part of the slots, up to which the own failure domain is preferred.
NEAR_LOAD_MAX = 0.75
# Advantage of the instance on the own host, which costs no hop.
OWN_BONUS = 0.1
# Load added where all calls fail: an instance that sheds half of its calls at once
# looks idle, and is used only where the sound ones have long lines.
FAILURE_LOAD = 4.0
FAILURE_WEIGHT = 0.1
# An instance that failed is tried again as its failures fade.
FAILURE_HALF_LIFE_S = 1.0
# Reports fade, so that an instance once full is tried again.
REPORT_HALF_LIFE_S = 0.5
UNAVAILABLE_S = 0.5
# A host that leaves for a restart is back after about this many seconds.
LEAVING_S = 3.0
# Far instances that are compared; all would cost too much in a large fleet.
SAMPLE_SIZE = 4
COLD_LOAD_FACTOR = 2.0


@attrs.define(slots=True)
class InstanceRecord:
    """What this daemon has seen of one instance.

    Attributes:
        n_mine: Calls of this daemon in flight there.
        n_mine_at_report: Value of ``n_mine`` at the last answer.
        n_told: Calls running and waiting there by the last answer.
        limit: Slots by the last answer, 0 if unknown.
        told_s: Monotonic time of the last answer.
        failure_rate: Moving share of failed calls, 0 to 1, as of the last one.
        failure_s: Monotonic time of the last outcome.
        unavailable_until_s: Monotonic time until which it takes no calls.
        cold_until_s: Monotonic time until which it is slow after its start.
    """

    n_mine: int = 0
    n_mine_at_report: int = 0
    n_told: int = 0
    limit: int = 0
    told_s: float = float("-inf")
    failure_rate: float = 0.0
    failure_s: float = 0.0
    unavailable_until_s: float = 0.0
    cold_until_s: float = 0.0

    def load(self, now_s: float, slots: int) -> float:
        """Return running and waiting calls over slots, failures weighed in."""
        weight = 0.5 ** ((now_s - self.told_s) / REPORT_HALF_LIFE_S)
        n_new = max(0, self.n_mine - self.n_mine_at_report)
        n_calls = max(self.n_mine, self.n_told * weight + n_new)
        load = n_calls / (self.limit or slots or 1)
        if now_s < self.cold_until_s:
            load *= COLD_LOAD_FACTOR
        return load + self.failures(now_s) * FAILURE_LOAD

    def failures(self, now_s: float) -> float:
        """Return the share of failed calls, faded since the last one."""
        return self.failure_rate * 0.5 ** (
            (now_s - self.failure_s) / FAILURE_HALF_LIFE_S
        )


class HostChoice:
    """Choice among the instances of a service by own observations.

    Args:
        ip: Address of the own host.
        failure_domain: Own failure domain.
        rng: Source of the samples.
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
        self, instances: Iterable[Instance], tried: Iterable[str]
    ) -> Instance | None:
        """Return the instance for the next attempt, or None if there is none.

        Args:
            instances: Instances of the service that take new work.
            tried: Identities of those that this request has been to.
        """
        now_s = self._clock()
        usable = [
            instance
            for instance in instances
            if instance.id not in tried
            and self.record(instance).unavailable_until_s <= now_s
        ]
        if not usable:
            return None
        near = [i for i in usable if i.failure_domain == self._failure_domain]
        best, load = self._least(near, now_s)
        if best is not None and load < NEAR_LOAD_MAX:
            return best
        far = [i for i in usable if i.failure_domain != self._failure_domain]
        best_far, load_far = self._least(far, now_s)
        return best_far if load_far < load else best

    def note_unavailable(self, instance: Instance) -> None:
        """Send an instance nothing for a moment."""
        self.record(instance).unavailable_until_s = self._clock() + UNAVAILABLE_S

    def note_leaving(self, instance: Instance) -> None:
        """Send nothing to an instance whose host said that it leaves."""
        self.record(instance).unavailable_until_s = self._clock() + LEAVING_S

    def note_report(self, instance: Instance, n_told: int, limit: int) -> None:
        """Keep the load that came with an answer."""
        record = self.record(instance)
        record.n_told = n_told
        record.limit = limit
        record.told_s = self._clock()
        record.n_mine_at_report = record.n_mine

    def note_outcome(self, instance: Instance, is_failure: bool) -> None:
        """Count how a call went."""
        record = self.record(instance)
        sample = 1.0 if is_failure else 0.0
        now_s = self._clock()
        rate = record.failures(now_s)
        record.failure_rate = rate + (sample - rate) * FAILURE_WEIGHT
        record.failure_s = now_s

    def forget_others(self, known: Iterable[str]) -> None:
        """Drop the observations of instances that are gone."""
        kept = set(known)
        for id_ in [id_ for id_ in self._records if id_ not in kept]:
            if not self._records[id_].n_mine:
                del self._records[id_]

    def _least(
        self, instances: list[Instance], now_s: float
    ) -> tuple[Instance | None, float]:
        """Return the least loaded of a sample, and its load."""
        if len(instances) > SAMPLE_SIZE:
            instances = self._rng.sample(instances, SAMPLE_SIZE)
        best: Instance | None = None
        least = float("inf")
        for instance in instances:
            load = self.record(instance).load(now_s, instance.slots)
            if instance.ip == self._ip:
                load -= OWN_BONUS
            load += self._rng.random() * 0.01
            if load < least:
                best, least = instance, load
        return best, least
