"""Tests of the proof that the active routes are the configuration in force."""

import json
import math
import random
import time
import unittest
from unittest import mock

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.configuration_proof import (
    POLLS_MAX,
    ConfigurationProof,
    boot_time_s,
)
from savoryroute.coordination.view_synchronizer import ViewSynchronizer
from savoryroute.errors import DocumentError
from savoryroute.protocol.mesh_frames import ViewRequest, ViewUpdate
from savoryroute.state.event_log import EventLog
from savoryroute.state.organisations import Organisations
from savoryroute.state.route_table import RouteTable


def decode(source, has_organisations=True):
    organisations = Organisations([]) if has_organisations else None
    return RouteTable(int(source), {}, {}, organisations=organisations)


class Daemons:
    """Synchronizers with one clock, and the frames between them."""

    def __init__(self, n_daemons, decoders=(decode,)):
        self.now_s = 1000.0
        self.lines = []
        self.log = EventLog(1, {}, write=self._record)
        self.daemons = [
            self.make(decoders[min(number, len(decoders) - 1)])
            for number in range(n_daemons)
        ]

    def make(self, decoder):
        rng = random.Random(1)
        proof = ConfigurationProof(self.log, rng, 4.75, lambda: self.now_s)
        return ViewSynchronizer(
            decoder, self.log, rng, lambda: None, lambda update, origin: None, proof
        )

    def read(self, number, version, duration_s=0.0):
        daemon = self.daemons[number]
        sent_s = daemon.proof.start_read()
        self.now_s += duration_s
        return daemon.merge_read(b"%d" % version, sent_s)

    def answer(self, number, request):
        """Return the answer of a daemon to a request, both as they are on the wire."""
        update = self.daemons[number].update_for(
            ViewRequest.from_frame(request.to_frame())
        )
        return update and ViewUpdate.from_frame(update.to_frame())

    def events(self):
        self.log.flush()
        return [
            (line["event"], line) for line in self.lines if "proof" in line["event"]
        ]

    def _record(self, descriptor, data):
        self.lines += [json.loads(line) for line in data.splitlines()]
        return len(data)


class ProofOfPeerTest(unittest.TestCase):
    """Guards against proofs that count as younger than they are."""

    def setUp(self):
        self.fleet = Daemons(2)
        self.first, self.second = self.fleet.daemons
        self.fleet.read(0, 7, duration_s=0.5)

    def poll(self, delay_s=0.0):
        """Return the answer of the first daemon to a poll of the second."""
        request = self.second.make_request()
        self.fleet.now_s += delay_s
        return self.fleet.answer(0, request)

    def test_age_counts_from_when_the_poll_was_sent(self):
        self.second.merge_routes(b"7", "platform")
        answer = self.poll(delay_s=2.0)
        self.fleet.now_s += 3.0
        self.second.merge_update("first", answer)
        self.assertAlmostEqual(self.first.proof_age_s, 5.5)
        # 2.5 s when the answer was made, and it counts from 2 s before that.
        self.assertAlmostEqual(self.second.proof_age_s, 2.5 + 5.0)

    def test_each_poll_is_answered_and_counts_once(self):
        self.second.merge_routes(b"7", "platform")
        answer = self.poll()
        self.second.merge_update("first", answer)
        age_s = self.second.proof_age_s
        self.second.merge_update("first", attrs.evolve(answer, proof_age_ms=0))
        self.assertEqual(self.second.proof_age_s, age_s)
        self.assertEqual(answer.version, -1)

    def test_older_proof_does_not_replace_a_newer_one(self):
        self.fleet.read(1, 7)
        self.second.merge_update("first", self.poll())
        self.assertEqual(self.second.proof_age_s, 0.0)

    def test_only_a_proof_for_the_active_routes_counts(self):
        for version in (6, 8):
            self.second = self.fleet.make(decode)
            self.second.merge_routes(b"7", "platform")
            answer = attrs.evolve(self.poll(), proof_version=version)
            self.second.merge_update("first", answer)
            self.assertEqual(self.second.proof_age_s, math.inf)

    def test_pushed_update_and_negative_age_prove_nothing(self):
        self.second.merge_routes(b"7", "platform")
        answer = self.poll()
        self.second.merge_update("first", attrs.evolve(answer, number=0))
        self.second.merge_update("first", attrs.evolve(answer, proof_age_ms=-9000))
        self.assertEqual(self.second.proof_age_s, math.inf)

    def test_routes_of_a_peer_need_the_proof_of_that_peer(self):
        self.fleet.read(1, 7)
        self.first.merge_routes(b"8", "platform")
        answer = self.poll()
        self.second.merge_update("first", attrs.evolve(answer, number=0))
        self.assertEqual(self.second.table.version, 8)
        self.assertEqual(self.second.proof_age_s, math.inf)
        self.second.merge_update("first", self.poll())
        self.assertAlmostEqual(self.second.proof_age_s, 0.5)

    def test_awaited_polls_are_bounded(self):
        self.second.merge_routes(b"7", "platform")
        answer = self.poll()
        for _ in range(POLLS_MAX):
            self.second.make_request()
        self.second.merge_update("first", answer)
        self.assertEqual(self.second.proof_age_s, math.inf)


