"""Which calls of a service go to another failure domain.

Load pattern: demand rises and falls with a different phase in each failure domain, in
clumps, and upstreams are slowed for less than a second at a time. Calls go where they
end sooner, by the wait that the daemon beside the upstream expects. Reports are older
than a clump, so without a limit all calls of a clump would go to the one remote
instance that reported the shortest wait.

Source: herd behaviour under stale load information: Mitzenmacher, How Useful Is Old
Information? (2000).
"""

from __future__ import annotations

from .instance_record import REPORT_HALF_LIFE_S, InstanceRecord

__all__ = ["SpillRule"]

# Share of the usual load that an old report is taken for. Below 1, instances that have
# not been heard of are tried again; at 1, waits rose by 4% when half of them drained.
OLD_LOAD_SHARE = 0.8
# Decision interval in seconds, about the age of reports at 74 first hops.
INTERVAL_S = 0.1
# Largest share of the calls of an interval that goes to the same remote instance.
SHARE_MAX = 0.5
# Weight of one answer in the usual latency of the service.
LATENCY_WEIGHT = 0.02
# Weight of one report in the usual load and wait of a failure domain.
REPORT_WEIGHT = 0.05
# Seconds after the last factor other than 1 at which the service counts as even again.
EVEN_AFTER_S = 10.0


class SpillRule:
    """Choices of one first hop between failure domains, for one service."""

    __slots__ = (
        "_factor_s",
        "_interval_s",
        "_latency_s",
        "_n_calls",
        "_n_spilled",
        "_usual_loads",
        "_usual_waits_ms",
    )

    def __init__(self) -> None:
        self._latency_s = 0.0
        self._factor_s = 0.0
        self._interval_s = 0.0
        self._n_calls = 0
        self._n_spilled: dict[str, int] = {}
        # In the local failure domain and in the others.
        self._usual_loads = [0.0, 0.0]
        self._usual_waits_ms = [0.0, 0.0]

    @property
    def usual_loads(self) -> list[float]:
        """Load that old reports count as, in the local failure domain and others."""
        return [OLD_LOAD_SHARE * load for load in self._usual_loads]

    def note_report(
        self, record: InstanceRecord, is_far: bool, work_time: float
    ) -> None:
        """Record the report of an instance, after its record has it."""
        if work_time != 1.0:
            self._factor_s = record.reported_s
        loads, waits_ms = self._usual_loads, self._usual_waits_ms
        load = record.n_reported / (record.limit or 1)
        loads[is_far] += (load - loads[is_far]) * REPORT_WEIGHT
        waits_ms[is_far] += (record.wait_ms - waits_ms[is_far]) * REPORT_WEIGHT

    def is_over(self, now_s: float) -> bool:
        """Return whether no instance has reported such a factor recently."""
        return now_s - self._factor_s > EVEN_AFTER_S

    def note_latency(self, latency_s: float) -> None:
        """Record the usual latency of the route of an answered call."""
        if not self._latency_s:
            self._latency_s = latency_s
        self._latency_s += (latency_s - self._latency_s) * LATENCY_WEIGHT

    def wait_cost(self, record: InstanceRecord, is_far: bool, now_s: float) -> float:
        """Return the expected wait at an instance, in usual latencies."""
        if not self._latency_s:
            return 0.0
        weight = 0.5 ** ((now_s - record.reported_s) / REPORT_HALF_LIFE_S)
        usual_ms = self._usual_waits_ms[is_far]
        wait_ms = usual_ms + (record.wait_ms - usual_ms) * weight
        return wait_ms / (1000.0 * self._latency_s)

    def allows(self, instance: str, now_s: float) -> bool:
        """Return whether a remote instance may get the next call."""
        if now_s - self._interval_s > INTERVAL_S:
            self._interval_s = now_s
            self._n_calls = 0
            self._n_spilled.clear()
        n_after = self._n_spilled.get(instance, 0) + 1
        return n_after <= max(1.0, SHARE_MAX * (self._n_calls + 1))

    def note_choice(self, spilled_to: str | None) -> None:
        """Count a call, and the remote instance it goes to, None for a near one."""
        self._n_calls += 1
        if spilled_to is not None:
            self._n_spilled[spilled_to] = self._n_spilled.get(spilled_to, 0) + 1
