"""Tests of the synchronization of routes and instances between daemons."""

import itertools
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.configuration_proof import ConfigurationProof
from savoryroute.coordination.peer_polls import LINKS_MIN, PeerPolls
from savoryroute.coordination.view_synchronizer import ViewSynchronizer
from savoryroute.protocol.mesh_frames import ViewUpdate
from savoryroute.state.event_log import EventLog
from savoryroute.state.fleet_view import Instance

MODULE_CLOCK = "savoryroute.coordination.view_synchronizer.time.monotonic"


def instance(number, state=0):
    is_ready = state == 0
    return Instance(f"i{number}", "planner", f"10.0.0.{number}", "a", 4, is_ready)


class Fleet:
    """Synchronizers that exchange frames, delivered in an order that a test chooses."""

    def __init__(self, n_synchronizers):
        log = EventLog(1, {}, write=lambda descriptor, data: len(data))
        self.sent = []
        self.synchronizers = [
            ViewSynchronizer(
                None,
                log,
                random.Random(number),
                lambda: None,
                lambda update, origin, number=number: self.forward(
                    number, update, origin
                ),
                ConfigurationProof(log, random.Random(number), 4.75),
            )
            for number in range(n_synchronizers)
        ]

    def forward(self, sender, update, origin):
        for number in range(len(self.synchronizers)):
            if number != sender and str(number) != origin:
                self.sent.append((sender, number, update.to_frame()))

    def deliver(self, index):
        """Deliver one of the frames in flight; return whether it was merged.

        If it was not, the receiver requests the missing changes.
        """
        sender, receiver, frame = self.sent.pop(index)
        update = ViewUpdate(*frame[1:])
        is_merged = self.synchronizers[receiver].merge_update(str(sender), update)
        if not is_merged:
            request = self.synchronizers[receiver].make_request()
            rest = self.synchronizers[sender].update_for(request)
            if rest is not None:
                self.sent.append((sender, receiver, rest.to_frame()))
        return is_merged


class ViewUpdateTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        patch = mock.patch(MODULE_CLOCK, lambda: self.now_s)
        patch.start()
        self.addCleanup(patch.stop)
        self.fleet = Fleet(2)
        self.first, self.second = self.fleet.synchronizers
        self.first.merge_list(5, {"i1": instance(1), "i2": instance(2)})

    def ids(self, synchronizer):
        return sorted(item.id for item in synchronizer.view.of_service("planner"))

    def test_change_is_forwarded_at_once(self):
        self.assertTrue(self.fleet.deliver(0))
        self.first.merge_changes(8, {"i3": instance(3), "i1": None})
        ((_, _, frame),) = self.fleet.sent
        self.assertEqual(len(ViewUpdate(*frame[1:]).instances), 1)
        self.assertTrue(self.fleet.deliver(0))
        self.assertEqual(self.ids(self.second), ["i2", "i3"])
        self.assertEqual(self.second.view.revision, 8)

    def test_missing_changes_are_requested(self):
        self.first.merge_changes(8, {"i3": instance(3)})
        self.assertFalse(self.fleet.deliver(1))
        self.assertEqual(self.ids(self.second), [])
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3"])

    def test_new_revision_without_changes_leaves_no_gap(self):
        self.fleet.deliver(0)
        self.first.merge_changes(20, {})
        self.assertEqual(self.fleet.sent, [])
        self.first.merge_changes(30, {"i3": instance(3)})
        self.assertTrue(self.fleet.deliver(0))
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3"])

    def test_intermediate_state_at_a_peer_is_reverted(self):
        self.fleet.deliver(0)
        self.second.merge_changes(6, {"i1": instance(1, 1)})
        self.assertEqual(self.ids(self.second), ["i2"])
        # The first gets the change and its reversal together: nothing changed for it.
        self.first.merge_changes(7, {"i1": instance(1)})
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2"])

    def test_instance_missing_from_a_full_list_is_removed_at_peers(self):
        self.fleet.deliver(0)
        self.second.merge_changes(6, {"i4": instance(4)})
        self.fleet.sent.clear()
        self.first.merge_list(9, {"i1": instance(1), "i2": instance(2)})
        self.first.merge_changes(11, {"i5": instance(5)})
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i5"])

    def test_update_of_the_same_revision_makes_the_list_current(self):
        self.now_s += 10.0
        self.first.merge_changes(6, {"i3": instance(3)})
        self.now_s += 0.25
        update = self.first.update_for(self.second.make_request())
        self.second.merge_update("0", update)
        self.assertAlmostEqual(self.second.stale_s, 0.25, places=2)
        self.now_s += 1.0
        self.assertAlmostEqual(self.second.stale_s, 1.25, places=2)

    def test_older_update_does_not_make_the_list_current(self):
        self.fleet.deliver(0)
        self.first.merge_changes(6, {"i3": instance(3)})
        self.second.merge_changes(9, {"i3": instance(3), "i4": instance(4)})
        stale_s = self.second.stale_s
        self.fleet.deliver(0)
        self.assertEqual(self.second.stale_s, stale_s)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3", "i4"])

    def test_removed_instances_are_retained_at_peers_too(self):
        self.fleet.deliver(0)
        self.first.set_platform_reachable(False)
        self.now_s += 5.0
        self.first.set_platform_reachable(True)
        self.now_s += 0.5
        self.first.merge_changes(8, {"i1": None})
        self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2"])
        self.now_s += 1.6
        self.second.expire()
        self.assertEqual(self.ids(self.second), ["i2"])


class ConvergenceTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.randoms(use_true_random=False))
    def test_all_synchronizers_converge_on_the_platforms_list(self, rng):
        fleet = Fleet(4)
        listed, history = {}, []
        for revision in itertools.count(1):
            if revision > 40:
                break
            number = rng.randrange(6)
            change = rng.choice([instance(number), instance(number, 1), None])
            if change is None:
                listed.pop(f"i{number}", None)
            else:
                listed[f"i{number}"] = change
            history.append((f"i{number}", change))
            for _ in range(rng.randrange(3)):
                synchronizer = rng.choice(fleet.synchronizers)
                if rng.random() < 0.1:
                    synchronizer.merge_list(revision, dict(listed))
                since = synchronizer.view.revision
                synchronizer.merge_changes(revision, dict(history[since:revision]))
            before = [
                synchronizer.view.revision for synchronizer in fleet.synchronizers
            ]
            for _ in range(rng.randrange(6)):
                if fleet.sent:
                    fleet.deliver(rng.randrange(len(fleet.sent)))
            after = [synchronizer.view.revision for synchronizer in fleet.synchronizers]
            self.assertTrue(all(a >= b for a, b in zip(after, before, strict=True)))
        since = fleet.synchronizers[0].view.revision
        fleet.synchronizers[0].merge_changes(revision, dict(history[since:]))
        fleet.synchronizers[0].merge_changes(revision + 1, {"i9": instance(9)})
        while fleet.sent:
            fleet.deliver(rng.randrange(len(fleet.sent)))
        expected = listed | {"i9": instance(9)}
        for synchronizer in fleet.synchronizers:
            self.assertEqual(synchronizer.view.instances, expected)


class PolledPeersTest(unittest.TestCase):
    def select(self, n_open):
        polls = PeerPolls(random.Random(1), lambda: False)
        open_ips = [f"open{number}" for number in range(n_open)]
        return polls.select(open_ips, ["other1", "other2"])

    def test_a_host_without_a_link_is_polled_too_while_links_are_few(self):
        for n_open in range(LINKS_MIN):
            polled = self.select(n_open)
            self.assertEqual(sum(ip.startswith("other") for ip in polled), 1)
            self.assertEqual(sum(ip.startswith("open") for ip in polled), n_open > 0)

    def test_one_linked_host_is_polled_while_links_suffice(self):
        polled = self.select(LINKS_MIN)
        self.assertEqual([ip.startswith("open") for ip in polled], [True])
