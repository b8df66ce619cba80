"""Tests of the HTTP client with the faulty answers in faulty_answers.json5."""

import asyncio
import socket
import struct
import unittest
from pathlib import Path
from unittest import mock

import json5

from savoryroute.state.body_budget import BodyBudget
from savoryroute.transport import http_client
from savoryroute.transport.exchange_outcome import ExchangeFailure, FailureKind
from savoryroute.transport.http_client import ANSWER_BYTES_MAX, HttpPool

CASES = json5.loads((Path(__file__).parent / "faulty_answers.json5").read_text())
ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nContent-Length: 4\r\n\r\nnext"
SECOND = {"chunks": [ANSWER], "then": "keep"}
REQUEST = b"GET / HTTP/1.1\r\nRequest-Id: %b\r\n\r\n"
# Long enough for the client to read one piece before the next is sent.
PIECE_PAUSE_S = 0.003
# SO_LINGER of 0 s: closing the socket resets the connection.
RESET_NOW = struct.pack("ii", 1, 0)


class ScriptedServer:
    """Server that answers each request with the next case of its script."""

    def __init__(self):
        self.script = []
        self.n_connections = 0
        self.n_played = 0
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        self.n_connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                request_id = head.split("Request-Id: ")[1].split("\r\n")[0]
                case = self.script.pop(0)
                for chunk in case["chunks"]:
                    writer.write(chunk.replace("ID", request_id).encode("latin-1"))
                    await asyncio.sleep(PIECE_PAUSE_S)
                self.n_played += 1
                if case["then"] == "reset":
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_NOW)
                if case["then"] != "keep":
                    break
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()


class FaultyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = ScriptedServer()
        self.port = await self.server.start()
        self.addCleanup(self.server.stop)
        self.n_outcomes = 0

    def new_pool(self):
        pool = HttpPool("127.0.0.1", self.port, b"request-id")
        self.addCleanup(pool.close)
        return pool

    async def exchange(self, pool, request_id):
        done = asyncio.get_running_loop().create_future()

        def on_done(outcome):
            self.n_outcomes += 1
            done.set_result(outcome)

        pool.send(REQUEST % request_id, on_done, request_id)
        return await asyncio.wait_for(done, 2.0)

    async def test_each_faulty_answer(self):
        for case in CASES:
            with self.subTest(case["about"]):
                await self.replay(case)

    async def replay(self, case):
        # Each case has its own server, so that a late end does not affect other cases.
        self.server = ScriptedServer()
        self.port = await self.server.start()
        self.addCleanup(self.server.stop)
        pool = self.new_pool()
        self.n_outcomes = 0
        self.server.script = [case, SECOND]
        outcome = await self.exchange(pool, b"q1")
        if "lost" in case:
            self.assertIsInstance(outcome, ExchangeFailure)
            self.assertEqual(outcome.kind, FailureKind(case["lost"]))
        else:
            delivered = (outcome.status, outcome.body.decode())
            self.assertEqual(delivered, (case["status"], case["body"]))
        # After every case, the next request gets its own answer.
        is_reused = case.get("reused", False)
        await self.wait_until(lambda: self.server.n_played == 1)
        await self.wait_until(lambda: bool(pool.connections) == is_reused)
        following = await self.exchange(pool, b"q2")
        self.assertEqual(following.body, b"next")
        self.assertEqual(self.n_outcomes, 2)
        self.assertEqual(self.server.n_connections, 1 if is_reused else 2)

    async def wait_until(self, condition):
        async with asyncio.timeout(2.0):
            while not condition():
                await asyncio.sleep(0.001)

    async def test_failure_to_connect_is_reported_as_not_sent(self):
        self.server.stop()
        outcome = await self.exchange(self.new_pool(), b"q1")
        self.assertEqual(outcome.kind, FailureKind.NOT_SENT)

    async def test_spare_connection_carries_the_next_request(self):
        pool = self.new_pool()
        opened = asyncio.get_running_loop().create_future()
        pool.open_spare(opened.set_result)
        self.assertIsNone(await asyncio.wait_for(opened, 2.0))
        self.server.script = [SECOND]
        self.assertEqual((await self.exchange(pool, b"q1")).body, b"next")
        self.assertEqual(pool.n_opened, 1)

    async def test_failure_to_open_a_spare_connection_is_reported(self):
        self.server.stop()
        opened = asyncio.get_running_loop().create_future()
        self.new_pool().open_spare(opened.set_result)
        self.assertIn("no connection", await asyncio.wait_for(opened, 2.0))

    async def test_cancelled_exchange_has_no_outcome_and_closes_its_connection(self):
        pool = self.new_pool()
        self.server.script = [{"chunks": [], "then": "keep"}, SECOND]
        pending = pool.send(REQUEST % b"q1", lambda outcome: self.fail(outcome), b"q1")
        await asyncio.sleep(0.02)
        pending.cancel()
        self.assertEqual((await self.exchange(pool, b"q2")).body, b"next")
        self.assertEqual(pool.n_opened, 2)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Beginning of an answer, and what then follows without end.
