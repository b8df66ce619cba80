"""Difficult load patterns, modelled on days of the deployments in use.

Each pattern keeps the ratio of load to capacity, the spread of speeds and the numbers
of first hops and instances of these deployments.
"""

from __future__ import annotations

import math
import random

import attrs

from savoryroute.coordination.upstream_reports import slots_to_fill

from .fleet_replay import Fault, Load, Spec

__all__ = ["PATTERNS", "Pattern", "stated_patterns", "uneven_patterns"]

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


def _stated(index: int, now_s: float, factor: float) -> float:
    return factor


def _uneven(
    speeds: tuple[float, ...], slots: int, n_hops: int, load: Load, load_share: float
) -> Pattern:
    """Return a load on upstreams slowed in turn by other work on their machines.

    15% of the upstreams are 2.5 times slower, other ones every 0.6 s.
    """
    n_slow = max(1, round(0.15 * len(speeds)))
    n_periods = math.ceil(load.seconds / 0.6) + 1
    rng = random.Random(len(speeds))
    faults = tuple(
        Fault(
            tuple(rng.sample(range(len(speeds)), n_slow)),
            number * 0.6,
            (number + 1) * 0.6,
            slowness=2.5,
            is_stated=True,
        )
        for number in range(n_periods)
    )
    slots = slots_to_fill(slots)
    usable = 1.0 - n_slow / len(speeds) * (1.0 - 1.0 / 2.5)
    per_s = load_share * usable * slots * sum(speeds) / load.work_s
    spec = Spec(speeds, slots, N_DOMAINS, n_hops, faults, _stated)
    return Pattern(spec, attrs.evolve(load, per_s=per_s))


def uneven_patterns(n_hops: int) -> dict[str, Pattern]:
    """Return the patterns of upstreams of uneven speed for a number of first hops.

    The call queue fills 95% of the slots, so that the deep service, which turns 1.3
    times slower for each call above that, stays at its usual speed.
    """
    upper = Load(0.0, WORK_S, TARGET_S, TIMEOUT_S, 6.0)
    deep = Load(0.0, 0.04, 0.3, 0.8, 6.0, queue_timeout_share=0.5)
    wave = {"seconds": 15.0, "wave": 0.55, "clump": 4.0}
    speeds_33 = ((0.55, 1.2, 1.2, 1.2) * 9)[:33]
    speeds_28 = (0.5, 1.0, 1.0, 1.5) * 7
    speeds_5 = (0.7, 0.7, 1.6, 0.7, 0.7)
    return {
        "neighbours, 33 x 25": _uneven(speeds_33, 25, n_hops, upper, 0.85),
        "neighbours, 28 x 30": _uneven(speeds_28, 30, n_hops, upper, 0.85),
        "neighbours, deep 5 x 37": _uneven(speeds_5, 37, n_hops, deep, 0.7),
        "wave, 33 x 25": _uneven(
            speeds_33, 25, n_hops, attrs.evolve(upper, **wave), 0.72
        ),
        "wave, deep 5 x 37": _uneven(
            speeds_5, 37, n_hops, attrs.evolve(deep, **wave), 0.72
        ),
    }


def stated_patterns() -> dict[str, Pattern]:
    """Return all ``PATTERNS`` with stated faults and a neighbour of one instance."""
    neighbour = tuple(
        Fault((3,), 2.4 * number, 2.4 * number + 0.6, slowness=2.5, is_stated=True)
        for number in range(5)
    )
    found = {}
    for name, pattern in PATTERNS.items():
        faults = tuple(attrs.evolve(f, is_stated=True) for f in pattern.spec.faults)
        spec = attrs.evolve(pattern.spec, faults=faults + neighbour, stated=_stated)
        found[name] = Pattern(spec, pattern.load)
    return found
