"""Tests of connections with length-prefixed frames."""

import struct
import tracemalloc
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.transport.frame_link import FRAME_BYTES_MAX, ITEMS_MAX, FrameLink


class FakeTransport:
    def __init__(self):
        self.data = b""
        self.is_aborted = False

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


def connect():
    frames, bad = [], []
    link = FrameLink(lambda _, frame: frames.append(frame), lambda _: None, bad.append)
    transport = FakeTransport()
    link.connection_made(transport)
    return link, transport, frames, bad


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
            receiver.data_received(data[:cut])
            data = data[cut:]
        self.assertEqual(frames, sent)
        self.assertEqual(bad, [])

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
        sender, wire, _, _ = connect()
        sender.send([b"x" * 70_000, item])
        link, _, frames, bad = connect()
        link.data_received(wire.data)
        self.assertEqual((frames, bad), ([[b"x" * 70_000, item]], []))
