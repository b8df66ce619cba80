"""Tests of the HTTP server for callers over its asyncio protocol."""

import asyncio
import socket
import time
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.state.body_budget import BodyBudget
from savoryroute.state.route_table import CallerLimits
from savoryroute.transport import http_server
from savoryroute.transport.caller_exchange import format_answer
from savoryroute.transport.http_server import CallersListener
from savoryroute.transport.input_pacer import LONG_READ_BYTES

LIMITS = CallerLimits(1000, 5000, 0.2, 0.4)


class CallersListenerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.exchanges = []
        self.bad = []
        self.listener = CallersListener(
            self.exchanges.append,
            lambda: LIMITS,
            lambda status, detail: self.bad.append(status),
        )
        await self.listener.start("127.0.0.1", 0)
        address = self.listener._server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.addCleanup(self.listener.abort)
        self.addCleanup(self.writer.close)

    async def send(self, data, n_exchanges=0):
        self.writer.write(data)
        async with asyncio.timeout(2):
            while len(self.exchanges) < n_exchanges:
                await asyncio.sleep(0.005)

    async def status(self):
        line = await asyncio.wait_for(self.reader.readline(), 2)
        return int(line.split()[1]) if line else None

    async def test_chunked_body_is_reassembled(self):
        head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.send(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", 1)
        self.assertEqual(self.exchanges[0].request.body, b"abcde")

    async def test_trailers_are_not_headers(self):
        head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self.send(head + b"1\r\na\r\n0\r\nAuthorization: x\r\n\r\n", 1)
        names = [name for name, _ in self.exchanges[0].request.headers]
        self.assertEqual(names, [b"transfer-encoding"])

    async def test_length_and_chunks_together_are_refused(self):
        await self.send(
            b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
        )
        self.assertEqual(await self.status(), 400)
        self.assertEqual(self.exchanges, [])

    async def test_continue_is_sent_before_the_body(self):
        await self.send(
            b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        self.assertEqual(await self.status(), 100)
        await self.send(b"ab", 1)

    async def test_pipelined_request_waits_for_the_first_answer(self):
        await self.send(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n", 1)
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.exchanges), 1)
        self.exchanges[0].respond(200, b"", b"")
        self.assertEqual(self.exchanges[1].request.target, b"/b")

    async def test_long_head_is_refused(self):
        await self.send(b"GET /a HTTP/1.1\r\nX: " + b"x" * 2000 + b"\r\n\r\n")
        self.assertEqual(await self.status(), 431)
        self.assertEqual(self.bad, [431])

    async def test_refusal_of_a_long_body_arrives_while_the_body_is_sent(self):
        """A close with unread data would reset the connection."""
        await self.send(b"POST /a HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
        for _ in range(30):
            self.writer.write(b"x" * 200_000)
            await asyncio.sleep(0.005)
        self.assertEqual(await self.status(), 413)

    async def test_no_continue_before_the_refusal_of_a_long_body(self):
        await self.send(
            b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 9000\r\n\r\n"
        )
        self.assertEqual(await self.status(), 413)

    async def test_invalid_pipelined_request_leaves_the_first_one_its_answer(self):
        await self.send(b"GET /a HTTP/1.1\r\n\r\nbad request\r\n\r\n", 1)
        await asyncio.sleep(0.05)
        self.exchanges[0].respond(200, b"", b"x")
        text = await asyncio.wait_for(self.reader.read(), 2)
        self.assertTrue(text.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"xHTTP/1.1 400", text)
        self.assertEqual(self.bad, [400])

    async def test_body_that_trickles_in_is_refused(self):
        await self.send(b"POST /a HTTP/1.1\r\nContent-Length: 900\r\n\r\n")
        for _ in range(5):
            self.writer.write(b"x")
            await asyncio.sleep(0.1)
            self.listener.sweep()
        self.assertEqual(await self.status(), 408)
        self.assertEqual(self.exchanges, [])

    async def test_late_head_is_refused(self):
        await self.send(b"GET /a HTT")
        await asyncio.sleep(0.3)
        self.listener.sweep()
        self.assertEqual(await self.status(), 408)

    async def test_idle_connection_is_closed_without_an_answer(self):
        await asyncio.sleep(0.3)
        self.listener.sweep()
        self.assertFalse(self.reader.at_eof())
        await asyncio.sleep(0.2)
        self.listener.sweep()
        self.assertIsNone(await self.status())

    async def test_connection_with_a_request_in_progress_is_not_idle(self):
        await self.send(b"GET /a HTTP/1.1\r\n\r\n", 1)
        await asyncio.sleep(0.5)
        self.listener.sweep()
        self.exchanges[0].respond(200, b"", b"")
        self.assertEqual(await self.status(), 200)

    async def test_disconnected_caller_aborts_its_exchange_once(self):
        await self.send(b"GET /a HTTP/1.1\r\n\r\n", 1)
        aborted = []
        self.exchanges[0].on_abort = lambda: aborted.append(1)
        self.writer.close()
        await asyncio.sleep(0.05)
        self.exchanges[0].respond(200, b"", b"")
        self.assertEqual(aborted, [1])
        self.assertEqual(self.listener.n_open, 0)

    async def test_leaving_listener_closes_after_the_answer(self):
        await self.send(b"GET /a HTTP/1.1\r\n\r\n", 1)
        self.listener.is_leaving = True
        self.exchanges[0].respond(200, b"", b"x")
        text = await asyncio.wait_for(self.reader.read(), 2)
        self.assertIn(b"Connection: close", text)
        self.assertTrue(text.endswith(b"x"))


class AnsweringListenerTest(unittest.IsolatedAsyncioTestCase):
    """A handler that answers each request at once, with the request's target."""

    answer_bytes = 0

    async def asyncSetUp(self):
        self.targets = []
        self.answers = BodyBudget(1 << 20)
        self.listener = CallersListener(
            self.handle,
            lambda: CallerLimits(16_384, 1 << 20, 5.0, 5.0),
            lambda status, detail: None,
            answers=self.answers,
        )
        await self.listener.start("127.0.0.1", 0)
        self.address = self.listener._server.sockets[0].getsockname()
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.addCleanup(self.listener.abort)
        self.addCleanup(self.writer.close)

    def handle(self, exchange):
        self.targets.append(exchange.request.target)
        body = exchange.request.target + b"a" * self.answer_bytes
        exchange.respond(200, b"", body)

    async def read_answer(self):
        async with asyncio.timeout(2):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
            return int(head.split()[1]), await self.reader.readexactly(length)

    async def test_offered_upgrade_gets_one_answer_and_the_next_request_its_own(self):
        self.writer.write(
            b"GET /a HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            b"POST /b HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
            b"Content-Length: 2\r\n\r\nok"
            b"GET /c HTTP/1.1\r\n\r\n"
        )
        for target in (b"/a", b"/b", b"/c"):
            self.assertEqual(await self.read_answer(), (200, target))

    async def test_tunnel_is_refused_and_not_served(self):
        self.writer.write(b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n")
        self.assertEqual((await self.read_answer())[0], 400)
        self.assertEqual(self.targets, [])

    async def test_failing_handler_ends_its_own_request_only(self):
        held = []

        def handle(exchange):
            if exchange.request.target == b"/b":
                raise ValueError("unreadable")
            held.append(exchange)

        self.listener.handle = handle
        for target in (b"/a", b"/b", b"/c"):
            self.writer.write(b"GET %b HTTP/1.1\r\n\r\n" % target)
        for status in (200, 500, 200):
            async with asyncio.timeout(2):
                while status == 200 and not held:
                    await asyncio.sleep(0.005)
            if status == 200:
                held.pop().respond(200, b"", b"")
            self.assertEqual(await self.read_answer(), (status, b""))
        self.assertEqual(self.listener.n_open, 0)

    async def test_many_requests_sent_ahead_that_end_at_once_are_answered(self):
        n_requests = 2000
        self.writer.writelines(
            b"GET /%d HTTP/1.1\r\n\r\n" % number for number in range(n_requests)
        )
        for number in range(n_requests):
            self.assertEqual(await self.read_answer(), (200, b"/%d" % number))

    async def test_many_requests_that_wait_are_answered(self):
        """Each answer started the next request within its own call."""
        held = []

        def handle(exchange):
            if exchange.request.target == b"/0":
                held.append(exchange)
            else:
                self.handle(exchange)

        self.listener.handle = handle
        n_requests = 400
        self.writer.writelines(
            b"GET /%d HTTP/1.1\r\n\r\n" % number for number in range(n_requests)
        )
        await asyncio.sleep(0.2)
        self.handle(held.pop())
        for number in range(n_requests):
            self.assertEqual(await self.read_answer(), (200, b"/%d" % number))

    async def test_body_in_chunks_of_one_byte(self):
        head = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.writer.write(head + b"1\r\na\r\n" * 50_000 + b"0\r\n\r\n")
        self.assertEqual(await self.read_answer(), (200, b"/a"))

    async def test_lines_without_end_are_refused(self):
        chunked = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        body = b"1000\r\n" + b"a" * 4096 + b"\r\n"
        for begin in (
            b"GET /a HTTP/1.1\r\nA: ",
            b"GET /",
            chunked + b"1;",
            chunked + body * 100 + b"0\r\nA: ",
        ):
            with self.subTest(begin[:40]):
                reader, writer = await asyncio.open_connection(*self.address)
                self.addCleanup(writer.close)
                writer.write(begin)
                writer.write(b"a" * 100_000)
                line = await asyncio.wait_for(reader.readline(), 2)
                self.assertIn(line.split()[1], (b"400", b"431"))
        self.assertEqual(self.targets, [])

    async def test_time_of_other_processes_is_not_charged_to_a_connection(self):
        """The thread sleeps, as it does while others have the processor."""

        def handle(exchange):
            time.sleep(0.02)
            self.handle(exchange)

        self.listener.handle = handle
        long_head = b"A: " + b"a" * 2 * LONG_READ_BYTES
        self.writer.write(b"GET /a HTTP/1.1\r\n" + long_head + b"\r\n\r\n")
        await self.read_answer()
        (connection,) = self.listener.connections
        self.assertIsNone(connection._input._timer)

    async def test_memory_of_a_refused_body_is_released(self):
        """The start of a further request is in the read that refuses the body."""
        chunk = b"9c40\r\n" + b"a" * 40_000 + b"\r\n"
        trailer = b"0\r\nA: " + b"a" * 9000 + b"\r\n\r\nGET /b"
        self.writer.write(b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n")
        self.writer.write(b"A: " + b"a" * 9000 + b"\r\n\r\n" + chunk)
        await asyncio.sleep(0.1)
        self.assertEqual(self.listener.bodies.held_bytes, 40_000)
        self.writer.write(trailer)
        self.assertEqual((await self.read_answer())[0], 431)
        self.writer.close()
        async with asyncio.timeout(2):
            while self.listener.connections:
                await asyncio.sleep(0.01)
        self.assertEqual(self.listener.bodies.held_bytes, 0)

    async def test_heads_sent_ahead_are_bounded(self):
        held = []
        self.listener.handle = held.append
        request = b"GET /a HTTP/1.1\r\nA: " + b"a" * 10_000 + b"\r\n\r\n"
        self.writer.write(request * 400)
        await asyncio.sleep(0.3)
        (connection,) = self.listener.connections
        self.assertLess(len(connection._waiting), 40)
        self.listener.handle = self.handle
        held[0].respond(200, b"", b"first")
        self.assertEqual(await self.read_answer(), (200, b"first"))
        for _ in range(399):
            self.assertEqual(await self.read_answer(), (200, b"/a"))

    async def test_heads_of_many_headers_are_counted(self):
        """Each takes up some forty times its length."""
        head = b"GET /a HTTP/1.1\r\n" + b"A:\r\n" * 3000
        self.listener.handle = self.targets.append
        self.writer.write((head + b"\r\n") * 100)
        await asyncio.sleep(0.3)
        (connection,) = self.listener.connections
        self.assertLess(len(connection._waiting), 4)
        self.listener.bodies = BodyBudget(1_000_000)
        for _ in range(8):
            reader, writer = await asyncio.open_connection(*self.address)
            self.addCleanup(writer.close)
            writer.write(head)
        line = await asyncio.wait_for(reader.readline(), 2)
        self.assertEqual(line.split()[1], b"503")
        refused = [item for item in self.listener.connections if item._is_closing]
        self.assertTrue(refused)
        self.assertFalse(any(item._headers for item in refused))

    async def test_request_sent_ahead_while_the_host_leaves_is_answered(self):
        held = []
        self.listener.handle = held.append
        self.writer.write(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        async with asyncio.timeout(2):
            while not held:
                await asyncio.sleep(0.005)
        self.listener.is_leaving = True
        held[0].respond(200, b"", b"/a")
        held[1].respond(200, b"", b"/b")
        text = await asyncio.wait_for(self.reader.read(), 2)
        self.assertEqual(text.count(b"HTTP/1.1 200"), 2)
        self.assertEqual(text.count(b"Connection: close"), 1)

    async def test_requests_wait_while_their_caller_does_not_read(self):
        """Its answers are counted until it has read them."""
        self.answer_bytes = 10_000_000
        for number in range(20):
            self.writer.write(b"GET /%d HTTP/1.1\r\n\r\n" % number)
        await asyncio.sleep(0.3)
        self.assertLess(len(self.targets), 4)
        self.assertTrue(self.answers.is_spent)
        for _ in range(20):
            self.assertEqual((await self.read_answer())[0], 200)
        async with asyncio.timeout(2):
            while self.answers.held_bytes:
                self.listener.sweep()
                await asyncio.sleep(0.01)

    async def test_closing_connection_whose_caller_never_reads_is_aborted(self):
        """Too little is left for its writing to be paused."""
        self.answer_bytes = 30_000
        with (
            socket.socket() as sock,
            mock.patch.object(http_server, "WRITE_STALL_S", 0.2),
        ):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(self.address)
            self.writer.close()
            async with asyncio.timeout(10):
                while not self.answers.held_bytes:
                    sock.send(b"GET /a HTTP/1.1\r\n\r\n")
                    await asyncio.sleep(0.002)
                self.listener.sweep(idle_s=0.0)
                while self.listener.connections:
                    self.listener.sweep()
                    await asyncio.sleep(0.05)
        self.assertEqual(self.answers.held_bytes, 0)

    async def test_unread_answers_of_a_caller_that_leaves_are_released(self):
        self.answer_bytes = 10_000_000
        self.writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        await asyncio.sleep(0.2)
        self.assertTrue(self.answers.is_spent)
        self.writer.transport.abort()
        async with asyncio.timeout(2):
            while self.answers.held_bytes:
                await asyncio.sleep(0.01)


class FormatTest(unittest.TestCase):
    def test_head_answers_have_length_but_no_body(self):
        text = format_answer(200, b"A: b\r\n", b"body", False, is_head=True)
        self.assertTrue(text.endswith(b"Content-Length: 4\r\n\r\n"))

    def test_bodiless_status(self):
        self.assertNotIn(b"Content-Length", format_answer(204, b"", b"", False))


class SplitBytesTest(unittest.TestCase):
    @settings(max_examples=30)
    @given(st.lists(st.integers(1, 60), min_size=1, max_size=8))
    def test_requests_are_reassembled_from_any_pieces(self, cuts):
        data = b"POST /a?x HTTP/1.1\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nabcde" * 3
        asyncio.run(self.send_in_pieces(data, cuts))

    async def send_in_pieces(self, data, cuts):
        seen = []

        def handle(exchange):
            seen.append(exchange.request)
            exchange.respond(200, b"", b"")

        listener = CallersListener(handle, CallerLimits, lambda status, detail: None)
        await listener.start("127.0.0.1", 0)
        address = listener._server.sockets[0].getsockname()
        _, writer = await asyncio.open_connection(*address)
        for cut in cuts:
            writer.write(data[:cut])
            data = data[cut:]
            await asyncio.sleep(0)
        writer.write(data)
        async with asyncio.timeout(2):
            while len(seen) < 3:
                await asyncio.sleep(0.002)
        self.assertEqual({(r.target, r.body) for r in seen}, {(b"/a?x", b"abcde")})
        writer.close()
        listener.stop_listening()
        listener.abort()
