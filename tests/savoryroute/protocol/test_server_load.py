"""Tests of decoding the load header of upstreams."""

import unittest

from savoryroute.protocol.server_load import ServerLoad, read_server_load


class ReadServerLoadTest(unittest.TestCase):
    """Guards against figures that are taken for one another by their position."""

    def test_figures_are_read_by_position(self):
        for value, expected in (
            (b"3,0,25", ServerLoad(3, 0, 25, None)),
            (b"3,0,25,100", ServerLoad(3, 0, 25, 1.0)),
            (b"24,9,25,250", ServerLoad(24, 9, 25, 2.5)),
            (b" 3 , 0,\t25 ,50 ", ServerLoad(3, 0, 25, 0.5)),
            (b"3,0,25,100,7", ServerLoad(3, 0, 25, 1.0)),
            (b"3,0", ServerLoad(3, 0, None, None)),
        ):
            load = read_server_load(value)
            self.assertEqual(load, expected)
            self.assertEqual(load.unreadable, ())

    def test_unreadable_figures_leave_the_others(self):
        for value, expected, unreadable in (
            (b"", ServerLoad(None, None, None, None), ("n_running",)),
            (b"a,0,25,100", ServerLoad(None, 0, 25, 1.0), ("n_running",)),
            (b"3,-1,25", ServerLoad(3, None, 25, None), ("n_waiting",)),
            (b"3,0,0", ServerLoad(3, 0, None, None), ("n_slots",)),
            (b"3,0,25,", ServerLoad(3, 0, 25, None), ("work_time",)),
            (b"3,0,25,0", ServerLoad(3, 0, 25, None), ("work_time",)),
            (b"3,0,25,1e3", ServerLoad(3, 0, 25, None), ("work_time",)),
            (b"3,0,65536", ServerLoad(3, 0, None, None), ("n_slots",)),
            (b"3,0,999999999", ServerLoad(3, 0, None, None), ("n_slots",)),
            (b"3,0," + b"9" * 40, ServerLoad(3, 0, None, None), ("n_slots",)),
            ("3,0,\u0662\u0665".encode(), ServerLoad(3, 0, None, None), ("n_slots",)),
        ):
            load = read_server_load(value)
            self.assertEqual(load, expected)
            self.assertEqual(load.unreadable, unreadable)