ENDLESS = {
    "header value": (HEAD + b"A: ", b"a" * 4096),
    "header lines": (HEAD, b"A: b\r\n" * 500),
    "informational answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "chunk extension": (CHUNKED + b"4;", b"a" * 4096),
    "trailer": (CHUNKED + b"0\r\n", b"A: b\r\n" * 500),
    "answers to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" * 50,
    ),
    "chunked body": (CHUNKED, b"1000\r\n" + b"a" * 4096 + b"\r\n"),
    "body without a length": (HEAD + b"\r\n", b"a" * 4096),
    "body of a stated length": (
        HEAD + b"Content-Length: 999999999999\r\n\r\n",
        b"a" * 4096,
    ),
}
BODY_LIMIT_BYTES = 1 << 20
# Bytes that may be in buffers of the system when the client closes.
IN_TRANSIT_BYTES = 16 << 20


class EndlessAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An upstream in trouble sends bytes until its caller closes the connection."""

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.begin)
        try:
            while self.repeated and not writer.is_closing():
                writer.write(self.repeated)
                self.n_sent += len(self.repeated)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
            self.closed.set()

    async def fetch(self, bodies, n_requests=1):
        """Return the outcomes of concurrent exchanges with the endless server."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.n_sent, self.closed = 0, asyncio.Event()
        pool = HttpPool(
            "127.0.0.1", server.sockets[0].getsockname()[1], b"request-id", bodies
        )
        self.addCleanup(pool.close)
        loop = asyncio.get_running_loop()
        outcomes = [loop.create_future() for _ in range(n_requests)]
        for outcome in outcomes:
            pool.send(REQUEST % b"q1", outcome.set_result, b"q1")
        return await asyncio.wait_for(asyncio.gather(*outcomes), 5.0)

    async def test_answer_is_given_up_and_its_connection_closed(self):
        for name, (self.begin, self.repeated) in ENDLESS.items():
            with self.subTest(name):
                bodies = BodyBudget(BODY_LIMIT_BYTES)
                (outcome,) = await self.fetch(bodies)
                self.assertEqual(outcome.kind, FailureKind.BAD_ANSWER)
                await asyncio.wait_for(self.closed.wait(), 2.0)
                self.assertLess(self.n_sent, IN_TRANSIT_BYTES + ANSWER_BYTES_MAX)
                self.assertEqual(bodies.held_bytes, 0)

    async def test_bodies_of_all_answers_together_are_bounded(self):
        self.begin, self.repeated = ENDLESS["chunked body"]
        bodies = BodyBudget(BODY_LIMIT_BYTES)
        outcomes = await self.fetch(bodies, n_requests=8)
        kinds = {outcome.kind for outcome in outcomes}
        self.assertEqual(kinds, {FailureKind.BAD_ANSWER})
        self.assertEqual(bodies.held_bytes, 0)
        self.assertGreaterEqual(bodies.n_refused, 7)

    async def upload_answered_at_once(self, bodies):
        """Return a pool and the task of a server that reads the body later."""
        read = asyncio.Event()

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await read.wait()
            self.n_read = len(await reader.read())

        self.n_read = -1
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        pool = HttpPool("127.0.0.1", port, bodies=bodies)
        self.addCleanup(pool.close)
        outcome = asyncio.get_running_loop().create_future()
        head = b"POST / HTTP/1.1\r\nContent-Length: 20000000\r\n\r\n"
        pool.send(head, outcome.set_result, body=b"x" * 20_000_000)
        self.assertEqual((await asyncio.wait_for(outcome, 2)).status, 200)
        return pool, read

    async def test_rest_of_an_answered_upload_is_counted_and_written(self):
        """The server may read the rest of the body after its answer."""
        bodies = BodyBudget(30_000_000)
        _, read = await self.upload_answered_at_once(bodies)
        self.assertGreater(bodies.held_bytes, 1_000_000)
        read.set()
        async with asyncio.timeout(3):
            while self.n_read < 0 or bodies.held_bytes:
                await asyncio.sleep(0.01)
        self.assertEqual(self.n_read, 20_000_000)

    async def test_rest_of_an_answered_upload_is_dropped_without_memory(self):
        bodies = BodyBudget(1_000_000)
        pool, _ = await self.upload_answered_at_once(bodies)
        await asyncio.sleep(0.05)
        self.assertEqual((pool.connections, bodies.held_bytes), (set(), 0))

    async def test_rest_of_an_answered_upload_that_is_never_read_is_dropped(self):
        bodies = BodyBudget(30_000_000)
        with mock.patch.object(http_client, "REST_TIMEOUT_S", 0.1):
            pool, _ = await self.upload_answered_at_once(bodies)
        await asyncio.sleep(0.3)
        self.assertEqual((pool.connections, bodies.held_bytes), (set(), 0))

    async def test_head_of_many_headers_is_counted(self):
        """It takes up some forty times its length, until its exchange ends."""
        self.begin = b"HTTP/1.1 200 OK\r\n" + b"A:\r\n" * 12_000
        self.repeated = b""
        bodies = BodyBudget(500_000)
        (outcome,) = await self.fetch(bodies)
        self.assertIn("no memory", outcome.detail)
        self.assertEqual(bodies.held_bytes, 0)

    async def test_long_body_in_chunks_of_one_byte_is_complete(self):
        n_bytes = 200_000
        self.begin = CHUNKED + b"1\r\na\r\n" * n_bytes + b"0\r\n\r\n"
        self.repeated = b""
        (outcome,) = await self.fetch(BodyBudget(BODY_LIMIT_BYTES))
        self.assertEqual(len(outcome.body), n_bytes)
