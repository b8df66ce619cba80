"""A small fleet in one event loop: platform, upstreams and daemons on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
import unittest
from collections.abc import Iterator

import aiohttp
import attrs

from savoryroute.coordination.node import Node
from savoryroute.state.settings import parse_settings
from savoryroute_lab.platform import Platform
from savoryroute_lab.upstream import Upstream
from savoryroute_lab.upstream_settings import UpstreamSettings
from savoryroute_lab.wiring import free_ports

from .links import Links

__all__ = ["Fleet", "FleetTestCase", "Host", "Reply", "document"]

FLEET_KEY = "fleet-key-of-tests"
OPERATOR_KEY = "operator-key-of-tests"
PORTS = ("callers", "upstream_side", "peers", "operators")
READY_TIMEOUT_S = 10.0


def document(services: list[str], version: int = 1, **changes) -> dict:
    """Build a document with rank 2 for reads (GET) and rank 0 for bookings."""
    routes = [
        {"method": "GET", "path": "/", "class": "read", "idempotent": True},
        {"method": "POST", "path": "/", "class": "booking", "idempotent": False},
        {"method": "DELETE", "path": "/", "class": "booking", "idempotent": False},
    ]
    service = {"slots": 20, "connections": 100, "routes": routes}
    service |= changes.pop("service", {})
    plain = {
        "environment": "production",
        "version": version,
        "classes": {
            "booking": {"rank": 0, "patience_ms": 2000, "timeout_ms": 5000},
            "read": {"rank": 2, "patience_ms": 500, "timeout_ms": 3000},
        },
        "services": {name: service for name in services},
    }
    return plain | changes


@attrs.frozen
class Reply:
    """Response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def verdict(self) -> str:
        return self.headers.get("Savoryroute-Verdict", "")

    @property
    def problem(self) -> dict:
        return json.loads(self.body)


@attrs.define
class Host:
    """One host: its upstream, its daemon and its addresses."""

    name: str
    service: str
    failure_domain: str
    ports: dict[str, int]
    upstream: Upstream
    node: Node | None = None

    @property
    def callers_url(self) -> str:
        """URL of the daemon's port for callers."""
        return f"http://127.0.0.1:{self.ports['callers']}"

    @property
    def operators_url(self) -> str:
        """URL of the daemon's port for operators."""
        return f"http://127.0.0.1:{self.ports['operators']}"


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Test case whose event loop runs as in production, not in debug mode."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)


