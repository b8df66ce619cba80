"""A daemon's process must not end by itself while it starts."""

import asyncio
import pathlib
import signal
import socket
import unittest

from .process_fleet import ProcessFleet

SUBNET = 253
HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def ignores_hangup(pid):
    """Whether a process ignores or handles SIGHUP, by its masks in proc(5)."""
    masks = 0
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("SigIgn", "SigCgt"):
            masks |= int(value, 16)
    return bool(masks & HANGUP_BIT)


class ProcessStartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = ProcessFleet(SUBNET)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    async def start_again(self, index):
        """Kill a daemon and return the process that replaces it."""
        killed = self.fleet.daemons[index]
        killed.kill()
        async with asyncio.timeout(5):
            while self.fleet.daemons[index] is killed:
                await asyncio.sleep(0.001)
        self.fleet.ends.clear()
        return self.fleet.daemons[index]

    async def wait_until_ready(self, index):
        async with asyncio.timeout(10):
            while not await self.fleet.is_ready(index):
                await asyncio.sleep(0.02)

    async def test_hangups_from_the_first_moment_of_the_program(self):
        for _ in range(3):
            process = await self.start_again(0)
            async with asyncio.timeout(5):
                while not ignores_hangup(process.pid):
                    await asyncio.sleep(0.001)
            # The imports take longer than this.
            for _ in range(100):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.002)
            await self.wait_until_ready(0)
            self.assertEqual(self.fleet.ends, [])
            self.assertIsNone(process.poll())

    async def test_program_ignores_hangups_before_its_imports(self):
        process = await self.start_again(0)
        async with asyncio.timeout(5):
            while not ignores_hangup(process.pid):
                await asyncio.sleep(0.0005)
        maps = pathlib.Path(f"/proc/{process.pid}/maps").read_text()
        self.assertFalse("uvloop" in maps)

    async def test_port_that_an_ending_process_still_uses(self):
        killed = self.fleet.daemons[1]
        killed.kill()
        killed.wait()
        with socket.socket() as held:
            held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            held.bind((self.fleet.ip(1), self.fleet.ready_port))
            held.listen()
            async with asyncio.timeout(10):
                while "port_in_use" not in self.fleet.log_of(1):
                    await asyncio.sleep(0.02)
        self.fleet.ends.clear()
        await self.wait_until_ready(1)
        self.assertEqual(self.fleet.ends, [])
