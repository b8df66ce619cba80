"""Tests of the mechanisms that an operator can switch off."""

import functools
import random
import unittest

import savoryroute.coordination.mesh_node  # noqa: F401  registers all mechanisms
from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.switches import (
    MECHANISMS,
    Switches,
    switchable,
    unknown_mechanisms,
)
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.errors import RegistryError


def without(*names):
    return Switches(frozenset(names))


class SwitchesTest(unittest.TestCase):
    def test_promises_have_no_switch(self):
        """Guards what callers are promised, whatever is switched off."""
        for word in ("attempt", "budget", "quota", "drain", "revocation", "quarantine"):
            self.assertFalse([name for name in MECHANISMS if word in name], word)

    def test_unknown_names_are_found_and_refused(self):
        self.assertEqual(unknown_mechanisms(["throttle", "x"]), ["x"])
        with self.assertRaises(RegistryError):
            Switches().has("x")
        with self.assertRaises(RegistryError):
            switchable("throttle", "twice")(None)

    def test_throttle_admits_all_and_stands_for_all(self):
        throttle = ActionThrottle(lambda: 0.0, random.Random(1), without("throttle"))
        throttle.note_end("r", [0.0], 2)
        self.assertEqual({throttle.admit("r", 2) for _ in range(50)}, {1.0})

    def test_order_of_waiting_calls(self):
        """Each row: what is off, and the order in which the waiting calls start."""
        rows = [
            ((), ["high", "low later", "low"]),
            (("progress_order",), ["high", "low", "low later"]),
            (("rank_order",), ["low", "low later", "high"]),
        ]
        for off, expected in rows:
            self.assertEqual(self.started_without(*off), expected, off)

    def started_without(self, *off):
        """Return the order in which three waiting calls start."""
        queue = CallQueue(1, lambda: 0.0, without(*off))
        started = []
        calls = {"low": (2, 0), "low later": (2, 1), "high": (0, 0)}
        queue.offer(QueuedCall(0, "r", 9.0, 9.0, int, int))
        for name, (rank, n_done) in calls.items():
            start = functools.partial(started.append, name)
            call = QueuedCall(rank, "r", 9.0, 9.0, start, int, has_progress=n_done > 0)
            queue.offer(call)
        for _ in calls:
            queue.finish("r", None)
        return started
