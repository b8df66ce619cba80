"""Usual service times of one upstream, and the factor by which work is slower now.

Load pattern: other work on the machine of an upstream slows it for less than a second
at a time, which the upstream states in its answers at once. Service times are kept
divided by the factor at their time, so that expected waits follow a new factor before
the first call that it slows has ended.

Source: exponential smoothing; for the factor see ``work_time_check``.
"""

from __future__ import annotations

import math

from .work_time_check import WorkTimeCheck, log_factor

__all__ = ["ServiceTimes"]

# Weight of one answer in the moving averages of service times.
LATENCY_WEIGHT = 0.1
# Service time in seconds that is assumed before the first answer.
LATENCY_DEFAULT_S = 0.05
# Weight of one answer in the means that confirm the factor: changes of the figure may
# be half a second apart, with a hundred answers between them.
CHECK_WEIGHT = 0.02
# Weight in the latency that a group is compared with for that. It follows the group
# more slowly than the means, which have to see the change of latency.
REFERENCE_WEIGHT = 0.002


class ServiceTimes:
    """Service times at the usual speed of the upstream, by group of calls."""

    def __init__(self) -> None:
        self._mean_s = LATENCY_DEFAULT_S
        self._group_s: dict[str, float] = {}
        self._work_time = 1.0
        self._factor = 1.0
        # None until the upstream states a factor other than 1.
        self._check: WorkTimeCheck | None = None
        self._reference_s: dict[str, float] = {}

    @property
    def work_time(self) -> float:
        """Factor that the upstream stated last."""
        return self._work_time

    @property
    def factor(self) -> float:
        """The stated factor, as far as service times confirm it."""
        return self._factor

    @property
    def mean_s(self) -> float:
        """Moving average of the seconds for which a call holds its slot, as of now."""
        return self._mean_s * self._factor

    def usual_s(self, group: str) -> float:
        """Return the service time of a group in seconds as of now, 0 if unknown."""
        return self._group_s.get(group, 0.0) * self._factor

    def report(self, work_time: float) -> None:
        """Set the factor that the upstream states, 1 if it states none."""
        if work_time == self._work_time:
            return
        self._work_time = work_time
        if self._check is None:
            self._check = WorkTimeCheck(0.0, CHECK_WEIGHT)
        self._update()

    def note(self, group: str, latency_s: float, work_time: float) -> None:
        """Add the service time of a call.

        Args:
            group: Group of the call.
            latency_s: Seconds for which it held its slot.
            work_time: Factor stated when it started.
        """
        if self._check is not None:
            # The factor may have changed while the call ran.
            x = (log_factor(work_time) + log_factor(self._work_time)) / 2
            reference_s = self._reference_s.get(group)
            if reference_s is None:
                reference_s = self._group_s.get(group, latency_s)
            self._check.note(x, latency_s / max(reference_s, 1e-6))
            self._reference_s[group] = (
                reference_s + (latency_s - reference_s) * REFERENCE_WEIGHT
            )
            self._update()
            latency_s /= math.exp(self._check.share * x)
        self._mean_s += (latency_s - self._mean_s) * LATENCY_WEIGHT
        usual_s = self._group_s.get(group, latency_s)
        self._group_s[group] = usual_s + (latency_s - usual_s) * LATENCY_WEIGHT

    def _update(self) -> None:
        self._factor = math.exp(self._check.share * log_factor(self._work_time))
