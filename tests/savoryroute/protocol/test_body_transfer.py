"""Tests of the transfer of long bodies in pieces over one link."""

import asyncio
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.peer_links import SUSPECT_AFTER_S
from savoryroute.protocol.body_transfer import (
    PIECE_BYTES,
    BodySender,
    IncomingBodies,
    inline_body,
)
from savoryroute.protocol.mesh_frames import AttemptKind, FrameKind, MeshCall
from savoryroute.state.body_budget import SMALL_BODY_BYTES
from savoryroute.transport.frame_link import WRITE_BUFFER_BYTES, FrameLink

UPLOAD_BYTES = 360_000
NARROW_BYTES_PER_S = 10e6 / 8


class NarrowTransport:
    """Transport over a narrow link: written data waits until the test drains it."""

    def __init__(self):
        self.waiting = b""
        self.delivered = b""
        self.link = None

    def get_write_buffer_size(self):
        return len(self.waiting)

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        self.high = high

    def is_closing(self):
        return False

    def write(self, data):
        self.waiting += data
        if len(self.waiting) > self.high:
            self.link.pause_writing()

    def drain(self, n_bytes):
        self.delivered += self.waiting[:n_bytes]
        self.waiting = self.waiting[n_bytes:]
        if len(self.waiting) <= self.high // 4:
            self.link.resume_writing()


def call(body_bytes, time_left_ms=1000, call_id=1):
    return MeshCall(
        call_id,
        "s",
        "i",
        "r",
        0,
        100,
        time_left_ms,
        False,
        False,
        AttemptKind.OF_CALLER,
        0,
        b"q",
        b"",
        b"",
        body_bytes,
    )


class BodySenderTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.transport = NarrowTransport()
        self.link = FrameLink(lambda *_: None, lambda _: None, lambda _: None)
        self.transport.link = self.link
        self.link.connection_made(self.transport)
        self.sender = BodySender(self.link)

    async def settle(self):
        for _ in range(20):
            await asyncio.sleep(0)

    async def drain_all(self):
        await self.settle()
        while self.transport.waiting:
            self.transport.drain(PIECE_BYTES)
            await self.settle()
        return self.frames()

    def frames(self):
        frames = []
        receiver = FrameLink(
            lambda _, frame: frames.append(frame), lambda _: None, lambda _: None
        )
        receiver.data_received(self.transport.delivered)
        while receiver._has_turn:
            receiver._take_turn()
        return frames

    async def test_ping_behind_an_upload_is_not_late_on_a_narrow_link(self):
        """In one frame, 360 kB at 10 Mbit/s delayed it beyond the suspicion time."""
        whole_s = len(cbor2.dumps(b"x" * UPLOAD_BYTES)) / NARROW_BYTES_PER_S
        self.assertGreater(whole_s, SUSPECT_AFTER_S)
        self.sender.start(1, b"x" * UPLOAD_BYTES)
        await self.settle()
        self.link.send([FrameKind.PING.value])
        wait_s = len(self.transport.waiting) / NARROW_BYTES_PER_S
        self.assertLess(wait_s, SUSPECT_AFTER_S / 4)
        frames = await self.drain_all()
        self.assertLess(frames.index([FrameKind.PING.value]), 5)
        pieces = [frame[2] for frame in frames if frame[0] == FrameKind.BODY]
        self.assertEqual(b"".join(pieces), b"x" * UPLOAD_BYTES)

    async def test_bodies_take_turns(self):
        self.sender.start(1, b"a" * PIECE_BYTES * 20)
        await self.settle()
        self.sender.start(2, b"b" * PIECE_BYTES * 2)
        numbers = [frame[1] for frame in await self.drain_all()]
        self.assertEqual(numbers.count(1), 20)
        self.assertLess(len(numbers) - 1 - numbers[::-1].index(2), 8)

    async def test_write_buffer_is_bounded(self):
        for number in range(10):
            self.sender.start(number, b"x" * UPLOAD_BYTES)
        await self.settle()
        self.assertLess(
            len(self.transport.waiting), WRITE_BUFFER_BYTES + 2 * PIECE_BYTES
        )

    async def test_stopped_body_is_incomplete_and_its_last_piece_is_never_sent(self):
        self.sender.start(1, b"x" * UPLOAD_BYTES)
        await self.settle()
        self.assertTrue(self.sender.stop(1))
        frames = await self.drain_all()
        self.assertLess(sum(len(frame[2]) for frame in frames), UPLOAD_BYTES)

    async def test_body_is_complete_as_soon_as_its_last_piece_is_written(self):
        self.sender.start(1, b"x" * PIECE_BYTES)
        await self.settle()
        self.assertFalse(self.sender.stop(1))


class IncomingBodiesTest(unittest.TestCase):
    def setUp(self):
        self.incoming = IncomingBodies()

    @given(st.binary(min_size=1, max_size=60), st.lists(st.integers(1, 20)))
    def test_body_is_complete_only_with_its_last_byte(self, body, cuts):
        self.incoming.begin("key", call(len(body)), 5.0)
        start = 0
        for cut in cuts:
            if start + cut >= len(body):
                break
            self.assertIsNone(self.incoming.add("key", body[start : start + cut], 5.0))
            start += cut
        received, complete = self.incoming.add("key", body[start:], 5.25)
        self.assertEqual(complete, body)
        self.assertEqual(received.time_left_ms, 750)
        self.assertEqual(len(self.incoming), 0)

    def test_piece_of_an_unknown_call_is_ignored(self):
        self.assertIsNone(self.incoming.add("other", b"x", 0.0))

    def test_too_long_body_and_piece_of_another_type_are_protocol_errors(self):
        self.incoming.begin("key", call(4), 0.0)
        with self.assertRaises(ValueError):
            self.incoming.add("key", b"12345", 0.0)
        self.incoming.begin("key", call(4), 0.0)
        with self.assertRaises(TypeError):
            self.incoming.add("key", "1234", 0.0)

    def test_overdue_and_dropped_calls(self):
        self.incoming.begin("a", call(4, time_left_ms=100), 0.0)
        self.incoming.begin("b", call(4, time_left_ms=900), 0.0)
        self.assertEqual(self.incoming.overdue(0.5), ["a"])
        self.assertEqual(self.incoming.drop("a").body_bytes, 4)
        self.assertIsNone(self.incoming.drop("a"))
        self.assertEqual(self.incoming.keys(), ["b"])

    def test_only_short_bodies_travel_with_their_call(self):
        self.assertEqual(inline_body(b"x" * SMALL_BODY_BYTES), b"x" * SMALL_BODY_BYTES)
        self.assertEqual(inline_body(b"x" * (SMALL_BODY_BYTES + 1)), b"")
