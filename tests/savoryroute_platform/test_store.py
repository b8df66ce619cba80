"""Answers of the store that cost more than they say."""

import asyncio
import unittest
from unittest import mock

from result import Err, Ok
from savoryroute_platform.store import Change, RangePage, StoreClient
from savoryroute_platform.watchers import follow_instances

REVISION = b'],"store-revision":1,"has-more":false}'
ANSWERS = {
    "deep": b"[" * 200_000,
    "many objects": b'{"items":[' + b"{}," * 600_000 + b"{}" + REVISION,
    "many numbers": b'{"items":[' + b"999," * 600_000 + b"9" + REVISION,
}


class CostlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % len(self.body) + self.body)
        writer.close()

    async def test_answer_is_an_error_and_is_not_decoded(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        client = StoreClient("127.0.0.1", server.sockets[0].getsockname()[1])
        self.addCleanup(client.close)
        for name, self.body in ANSWERS.items():
            with self.subTest(name):
                read = await client.read_page("op/")
                self.assertIsInstance(read, Err)
                self.assertRegex(str(read.err_value), "too many values|not JSON")


class RepeatedPageTest(unittest.IsolatedAsyncioTestCase):
    async def test_reads_of_a_list_that_does_not_end_are_delayed(self):
        page = RangePage([Change("servers/a", None)], 1, has_more=True)

        async def read_page(prefix, after_key):
            await asyncio.sleep(0)
            return Ok(page)

        store = mock.Mock(read_page=mock.Mock(side_effect=read_page))
        following = asyncio.create_task(follow_instances(store, mock.Mock()))
        self.addCleanup(following.cancel)
        for _ in range(1000):
            await asyncio.sleep(0)
        self.assertLessEqual(store.read_page.call_count, 4)
