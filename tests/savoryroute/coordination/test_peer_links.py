"""Tests of calls to peers over real links: answers, pings, lost links."""

import asyncio
import time
import unittest

from savoryroute.coordination.peer_links import (
    LINK_TIMEOUT_S,
    PING_AFTER_S,
    SUSPECT_AFTER_S,
    PeerLinks,
)
from savoryroute.protocol.mesh_frames import (
    AttemptKind,
    FrameKind,
    MeshAnswer,
    MeshCall,
)
from savoryroute.state.event_log import EventLog
from savoryroute.transport.frame_link import FrameLink, FrameLinkServer
from savoryroute.verdict import Reason, Verdict


def make_call():
    return MeshCall(
        0,
        "s",
        "i",
        "r",
        0,
        100,
        1000,
        True,
        False,
        AttemptKind.OF_CALLER,
        0,
        b"q",
        b"f",
        b"h",
        0,
    )


class PeerLinksTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.is_silent = False
        self.frames = []
        self.answers = []
        self.accepted = []
        self.server = FrameLinkServer(self.accept)
        await self.server.start("127.0.0.1", 0)
        self.port = self.server._server.sockets[0].getsockname()[1]
        log = EventLog(1, {}, write=lambda _, data: len(data))
        self.links = PeerLinks(self.port, log, lambda *frame: None)
        self.addCleanup(self.links.close)
        self.addCleanup(self.server.close)

    def accept(self):
        link = FrameLink(self.take, lambda link: None, lambda detail: None)
        self.accepted.append(link)
        return link

    def take(self, link, frame):
        self.frames.append(frame)
        if self.is_silent:
            return
        if frame[0] == FrameKind.PING:
            link.send([FrameKind.PONG.value])
        elif frame[0] == FrameKind.CALL and frame[2] == "s":
            link.send(MeshAnswer(frame[1], Verdict.RAN, status=200).to_frame())

    def call(self, ip="127.0.0.1"):
        call = make_call()
        self.links.call(ip, call, b"", self.answers.append)
        return call

    async def wait_until(self, condition, timeout_s=4.0):
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)
                self.links.sweep()

    async def test_call_cut_off_in_its_body_has_not_run(self):
        self.call()
        await self.wait_until(lambda: self.answers)
        self.accepted[0]._transport.pause_reading()
        call = make_call()
        call.body_bytes = 30_000_000
        self.links.call("127.0.0.1", call, b"x" * call.body_bytes, self.answers.append)
        await asyncio.sleep(0.1)
        self.accepted[0].abort()
        await self.wait_until(lambda: len(self.answers) == 2)
        self.assertIs(self.answers[1].verdict, Verdict.NOT_RUN)

    async def test_call_is_answered_once(self):
        self.call()
        await self.wait_until(lambda: self.answers)
        self.assertIs(self.answers[0].verdict, Verdict.RAN)
        self.assertEqual(len(self.answers), 1)

    async def test_silent_peer_is_suspected_first_and_disconnected_later(self):
        self.call()
        await self.wait_until(lambda: self.answers)
        self.is_silent = True
        started_s = time.monotonic()
        self.call()
        await self.wait_until(lambda: self.links.is_suspect("127.0.0.1"))
        suspect_s = time.monotonic() - started_s
        self.assertLess(suspect_s, PING_AFTER_S + SUSPECT_AFTER_S + 0.3)
        self.assertEqual(len(self.answers), 1)
        await self.wait_until(lambda: len(self.answers) == 2)
        self.assertIs(self.answers[1].verdict, Verdict.MAY_HAVE_RUN)
        self.assertGreater(time.monotonic() - started_s, LINK_TIMEOUT_S)

    async def test_peer_that_answers_pings_is_not_suspected(self):
        call = make_call()
        call.service = "slow"
        self.links.call("127.0.0.1", call, b"", self.answers.append)
        for _ in range(80):
            await asyncio.sleep(0.01)
            self.links.sweep()
            self.assertFalse(self.links.is_suspect("127.0.0.1"))
        self.assertIn([FrameKind.PING.value], self.frames)

    async def test_calls_on_a_lost_link_may_have_run(self):
        self.is_silent = True
        self.call()
        await self.wait_until(lambda: self.frames)
        self.accepted[0].abort()
        await self.wait_until(lambda: self.answers)
        self.assertIs(self.answers[0].verdict, Verdict.MAY_HAVE_RUN)
        self.assertIs(self.answers[0].reason, Reason.CONNECTION_LOST)

    async def test_calls_on_a_link_that_a_new_one_replaces_are_answered(self):
        """The old link may be closing while its loss is not reported yet."""
        self.is_silent = True
        self.call()
        await self.wait_until(lambda: self.frames)
        self.links.dial("127.0.0.1")
        await self.wait_until(lambda: self.answers)
        self.assertIs(self.answers[0].reason, Reason.CONNECTION_LOST)

    async def test_cancelled_call_that_waits_for_its_link_has_not_run(self):
        call = self.call()
        self.assertFalse(self.links.cancel("127.0.0.1", call))
        call = self.call()
        await self.wait_until(lambda: self.answers)
        self.is_silent = True
        call = self.call()
        self.assertTrue(self.links.cancel("127.0.0.1", call))

    async def test_only_the_first_call_waits_for_an_unreachable_host(self):
        self.call("127.0.0.99")
        await self.wait_until(lambda: self.answers)
        self.assertIs(self.answers[0].verdict, Verdict.NOT_RUN)
        self.assertTrue(self.links.is_suspect("127.0.0.99"))
        await asyncio.sleep(0.6)
        self.call("127.0.0.99")
        self.assertEqual(len(self.answers), 2)
        self.assertIs(self.answers[1].reason, Reason.UNREACHABLE)

    async def test_cancelled_call_is_sent_to_the_peer_and_not_answered(self):
        self.is_silent = True
        call = self.call()
        await self.wait_until(lambda: self.frames)
        self.links.cancel("127.0.0.1", call)
        await self.wait_until(lambda: len(self.frames) == 2)
        self.assertEqual(self.frames[1], [FrameKind.CANCEL.value, call.id])
        self.assertEqual(self.answers, [])
