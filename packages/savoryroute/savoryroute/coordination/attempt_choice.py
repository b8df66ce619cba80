"""Choice of the instance for the next attempt of a request.

Load pattern: some or all upstreams of a service reject requests while they have free
slots. A request may reach as many upstreams as its route allows; after that, further
attempts go to those of them that rejected it.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from ..state.fleet_view import Instance, ServiceInstances
from .forwarded_request import ForwardedRequest
from .instance_selector import InstanceSelector

__all__ = ["choose_instance"]


def choose_instance(
    forwarded: ForwardedRequest,
    instances: ServiceInstances,
    selector: InstanceSelector,
    is_suspect: Callable[[str], bool],
) -> Instance | None:
    """Return the instance for the next attempt, or None if there is none.

    Args:
        forwarded: The request, with its attempts so far.
        instances: Instances of its service that take new calls.
        selector: Compares instances.
        is_suspect: Returns whether the host at an address seems unreachable.
    """
    if len(forwarded.reached) < forwarded.route.attempts_max:
        instance = _choose(instances, forwarded.tried, selector, is_suspect)
        if instance is not None:
            return instance
    again = [item for item in instances if item.id in forwarded.rejected]
    return _choose(ServiceInstances(again), (), selector, is_suspect)


def _choose(
    instances: ServiceInstances,
    tried: Collection[str],
    selector: InstanceSelector,
    is_suspect: Callable[[str], bool],
) -> Instance | None:
    instance = selector.choose(instances, tried, is_suspect)
    if instance is None and all(is_suspect(item.ip) for item in instances):
        # If all are suspect, it is more likely that the suspicion is wrong.
        return selector.choose(instances, tried, lambda ip: False)
    return instance
