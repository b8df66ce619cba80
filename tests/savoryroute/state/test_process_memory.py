"""Tests of the reading of this process's memory."""

import unittest
from unittest import mock

from savoryroute.state import process_memory

LONG_BYTES = 64 << 20


class ResidentBytesTest(unittest.TestCase):
    def test_grows_with_what_is_held(self):
        before = process_memory.resident_bytes()
        held = bytearray(b"x" * LONG_BYTES)
        self.assertGreater(process_memory.resident_bytes(), before + len(held) // 2)

    def test_unreadable_file_is_zero(self):
        with mock.patch.object(process_memory, "_STATM") as statm:
            statm.read_text.side_effect = OSError
            self.assertEqual(process_memory.resident_bytes(), 0)
