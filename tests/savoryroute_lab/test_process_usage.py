"""Tests of the resource usage read from ``/proc``."""

import os
import socket
import unittest

from savoryroute_lab.processes import read_usage


class ReadUsageTest(unittest.TestCase):
    def test_own_process(self):
        before = read_usage(os.getpid())
        with socket.socket():
            after = read_usage(os.getpid())
        self.assertEqual(after.n_sockets, before.n_sockets + 1)
        self.assertGreaterEqual(after.cpu_s, before.cpu_s)
        self.assertGreater(after.rss_bytes, 1_000_000)
