"""Tests of connections with length-prefixed frames."""

import asyncio
import struct
import time
import tracemalloc
import unittest
from unittest import mock

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.state.body_budget import BodyBudget
from savoryroute.transport import frame_link
from savoryroute.transport.frame_link import (
    FRAME_BYTES_MAX,
    ITEMS_MAX,
    UNCOUNTED_BYTES,
    FrameLink,
)
from savoryroute.transport.input_pacer import SLICE_S


class FakeTransport:
    def __init__(self):
        self.data = b""
        self.is_aborted = False
        self.is_reading = True

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def get_write_buffer_size(self):
        return len(self.data)

    def get_extra_info(self, name):
        return None

    def set_write_buffer_limits(self, high):
        self.high = high

    def is_closing(self):
        return self.is_aborted

    def write(self, data):
        self.data += data

    def abort(self):
        self.is_aborted = True


def pack(encoded):
    return struct.pack(">I", len(encoded)) + encoded


def connect(memory=None):
    frames, bad = [], []
    link = FrameLink(
        lambda _, frame: frames.append(frame), lambda _: None, bad.append, memory
    )
    transport = FakeTransport()
    link.connection_made(transport)
    return link, transport, frames, bad


async def receive(link, data):
    link.data_received(data)
    while link._has_turn:
        await asyncio.sleep(0)