class ReadTest(unittest.TestCase):
    """Guards against reads without need, and against answers that prove too much."""

    def setUp(self):
        self.fleet = Daemons(1)
        (self.daemon,) = self.fleet.daemons
        self.proof = self.daemon.proof

    def test_clock_counts_suspensions_of_the_host(self):
        with mock.patch("time.clock_gettime", return_value=7.0) as read:
            self.assertEqual(boot_time_s(), 7.0)
        read.assert_called_once_with(time.CLOCK_BOOTTIME)
        proof = ConfigurationProof(self.fleet.log, random.Random(1), 4.75)
        self.assertIs(proof._clock, boot_time_s)

    def test_read_counts_from_when_it_was_sent(self):
        self.fleet.read(0, 7, duration_s=1.0)
        self.assertEqual(self.daemon.proof_age_s, 1.0)

    def test_late_answer_with_replaced_routes_counts_from_when_it_was_sent(self):
        sent_s = self.proof.start_read()
        self.fleet.now_s += 1.0
        self.daemon.merge_routes(b"8", "platform")
        self.assertEqual(self.daemon.proof_age_s, math.inf)
        self.fleet.now_s += 1.0
        self.daemon.merge_read(b"7", sent_s)
        self.assertEqual(self.daemon.table.version, 8)
        self.assertEqual(self.daemon.proof_age_s, 2.0)

    def test_routes_from_the_platform_keep_the_age_of_the_proof(self):
        self.fleet.read(0, 7)
        self.fleet.now_s += 1.0
        self.daemon.merge_routes(b"8", "platform")
        self.assertEqual(self.daemon.proof_age_s, 1.0)

    def test_read_is_due_at_once_and_then_by_the_age(self):
        self.daemon.merge_routes(b"7", "platform")
        self.assertTrue(self.proof.is_read_due)
        self.fleet.read(0, 7)
        self.fleet.now_s += 1.49
        self.assertFalse(self.proof.is_read_due)
        self.fleet.now_s += 1.02
        self.assertTrue(self.proof.is_read_due)

    def test_nothing_is_read_or_sent_without_organisations(self):
        fleet = Daemons(2, [lambda source: decode(source, False)])
        first, second = fleet.daemons
        fleet.read(0, 7)
        second.merge_routes(b"7", "platform")
        self.assertFalse(second.proof.is_read_due)
        request = second.make_request()
        self.assertEqual(len(request.to_frame()), 3)
        self.assertIsNone(first.update_for(request))
        fleet.read(0, 8)
        self.assertEqual(len(first.update_for(request).to_frame()), 9)
        self.assertEqual(second.proof.gauge_s, -1.0)
        fleet.now_s += 9.0
        second.expire()
        self.assertEqual(fleet.events(), [])

    def test_each_change_of_state_has_one_line(self):
        self.fleet.read(0, 7)
        self.fleet.now_s += 4.7
        self.daemon.expire()
        self.proof.record_failure("the store answered 404")
        self.fleet.now_s += 0.1
        for _ in range(3):
            self.daemon.expire()
        self.fleet.read(0, 7)
        self.fleet.read(0, 7)
        events = self.fleet.events()
        self.assertEqual(
            [event for event, _ in events],
            [
                f"configuration_proof_{what}"
                for what in ("regained", "lost", "regained")
            ],
        )
        self.assertEqual(events[0][1]["by"], "platform")
        self.assertEqual(events[1][1]["error"], "the store answered 404")

    def test_unreadable_routes_are_no_proof_and_leave_one_line(self):
        def refuse(source):
            raise DocumentError("configuration", "root", "nothing", "an object")

        fleet = Daemons(1, [refuse])
        for _ in range(3):
            self.assertFalse(fleet.read(0, 7))
        fleet.log.flush()
        self.assertEqual([x["event"] for x in fleet.lines], ["routes_refused"])