class Fleet:
    """Hosts named ``<domain>-<service>-<n>``, started and stopped together.

    Args:
        services: Number of hosts by service.
        plain: Plain form of the first document.
        domains: Failure domains that the hosts are spread over.
        links: Fault injection for the links between the daemons.
    """

    def __init__(
        self,
        services: dict[str, int],
        plain: dict,
        domains=("a",),
        links: Links | None = None,
    ) -> None:
        self.platform = Platform()
        self.hosts: dict[str, Host] = {}
        self._plain = plain
        self._services = services
        self._domains = domains
        self.links = links

    async def __aenter__(self) -> Fleet:
        if self.links is not None:
            self.links.start()
        n_hosts_all = sum(self._services.values())
        ports = iter(free_ports(2 + (len(PORTS) + 2) * n_hosts_all))
        await self.platform.start(next(ports), next(ports))
        for service, n_hosts in self._services.items():
            for number in range(n_hosts):
                await self._add_host(service, number, ports)
        self.publish_hosts()
        self.publish(self._plain)
        await asyncio.gather(*(self.start_node(name) for name in self.hosts))
        self.session = aiohttp.ClientSession()
        await asyncio.gather(*(self.wait_ready(name) for name in self.hosts))
        return self

    async def __aexit__(self, *exc_info) -> None:
        await self.session.close()
        nodes = [host.node for host in self.hosts.values() if host.node]
        await asyncio.gather(*(node.close() for node in nodes))
        for host in self.hosts.values():
            await host.upstream.stop()
        await self.platform.stop()
        if self.links is not None:
            self.links.stop()

    async def _add_host(self, service: str, number: int, free: Iterator[int]) -> None:
        domain = self._domains[number % len(self._domains)]
        name = f"{domain}-{service}-{number}"
        ports = {port: next(free) for port in PORTS}
        upstream = Upstream(
            UpstreamSettings(service=service, host=name),
            upstream_side=f"127.0.0.1:{ports['upstream_side']}",
        )
        await upstream.start(next(free), next(free))
        self.hosts[name] = Host(name, service, domain, ports, upstream)

    def __getitem__(self, name: str) -> Host:
        return self.hosts[name]

    def publish(self, plain: dict) -> int:
        """Publish a document on the platform and return its revision."""
        key = f"documents/{plain['environment']}"
        return self.platform.put(key, json.dumps(plain).encode())

    def publish_hosts(self, leaving: tuple[str, ...] = ()) -> None:
        """Publish the list of hosts, some of them with the status "leaving"."""
        entries = [
            {
                "host": host.name,
                "service": host.service,
                "failure_domain": host.failure_domain,
                "region": "r",
                "peers": f"127.0.0.1:{host.ports['peers']}",
                "status": "leaving" if host.name in leaving else "live",
            }
            for host in self.hosts.values()
        ]
        self.platform.put("hosts", json.dumps({"hosts": entries}).encode())

    async def start_node(self, name: str) -> None:
        host = self.hosts[name]
        plain = {
            "host": name,
            "service": host.service,
            "failure_domain": host.failure_domain,
            "region": "r",
            "addresses": {p: f"127.0.0.1:{host.ports[p]}" for p in PORTS},
            "upstream": host.upstream.address,
            "platform": [self.platform.address],
            "seeds": [
                f"127.0.0.1:{other.ports['peers']}"
                for other in self.hosts.values()
                if other is not host
            ][:3],
            "fleet_key": FLEET_KEY,
            "operator_key": OPERATOR_KEY,
        }
        settings = parse_settings(json.dumps(plain), name).unwrap()
        if self.links is not None:
            self.links.register_host(host.ports["peers"], name)
        host.node = Node(settings)
        await host.node.start()

    async def restart_node(self, name: str) -> None:
        """Close a daemon without draining, and start one with empty state."""
        await self.hosts[name].node.close()
        await self.start_node(name)
        await self.wait_ready(name)

    async def replace_host(self, name: str) -> str:
        """Replace a host by one of another name at its addresses; return the name."""
        await self.hosts[name].node.close()
        new_name = f"{name}x"
        self.hosts[name].name = new_name
        self.hosts = {host.name: host for host in self.hosts.values()}
        self.publish_hosts()
        await self.start_node(new_name)
        return new_name

    async def wait_ready(self, name: str) -> None:
        """Wait until a daemon reports that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    url = f"{self.hosts[name].operators_url}/readyz"
                    async with self.session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.02)

    async def call(self, name: str, method: str, path: str, **options) -> Reply:
        """Send one request to the callers' port of a host's daemon."""
        url = self.hosts[name].callers_url + path
        async with self.session.request(method, url, **options) as answer:
            return Reply(answer.status, dict(answer.headers), await answer.read())

    async def query_operators(self, name: str, path: str) -> dict:
        """Return the JSON answer of a daemon's operators' port."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.hosts[name].operators_url + path
        async with self.session.get(url, headers=headers) as answer:
            return await answer.json()

    async def key(self, name: str, service: str) -> str:
        """Return a new idempotency key, minted by a host's daemon."""
        reply = await self.call(name, "POST", f"/-/keys/{service}?n=1")
        return reply.problem["keys"][0]

    def executions(self, service: str | None = None) -> list:
        """Return the executions at the upstreams of one service or of all."""
        found = []
        for host in self.hosts.values():
            if service in (None, host.service):
                found.extend(host.upstream.executions)
        return found
