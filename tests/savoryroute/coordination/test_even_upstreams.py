"""Decisions for upstreams that state no work time, compared with those recorded before.

Guards against a change of placement, waits or refusals in deployments whose upstreams
do not state how long work takes.
"""

import hashlib
import unittest
from unittest import mock

import attrs

from savoryroute.coordination.call_queue import CallQueue
from savoryroute.coordination.instance_selector import InstanceSelector
from tests.fleet_replay import FleetReplay
from tests.load_patterns import PATTERNS, uneven_patterns

# Recorded at commit da2663e, before upstreams could state a work time.
RECORDED = {
    "two instances six times slower": "946db142af2ce86a868bdafc5d6468fa",
    "half shed half of their calls": "e51624924fa6b7cc0f4ea17ce6dd32b5",
    "cold instances join": "49910b4a5f60bad5f349f316b0364c83",
    "wave, deep 5 x 37": "23c39d1731884583b6be4f740ad0ddc6",
}


def decisions(name):
    """Return a digest of all placements and offers to queues, with the waits."""
    digest = hashlib.sha256()
    choose, offer, expected_wait_s = (
        InstanceSelector.choose,
        CallQueue.offer,
        CallQueue.expected_wait_s,
    )

    def note_choose(selector, *args):
        chosen = choose(selector, *args)
        digest.update(repr(chosen and chosen.id).encode())
        return chosen

    def note_offer(queue, call):
        refuse = call.refuse
        call.refuse = lambda reason: (digest.update(reason.encode()), refuse(reason))
        reason = offer(queue, call)
        digest.update(repr((reason, queue.n_running, queue.n_waiting)).encode())
        return reason

    def note_wait_s(queue, n_ahead):
        wait_s = expected_wait_s(queue, n_ahead)
        digest.update(repr(wait_s).encode())
        return wait_s

    pattern = PATTERNS.get(name) or uneven_patterns(13)[name]
    spec = attrs.evolve(pattern.spec, stated=None)
    load = attrs.evolve(pattern.load, seconds=4.0)
    with (
        mock.patch.object(InstanceSelector, "choose", note_choose),
        mock.patch.object(CallQueue, "offer", note_offer),
        mock.patch.object(CallQueue, "expected_wait_s", note_wait_s),
    ):
        FleetReplay(spec, load, 7).play()
    return digest.hexdigest()[:32]


class EvenUpstreamsTest(unittest.TestCase):
    def test_decisions_are_those_recorded_before(self):
        for name, recorded in RECORDED.items():
            with self.subTest(name):
                self.assertEqual(decisions(name), recorded)

    def test_a_constant_work_time_of_one_changes_nothing(self):
        pattern = uneven_patterns(13)["wave, deep 5 x 37"]
        load = attrs.evolve(pattern.load, seconds=2.0)
        plain = attrs.evolve(pattern.spec, stated=None)
        stated = attrs.evolve(pattern.spec, stated=lambda *args: 1.0)
        outcomes = [FleetReplay(spec, load, 3).play() for spec in (plain, stated)]
        self.assertEqual(*outcomes)
