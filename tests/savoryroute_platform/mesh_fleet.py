"""Small fleet of daemons and stand-ins on loopback addresses, in one event loop."""

from __future__ import annotations

import asyncio
import itertools
import json

import httptools
from savoryroute_platform.configuration import decode_routes
from savoryroute_platform.names import HEADERS, READY_PATH
from savoryroute_platform.store import StoreClient
from savoryroute_platform.watchers import (
    follow_configuration,
    follow_instances,
    prove_configuration,
)

from savoryroute.coordination.mesh_node import MeshNode
from savoryroute.state.event_log import EventLog
from savoryroute.state.mesh_settings import parse_mesh_settings
from savoryroute.state.revision import ordered_revision
from savoryroute_lab.wiring import free_ports

from .stand_ins import StoreStandIn, UpstreamStandIn, configuration, entry, path

_numbers = itertools.count(1)
_subnets = itertools.count(1)


class Answer:
    """Answer that a caller has received."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self._pieces: list[bytes] = []

    @property
    def body(self) -> bytes:
        return b"".join(self._pieces)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self._pieces.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


class Caller:
    """Connection of a caller to a daemon."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, ip: str, port: int) -> Caller:
        return cls(*await asyncio.open_connection(ip, port))

    def write(self, target, method="GET", body=b"", headers=None, host="shop.example"):
        request_id = f"q{next(_numbers):08x}"
        lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
        fields = {"Request-Id": request_id, "Deadline-Ms": "3000", **(headers or {})}
        lines += [f"{name}: {value}" for name, value in fields.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return fields["Request-Id"]

    async def read(self) -> Answer:
        answer = Answer()
        parser = httptools.HttpResponseParser(answer)
        while not answer.is_complete:
            data = await self._reader.read(65536)
            if not data:
                break
            parser.feed_data(data)
            answer.status = parser.get_status_code()
        return answer

    async def request(self, target, **kwargs) -> Answer:
        self.write(target, **kwargs)
        return await self.read()

    def close(self) -> None:
        self.writer.close()


class MeshFleet:
    """Daemons beside upstreams; ``services`` holds the service of each host."""

    def __init__(
        self,
        services: list[str],
        kinds: dict[str, str] | None = None,
        retry_slack: float = 1000.0,
        members: dict | None = None,
        **settings,
    ):
        # Members of each configuration beside the routes, such as organisations.
        self.members = members or {}
        self.settings = settings
        self.services = services
        self.kinds = kinds or {}
        self.retry_slack = retry_slack
        self.subnet = next(_subnets) % 200 + 10
        ports = free_ports(5)
        self.port, self.link_port, self.ready_port, self.app_port = ports[:4]
        self.store_port = ports[4]
        self.store = StoreStandIn()
        self.upstreams: list[UpstreamStandIn] = []
        self.nodes: list[MeshNode] = []
        self.log_lines: list[dict] = []
        self._tasks: list[list[asyncio.Task]] = []
        self._clients: list[StoreClient] = []

    def ip(self, index: int) -> str:
        return f"127.0.{self.subnet}.{index + 1}"

    async def start(self) -> MeshFleet:
        await self.store.start("127.0.0.1", self.store_port)
        self.publish(1)
        for index, service in enumerate(self.services):
            upstream = UpstreamStandIn(f"i-{index}")
            await upstream.start(self.ip(index), self.app_port)
            self.upstreams.append(upstream)
            self.list_instance(index)
            node, tasks, client = await self.start_node(index, service)
            self.nodes.append(node)
            self._tasks.append(tasks)
            self._clients.append(client)
        await self.wait_until(
            lambda: all(self.is_synchronized(node) for node in self.nodes)
        )
        for node in self.nodes:
            # As if the daemons had been running for longer than a budget window.
            budget = node._repeat_budget
            budget._former_slacks.clear()
            budget._recalculate()
            budget._paced = budget.saved_max
        return self

    def has_list_of(self, node: MeshNode, revision: int, era: int) -> bool:
        """Whether a daemon has the list of a revision of the store, or a later one."""
        return node.synchronizer.view.revision >= ordered_revision(era, revision)

    def is_synchronized(self, node: MeshNode) -> bool:
        n_listed = sum(1 for key in self.store.items if key.startswith("servers/"))
        return node.is_ready and len(node.synchronizer.view.instances) == n_listed

    def publish(self, version: int, **changes) -> None:
        """Publish a route to each service; ``changes`` apply to all of them.

        With a ``traffic-split`` among the changes, the routes have no other service.
        """
        names = sorted(set(self.services))
        routes = [
            path(
                f"/{name}/",
                name,
                **{"kind": self.kinds.get(name, "safe"), **changes},
            )
            for name in names
        ]
        if "traffic-split" in changes:
            for route in routes:
                del route["service"]
        source = configuration(version, {"shop.example": routes}, names, **self.members)
        self.store.put("op/config", source)

    def list_instance(self, index: int, **changes) -> None:
        service = self.services[index]
        value = entry(service, self.ip(index), self.app_port, **changes)
        self.store.put(f"servers/i-{index}", value)

    async def restart_node(self, index: int) -> None:
        """Kill the daemon of a host and start a new one; its upstream keeps running."""
        for task in self._tasks[index]:
            task.cancel()
        await self.nodes[index].close()
        for link in list(self.nodes[index]._accepted_links):
            link.abort()
        self._clients[index].close()
        started = await self.start_node(index, self.services[index])
        self.nodes[index], self._tasks[index], self._clients[index] = started
        await self.wait_until(lambda: self.is_synchronized(self.nodes[index]))

    async def restart_upstream(self, index: int) -> None:
        """Start the upstream of a host again after a crash."""
        await self.upstreams[index].start(self.ip(index), self.app_port)

    async def start_node(self, index: int, service: str):
        """Start a daemon; return it, its watch tasks and its client of the store."""
        ip = self.ip(index)
        text = json.dumps(
            {
                "host": f"host-{index}",
                "ip": ip,
                "failure_domain": "zone-a",
                "service": service,
                "callers": f"{ip}:{self.port}",
                "links": f"{ip}:{self.link_port}",
                "readiness": f"{ip}:{self.ready_port}",
                "metrics_port": 0,
                "upstream": f"{ip}:{self.app_port}",
                "platform": f"127.0.0.1:{self.store_port}",
                "seeds": [f"{self.ip(0)}:{self.link_port}"],
                "retry_ratio": 0.2,
                "retry_slack": self.retry_slack,
                "grace_s": "6s",
                "memory_mb": 300,
                **self.settings,
            }
        )
        settings = parse_mesh_settings(text, "test").unwrap()
        log = EventLog(1, {"host": settings.host}, write=self._record_lines)
        node = MeshNode(settings, HEADERS, decode_routes, log, READY_PATH)
        client = StoreClient("127.0.0.1", self.store_port)
        tasks = [
            asyncio.create_task(follow_configuration(client, node.synchronizer)),
            asyncio.create_task(follow_instances(client, node.synchronizer)),
            asyncio.create_task(prove_configuration(client, node.synchronizer)),
        ]
        await node.start()
        return node, tasks, client

    def _record_lines(self, descriptor: int, data: bytes) -> int:
        self.log_lines += [json.loads(line) for line in data.splitlines()]
        return len(data)

    async def stop(self) -> None:
        for tasks in self._tasks:
            for task in tasks:
                task.cancel()
        for node in self.nodes:
            await node.close()
        for client in self._clients:
            client.close()
        for upstream in self.upstreams:
            upstream.stop()
        self.store.stop()

    async def caller(self, index: int) -> Caller:
        return await Caller.connect(self.ip(index), self.port)

    async def wait_until(self, condition, timeout_s: float = 5.0) -> None:
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
