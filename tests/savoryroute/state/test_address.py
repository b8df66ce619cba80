"""Tests of addresses."""

import unittest

from savoryroute.state.address import Address


class AddressTest(unittest.TestCase):
    def test_text_round_trips(self):
        for text in ("127.0.0.1:7101", "[::1]:65535", "0.0.0.0:0"):
            self.assertEqual(str(Address.parse(text)), text)
        self.assertEqual(str(Address("::1", 1)), "[::1]:1")

    def test_malformed(self):
        for text in (
            "localhost:1",
            "127.0.0.1",
            "127.0.0.1:",
            "127.0.0.1:65536",
            "127.0.0.1:-1",
            "127.0.0.1:١",
            "::1:80",
            "[127.0.0.1]:80",
            "[::1]",
            "127.1:80",
            "",
        ):
            self.assertIsNone(Address.parse(text), text)
