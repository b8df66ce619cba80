"""Tests of connections with length-prefixed frames."""

import struct
import unittest

import cbor2
from hypothesis import given
from hypothesis import strategies as st

from savoryroute.transport.frame_link import FRAME_BYTES_MAX, FrameLink


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

    def test_frame_that_the_peer_would_refuse_is_not_sent(self):
        link, wire, _, bad = connect()
        link.send([8, b"a" * FRAME_BYTES_MAX])
        self.assertEqual((wire.data, len(bad)), (b"", 1))

    def test_invalid_frame_aborts_the_connection(self):
        for data in (
            struct.pack(">I", FRAME_BYTES_MAX + 1),
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
