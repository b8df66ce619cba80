"""Behaviour of a stand-in upstream."""

from __future__ import annotations

import enum

import attrs

__all__ = ["LoadReport", "UpstreamSettings"]


class LoadReport(enum.StrEnum):
    """How honest the load reports are."""

    NONE = "none"
    TRUE = "true"
    LAGGING = "lagging"
    LYING = "lying"


@attrs.define
class UpstreamSettings:
    """Behaviour of an upstream; every member may change at run time.

    Attributes:
        service: Service that the upstream belongs to.
        host: Host that it runs on.
        slots: Most requests at work at a time.
        queue_length: Most requests waiting for a slot; None for no bound.
        connections: Most connections open; None for no bound.
        connection_cost_s: Extra time of the first request of a connection.
        work_s: Time of the work itself.
        work_jitter: Share of ``work_s`` by which it varies to both sides.
        slow_factor: Factor on the work.
        cold_start_s: Time after a start for which the work takes longer.
        cold_factor: Factor on the work during a cold start.
        leaving: Whether health says that the upstream is leaving.
        sheds: Whether every request is shed.
        load_report: How honest the load reports are.
        lying_utilization: What a lying report says.
        report_lag_s: Age of a lagging report.
        payload_bytes: Size of an answer's payload.
        restart_s: Time until a crashed in-process upstream is back.
        exits_on_crash: Whether a crash ends the process.
        outlasts_callers: Whether work goes on after its caller hung up, and whatever
            the deadline says.
        attempts_per_hop: Tries of a call to a further service.
        hop_timeout_s: Time for one such try; None for the rest of the deadline.
    """

    service: str
    host: str
    slots: int = 50
    queue_length: int | None = None
    connections: int | None = None
    connection_cost_s: float = 0.0
    work_s: float = 0.005
    work_jitter: float = 0.2
    slow_factor: float = 1.0
    cold_start_s: float = 0.0
    cold_factor: float = 5.0
    leaving: bool = False
    sheds: bool = False
    load_report: LoadReport = attrs.field(default=LoadReport.TRUE, converter=LoadReport)
    lying_utilization: float = 0.0
    report_lag_s: float = 5.0
    payload_bytes: int = 512
    restart_s: float = 0.5
    exits_on_crash: bool = False
    outlasts_callers: bool = False
    attempts_per_hop: int = 1
    hop_timeout_s: float | None = None
