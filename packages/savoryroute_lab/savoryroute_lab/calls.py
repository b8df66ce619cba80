"""Downstream calls and faults that a request asks for in its query.

With ``?chain=catalogue:/items/1,crews:/slots`` the upstream calls catalogue, which
calls crews. With ``?fan=catalogue:/items/1,crews:/slots`` it calls both concurrently.
A step may name its method, as in ``POST@crews:/bookings``. ``?mark=crash`` asks for
a fault at the first upstream; with ``&mark_at=crews`` the mark is passed downstream
and takes effect only at that service.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from urllib.parse import urlencode

import attrs

__all__ = ["Mark", "Plan", "Step", "format_steps", "parse_plan", "parse_steps"]


class Mark(enum.StrEnum):
    """Fault that a request asks an upstream to produce.

    ``CRASH`` crashes the upstream at the start of the execution; the others act after
    it has finished. ``DROP`` closes the connection without an answer, ``TRUNCATE`` and
    ``TRUNCATE_CHUNKED`` after half of it, with a content length or in chunks.
    ``STREAM`` is no fault: the complete answer is sent in chunks.
    """

    NONE = ""
    CRASH = "crash"
    DROP = "drop"
    TRUNCATE = "truncate"
    TRUNCATE_CHUNKED = "truncate_chunked"
    STREAM = "stream"


@attrs.frozen
class Step:
    """One downstream call."""

    service: str
    path: str
    method: str = "GET"


@attrs.frozen
class Plan:
    """Downstream calls and faults that a request asks an upstream for.

    Attributes:
        chain: Nested calls; each service makes the next one.
        fan: Calls that the upstream makes concurrently.
        mark: Fault to produce.
        mark_at: Service that produces the fault; empty for the first one.
    """

    chain: tuple[Step, ...] = ()
    fan: tuple[Step, ...] = ()
    mark: Mark = Mark.NONE
    mark_at: str = ""

    def mark_for(self, service: str) -> Mark:
        """Return the fault that a service must produce."""
        return self.mark if self.mark_at in ("", service) else Mark.NONE

    @property
    def downstream_steps(self) -> tuple[Step, ...]:
        """Calls that this upstream makes itself."""
        return self.chain[:1] + self.fan

    def downstream_query(self, step: Step) -> str:
        """Return the query of a downstream call: empty or with a leading "?"."""
        is_next = bool(self.chain) and step is self.chain[0]
        is_passed_on = self.mark is not Mark.NONE and bool(self.mark_at)
        return Plan(
            chain=self.chain[1:] if is_next else (),
            mark=self.mark if is_passed_on else Mark.NONE,
            mark_at=self.mark_at if is_passed_on else "",
        ).query()

    def query(self) -> str:
        """Return this plan as a query: empty or with a leading "?"."""
        values = {
            "chain": format_steps(self.chain),
            "fan": format_steps(self.fan),
            "mark": self.mark.value,
            "mark_at": self.mark_at,
        }
        parameters = {name: value for name, value in values.items() if value}
        return "?" + urlencode(parameters, safe=":/,@") if parameters else ""


def parse_steps(text: str) -> tuple[Step, ...]:
    """Return the steps of a comma-separated list."""
    return tuple(_parse_step(part) for part in text.split(",") if part)


def format_steps(steps: tuple[Step, ...]) -> str:
    """Return steps as a comma-separated list."""
    return ",".join(_format_step(step) for step in steps)


def parse_plan(query: Mapping[str, str]) -> Plan:
    """Return the plan that a query describes."""
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
