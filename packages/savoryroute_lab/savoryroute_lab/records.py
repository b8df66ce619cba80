"""Records of the executions that stand-in upstreams start."""

from __future__ import annotations

import enum
import json
import pathlib
import time
from typing import TextIO

import attrs

__all__ = ["Execution", "ExecutionRecord", "ExecutionState", "read_executions"]


class ExecutionState(enum.StrEnum):
    """State of an execution."""

    STARTED = "started"
    FINISHED = "finished"
    CANCELLED = "cancelled"


@attrs.define
class Execution:
    """One execution of a request at an upstream.

    Attributes:
        number: Position in the record of this upstream's incarnation.
        service: Service of the upstream.
        host: Host of the upstream.
        method: HTTP method.
        path: Path without query.
        key: Idempotency key, or an empty string.
        trace_id: Trace id from ``traceparent``, or an empty string.
        request_id: Value of ``x-lab-request``, which identifies the logical request.
        started_s: Start in monotonic seconds; all processes of the machine share
            this clock.
        state: Current state.
    """

    number: int
    service: str
    host: str
    method: str
    path: str
    key: str
    trace_id: str
    request_id: str
    started_s: float = attrs.field(factory=time.monotonic)
    state: ExecutionState = attrs.field(
        default=ExecutionState.STARTED, converter=ExecutionState
    )


class ExecutionRecord:
    """Executions of one upstream, kept in memory and optionally in a file.

    Each line is flushed before the work starts, so that it is in the file even if
    the process crashes.
    """

    def __init__(self, path: pathlib.Path | None = None) -> None:
        self._executions: list[Execution] = []
        self._file: TextIO | None = path.open("a") if path else None

    @property
    def executions(self) -> list[Execution]:
        """All executions so far, oldest first."""
        return list(self._executions)

    @property
    def next_number(self) -> int:
        """Number of the next execution."""
        return len(self._executions)

    def add(self, execution: Execution) -> None:
        """Record the start of an execution."""
        self._executions.append(execution)
        self._write(execution)

    def end(self, execution: Execution, state: ExecutionState) -> None:
        """Record the end of an execution."""
        execution.state = state
        self._write(execution)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def _write(self, execution: Execution) -> None:
        if self._file is None:
            return
        self._file.write(json.dumps(attrs.asdict(execution)) + "\n")
        self._file.flush()


def read_executions(path: pathlib.Path) -> list[Execution]:
    """Read a record file; of several lines on one execution, the last counts."""
    executions: dict[tuple[int, float], Execution] = {}
    for line in path.read_text().splitlines():
        execution = Execution(**json.loads(line))
        executions[(execution.number, execution.started_s)] = execution
    return list(executions.values())
