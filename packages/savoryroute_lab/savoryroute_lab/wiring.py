"""Ports on loopback, settings of daemons and values of the platform."""

from __future__ import annotations

import json
import os
import random
import socket
from collections.abc import Callable, Iterable, Mapping

import attrs

from .deployment import Deployment, UpstreamSpec
from .http import LOOPBACK

__all__ = ["HostPorts", "Wiring", "free_ports"]

# Below the range that the kernel takes outgoing ports from.
PORTS_FIRST = 12_000
PORTS_LAST = 31_000
SEEDS_PER_DAEMON = 2
FLEET_KEY = "fleet-key-of-the-stand-in-deployment"
OPERATOR_KEY = "operator-key-of-the-stand-in-deployment"


def free_ports(n_ports: int) -> list[int]:
    """Return ports on loopback that nothing listens on at the moment."""
    port = random.Random(os.urandom(8)).randrange(PORTS_FIRST, PORTS_LAST - 4 * n_ports)
    found: list[int] = []
    while len(found) < n_ports:
        port += 1
        if _is_free(port):
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


@attrs.frozen
class HostPorts:
    """Ports of one upstream host."""

    upstream: int
    control: int
    callers: int
    upstream_side: int
    peers: int
    operators: int


N_HOST_PORTS = len(attrs.fields(HostPorts))


@attrs.frozen
class Wiring:
    """Addresses of a deployment on loopback."""

    deployment: Deployment
    platform_port: int
    platform_control_port: int
    ports: Mapping[str, HostPorts]

    @classmethod
    def new(cls, deployment: Deployment, shares_upstreams: bool = False) -> Wiring:
        """Choose free ports for all parts of a deployment.

        Args:
            deployment: The deployment.
            shares_upstreams: Whether all hosts of a service use the first one's
                upstream, to have fewer processes.
        """
        upstreams = deployment.upstreams
        chosen = iter(free_ports(2 + N_HOST_PORTS * len(upstreams)))
        ports = {
            upstream.host: HostPorts(*(next(chosen) for _ in range(N_HOST_PORTS)))
            for upstream in upstreams
        }
        if shares_upstreams:
            ports = _with_shared_upstreams(deployment, ports)
        return cls(deployment, next(chosen), next(chosen), ports)

    def service_entries(self) -> dict[str, list[str]]:
        """Return, by service, the daemons on the hosts of that service."""
        return self._by_service(lambda ports: ports.callers)

    def all_entries(self) -> dict[str, list[str]]:
        """Return, by service, the daemons on all hosts."""
        every = [_address(ports.callers) for ports in self.ports.values()]
        return {service.name: every for service in self.deployment.services}

    def upstream_addresses(self) -> dict[str, list[str]]:
        """Return the upstreams' own addresses by service."""
        return self._by_service(lambda ports: ports.upstream)

    def daemon_settings(self, upstream: UpstreamSpec) -> dict[str, object]:
        """Return the settings of the daemon of an upstream's host."""
        ports = self.ports[upstream.host]
        return {
            "host": upstream.host,
            "service": upstream.service.name,
            "failure_domain": upstream.failure_domain,
            "region": self.deployment.region,
            "addresses": {
                "callers": _address(ports.callers),
                "upstream_side": _address(ports.upstream_side),
                "peers": _address(ports.peers),
                "operators": _address(ports.operators),
            },
            "upstream": _address(ports.upstream),
            "platform": [_address(self.platform_port)],
            "seeds": self._seeds(upstream.host),
            "fleet_key": FLEET_KEY,
            "operator_key": OPERATOR_KEY,
            "log_level": "info",
        }

    def hosts(self, leaving: Iterable[str] = (), gone: Iterable[str] = ()) -> str:
        """Return the platform's list of hosts as JSON.

        Args:
            leaving: Hosts that the list calls leaving.
            gone: Hosts that the list lacks.
        """
        leaving, gone = set(leaving), set(gone)
        entries = [
            self._host_entry(upstream, upstream.host in leaving)
            for upstream in self.deployment.upstreams
            if upstream.host not in gone
        ]
        return json.dumps({"hosts": entries}, indent=1)

    def _by_service(self, port: Callable[[HostPorts], int]) -> dict[str, list[str]]:
        addresses: dict[str, list[str]] = {}
        for upstream in self.deployment.upstreams:
            own = addresses.setdefault(upstream.service.name, [])
            own.append(_address(port(self.ports[upstream.host])))
        return addresses

    def _host_entry(self, upstream: UpstreamSpec, leaving: bool) -> dict[str, str]:
        return {
            "host": upstream.host,
            "service": upstream.service.name,
            "failure_domain": upstream.failure_domain,
            "region": self.deployment.region,
            "peers": _address(self.ports[upstream.host].peers),
            "status": "leaving" if leaving else "live",
        }

    def _seeds(self, host: str) -> list[str]:
        hosts = list(self.ports)
        at = hosts.index(host)
        others = (hosts[at + 1 :] + hosts[:at])[:SEEDS_PER_DAEMON]
        return [_address(self.ports[other].peers) for other in others]


def _with_shared_upstreams(
    deployment: Deployment, ports: Mapping[str, HostPorts]
) -> dict[str, HostPorts]:
    """Return the ports with one upstream for each service."""
    first: dict[str, HostPorts] = {}
    shared = {}
    for upstream in deployment.upstreams:
        own = ports[upstream.host]
        owner = first.setdefault(upstream.service.name, own)
        shared[upstream.host] = attrs.evolve(
            own, upstream=owner.upstream, control=owner.control
        )
    return shared


def _address(port: int) -> str:
    return f"{LOOPBACK}:{port}"
