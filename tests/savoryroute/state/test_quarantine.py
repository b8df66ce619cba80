"""Tests of the quarantine: bound on crashes, cleared neighbours, gossip from peers."""

import itertools
import random
import unittest

from savoryroute.state import quarantine as quarantines
from savoryroute.state.quarantine import Quarantine, fingerprint
from savoryroute.verdict import Reason, Verdict

POISON, NEIGHBOUR, OTHER = (
    fingerprint("GET", "planner", target, b"") for target in ("/p", "/n", "/o")
)
MALFORMED_ROWS = [
    None,
    [],
    [POISON, 1, 0, False],
    [POISON[:3], 1, 0, False, False],
    [POISON, -1, 0, False, False],
    [POISON, True, 0, False, False],
    [POISON, 1 << 70, 0, False, False],
    [POISON, 1, -5, False, False],
    [POISON, 1, 10**30, False, False],
    [POISON, 1, 0, 1, False],
]


class TestQuarantine(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.local = self.make()

    def make(self):
        return Quarantine(lambda: self.now_s, crashes_max=2, duration_s=60.0)

    def test_parts_of_a_fingerprint_are_delimited(self):
        self.assertNotEqual(
            fingerprint("GET", "ab", "c", b""), fingerprint("GET", "a", "bc", b"")
        )

    def test_second_crash_quarantines_until_the_duration_ends(self):
        self.local.note_crash([POISON, NEIGHBOUR])
        self.assertIsNone(self.local.check(POISON))
        self.now_s += 10.0
        self.local.note_crash([POISON])
        refusal = self.local.check(POISON)
        self.assertEqual(refusal.reason, Reason.QUARANTINED)
        self.assertEqual(refusal.verdict, Verdict.NOT_RUN)
        self.assertAlmostEqual(refusal.retry_after_s, 60.0)
        self.assertIsNone(self.local.check(NEIGHBOUR))
        self.assertEqual(
            [entry.n_crashes for entry in self.local.entries()],
            [2, 1],
        )
        self.now_s += 60.0
        self.assertIsNone(self.local.check(POISON))

    def test_one_more_crash_after_a_quarantine_renews_it(self):
        for _ in range(2):
            self.local.note_crash([POISON])
        self.now_s += 61.0
        self.local.note_crash([POISON])
        self.assertIsNotNone(self.local.check(POISON))

    def test_each_renewed_quarantine_is_twice_as_long(self):
        self.local.note_crash([POISON])
        for length_s in (60.0, 120.0, 240.0):
            self.local.note_crash([POISON])
            self.assertAlmostEqual(self.local.check(POISON).retry_after_s, length_s)
            self.now_s += length_s
            self.assertIsNone(self.local.check(POISON))

    def test_longest_quarantine_is_eight_times_the_first(self):
        for _ in range(20):
            self.local.note_crash([POISON])
        self.assertAlmostEqual(self.local.check(POISON).retry_after_s, 480.0)

    def test_hosts_open_one_after_the_other_after_a_quarantine(self):
        remote = self.make()
        hosts = [f"10.0.0.{i}" for i in range(8)]
        for _ in range(2):
            self.local.note_crash([POISON])
        remote.merge(self.local.export())
        waits_s = [self.local.wait_s(POISON, host) for host in hosts]
        self.assertEqual(waits_s, [remote.wait_s(POISON, host) for host in hosts])
        self.assertEqual(len(set(waits_s)), 8)
        self.assertGreaterEqual(min(waits_s), 60.0)
        self.assertLessEqual(max(waits_s), 60.0 + self.local.spread_s(POISON))
        self.now_s += min(waits_s) + 0.001
        n_open = sum(self.local.wait_s(POISON, host) <= 0 for host in hosts)
        self.assertEqual(n_open, 1)
        self.now_s += self.local.spread_s(POISON)
        self.assertTrue(all(self.local.wait_s(POISON, host) <= 0 for host in hosts))

    def test_probation_ends_with_a_success_and_starts_again_with_a_crash(self):
        self.assertFalse(self.local.is_on_probation(POISON))
        for _ in range(2):
            self.local.note_crash([POISON])
        self.local.note_success(POISON)
        self.now_s += 61.0
        self.assertTrue(self.local.is_on_probation(POISON))
        self.assertTrue(self.local.try_start(POISON))
        self.assertFalse(self.local.try_start(POISON))
        self.local.end(POISON)
        self.local.note_success(POISON)
        self.assertFalse(self.local.is_on_probation(POISON))
        self.assertLessEqual(self.local.wait_s(POISON, "10.0.0.1"), 0.0)
        self.local.note_crash([POISON])
        self.assertTrue(self.local.is_on_probation(POISON))
        self.assertGreaterEqual(self.local.wait_s(POISON, "10.0.0.1"), 120.0)

    def test_renewed_quarantine_outlasts_the_memory_of_the_first_crashes(self):
        remote = self.make()
        crashed_s = []
        for _ in range(2500):
            if self.local.check(POISON) is None:
                self.local.note_crash([POISON])
                crashed_s.append(self.now_s)
            self.now_s += 1.0
            remote.merge(self.local.export())
            self.assertEqual(remote.n_crashes(POISON), self.local.n_crashes(POISON))
        gaps_s = [b - a for a, b in itertools.pairwise(crashed_s)]
        self.assertEqual(gaps_s, [1.0, 60.0, 120.0, 240.0, 480.0, 480.0, 480.0, 480.0])
        self.now_s += 60.0 * quarantines.MEMORY_FACTOR
        self.assertEqual(self.local.n_crashes(POISON), 0)

    def test_success_clears_a_neighbour_on_all_daemons(self):
        remote = self.make()
        self.local.note_crash([POISON, NEIGHBOUR])
        remote.merge(self.local.export())
        self.assertTrue(remote.must_run_alone(NEIGHBOUR))
        remote.note_success(NEIGHBOUR)
        self.assertFalse(remote.must_run_alone(NEIGHBOUR))
        self.local.merge(remote.export())
        self.assertFalse(self.local.must_run_alone(NEIGHBOUR))
        self.assertTrue(self.local.must_run_alone(POISON))

    def test_success_clears_neither_quarantine_nor_a_crash_with_one_request(self):
        self.local.note_crash([POISON])
        self.local.note_success(POISON)
        self.assertTrue(self.local.must_run_alone(POISON))
        for _ in range(2):
            self.local.note_crash([OTHER, NEIGHBOUR])
        self.local.note_success(OTHER)
        self.assertIsNotNone(self.local.check(OTHER))

    def test_suspects_never_run_together(self):
        self.assertTrue(self.local.try_start(POISON))
        self.assertTrue(self.local.try_start(POISON))
        self.local.note_crash([POISON, NEIGHBOUR])
        self.assertFalse(self.local.try_start(NEIGHBOUR))
        self.assertTrue(self.local.try_start(OTHER))
        self.local.end(POISON)
        self.assertFalse(self.local.try_start(NEIGHBOUR))
        self.local.end(POISON)
        self.assertTrue(self.local.try_start(NEIGHBOUR))

    def test_requests_lost_at_other_upstreams_never_run_together(self):
        self.assertTrue(self.local.try_start(POISON, was_lost=True))
        self.assertFalse(self.local.try_start(NEIGHBOUR, was_lost=True))
        self.assertTrue(self.local.try_start(OTHER))
        self.local.end(POISON)
        self.assertTrue(self.local.try_start(NEIGHBOUR, was_lost=True))

    def test_gossip_counts_each_crash_once(self):
        remote = self.make()
        remote.note_crash([POISON, NEIGHBOUR])
        self.local.note_crash([POISON, OTHER])
        for _ in range(3):
            self.local.merge(remote.export())
        self.assertEqual(self.local.entries()[0].n_crashes, 2)
        self.assertIsNotNone(self.local.check(POISON))
        self.assertIsNone(self.local.check(NEIGHBOUR))

    def test_malformed_rows_are_ignored(self):
        self.local.merge(MALFORMED_ROWS)
        self.assertEqual(len(self.local), 0)

    def test_new_events_are_exported_first_and_few_old_ones(self):
        requests = [fingerprint("GET", "s", str(i), b"") for i in range(170)]
        self.local.note_crash(requests)
        exported = set()
        for _ in range(6):
            exported |= {row[0] for row in self.local.export()}
        self.assertEqual(exported, set(requests))
        for _ in range(6 * quarantines.NEW_EXPORTS_MAX):
            last = self.local.export()
        self.assertEqual(len(last), quarantines.OLD_EVENTS_MAX)

    def test_memory_is_bounded(self):
        for i in range(quarantines.EVENTS_MAX // 100 + 2):
            self.local.note_crash(i.to_bytes(8) + j.to_bytes(8) for j in range(100))
        self.assertEqual(len(self.local), quarantines.EVENTS_MAX)
        self.now_s += 60.0 * quarantines.MEMORY_FACTOR
        self.local.note_crash([POISON])
        self.assertEqual(len(self.local), 1)

    def test_crashes_of_other_requests_do_not_end_a_quarantine(self):
        # With many calls in flight, one crash evicts many events.
        for _ in range(2):
            self.local.note_crash([POISON, NEIGHBOUR])
        self.local.note_success(NEIGHBOUR)
        for i in range(40):
            others = [b"%8d%8d" % (i, j) for j in range(170)]
            self.local.note_crash(others)
            self.now_s += 1.0
        self.assertLessEqual(len(self.local), quarantines.EVENTS_MAX)
        refusal = self.local.check(POISON)
        self.assertIsNotNone(refusal)
        self.assertAlmostEqual(refusal.retry_after_s, 20.0)

    def test_memory_is_bounded_by_quarantined_requests_too(self):
        for i in range(quarantines.EVENTS_MAX // 100 + 2):
            for _ in range(2):
                self.local.note_crash([b"%8d%8d" % (i, j) for j in range(100)])
        self.assertEqual(len(self.local), quarantines.EVENTS_MAX)

    def test_crashes_by_a_resent_poison_request_are_bounded(self):
        for seed in range(20):
            for lag in (0, 1, 5):
                with self.subTest(seed=seed, lag=lag):
                    self.check_fleet(random.Random(seed), lag)

    def spread(self, parts):
        for part in parts:
            for one in part:
                rows = one.export()
                for other in part:
                    other.merge(rows)

    def check_fleet(self, rng, lag):
        """Check the bound on crashes while a poison request is sent again and again.

        Daemons are in two parts that can't reach each other, and a harmless neighbour
        request is sent as well. Daemons of a part exchange evidence after every
        ``lag + 1`` copies.
        """
        parts = [[self.make() for _ in range(4)] for _ in range(2)]
        crashes = 0
        for n in range(100):
            part = rng.choice(parts)
            daemon = rng.choice(part)
            if daemon.check(POISON) is None and daemon.try_start(POISON):
                daemon.note_crash([POISON, NEIGHBOUR])
                daemon.end(POISON)
                crashes += 1
            if daemon.check(NEIGHBOUR) is None and daemon.try_start(NEIGHBOUR):
                daemon.end(NEIGHBOUR)
                daemon.note_success(NEIGHBOUR)
            if n % (lag + 1) == 0:
                self.spread(parts)
        self.assertLessEqual(crashes, 2 * (2 + lag))
        for daemon in parts[0] + parts[1]:
            self.assertIsNotNone(daemon.check(POISON))
