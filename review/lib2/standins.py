"""Stand-ins for the store, backends and clients, by PROTOCOL.md."""

import asyncio
import base64
import json
import socket
import time
from urllib.parse import parse_qs, urlsplit


async def read_head(reader):
    """Return the first line and the headers of a message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


class Store:
    """The platform's store: items, ranges, and watches over a history."""

    def __init__(self):
        self.revision = 100
        self.era = 1
        self.items = {}
        self.history = []
        self.history_start = self.revision
        self._changed = asyncio.Event()
        self._server = None
        self.is_silent = False
        # Addresses of hosts whose calls are answered with 503.
        self.busy_for = set()

    async def start(self, ip, port):
        self._server = await asyncio.start_server(self._serve, ip, port)

    def close(self):
        self._server.close()

    def put(self, key, value):
        self.revision += 1
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self.history.append(item)
        self._notify()

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"key": key, "revision": self.revision, "tombstone": True})
        self._notify()

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while (message := await read_head(reader)) is not None:
                target = message[0].split(" ")[1]
                url = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                while self.is_silent:
                    await asyncio.sleep(0.05)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(url.path, query)
                body = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nStore-Era: %d\r\nContent-Type: application/json"
                    b"\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, self.era, len(body), body)
                )
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, path, query):
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item | {"store-revision": self.revision}
        if path == "/api/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self.items[key] for key in keys[:50]],
                "has-more": len(keys) > 50,
                "store-revision": self.revision,
            }
        if path == "/api/kv-watch":
            return await self._watch(
                query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000
            )
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        if not self.history_start <= after <= self.revision:
            return 410, {}
        end_s = time.monotonic() + wait_s
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store-revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass


class Backend:
    """One application backend; it registers itself in the store."""

    def __init__(self, fleet, index, service, ip, port, zone, slots, work_s):
        self.fleet, self.index, self.service = fleet, index, service
        self.ip, self.port, self.zone = ip, port, zone
        self.slots, self.work_s = slots, work_s
        self.id = f"i-{index}-{service}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_up = False
        # Value of the header Server-Limit, None without one.
        self.limit = None
        # Requests whose path contains this text crash the backend.
        self.poison = None
        # Seconds of its work after which such a request does so, whatever becomes of the
        # connection.
        self.poison_s = 0.0
        self.down_s = 3.0
        self.running = 0
        self.on_run = None
        self._server = None
        self._writers = set()
        self._beat = None
        self._tasks = set()

    async def start(self):
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=256
        )
        self.is_up = True
        if self._beat is None:
            self._beat = asyncio.create_task(self._register())

    def close(self):
        if self._beat is not None:
            self._beat.cancel()
        self._stop_serving()

    def _stop_serving(self):
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                writer.transport.abort()
        self._writers.clear()

    def crash(self):
        """End at once and be back after ``down_s``."""
        if not self.is_up:
            return
        self.fleet.note("crash", backend=self.id, running=self.running)
        self.fleet.crashes_s.append(time.monotonic())
        self._stop_serving()
        self.running = 0
        task = asyncio.create_task(self._come_back())
        self._tasks.add(task)

    async def _come_back(self):
        await asyncio.sleep(self.down_s)
        await self.start()
        self.fleet.note("back", backend=self.id)

    async def _register(self):
        while True:
            if self.is_up:
                self.sequence += 1
                self.fleet.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(self.fleet.heartbeat_s)

    def entry(self, state="ready"):
        return json.dumps(
            {
                "address": f"{self.ip}:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                },
                "status": {
                    "state": state,
                    "sequence": self.sequence,
                    "cold-remaining": "0ms",
                },
            }
        ).encode()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_head(reader)) is not None:
                line, headers = message
                body = await read_body(reader, headers)
                if not await self._answer(line, headers, body, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def head(self, status, request_id, extra=b""):
        limit = b""
        if self.limit is not None:
            limit = b"Server-Limit: %b\r\n" % str(self.limit).encode()
        return b"HTTP/1.1 %d X\r\nRequest-Id: %b\r\nServer-Load: %d,0,%d\r\n%b%b" % (
            status,
            request_id,
            self.running,
            self.slots,
            limit,
            extra,
        )

    async def _answer(self, line, headers, body, reader, writer):
        request_id = headers.get("request-id", "").encode()
        expected = headers.get("expected-instance", self.id)
        if expected != self.id:
            writer.write(self.head(421, request_id) + b"Content-Length: 0\r\n\r\n")
            return True
        if self.running >= self.slots:
            writer.write(
                self.head(503, request_id, b"Not-Executed: 1\r\n")
                + b"Content-Length: 0\r\n\r\n"
            )
            return True
        method, target, _ = line.split(" ")
        if not target.startswith(self.fleet.counted_prefix):
            self.fleet.note(
                "run",
                backend=self.id,
                id=request_id.decode(),
                target=target,
                caller=headers.get("caller-service"),
                deadline_ms=headers.get("deadline-ms"),
            )
        if self.on_run is not None:
            self.on_run(self, request_id.decode(), target)
        if self.poison is not None and self.poison in target:
            await asyncio.sleep(self.poison_s)
            self.crash()
            return False
        self.running += 1
        born = self.born
        try:
            is_gone = await self._work(reader)
        finally:
            if self.born == born and self.is_up:
                self.running -= 1
        if is_gone or writer.transport.is_closing():
            return False
        answer = b"answer to " + request_id
        writer.write(
            self.head(200, request_id, b"Server-Stamp: s.%b\r\n" % request_id)
            + b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer)
        )
        await writer.drain()
        return True

    async def _work(self, reader):
        """Work on a request; return whether its connection was closed meanwhile."""
        end_s = time.monotonic() + self.work_s
        while (left_s := end_s - time.monotonic()) > 0:
            if reader.at_eof():
                return True
            await asyncio.sleep(min(left_s, 0.02))
        return False


