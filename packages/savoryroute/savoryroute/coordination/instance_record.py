"""What a first hop has observed of one instance.

Load pattern: instances differ in speed, and some are slowed for a while by other work
on their machine, which they state. The slowness is learned from latencies divided by
the stated factor of that time. Only the factor's deviation from its recent mean counts,
and only as far as latencies confirm it: a constant figure has no effect, whatever its
value.

Source: exponential smoothing; for the factor see ``work_time_check``.
"""

from __future__ import annotations

import math

import attrs

from ..state.fleet_view import Instance
from .switches import switchable
from .work_time_check import FACTOR_MAX, FACTOR_MIN, WorkTimeCheck, log_factor

__all__ = ["BASE_LOAD", "InstanceRecord", "ReportedFactor", "SentCall"]

# Load added to every instance, so that slowness counts among idle ones too.
BASE_LOAD = 0.25
# Weight of one answer in the moving averages of slowness and reported factor.
SLOWNESS_WEIGHT = 0.08
# Upper bound of the slowness and of the overdue factor.
SLOWNESS_MAX = 8.0
# Number of calls in flight that have to be overdue. A single call may last long for
# reasons of its own.
MIN_CALLS_OVERDUE = 2
# The observed slowness decays, so that a slow instance is tried again.
SLOWNESS_HALF_LIFE_S = 3.0
# Load added to an instance whose calls all fail, and in proportion below that. An
# instance that sheds half of its calls immediately looks idle; it is used only while
# the healthy ones have long queues.
FAILURE_LOAD = 4.0
# The failure rate decays, so that an instance that failed is tried again.
FAILURE_HALF_LIFE_S = 1.0
# Half-life of reported load and factor, so that an instance that was full or slow is
# tried again.
REPORT_HALF_LIFE_S = 0.5
# A reported factor counts at first, as the daemon beside the upstream confirms it too.
FACTOR_PRIOR = 1.0
# Bounds of the part of a factor that counts, as logarithms.
LOG_MIN, LOG_MAX = math.log(FACTOR_MIN), math.log(FACTOR_MAX)
# Factor of the load of an instance that is still in its slow start.
COLD_LOAD_FACTOR = 2.0


@attrs.define(slots=True, eq=False)
class SentCall:
    """One call in flight.

    Attributes:
        instance: Instance that it was sent to.
        route: Name of the route.
        sent_s: Monotonic time of sending.
        load: Load by which the instance was compared, as calls per slot.
        wait_ms: Expected wait for a slot according to its last answer.
        factor: Reported factor, as far as it counted.
        report_age_s: Age of its last answer, infinite without one.
    """

    instance: Instance
    route: str
    sent_s: float
    load: float
    wait_ms: int
    factor: float
    report_age_s: float


class ReportedFactor:
    """Factor that one instance reports, and how far latencies confirm it.

    Args:
        ratio: Latency over the usual latency of the route while the factor was 1.
        now_s: Monotonic time.
    """

    __slots__ = ("_check", "_counted", "_log", "_mean_log", "_noted_s")

    def __init__(self, ratio: float, now_s: float) -> None:
        self._check = WorkTimeCheck(FACTOR_PRIOR, SLOWNESS_WEIGHT, ratio)
        self._log = 0.0
        self._mean_log = 0.0
        self._noted_s = now_s
        # Confirmed part of the deviation of the factor from its mean.
        self._counted = 0.0

    def report(self, work_time: float, now_s: float) -> None:
        """Set the factor of an answer."""
        self._log = log_factor(work_time)
        self._count(self._mean_at(now_s))

    def at(self, weight: float) -> float:
        """Return the factor over its mean, with the weight of the report's age."""
        counted = self._counted
        if not counted:
            return 1.0
        return math.exp(counted * weight)

    def note_latency(self, ratio: float, now_s: float) -> float:
        """Record a latency over the usual one; return it without the factor."""
        mean_log = self._mean_at(now_s)
        self._check.note(self._log, ratio)
        usual = ratio / math.exp(self._check.share * (self._log - mean_log))
        self._mean_log = mean_log + (self._log - mean_log) * SLOWNESS_WEIGHT
        self._noted_s = now_s
        self._count(self._mean_log)
        return usual

    def _count(self, mean_log: float) -> None:
        counted = self._check.share * (self._log - mean_log)
        self._counted = min(LOG_MAX, max(LOG_MIN, counted))

    def _mean_at(self, now_s: float) -> float:
        # It decays with the slowness, which contains what this mean leaves out.
        kept = 0.5 ** ((now_s - self._noted_s) / SLOWNESS_HALF_LIFE_S)
        return self._mean_log * kept


