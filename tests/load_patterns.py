"""Difficult load patterns, modelled on days of the deployments in use.

Each pattern keeps the ratio of load to capacity, the spread of speeds and the numbers
of first hops and instances of these deployments.
"""

from __future__ import annotations

import attrs

from .fleet_replay import Fault, Load, Spec

__all__ = ["PATTERNS", "Pattern"]

# A service of eight instances, like planner in a deployment of 75 hosts.
SPEEDS = (0.5, 1.0, 1.0, 1.5, 0.5, 1.0, 1.0, 1.5)
SLOTS = 40
N_DOMAINS = 3
N_HOPS = 12
WORK_S = 0.18
TARGET_S = 1.5
TIMEOUT_S = 2.4
SECONDS = 10.0
# Calls per second that the service can run without faults.
CAPACITY = SLOTS * sum(SPEEDS) / WORK_S
NORMAL_LOAD = Load(0.55 * CAPACITY, WORK_S, TARGET_S, TIMEOUT_S, SECONDS)
HEALTHY = Spec(SPEEDS, SLOTS, N_DOMAINS, N_HOPS)


@attrs.frozen
class Pattern:
    """A load and the instances that serve it."""

    spec: Spec
    load: Load


def _with_faults(*faults: Fault) -> Spec:
    return attrs.evolve(HEALTHY, faults=faults)


PATTERNS = {
    "calm": Pattern(HEALTHY, NORMAL_LOAD),
    "burst of 1.8": Pattern(HEALTHY, attrs.evolve(NORMAL_LOAD, burst=(2.0, 8.0, 1.8))),
    "two instances six times slower": Pattern(
        _with_faults(Fault((2, 7), 3.0, 8.0, slowness=6.0)), NORMAL_LOAD
    ),
    "half shed half of their calls": Pattern(
        _with_faults(Fault((0, 2, 4, 6), 3.0, 8.0, shed_share=0.5)), NORMAL_LOAD
    ),
    "half drain at once": Pattern(
        _with_faults(Fault((1, 3, 5, 7), 3.0, 6.0, is_draining=True)), NORMAL_LOAD
    ),
    "all callers move to one domain": Pattern(
        HEALTHY, attrs.evolve(NORMAL_LOAD, hop_weights=(1.0, 0.05, 0.05) * 4)
    ),
    "cold instances join": Pattern(
        _with_faults(
            Fault((1, 3, 5, 7), 0.0, 3.0, is_draining=True),
            Fault((1, 3, 5, 7), 3.0, 6.0, slowness=2.0),
        ),
        NORMAL_LOAD,
    ),
}
