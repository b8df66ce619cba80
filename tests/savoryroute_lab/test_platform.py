"""Tests of the stand-in for the platform."""

import asyncio
import unittest

import aiohttp

from savoryroute_lab.http import client_session
from savoryroute_lab.platform import Outage, Platform


class PlatformTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.platform = Platform()
        await self.platform.start()
        self.addAsyncCleanup(self.platform.stop)
        self.session = client_session(headers={"User-Agent": "savoryroute/h1"})
        self.addAsyncCleanup(self.session.close)

    async def read(self, key, reader="savoryroute/h1", **query):
        url = f"http://{self.platform.address}/v1/values/{key}"
        headers = {"User-Agent": reader}
        async with self.session.get(url, params=query, headers=headers) as response:
            revision = response.headers.get("X-Revision")
            return response.status, revision, await response.read()

    async def test_read_of_present_and_absent_key(self):
        self.assertEqual((await self.read("hosts"))[0], 404)
        revision = self.platform.put("hosts", b"{}")
        self.assertEqual(await self.read("hosts"), (200, str(revision), b"{}"))

    async def test_watch_returns_changes_and_times_out(self):
        first = self.platform.put("hosts", b"1")
        status, _, _ = await self.read("hosts", after=first, wait_s=0.05)
        self.assertEqual(status, 304)
        watch = asyncio.create_task(self.read("hosts", after=first, wait_s=30))
        await asyncio.sleep(0.05)
        self.platform.put("documents/trial", b"other key")
        second = self.platform.put("hosts", b"2")
        self.assertEqual(await watch, (200, str(second), b"2"))

    async def test_one_reader_gets_a_stale_revision(self):
        first = self.platform.put("hosts", b"1")
        self.platform.put("hosts", b"2")
        self.platform.set_stale(first, "savoryroute/h2")
        self.assertEqual((await self.read("hosts"))[2], b"2")
        self.assertEqual((await self.read("hosts", "savoryroute/h2"))[2], b"1")

    async def test_outages(self):
        self.platform.put("hosts", b"1")
        await self.platform.set_outage(Outage.ERROR)
        self.assertEqual((await self.read("hosts"))[0], 503)
        await self.platform.set_outage(Outage.REFUSE)
        with self.assertRaises(aiohttp.ClientConnectionError):
            await self.read("hosts")
        await self.platform.set_outage(Outage.NONE)
        self.assertEqual((await self.read("hosts"))[0], 200)

    async def test_control_port_counts_by_reader(self):
        base = f"http://{self.platform.control_address}/lab"
        async with self.session.put(f"{base}/values/hosts", data=b"1") as response:
            self.assertEqual(await response.json(), {"revision": 1})
        await self.read("hosts")
        async with self.session.get(f"{base}/counts") as response:
            self.assertEqual(await response.json(), {"savoryroute/h1": 1})
