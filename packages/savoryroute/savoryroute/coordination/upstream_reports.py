"""What an upstream says of itself in the headers of its answers."""

from __future__ import annotations

import math
import re

from ..protocol.server_load import read_server_load
from ..state.event_log import EventLog
from ..verdict import Reason
from .call_queue import CallQueue
from .switches import ALL_ON, Switches

__all__ = ["UpstreamReports", "slots_to_fill"]

# Fraction of the slots that is used; some upstreams slow down when nearly full.
SLOTS_FRACTION = 0.95

_DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")


def slots_to_fill(slots: int) -> int:
    """Return how many calls to run concurrently at an upstream."""
    return max(1, math.ceil(slots * SLOTS_FRACTION) - 1)


class UpstreamReports:
    """Applies slots, rate limit and leaving of the local upstream to its call queue.

    Args:
        queue: Slots of the upstream and the calls that wait for them.
        log: Log of decisions.
        switches: Mechanisms that are switched off.
    """

    def __init__(
        self, queue: CallQueue, log: EventLog, switches: Switches = ALL_ON
    ) -> None:
        self._queue = queue
        self._has_work_time = switches.has("work_time")
        self._log = log
        # Last value of the header, so that only changes are parsed and logged.
        self._rate_limit_text: bytes | None = None
        self._leaving_instance = ""
        # Whether the last answer states the work time, None before the first that does.
        self._states_work_time: bool | None = None
        # Figures of the load header that could not be read in the last answer.
        self._unreadable: tuple[str, ...] = ()

    @property
    def work_time(self) -> float:
        """Factor by which work takes longer at the upstream now than usual.

        1.0 if its last answer does not state it.
        """
        return self._queue.times.work_time

    def note_start(self) -> None:
        """Forget what an earlier upstream at the address said of itself."""
        self._leaving_instance = ""
        self._rate_limit_text = None
        self._queue.times.report(1.0)
        self._queue.rate_limit.set(None)

    def is_leaving(self, instance: str) -> bool:
        """Return whether an instance said that it is leaving."""
        return instance == self._leaving_instance

    def note_leaving(self, instance: str) -> None:
        """Refuse the waiting calls to an instance that says it is leaving."""
        if instance == self._leaving_instance:
            return
        self._leaving_instance = instance
        self._log.change("upstream_leaving", instance=instance)
        self._queue.clear(Reason.LEAVING)

    def note_load(self, value: bytes) -> None:
        """Set slots and work time from the load header of an answer."""
        load = read_server_load(value)
        if load.unreadable != self._unreadable:
            self._unreadable = load.unreadable
            self._log.change(
                "upstream_load_unreadable",
                unreadable=load.unreadable,
                value=value[:40].decode("latin-1"),
            )
        if load.n_slots is not None:
            self._queue.slots = slots_to_fill(load.n_slots)
        is_stated = load.work_time is not None
        if self._states_work_time is None:
            self._states_work_time = is_stated or None
        elif is_stated != self._states_work_time:
            self._states_work_time = is_stated
            self._log.change("upstream_work_time", is_stated=is_stated)
        is_used = is_stated and self._has_work_time
        self._queue.times.report(load.work_time if is_used else 1.0)

    def note_rate_limit(self, request_id: bytes, text: bytes | None) -> None:
        """Set the rate limit from the header of an answer.

        Args:
            request_id: Identity of the answered request.
            text: Value of the header, None if the answer has none.
        """
        if text == self._rate_limit_text:
            return
        self._rate_limit_text = text
        per_s = None
        if text is not None:
            if not _DECIMAL.fullmatch(text):
                # An earlier limit stays, as the upstream may still be in need.
                self._log.request(
                    "upstream_limit_unreadable",
                    request_id.decode("latin-1"),
                    value=text[:40].decode("latin-1"),
                    allowed="a decimal number",
                )
                return
            per_s = float(text)
        self._log.request(
            "upstream_limit",
            request_id.decode("latin-1"),
            per_s=per_s,
            before_per_s=self._queue.rate_limit.per_s,
        )
        self._queue.rate_limit.set(per_s)
        self._queue.start_waiting()
