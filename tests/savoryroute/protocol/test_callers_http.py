"""Tests of the HTTP server for callers: malformed input over raw sockets."""

import asyncio
from unittest import mock

from result import Ok

from savoryroute.protocol import callers_protocol
from savoryroute.protocol.callers_http import CallersServer, Outcome
from savoryroute.protocol.request import Request, Response
from savoryroute.state.address import Address
from savoryroute_lab.wiring import free_ports
from tests.fleet import FleetTestCase

BODY_LIMIT = 1000


class CallersServerTest(FleetTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.seen: list[Request] = []
        port = free_ports(1)[0]
        self.address = Address("127.0.0.1", port)
        self.server = CallersServer(
            self.address,
            self.handle,
            self.mint,
            self.confirm,
            lambda service: BODY_LIMIT,
        )
        await self.server.start()

    async def asyncTearDown(self):
        await self.server.stop(0.1)

    async def handle(self, request):
        self.seen.append(request)
        return Outcome(Ok(Response(200, (), request.body)))

    async def confirm(self, key, refusal):
        return refusal.as_may_have_run() if key else refusal

    async def mint(self, service, n_keys):
        return ["k"] * n_keys if service == "known" else []

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes and return the head of the first response."""
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(data)
        async with asyncio.timeout(5):
            first = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        return first

    async def status(self, data: bytes) -> int:
        return int((await self.exchange(data)).split()[1])

    async def test_valid_request_is_handled(self):
        status = await self.status(
            b"POST /s/p?q=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
            b"grpc-timeout: 20m\r\n\r\nab"
        )
        self.assertEqual(status, 200)
        request = self.seen[0]
        self.assertEqual((request.service, request.target), ("s", "/p?q=1"))
        self.assertEqual((request.body, request.time_left_s), (b"ab", 0.02))

    async def test_request_smuggling_is_refused(self):
        head = b"POST /s/p HTTP/1.1\r\nHost: x\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n"
        cases = {
            "length and chunks": head
            + b"Content-Length: 3\r\n"
            + chunked
            + b"\r\n0\r\n\r\n",
            "two lengths": head + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\na",
            "negative length": head + b"Content-Length: -1\r\n\r\n",
            "signed length": head + b"Content-Length: +1\r\n\r\na",
            "space before colon": head + b"Content-Length : 1\r\n\r\na",
            "bad chunk": head + chunked + b"\r\nzz\r\n\r\n",
            "other coding": head + b"Transfer-Encoding: xchunked\r\n\r\n",
            "not HTTP": b"\x16\x03\x01\x00\x00 nonsense\r\n\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.status(data), 400)
        self.assertEqual(self.seen, [])

    async def test_oversized_requests_are_refused(self):
        head = b"POST /s/p HTTP/1.1\r\nHost: x\r\n"
        many = b"".join(b"x-%d: 1\r\n" % n for n in range(500))
        cases = {
            "long header": (head + b"x: " + b"a" * 20_000 + b"\r\n\r\n", 400),
            "many headers": (head + many + b"\r\n", 400),
            "long body": (head + b"Content-Length: 9999999\r\n\r\n", 413),
            "long chunked body": (
                head + b"Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + b"a" * 2000,
                413,
            ),
        }
        for name, (data, status) in cases.items():
            with self.subTest(name):
                self.assertEqual(await self.status(data), status)
        self.assertEqual(self.seen, [])

    async def test_refused_body_does_not_affect_other_connections(self):
        oversized = self.status(
            b"POST /s/p HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n\r\n"
        )
        good = self.status(b"GET /s/p HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual(await asyncio.gather(oversized, good), [413, 200])

    async def test_request_with_truncated_body_is_not_handled(self):
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(b"POST /s/p HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab")
        await writer.drain()
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.seen, [])

    async def test_invalid_timeout_is_refused(self):
        data = b"GET /s/p HTTP/1.1\r\nHost: x\r\ngrpc-timeout: soon\r\n\r\n"
        self.assertEqual(await self.status(data), 400)

    async def test_refusal_of_a_keyed_request_is_confirmed(self):
        head = b"POST /s/p HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999\r\n"
        for key, verdict in ((b"", b"not_run"), (b"k", b"may_have_run")):
            key_header = b"Idempotency-Key: " + key + b"\r\n" if key else b""
            first = await self.exchange(head + key_header + b"\r\n")
            self.assertIn(b"Savoryroute-Verdict: " + verdict, first)

    async def test_parser_error_is_answered_with_problem_details(self):
        first = await self.exchange(b"POST /s/p HTTP/1.1\r\nContent-Length: -1\r\n\r\n")
        self.assertIn(b"application/problem+json", first)
        self.assertIn(b"Savoryroute-Verdict: not_run", first)

    async def test_request_may_have_run_after_an_error_of_the_daemon(self):
        async def fail(request):
            raise ValueError("a fault")

        self.server._handle = fail
        first = await self.exchange(b"GET /s/p HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"502", first.splitlines()[0])
        self.assertIn(b"Savoryroute-Verdict: may_have_run", first)

    async def test_connection_without_a_complete_head_is_closed(self):
        with mock.patch.object(callers_protocol, "FIRST_REQUEST_S", 0.1):
            reader, writer = await asyncio.open_connection(
                self.address.ip, self.address.port
            )
            writer.write(b"GET /s/p HTTP/1.1\r\nHost")
            async with asyncio.timeout(5):
                self.assertEqual(await reader.read(), b"")
            writer.close()

    async def test_expect_continue_is_answered(self):
        head = b"POST /s/p HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
        first = await self.exchange(head + b"Expect: 100-continue\r\n\r\nab")
        self.assertEqual(int(first.split()[1]), 100)

    async def test_keys_are_minted(self):
        post = b"POST /-/keys/%s HTTP/1.1\r\nHost: x\r\n\r\n"
        self.assertEqual(await self.status(post % b"known?n=3"), 200)
        self.assertEqual(await self.status(post % b"known?n=x"), 400)
        self.assertEqual(await self.status(post % b"unknown?n=1"), 503)
