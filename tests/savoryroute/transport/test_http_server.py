"""Tests of the HTTP server for callers over its asyncio protocol."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.state.route_table import CallerLimits
from savoryroute.transport.caller_exchange import format_answer
from savoryroute.transport.http_server import CallersListener

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
