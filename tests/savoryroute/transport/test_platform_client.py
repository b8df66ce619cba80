"""Tests of the platform client against a small HTTP server."""

import asyncio
import unittest

from aiohttp import web

from savoryroute.transport.platform_client import (
    HttpPlatform,
    MemoryPlatform,
    PlatformValue,
)


class HttpPlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.answer = web.Response(text="{}", headers={"X-Revision": "7"})
        self.queries = []
        app = web.Application()
        app.router.add_get("/v1/values/{key:.*}", self.serve)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = self.runner.addresses[0][1]
        refusing = "127.0.0.1:1"
        self.platform = HttpPlatform([refusing, f"127.0.0.1:{port}"], "a")

    async def asyncTearDown(self):
        await self.platform.close()
        await self.runner.cleanup()

    async def serve(self, request):
        agent = request.headers["User-Agent"]
        self.queries.append((request.path, dict(request.query), agent))
        return self.answer

    async def test_second_address_is_used_when_the_first_refuses(self):
        result = await self.platform.read("documents/trial")
        self.assertEqual(result.ok_value, PlatformValue("{}", 7))
        expected = ("/v1/values/documents/trial", {}, "savoryroute/a")
        self.assertEqual(self.queries, [expected])

    async def test_watch_without_a_newer_value(self):
        self.answer = web.Response(status=304)
        result = await self.platform.watch("hosts", 7, 0.5)
        self.assertIsNone(result.ok_value)
        self.assertEqual(self.queries[0][1], {"after": "7", "wait_s": "0.5"})

    async def test_invalid_answers_are_errors(self):
        for answer in (
            web.Response(status=500),
            web.Response(text="x"),
            web.Response(text="x", headers={"X-Revision": "x"}),
            web.Response(body=b"\xff", headers={"X-Revision": "1"}),
        ):
            self.answer = answer
            result = await self.platform.read("hosts")
            self.assertTrue(result.is_err())

    async def test_missing_value(self):
        self.answer = web.Response(status=404)
        result = await self.platform.read("hosts")
        self.assertIsNone(result.ok_value)

    async def test_no_address(self):
        result = await HttpPlatform([], "a").read("hosts")
        self.assertTrue(result.is_err())


class MemoryPlatformTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_sees_the_next_write(self):
        platform = MemoryPlatform()
        reader = platform.reader("a")
        watch = asyncio.create_task(reader.watch("hosts", 0, 5.0))
        await asyncio.sleep(0.01)
        platform.publish("hosts", "x")
        self.assertEqual((await watch).ok_value, PlatformValue("x", 1))
        self.assertEqual(platform.n_reads["a"], 1)

    async def test_outage_and_staleness(self):
        platform = MemoryPlatform()
        platform.publish("hosts", "x")
        platform.publish("hosts", "y")
        platform.set_stale("a", 1)
        reader = platform.reader("a")
        self.assertEqual((await reader.read("hosts")).ok_value.text, "x")
        platform.set_down(True)
        self.assertTrue((await reader.read("hosts")).is_err())
