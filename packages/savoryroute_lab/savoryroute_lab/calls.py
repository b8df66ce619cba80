"""Chains of calls, and marks for faults, as stated in a request's query.

``?chain=catalogue:/items/1,crews:/slots`` calls catalogue, which calls crews.
``?fan=catalogue:/items/1,crews:/slots`` calls both at once. A step may name its
method, as in ``POST@crews:/bookings``. ``?mark=crash`` marks the request;
with ``&mark_at=crews`` the mark travels down and works at that service alone.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from urllib.parse import urlencode

import attrs

__all__ = ["Mark", "Plan", "Step", "format_steps", "parse_plan", "parse_steps"]


class Mark(enum.StrEnum):
    """Fault that a request asks its upstream for."""

    NONE = ""
    CRASH = "crash"
    DROP = "drop"
    TRUNCATE = "truncate"
    TRUNCATE_CHUNKED = "truncate_chunked"
    STREAM = "stream"


@attrs.frozen
class Step:
    """One call to a further service."""

    service: str
    path: str
    method: str = "GET"


@attrs.frozen
class Plan:
    """What a request asks of an upstream besides its own work.

    Attributes:
        chain: Calls to make one below the other.
        fan: Calls to make at once.
        mark: Fault asked for.
        mark_at: Service that the fault is asked of; empty for the first one.
    """

    chain: tuple[Step, ...] = ()
    fan: tuple[Step, ...] = ()
    mark: Mark = Mark.NONE
    mark_at: str = ""

    def mark_for(self, service: str) -> Mark:
        """Return the fault that a service is to show."""
        return self.mark if self.mark_at in ("", service) else Mark.NONE

    @property
    def downstream_steps(self) -> tuple[Step, ...]:
        """Calls that the upstream itself makes."""
        return self.chain[:1] + self.fan

    def downstream_query(self, step: Step) -> str:
        """Return the query for a child, with a leading question mark if any."""
        is_next = bool(self.chain) and step is self.chain[0]
        travels = self.mark is not Mark.NONE and bool(self.mark_at)
        return Plan(
            chain=self.chain[1:] if is_next else (),
            mark=self.mark if travels else Mark.NONE,
            mark_at=self.mark_at if travels else "",
        ).query()

    def query(self) -> str:
        """Return the query that states this plan."""
        members = {
            "chain": format_steps(self.chain),
            "fan": format_steps(self.fan),
            "mark": self.mark.value,
            "mark_at": self.mark_at,
        }
        stated = {name: value for name, value in members.items() if value}
        return "?" + urlencode(stated, safe=":/,@") if stated else ""


def parse_steps(text: str) -> tuple[Step, ...]:
    """Return the steps of a comma-separated list."""
    return tuple(_parse_step(part) for part in text.split(",") if part)


def format_steps(steps: tuple[Step, ...]) -> str:
    """Return steps as a comma-separated list."""
    return ",".join(_format_step(step) for step in steps)


def parse_plan(query: Mapping[str, str]) -> Plan:
    """Return the plan that a query states."""
    return Plan(
        chain=parse_steps(query.get("chain", "")),
        fan=parse_steps(query.get("fan", "")),
        mark=Mark(query.get("mark", "")),
        mark_at=query.get("mark_at", ""),
    )


def _parse_step(text: str) -> Step:
    head, _, path = text.partition(":")
    method, at, service = head.rpartition("@")
    return Step(service, path, method if at else "GET")


def _format_step(step: Step) -> str:
    prefix = "" if step.method == "GET" else f"{step.method}@"
    return f"{prefix}{step.service}:{step.path}"