class Answer:
    """What a client got: a status, or 0 if the connection ended without an answer."""

    def __init__(self, status=0, headers=None, body=b"", detail=""):
        self.status, self.headers = status, headers or {}
        self.body, self.detail = body, detail


async def send(
    ip, port, method, target, request_id, deadline_ms, body=b"", leaves_s=None
):
    """Send one request on a new connection and return the answer.

    The client leaves after ``leaves_s`` seconds, or at its deadline.
    """
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(ip, port)
    except (OSError, TimeoutError) as error:
        return Answer(detail=f"not connected: {error!r}")
    try:
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: studio.example\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
        )
        if body or method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        async with asyncio.timeout(leaves_s or deadline_ms / 1000):
            message = await read_head(reader)
            if message is None:
                return Answer(detail="closed without an answer")
            line, headers = message
            content = await read_body(reader, headers)
        return Answer(int(line.split(" ")[1]), headers, content)
    except TimeoutError:
        return Answer(detail="the client has left")
    except (OSError, asyncio.IncompleteReadError) as error:
        return Answer(detail=f"broken off: {error!r}")
    finally:
        writer.transport.abort()


def free_ports(count):
    """Return ports that are free now on the loopback addresses."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind(("0.0.0.0", 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


class SlowReader(Backend):
    """Backend with a small receive window that may pause while it reads a body."""

    # Bytes of the receive buffer of each connection, which the kernel doubles.
    receive_buffer = 8192
    # Bytes of a body after which it pauses, and seconds for which it does.
    pause_after = 2000
    pause_s = 0.0

    async def start(self):
        """Listen on a socket whose connections have the small receive buffer."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self._sock.bind((self.ip, self.port))
        self._sock.listen(64)
        self._sock.setblocking(False)
        self.is_up = True
        self._accepter = asyncio.create_task(self._accept())
        self._beat = asyncio.create_task(self._register())

    def close(self):
        """End at the end of the case."""
        for task in (self._accepter, self._beat, *self._tasks):
            task.cancel()
        self._sock.close()

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            task = asyncio.create_task(self._talk(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _talk(self, sock):
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        data = b""
        try:
            while True:
                while b"\r\n\r\n" not in data:
                    if not (piece := await loop.sock_recv(sock, 1000)):
                        return
                    data += piece
                head, _, data = data.partition(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {
                    name.lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in lines[1:])
                }
                data = await self._run(sock, lines[0], headers, data)
        except OSError as error:
            self.fleet.note("broken off", backend=self.id, error=repr(error))
        finally:
            sock.close()

    async def _run(self, sock, line, headers, data):
        """Run a request; return the bytes that follow it."""
        loop = asyncio.get_running_loop()
        request_id = headers["request-id"].encode()
        began_s = time.monotonic()
        n_bytes = int(headers.get("content-length", 0))
        self.fleet.note(
            "begins", backend=self.id, id=request_id.decode(), line=line[:40]
        )
        if self.on_run is not None:
            self.on_run(self, request_id.decode(), line.split(" ")[1])
        has_paused = False
        while len(data) < n_bytes:
            if not has_paused and len(data) >= min(self.pause_after, n_bytes):
                has_paused = True
                await asyncio.sleep(self.pause_s)
            piece = await loop.sock_recv(sock, 1000)
            if not piece:
                raise ConnectionResetError("the connection ended in the body")
            data += piece
        left_s = self.work_s - (time.monotonic() - began_s)
        await asyncio.sleep(max(0.0, left_s))
        answer = b"answer to " + request_id
        await loop.sock_sendall(
            sock,
            self.head(200, request_id, b"Server-Stamp: s.%b\r\n" % request_id)
            + b"Content-Length: %d\r\n\r\n%b" % (len(answer), answer),
        )
        self.fleet.note("answers", backend=self.id, id=request_id.decode())
        return data[n_bytes:]
