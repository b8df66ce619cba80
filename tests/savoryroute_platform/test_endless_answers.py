"""A faulty upstream's endless answers must not end its daemon's other requests."""

import asyncio
import unittest
from collections import Counter

from .endless_upstream import FAULTS
from .mesh_fleet import Caller
from .process_fleet import ProcessFleet

LENGTH_S = 5.0
FAULTY_PER_S = 6.0
# Requests a second of other callers, by index of the daemon that they go to.
OTHERS_PER_S = {0: 20.0, 2: 30.0}
ANSWER_TIMEOUT_S = 5.0
SUBNET = 252


class EndlessAnswerProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = ProcessFleet(SUBNET)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()
        self.idle = {index: [] for index in OTHERS_PER_S}
        self.addAsyncCleanup(self.close_callers)
        self.statuses = Counter()
        await self.open_links()

    async def open_links(self):
        """Send requests until the links between the daemons are open."""
        async with asyncio.timeout(10):
            for index in OTHERS_PER_S:
                statuses = Counter()
                while not statuses[200]:
                    await self.send(index, "/steady/x", statuses)
                    await asyncio.sleep(0.1)

    async def close_callers(self):
        for idle in self.idle.values():
            for caller in idle:
                caller.close()

    async def send(self, index, target, statuses):
        """Send a request over a kept connection; count status 0 without an answer."""
        idle = self.idle[index]
        status = 0
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                caller = (
                    idle.pop()
                    if idle
                    else await Caller.connect(self.fleet.ip(index), self.fleet.port)
                )
                answer = await caller.request(target)
                status = answer.status if answer.is_complete else 0
        except (OSError, TimeoutError):
            pass
        statuses[status] += 1
        if status:
            idle.append(caller)

    async def send_steadily(self, index, target, per_s, statuses):
        """Send requests at a rate, and return when all have ended."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        tasks = []
        while loop.time() - begun_s < LENGTH_S:
            tasks.append(asyncio.create_task(self.send(index, target, statuses)))
            await asyncio.sleep(max(0.0, begun_s + len(tasks) / per_s - loop.time()))
        await asyncio.gather(*tasks)

    async def play(self, names):
        """Send requests for faulty answers beside those of other callers."""
        faulty = Counter()
        await asyncio.gather(
            *(
                self.send_steadily(
                    0, f"/faulty/{name}", FAULTY_PER_S / len(names), faulty
                )
                for name in names
            ),
            *(
                self.send_steadily(index, "/steady/x", per_s, self.statuses)
                for index, per_s in OTHERS_PER_S.items()
            ),
        )
        return faulty

    def assert_others_served(self):
        peaks_mb = [round(peak / 1e6) for peak in self.fleet.peak_bytes]
        seen = f"ends {self.fleet.ends}, peaks {peaks_mb} MB, others {self.statuses}"
        self.assertEqual(self.fleet.ends, [], seen)
        self.assertEqual(set(self.statuses), {200}, seen)

    async def check(self, *names):
        faulty = await self.play(names)
        self.assert_others_served()
        return faulty

    async def test_long_sound_answers(self):
        faulty = await self.check("long-answer")
        self.assertGreater(faulty[200], 0)

    async def test_long_bodies_at_the_ports_of_operators(self):
        """Connections of which each holds all but the last byte of a body."""
        head = b"POST /api/ready HTTP/1.1\r\nContent-Length: 40000000\r\n\r\n"
        for port in (self.fleet.ready_port, self.fleet.metrics_port):
            for _ in range(8):
                reader, writer = await asyncio.open_connection(self.fleet.ip(1), port)
                self.addCleanup(writer.close)
                writer.write(head + b"a" * 39_999_999)
                line = await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
                self.assertEqual(line.split()[1], b"413")
        self.assertEqual(self.fleet.ends, [])

    async def test_every_fault_at_once(self):
        await self.check(*FAULTS)


def _add_test(name):
    async def test(self):
        faulty = await self.check(name)
        self.assertLessEqual(faulty.keys(), {200, 502, 503, 504})

    method = f"test_{name.replace('-', '_')}"
    setattr(EndlessAnswerProcessTest, method, test)


for _name in FAULTS:
    _add_test(_name)