class FrameLinkTest(unittest.TestCase):
    @given(
        st.lists(st.lists(st.integers() | st.binary(max_size=40), min_size=1)),
        st.lists(st.integers(1, 50), max_size=20),
    )
    def test_frames_are_reassembled_from_any_pieces(self, sent, cuts):
        sender, wire, _, _ = connect()
        for frame in sent:
            sender.send(frame)
        receiver, _, frames, bad = connect()
        data = wire.data
        for cut in [*cuts, len(data)]:
            asyncio.run(receive(receiver, data[:cut]))
            data = data[cut:]
        self.assertEqual(frames, sent)
        self.assertEqual(bad, [])

    def test_frame_that_the_peer_would_refuse_is_not_sent(self):
        link, wire, _, bad = connect()
        link.send([8, b"a" * FRAME_BYTES_MAX])
        self.assertEqual((wire.data, len(bad)), (b"", 1))

    def test_invalid_frame_aborts_the_connection(self):
        short = cbor2.dumps([b"x" * ITEMS_MAX])[1:]
        for data in (
            struct.pack(">I", FRAME_BYTES_MAX + 1),
            pack(b"\x9a" + struct.pack(">I", 4_000_000) + b"\x80" * 4_000_000),
            pack(b"\x82\xc2" + short + b"\x00"),
            pack(b"\x9f" + short + b"\xff"),
            struct.pack(">I", 3) + b"\xff\xff\xff",
            struct.pack(">I", 1) + cbor2.dumps(7),
            struct.pack(">I", 1) + cbor2.dumps([]),
        ):
            link, transport, frames, bad = connect()
            link.data_received(data)
            self.assertTrue(transport.is_aborted)
            self.assertEqual((frames, len(bad)), ([], 1))
            self.assertFalse(link.is_open)
            link.send([1])
            self.assertEqual(transport.data, b"")

    def test_frame_of_many_items_takes_up_little_memory(self):
        """4 MB of empty arrays became 285 MB and took 1.2 s."""
        data = pack(b"\x9a" + struct.pack(">I", 4_000_000) + b"\x80" * 4_000_000)
        link, _, _, bad = connect()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        link.data_received(data)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * len(data))
        self.assertIn("items", bad[0])

    @given(
        st.recursive(
            st.integers(-(2**63), 2**63)
            | st.floats(allow_nan=False)
            | st.text(max_size=40)
            | st.binary(max_size=400),
            lambda items: st.lists(items, max_size=40),
        )
    )
    def test_long_frames_of_few_items_are_read(self, item):
        link, _, frames, bad = connect()
        link.data_received(pack(cbor2.dumps([b"x" * 70_000, item])))
        self.assertEqual((frames, bad), ([[b"x" * 70_000, item]], []))


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """One read of small frames held the loop until all of them were handled."""

    def setUp(self):
        self.numbers, self.events = [], []
        lost = self.events.append
        self.link = FrameLink(self.take, lambda _: lost("lost"), self.events.append)
        self.transport = FakeTransport()
        self.link.connection_made(self.transport)
        self.data = b"".join(pack(cbor2.dumps([number])) for number in range(50))

    def take(self, link, frame):
        time.sleep(SLICE_S / 4)
        self.numbers.append(frame[0])

    async def wait_for_frames(self):
        for _ in range(200):
            await asyncio.sleep(0)

    async def test_others_are_served_between_the_frames_of_one_read(self):
        self.link.data_received(self.data[:-1])
        self.assertLess(len(self.numbers), 10)
        self.assertFalse(self.transport.is_reading)
        await self.wait_for_frames()
        self.assertTrue(self.transport.is_reading)
        self.link.data_received(self.data[-1:])
        self.assertEqual((self.numbers, self.events), (list(range(50)), []))

    async def test_frames_received_before_the_loss_are_handled_first(self):
        self.link.data_received(self.data)
        self.transport.is_aborted = True
        self.link.connection_lost(None)
        self.assertEqual(self.events, [])
        await self.wait_for_frames()
        self.assertEqual((self.numbers, self.events), (list(range(50)), ["lost"]))

    async def test_bad_frame_between_turns_ends_the_link_once(self):
        self.link.data_received(self.data + pack(b"\xff") + self.data)
        await self.wait_for_frames()
        self.assertTrue(self.transport.is_aborted)
        self.link.connection_lost(None)
        await self.wait_for_frames()
        self.assertEqual((len(self.numbers), self.events[1:]), (50, ["lost"]))


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """Frames that peers send in part, or do not read, took up any memory."""

    def setUp(self):
        self.memory = BodyBudget(10**6)
        self.links = [connect(self.memory) for _ in range(60)]

    def assert_bounded(self):
        held = [
            len(link._buffer) + len(transport.data)
            for link, transport, _, _ in self.links
            if link.is_open
        ]
        counted = sum(item for item in held if item > UNCOUNTED_BYTES)
        self.assertEqual(self.memory.held_bytes, counted)
        self.assertLess(sum(held), 2 * 10**6 + len(held) * UNCOUNTED_BYTES)

    def lose_all(self):
        for link, _, _, _ in self.links:
            link.connection_lost(None)
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_partial_frames_on_many_links(self):
        head = struct.pack(">I", FRAME_BYTES_MAX)
        for link, transport, _, bad in self.links:
            for piece in (head, *[b"x" * 200_000] * 6):
                if link.is_open:
                    link.data_received(piece)
            if transport.is_aborted:
                self.assertIn("no memory", bad[0])
                link.connection_lost(None)
        self.assert_bounded()
        self.assertTrue(self.links[0][0].is_open)
        # Short frames are read all the same.
        last, _, frames, _ = self.links[-1] = connect(self.memory)
        last.data_received(pack(cbor2.dumps([b"x" * 20_000])))
        self.assertEqual(len(frames), 1)
        self.lose_all()

    async def test_peers_that_do_not_read(self):
        for _ in range(10):
            for link, transport, _, _ in self.links:
                link.send([b"x" * 30_000])
                if transport.is_aborted and link._counted_bytes:
                    link.connection_lost(None)
        self.assert_bounded()
        self.lose_all()

    async def test_memory_returns_when_frames_are_complete_or_written(self):
        link, transport, frames, bad = self.links[0]
        data = pack(cbor2.dumps([b"x" * 900_000]))
        for start in range(0, len(data), 50_000):
            link.data_received(data[start : start + 50_000])
        self.assertEqual((len(frames), bad, self.memory.held_bytes), (1, [], 0))
        link.send(frames[0])
        self.assertEqual(self.memory.held_bytes, len(data))
        transport.data = b""
        link.resume_writing()
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_link_with_a_frame_that_stays_incomplete_is_cut_off(self):
        """A peer that stopped within a frame held memory for as long as it lived."""
        slow, moving = self.links[:2]
        data = pack(cbor2.dumps([b"x" * 100_000]))
        with mock.patch.object(frame_link, "FRAME_TIMEOUT_S", 0.2):
            slow[0].data_received(data[:-1])
            for _ in range(8):
                moving[0].data_received(data[:-1])
                await asyncio.sleep(0.05)
                moving[0].data_received(data[-1:])
        self.assertEqual((len(moving[2]), moving[3]), (8, []))
        self.assertTrue(slow[1].is_aborted)
        self.assertIn("incomplete", slow[3][0])
        slow[0].connection_lost(None)
        self.assertEqual(self.memory.held_bytes, 0)
