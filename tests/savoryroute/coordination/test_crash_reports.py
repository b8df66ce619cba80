"""Tests of crash reports: which requests they name and which daemons learn of them."""

import random
import unittest
from collections import Counter, deque

from savoryroute.coordination.crash_reports import CrashReports
from savoryroute.protocol.mesh_frames import FrameKind
from savoryroute.state.event_log import EventLog
from savoryroute.state.quarantine import Quarantine, fingerprint

POISON = fingerprint("GET", "planner", "/p", b"")
# Peers to which a daemon is linked, as calls go to a sample of the hosts, and to which
# it forwards.
N_LINKS = 20
FANOUT = 4


def neighbours(n):
    return {fingerprint("GET", "planner", f"/{i}", b"") for i in range(n)}


class Fleet:
    """Daemons whose frames are delivered in order, by number of the daemon."""

    def __init__(self, n_daemons, seed):
        self.rng = random.Random(seed)
        self.frames = deque()
        self.n_sent = Counter()
        self.quarantines = {}
        self.reports = {}
        self.links = {index: set() for index in range(n_daemons)}
        for index in range(n_daemons):
            self.start(index)
            others = [other for other in range(n_daemons) if other != index]
            for other in self.rng.sample(others, min(len(others), N_LINKS // 2)):
                self.links[index].add(other)
                self.links[other].add(index)

    def start(self, index):
        def send(to, frame):
            self.n_sent[index] += 1
            self.frames.append((index, to, frame))

        def broadcast(frame):
            for peer in sorted(self.links[index]):
                send(peer, frame)

        def forward(frame, origin):
            peers = sorted(self.links[index] - {int(origin)})
            for peer in self.rng.sample(peers, min(len(peers), FANOUT)):
                send(peer, frame)

        self.quarantines[index] = Quarantine(lambda: 100.0, 3, 60.0)
        log = EventLog(1, {}, write=lambda descriptor, data: len(data))
        self.reports[index] = CrashReports(
            self.quarantines[index], log, broadcast, forward
        )

    def crash(self, index, suspects):
        self.quarantines[index].note_crash(suspects)
        self.reports[index].report(suspects)
        self.deliver()

    def poll(self):
        for index in self.reports:
            peer = self.rng.choice(sorted(self.links[index]))
            self.frames.append((index, peer, self.reports[index].make_request()))
        self.deliver()

    def deliver(self):
        while self.frames:
            origin, to, (kind, content) = self.frames.popleft()
            if kind == FrameKind.SUSPECTS:
                self.reports[to].merge(content, str(origin))
                continue
            answer = self.reports[to].answer_to(content)
            if answer is not None:
                self.frames.append((to, origin, answer))

    def n_unaware(self):
        checked = (quarantine.check(POISON) for quarantine in self.quarantines.values())
        return sum(refusal is None for refusal in checked)


class TestCrashReports(unittest.TestCase):
    def test_each_request_lost_in_a_crash_is_reported(self):
        fleet = Fleet(3, seed=1)
        lost = neighbours(600)
        fleet.crash(0, lost)
        for quarantine in fleet.quarantines.values():
            self.assertEqual({quarantine.n_crashes(one) for one in lost}, {1})

    def test_all_daemons_know_within_two_polls_at_any_size(self):
        for n_daemons in (13, 195, 1089):
            with self.subTest(n_daemons=n_daemons):
                fleet = Fleet(n_daemons, seed=n_daemons)
                for crashed in range(3):
                    fleet.crash(crashed, {POISON} | neighbours(10))
                for _ in range(2):
                    fleet.poll()
                self.assertEqual(fleet.n_unaware(), 0)
                # Two broadcasts and six forwards, whatever the size of the fleet.
                self.assertLessEqual(max(fleet.n_sent.values()), 100)

    def test_daemons_that_restart_in_turn_learn_from_the_others(self):
        fleet = Fleet(13, seed=2)
        for crashed in range(3):
            fleet.crash(crashed, {POISON})
        for index in range(13):
            fleet.start(index)
            fleet.poll()
        for _ in range(2):
            fleet.poll()
        self.assertEqual(fleet.n_unaware(), 0)

    def test_separated_daemons_agree_after_they_are_connected_again(self):
        fleet = Fleet(12, seed=3)
        links = fleet.links
        for index in links:
            side = range(6) if index < 6 else range(6, 12)
            fleet.links = fleet.links | {index: set(side) - {index}}
        for crashed in (0, 1, 7, 8):
            fleet.crash(crashed, {POISON})
        self.assertEqual(fleet.n_unaware(), 12)
        fleet.links = links
        for _ in range(3):
            fleet.poll()
        self.assertEqual(fleet.n_unaware(), 0)

    def test_agreeing_daemons_exchange_digests_only(self):
        fleet = Fleet(2, seed=4)
        for _ in range(3):
            fleet.crash(0, {POISON} | neighbours(2))
        fleet.quarantines[1].note_success(next(iter(neighbours(1))))
        fleet.poll()
        fleet.poll()
        request = fleet.reports[0].make_request()
        self.assertIsNone(fleet.reports[1].answer_to(request[1]))

    def test_more_rows_than_one_frame_holds_are_all_sent_in_the_end(self):
        fleet = Fleet(2, seed=5)
        lost = neighbours(400)
        fleet.links = {0: set(), 1: set()}
        for _ in range(2):
            fleet.crash(0, lost)
        fleet.links = {0: {1}, 1: {0}}
        for _ in range(5):
            fleet.poll()
        self.assertEqual({fleet.quarantines[1].n_crashes(one) for one in lost}, {2})


if __name__ == "__main__":
    unittest.main()
