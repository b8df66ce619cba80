"""Small stand-ins of the platform's store, of backends and of clients.

They follow PROTOCOL.md and use the standard library only. All of them run in the event
loop of the script; the daemons are separate processes (``fleet.py``).
"""

from __future__ import annotations

import asyncio
import base64
import json
import socket
import time
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Return first line, headers by lower-case name, and body of one HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


class Store:
    """The platform's store: items, a history of changes and watches."""

    def __init__(self) -> None:
        self.revision = 10
        self.items: dict[str, dict] = {}
        self._history: list[dict] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, ip: str, port: int) -> None:
        self._server = await asyncio.start_server(self._serve, ip, port)

    def stop(self) -> None:
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, key: str, plain: object) -> None:
        self.revision += 1
        value = base64.b64encode(json.dumps(plain).encode()).decode()
        known = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._record(item)

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _record(self, event: dict) -> None:
        self._history.append(event)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer) -> None:
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                line, _, _ = await read_message(reader)
                status, plain = await self._answer(line.split(" ")[1])
                body = json.dumps(plain).encode()
                writer.write(
                    b"HTTP/1.1 %d Answer\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n" % (status, len(body))
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"store-revision": self.revision}
        if url.path == "/api/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "has-more": len(keys) > PAGE_ITEMS,
                "store-revision": self.revision,
            }
        if url.path == "/api/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000
            )
        return 404, {}

    async def _watch(self, prefix: str, after: int, wait_s: float) -> tuple[int, dict]:
        until_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self._history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Backend:
    """One backend; ``work`` is a coroutine that decides what a request does.

    ``work(backend, request)`` returns (status, body), or None after it has crashed the
    backend. ``request`` has ``line``, ``id``, ``headers``, ``body`` and ``at_s``.
    """

    def __init__(self, fleet, index: int, service: str, work, slots: int = 16) -> None:
        self.fleet = fleet
        self.index = index
        self.service = service
        self.work = work
        self.slots = slots
        self.n_starts = 0
        self.n_running = 0
        self.instance = ""
        self.receive_buffer: int | None = None
        # Reads a body in place of the usual way: coroutine of request, reader, length.
        self.read_body = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen, and register under a new id."""
        self.n_starts += 1
        self.instance = f"i-{self.index}-{self.n_starts}"
        self.born = int(time.time() * 1000)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.receive_buffer:
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        listener.bind((self.fleet.ip(self.index), self.fleet.app_port))
        self._server = await asyncio.start_server(self._serve, sock=listener)
        self.register("ready")

    def register(self, state: str) -> None:
        entry = {
            "address": f"{self.fleet.ip(self.index)}:{self.fleet.app_port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.fleet.zone(self.index),
                "slots": self.slots,
            },
            "status": {"state": state, "sequence": 1, "cold-remaining": "0ms"},
        }
        self.fleet.store.put(f"servers/{self.instance}", entry)

    def crash(self) -> None:
        """End at once: the port is closed and all connections are reset."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        if self._server is not None:
            self.crash()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                request = Request(head)
                self.fleet.note_arrival(self, request)
                length = int(request.headers.get("content-length", 0))
                if request.headers.get("expected-instance") != self.instance:
                    await reader.readexactly(length)
                    await self._send(writer, request, 421, b"", b"Not-Executed: 1\r\n")
                    continue
                self.n_running += 1
                try:
                    if self.read_body is not None and length:
                        request.body = await self.read_body(request, reader, length)
                    elif length:
                        request.body = await reader.readexactly(length)
                    done = await self.work(self, request)
                finally:
                    self.n_running -= 1
                if done is None:
                    return
                await self._send(writer, request, *done)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.fleet.note("backend_connection_ended", self.instance, repr(error)[:80])
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _send(self, writer, request, status, body, head=None) -> None:
        if head is None:
            head = b"Server-Stamp: s.%b\r\n" % self.instance.encode()
        load = b"%d,0,%d" % (self.n_running, self.slots)
        writer.write(
            b"HTTP/1.1 %d Answer\r\nRequest-Id: %b\r\nServer-Load: %b\r\n%b"
            b"Content-Length: %d\r\n\r\n"
            % (status, request.id.encode(), load, head, len(body))
            + body
        )
        await writer.drain()


class Request:
    """Head of a request as a backend got it."""

    def __init__(self, head: bytes) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.path = lines[0].split(" ")[1]
        self.headers = {}
        for line in lines[1:]:
            name, separator, value = line.partition(":")
            if separator:
                self.headers[name.strip().lower()] = value.strip()
        self.id = self.headers.get("request-id", "")
        self.body = b""
        self.at_s = time.monotonic()


class Connection:
    """A client's kept connection to the daemon of its machine."""

    # Four fifths of the idle timeout of the configuration.
    IDLE_MAX_S = 12.0

    def __init__(self, fleet, index: int) -> None:
        self._fleet = fleet
        self._index = index
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self._used_s = 0.0

    async def open(self) -> None:
        async with asyncio.timeout(1.0):
            self.reader, self.writer = await asyncio.open_connection(
                self._fleet.ip(self._index), self._fleet.port
            )
        self._used_s = time.monotonic()

    def close(self) -> None:
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None

    async def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        head: str = "",
    ) -> tuple[int, dict, bytes]:
        """Send a request and return its answer; (0, {}, reason) without one."""
        try:
            if time.monotonic() - self._used_s > self.IDLE_MAX_S:
                self.close()
            if self.writer is None:
                await self.open()
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            text = (
                f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n"
                f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
                f"{head}{length}\r\n"
            )
            self.writer.write(text.encode() + body)
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                line, headers, answer = await read_message(self.reader)
            self._used_s = time.monotonic()
            if headers.get("connection") == "close":
                self.close()
            return int(line.split(" ")[1]), headers, answer
        except TimeoutError:
            self.close()
            return 0, {}, b"no answer at the deadline"
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            return 0, {}, f"closed: {error!r:.60}".encode()
