"""Tests of the encoding of messages between daemons."""

import unittest

import cbor2

from savoryroute.errors import FrameError
from savoryroute.protocol import frames


class FramesTest(unittest.TestCase):
    def test_round_trip(self):
        frame = frames.DocumentRequest("production", 7, False)
        self.assertEqual(frames.decode(frames.encode(frame)), frame)

    def test_malformed_frames_are_refused(self):
        cases = {
            "empty": b"",
            "not an array": cbor2.dumps({"a": 1}),
            "unknown code": cbor2.dumps([99]),
            "code of a wrong type": cbor2.dumps([[1]]),
            "missing field": cbor2.dumps([4]),
            "wrong type": cbor2.dumps([4, "x"]),
            "bool for an integer": cbor2.dumps([4, True]),
            "deep nesting": b"\x81" * 10_000 + b"\x01",
            "array longer than the input": b"\x9b\x00\x00\x00\xff\x00\x00\x00\x00",
            "indefinite length": b"\x9f\x04\x01\xff",
            "too long": b"\x00" * (frames.FRAME_BYTES_MAX + 1),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(FrameError):
                frames.decode(data)
