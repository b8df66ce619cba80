import itertools
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.view_synchronizer import ViewSynchronizer
from savoryroute.protocol.mesh_frames import ViewUpdate
from savoryroute.state.event_log import EventLog
from savoryroute.state.fleet_view import Instance

MODULE_CLOCK = "savoryroute.coordination.view_synchronizer.time.monotonic"


def instance(number, state=0):
    is_ready = state == 0
    return Instance(f"i{number}", "planner", f"ip{number}", "a", 4, is_ready)


class Fleet:
    """Keepers that tell one another by frames, in an order that a test chooses."""

    def __init__(self, n_synchronizers):
        log = EventLog(1, {}, write=lambda descriptor, data: len(data))
        self.sent = []
        self.synchronizers = [
            ViewSynchronizer(
                None,
                log,
                random.Random(number),
                lambda: None,
                lambda news, origin, number=number: self.spread(number, news, origin),
            )
            for number in range(n_synchronizers)
        ]

    def spread(self, sender, news, origin):
        for number in range(len(self.synchronizers)):
            if number != sender and str(number) != origin:
                self.sent.append((sender, number, news.to_frame()))

    def deliver(self, place):
        """Deliver one frame of those on the way; return whether it was taken."""
        sender, receiver, frame = self.sent.pop(place)
        news = ViewUpdate(*frame[1:])
        is_taken = self.synchronizers[receiver].merge_update(str(sender), news)
        if not is_taken:
            question = self.synchronizers[receiver].make_request()
            rest = self.synchronizers[sender].update_for(question)
            if rest is not None:
                self.sent.append((sender, receiver, rest.to_frame()))
        return is_taken


class NewsTest(unittest.TestCase):
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

    def test_change_is_told_as_it_comes(self):
        self.assertTrue(self.fleet.deliver(0))
        self.first.merge_changes(8, {"i3": instance(3), "i1": None})
        ((_, _, frame),) = self.fleet.sent
        self.assertEqual(len(ViewUpdate(*frame[1:]).instances), 1)
        self.assertTrue(self.fleet.deliver(0))
        self.assertEqual(self.ids(self.second), ["i2", "i3"])
        self.assertEqual(self.second.view.revision, 8)

    def test_gap_is_asked_for(self):
        self.first.merge_changes(8, {"i3": instance(3)})
        self.assertFalse(self.fleet.deliver(1))
        self.assertEqual(self.ids(self.second), [])
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3"])

    def test_revision_that_moves_without_a_change_leaves_no_gap(self):
        self.fleet.deliver(0)
        self.first.merge_changes(20, {})
        self.assertEqual(self.fleet.sent, [])
        self.first.merge_changes(30, {"i3": instance(3)})
        self.assertTrue(self.fleet.deliver(0))
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3"])

    def test_state_that_came_and_went_unseen_is_undone_at_peers(self):
        self.fleet.deliver(0)
        self.second.merge_changes(6, {"i1": instance(1, 1)})
        self.assertEqual(self.ids(self.second), ["i2"])
        # The first hears of both changes at once, and finds all as it was.
        self.first.merge_changes(7, {"i1": instance(1)})
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2"])

    def test_instance_that_came_and_went_before_a_whole_list(self):
        self.fleet.deliver(0)
        self.second.merge_changes(6, {"i4": instance(4)})
        self.fleet.sent.clear()
        self.first.merge_list(9, {"i1": instance(1), "i2": instance(2)})
        self.first.merge_changes(11, {"i5": instance(5)})
        while self.fleet.sent:
            self.fleet.deliver(0)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i5"])

    def test_peer_that_confirms_the_list_makes_it_current(self):
        self.now_s += 10.0
        self.first.merge_changes(6, {"i3": instance(3)})
        self.now_s += 0.25
        news = self.first.update_for(self.second.make_request())
        self.second.merge_update("0", news)
        self.assertAlmostEqual(self.second.stale_s, 0.25, places=2)
        self.now_s += 1.0
        self.assertAlmostEqual(self.second.stale_s, 1.25, places=2)

    def test_older_news_confirm_nothing(self):
        self.fleet.deliver(0)
        self.first.merge_changes(6, {"i3": instance(3)})
        self.second.merge_changes(9, {"i3": instance(3), "i4": instance(4)})
        stale_s = self.second.stale_s
        self.fleet.deliver(0)
        self.assertEqual(self.second.stale_s, stale_s)
        self.assertEqual(self.ids(self.second), ["i1", "i2", "i3", "i4"])

    def test_entries_that_may_come_back_stay_at_peers_too(self):
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


class SpreadingTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.randoms(use_true_random=False))
    def test_all_end_with_the_platforms_list(self, rng):
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
