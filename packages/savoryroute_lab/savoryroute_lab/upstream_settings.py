"""Settings of a stand-in upstream."""

from __future__ import annotations

import enum

import attrs

__all__ = ["LoadReport", "UpstreamSettings"]


class LoadReport(enum.StrEnum):
    """Accuracy of the load reports."""

    NONE = "none"
    TRUE = "true"
    LAGGING = "lagging"
    LYING = "lying"


@attrs.define
class UpstreamSettings:
    """Settings of an upstream; all can change at run time.

    Attributes:
        service: Service that the upstream belongs to.
        host: Host that it runs on.
        slots: Limit of requests in flight.
        queue_length: Limit of requests that wait for a slot; None for no limit.
        connections: Limit of open connections; None for no limit.
        connection_cost_s: Extra processing time of the first request on a connection.
        work_s: Processing time of a request, without downstream calls.
        work_jitter: Largest relative deviation of the processing time from ``work_s``,
            up or down.
        slow_factor: Factor on the processing time.
        cold_start_s: Time after a start during which processing takes longer.
        cold_factor: Factor on the processing time during a cold start.
        leaving: Whether the health check reports that the upstream is leaving.
        sheds: Whether every request is shed.
        load_report: Accuracy of the load reports.
        lying_utilization: Utilization that a false report states.
        report_lag_s: Age of the utilization in a delayed report.
        payload_bytes: Size of an answer's payload.
        restart_s: Time until an upstream that simulates a crash listens again.
        exits_on_crash: Whether a crash ends the process.
        outlasts_callers: Whether a request continues after its caller disconnected
            and after its deadline.
        attempts_per_hop: Attempts of a downstream call.
        hop_timeout_s: Timeout of one such attempt; None for the rest of the deadline.
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