class BoundTest(unittest.TestCase):
    """Guards against routes that were replaced longer ago than the proof is old.

    Reads, polls and answers wait and overtake each other without a limit, answers come
    twice, daemons restart, and a daemon without a step for long is a suspended one.
    """

    @settings(max_examples=150, deadline=None)
    @given(st.randoms(use_true_random=False))
    def test_age_bounds_how_long_ago_the_routes_were_replaced(self, rng):
        def decode_or_refuse(source):
            if int(source) % 2 == 0:
                raise DocumentError("configuration", "root", "even", "odd numbers")
            return decode(source)

        # The first daemon cannot read every second version.
        decoders = [decode_or_refuse, decode, decode, decode]
        fleet = Daemons(4, decoders)
        daemons, accepted_s = fleet.daemons, [fleet.now_s]
        # Steps under way, each with the daemon that takes it.
        pending = []

        def start_read(number):
            pending.append((number, serve_read, daemons[number].proof.start_read()))

        def serve_read(number, sent_s):
            pending.append((number, end_read, (sent_s, len(accepted_s))))

        def end_read(number, answer):
            daemons[number].merge_read(b"%d" % answer[1], answer[0])

        def start_watch(number):
            pending.append((number, end_watch, rng.randint(1, len(accepted_s))))

        def end_watch(number, version):
            daemons[number].merge_routes(b"%d" % version, "platform")

        def start_poll(number):
            peer = rng.randrange(len(daemons))
            request = daemons[number].make_request()
            pending.append((peer, serve_poll, (number, request)))

        def serve_poll(peer, poll):
            answer = fleet.answer(peer, poll[1])
            if answer is not None:
                pending.append((poll[0], end_poll, answer))

        def end_poll(number, answer):
            daemons[number].merge_update("peer", answer)

        def restart(number):
            daemons[number] = fleet.make(decoders[number])
            # Its connections end with it, and with them the polls on them.
            pending[:] = [
                step
                for step in pending
                if step[0] != number
                and not (step[1] is serve_poll and step[2][0] == number)
            ]

        for _ in range(120):
            fleet.now_s += rng.choice([0.0, 0.01, 0.1, 1.0, 6.0])
            if rng.random() < 0.2:
                accepted_s.append(fleet.now_s)
            elif rng.random() < 0.6 and pending:
                index = rng.randrange(len(pending))
                number, step, argument = pending[index]
                if rng.random() < 0.8:
                    del pending[index]
                step(number, argument)
            else:
                steps = [start_read] * 4 + [start_poll] * 6 + [start_watch, restart]
                rng.choice(steps)(rng.randrange(len(daemons)))
            for daemon in daemons:
                if daemon.table is None or daemon.table.version == len(accepted_s):
                    continue
                # Version n was replaced when version n + 1 was accepted.
                replaced_s = accepted_s[daemon.table.version]
                self.assertLessEqual(
                    fleet.now_s - replaced_s, daemon.proof_age_s + 1e-6
                )