@attrs.define(slots=True)
class InstanceRecord:
    """What this daemon has observed of one instance.

    Attributes:
        sent: Calls of this daemon in flight there, the oldest first.
        n_own_at_report: Number of calls in ``sent`` at the last answer.
        n_reported: Calls running and queued there according to the last answer.
        limit: Slots according to the last answer, 0 if unknown.
        reported_s: Monotonic time of the last answer.
        wait_ms: Expected wait for a slot there according to the last answer.
        work_time: Reported factor, None as long as it was always 1.
        failure_rate: Moving average of failed calls, 0 to 1, at the last outcome.
        failure_s: Monotonic time of the last outcome.
        slowness: Latency over the usual latency of the same route, at the last answer.
        slowness_s: Monotonic time of that answer.
        unavailable_until_s: Monotonic time until which it is sent no calls.
        leaves_s: Monotonic time from which its leaving host takes no more calls.
        returns_s: Monotonic time at which that host is expected back.
        cold_until_s: Monotonic time until which it counts as slow after its start.
        compared_load: Load in the last comparison, as calls per slot.
        compared_factor: Factor in the last comparison, as far as it counted.
    """

    sent: dict[SentCall, None] = attrs.field(factory=dict)
    n_own_at_report: int = 0
    n_reported: int = 0
    limit: int = 0
    reported_s: float = float("-inf")
    wait_ms: int = 0
    work_time: ReportedFactor | None = None
    failure_rate: float = 0.0
    failure_s: float = 0.0
    slowness: float = 1.0
    slowness_s: float = 0.0
    unavailable_until_s: float = 0.0
    leaves_s: float = 0.0
    returns_s: float = 0.0
    cold_until_s: float = 0.0
    compared_load: float = 0.0
    compared_factor: float = 1.0

    @property
    def n_own_in_flight(self) -> int:
        """Number of calls of this daemon in flight."""
        return len(self.sent)

    def cost(
        self,
        now_s: float,
        slots: int,
        route_latency_s: dict[str, float],
        usual_load: float = 0.0,
    ) -> float:
        """Return the cost by which instances are compared.

        It is one function, since it runs for up to eight instances a call.

        Args:
            now_s: Monotonic time.
            slots: Slots according to the platform's entry of the instance.
            route_latency_s: Usual latency in seconds by route.
            usual_load: Load that an old report is taken for; 0 lets full instances be
                tried again.
        """
        slots = self.limit or slots or 1
        n_own = len(self.sent)
        n_new = n_own - self.n_own_at_report
        weight = 0.5 ** ((now_s - self.reported_s) / REPORT_HALF_LIFE_S)
        n_calls = self.n_reported * weight + (1.0 - weight) * usual_load * slots
        if n_new > 0:
            n_calls += n_new
        load = (n_own if n_own > n_calls else n_calls) / slots
        if now_s < self.cold_until_s:
            load *= COLD_LOAD_FACTOR
        self.compared_load = load
        slow = self.slowness
        if slow != 1.0:
            slow = self.current_slowness(now_s)
        if self.work_time is not None:
            self.compared_factor = self.work_time.at(weight)
            slow *= self.compared_factor
        if n_own >= MIN_CALLS_OVERDUE:
            slow = max(slow, self.overdue_factor(now_s, route_latency_s))
        cost = (load + BASE_LOAD) * slow
        if self.failure_rate:
            cost += self.current_failure_rate(now_s) * FAILURE_LOAD
        return cost

    @switchable("overdue", "calls in flight do not count as slow before they end")
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

    def report(
        self, n_reported: int, limit: int, wait_ms: int, work_time: float, now_s: float
    ) -> None:
        """Record what an answer reports."""
        self.n_reported = n_reported
        self.limit = limit
        self.wait_ms = wait_ms
        self.reported_s = now_s
        self.n_own_at_report = len(self.sent)
        if self.work_time is not None:
            self.work_time.report(work_time, now_s)
        elif work_time != 1.0:
            self.work_time = ReportedFactor(self.current_slowness(now_s), now_s)
            self.work_time.report(work_time, now_s)

    def note_latency(self, ratio: float, now_s: float) -> None:
        """Record a latency over the usual latency of its route."""
        ratio = min(SLOWNESS_MAX, ratio)
        if self.work_time is not None:
            ratio = self.work_time.note_latency(ratio, now_s)
        slow = self.current_slowness(now_s)
        self.slowness = slow + (ratio - slow) * SLOWNESS_WEIGHT
        self.slowness_s = now_s

    def current_failure_rate(self, now_s: float) -> float:
        """Return the failure rate, which decays after the last outcome."""
        return self.failure_rate * 0.5 ** (
            (now_s - self.failure_s) / FAILURE_HALF_LIFE_S
        )
