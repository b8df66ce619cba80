"""Loopback addresses of a deployment, daemon settings and the list of hosts."""

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

# Below the kernel's range of ephemeral ports for outgoing connections.
PORTS_FIRST = 12_000
PORTS_LAST = 31_000
SEEDS_PER_DAEMON = 2
FLEET_KEY = "fleet-key-of-the-stand-in-deployment"
OPERATOR_KEY = "operator-key-of-the-stand-in-deployment"


def free_ports(n_ports: int) -> list[int]:
    """Return loopback ports that are currently unused."""
    port = random.Random(os.urandom(8)).randrange(PORTS_FIRST, PORTS_LAST - 4 * n_ports)
    ports: list[int] = []
    while len(ports) < n_ports:
        port += 1
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


@attrs.frozen
class HostPorts:
    """Ports of one upstream host.

    Attributes:
        upstream: Port of the upstream.
        control: Control port of the stand-in upstream.
        callers: Daemon's port for callers.
        upstream_side: Daemon's port for its upstream.
        peers: Daemon's port for other daemons.
        operators: Daemon's port for operators.
    """

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
            shares_upstreams: Whether all hosts of a service use the upstream of its
                first host, so that fewer processes run.
        """
        upstreams = deployment.upstreams
        available_ports = iter(free_ports(2 + N_HOST_PORTS * len(upstreams)))
        ports = {
            upstream.host: HostPorts(
                *(next(available_ports) for _ in range(N_HOST_PORTS))
            )
            for upstream in upstreams
        }
        if shares_upstreams:
            ports = _share_upstreams(deployment, ports)
        return cls(deployment, next(available_ports), next(available_ports), ports)

    def service_entries(self) -> dict[str, list[str]]:
        """Return, by service, the callers' addresses of daemons on its hosts."""
        return self._by_service(lambda ports: ports.callers)

    def all_entries(self) -> dict[str, list[str]]:
        """Return, by service, the callers' addresses of daemons on all hosts."""
        addresses = [_address(ports.callers) for ports in self.ports.values()]
        return {service.name: addresses for service in self.deployment.services}

    def upstream_addresses(self) -> dict[str, list[str]]:
        """Return the addresses of the upstreams by service."""
        return self._by_service(lambda ports: ports.upstream)

    def daemon_settings(self, upstream: UpstreamSpec) -> dict[str, object]:
        """Return the settings of the daemon beside an upstream."""
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

    def hosts(self, leaving: Iterable[str] = (), omitted: Iterable[str] = ()) -> str:
        """Return the platform's list of hosts as JSON.

        Args:
            leaving: Hosts with the status "leaving".
            omitted: Hosts to leave out.
        """
        leaving, omitted = set(leaving), set(omitted)
        entries = [
            self._host_entry(upstream, upstream.host in leaving)
            for upstream in self.deployment.upstreams
            if upstream.host not in omitted
        ]
        return json.dumps({"hosts": entries}, indent=1)

    def _by_service(self, port: Callable[[HostPorts], int]) -> dict[str, list[str]]:
        addresses: dict[str, list[str]] = {}
        for upstream in self.deployment.upstreams:
            service_addresses = addresses.setdefault(upstream.service.name, [])
            service_addresses.append(_address(port(self.ports[upstream.host])))
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
        index = hosts.index(host)
        others = (hosts[index + 1 :] + hosts[:index])[:SEEDS_PER_DAEMON]
        return [_address(self.ports[other].peers) for other in others]


def _share_upstreams(
    deployment: Deployment, ports: Mapping[str, HostPorts]
) -> dict[str, HostPorts]:
    """Return the ports with one shared upstream for each service."""
    first: dict[str, HostPorts] = {}
    shared = {}
    for upstream in deployment.upstreams:
        host_ports = ports[upstream.host]
        shared_ports = first.setdefault(upstream.service.name, host_ports)
        shared[upstream.host] = attrs.evolve(
            host_ports, upstream=shared_ports.upstream, control=shared_ports.control
        )
    return shared


def _address(port: int) -> str:
    return f"{LOOPBACK}:{port}"
