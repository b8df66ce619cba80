"""Which host holds the token bucket of an organisation, and since when it may grant.

Load pattern: the callers of one organisation send many times their usual load at all
hosts, so one host has to count for all. Hosts join, leave, restart and are partitioned
from each other, and two hosts must not hold the same bucket at the same time.

Source: consistent hashing as in Karger and others, Consistent Hashing and Random Trees
(1997). The handover is by time, as with leases of Gray and Cheriton (1989).
"""

from __future__ import annotations

import bisect
import hashlib
from collections import Counter
from collections.abc import Callable, Iterable

import attrs

from ..protocol.quota_frames import Scope

__all__ = ["HANDOVER_S", "QuotaRing", "RingHost"]

# A host that left the list stays on the ring for this time in seconds, and a host that
# joined does not grant for as long. A partitioned host stops granting within it.
HANDOVER_S = 3.0
# The same for a host that was listed before its daemon started. Peers are polled each
# second, so a host that lost its place just before has learned of it by then.
FIRST_LIST_WAIT_S = 1.0
# Positions of a host on the ring. More of them balance better and take more memory.
N_POINTS = 8
POINT_BYTES = 8


@attrs.frozen
class RingHost:
    """One listed host.

    Attributes:
        ip: Address of the host.
        failure_domain: Failure domain of the host.
        is_cold: Whether its upstream is in its slow start.
        instance: Identity of its upstream and of the start of that.
    """

    ip: str
    failure_domain: str
    is_cold: bool = False
    instance: str = ""


def _position(text: str) -> int:
    return int.from_bytes(
        hashlib.blake2b(text.encode(), digest_size=POINT_BYTES).digest()
    )


class _Points:
    """Positions of some hosts on a ring, in order."""

    def __init__(self) -> None:
        self._points: list[tuple[int, str]] = []

    def add(self, ip: str) -> None:
        for index in range(N_POINTS):
            bisect.insort(self._points, (_position(f"{ip}\0{index}"), ip))

    def remove(self, ip: str) -> None:
        self._points = [point for point in self._points if point[1] != ip]

    def successor(self, position: int) -> str | None:
        if not self._points:
            return None
        index = bisect.bisect_left(self._points, (position, ""))
        return self._points[index % len(self._points)][1]


class QuotaRing:
    """Ring of the listed hosts and of those that left the list recently.

    Args:
        ip: Address of the local host.
        failure_domain: Failure domain of the local host.
        clock: Clock in seconds that counts suspensions.
    """

    def __init__(
        self, ip: str, failure_domain: str, clock: Callable[[], float]
    ) -> None:
        self._ip = ip
        self._failure_domain = failure_domain
        self._clock = clock
        self._domains: dict[str, str] = {}
        self._left_s: dict[str, float] = {}
        # Identity of the upstream beside which a host has stopped granting, by address.
        self._released: dict[str, str] = {}
        self._n_by_domain: Counter[str] = Counter()
        self._points = {scope: _Points() for scope in Scope}
        self._changed_s = dict.fromkeys(Scope, clock())
        self._entitled_s = float("inf")
        self._has_list = False

    @property
    def n_domains(self) -> int:
        """Number of failure domains with hosts on the ring."""
        self._expire()
        return len(self._n_by_domain)

    @property
    def entitled_s(self) -> float:
        """Time from which the local host may grant, infinity while it is not listed."""
        return self._entitled_s

    def changed_s(self, scope: Scope) -> float:
        """Return when a host was last added to the ring of a scope or removed."""
        self._expire()
        return self._changed_s[scope]

    def holder(self, scope: Scope, organisation: str) -> str | None:
        """Return the address of the host that holds a bucket, None without hosts."""
        self._expire()
        return self._points[scope].successor(_position(organisation))

    def update(self, hosts: Iterable[RingHost]) -> None:
        """Take over the list of hosts.

        Args:
            hosts: All listed hosts.
        """
        hosts = list(hosts)
        instances = {(host.ip, host.instance) for host in hosts}
        for ip, instance in list(self._released.items()):
            if (ip, instance) not in instances:
                del self._released[ip]
        listed = {
            host.ip: host
            for host in hosts
            if self._released.get(host.ip) != host.instance
        }
        now_s = self._clock()
        self._expire()
        for ip in self._domains.keys() - listed.keys() - self._left_s.keys():
            self._left_s[ip] = now_s
        for ip, host in listed.items():
            self._left_s.pop(ip, None)
            if self._domains.get(ip) != host.failure_domain:
                self._remove(ip, now_s)
                self._add(host, now_s)
        self._update_entitlement(listed, now_s)

    def release(self, ip: str, instance: str) -> None:
        """Take a host off the ring at once, as it says that it grants no more.

        It holds as long as the host is listed with the same upstream, so that a daemon
        that restarts beside an upstream that drains does not grant again.

        Args:
            ip: Address of the host.
            instance: Identity of its upstream, as in ``RingHost``.
        """
        self._released[ip] = instance
        self._left_s.pop(ip, None)
        self._remove(ip, self._clock())
        if ip == self._ip:
            self._entitled_s = float("inf")

    def restart_handover(self) -> None:
        """Wait again as if the local host had just been listed.

        It may have been off the list for a while without learning of it.
        """
        if self._entitled_s != float("inf"):
            self._entitled_s = self._clock() + HANDOVER_S

    def _update_entitlement(self, listed: dict[str, RingHost], now_s: float) -> None:
        """Set the time from which the local host may grant."""
        is_first = not self._has_list and bool(listed)
        self._has_list |= is_first
        local = listed.get(self._ip)
        if local is None:
            self._entitled_s = float("inf")
        elif self._entitled_s == float("inf"):
            # If all upstreams are in their slow start, the whole fleet has started and
            # no host has held a bucket for longer.
            was_listed = is_first and (
                not local.is_cold or all(host.is_cold for host in listed.values())
            )
            self._entitled_s = now_s + (FIRST_LIST_WAIT_S if was_listed else HANDOVER_S)

    def _expire(self) -> None:
        """Remove the hosts that left the list long enough ago."""
        if not self._left_s:
            return
        now_s = self._clock()
        for ip, left_s in list(self._left_s.items()):
            if now_s - left_s >= HANDOVER_S:
                del self._left_s[ip]
                self._remove(ip, left_s + HANDOVER_S)

    def _add(self, host: RingHost, now_s: float) -> None:
        self._domains[host.ip] = host.failure_domain
        self._n_by_domain[host.failure_domain] += 1
        for scope in self._scopes(host.failure_domain):
            self._points[scope].add(host.ip)
            self._changed_s[scope] = now_s

    def _remove(self, ip: str, now_s: float) -> None:
        domain = self._domains.pop(ip, None)
        if domain is None:
            return
        self._n_by_domain[domain] -= 1
        if not self._n_by_domain[domain]:
            del self._n_by_domain[domain]
        for scope in self._scopes(domain):
            self._points[scope].remove(ip)
            self._changed_s[scope] = now_s

    def _scopes(self, domain: str) -> tuple[Scope, ...]:
        """Return the rings on which a host of a failure domain is."""
        if domain == self._failure_domain:
            return (Scope.FLEET, Scope.FAILURE_DOMAIN)
        return (Scope.FLEET,)
