"""Tests of the order in which repeats are admitted, and of runs that repeat."""

import random
import unittest

import attrs

from savoryroute.coordination.repeat_admission import (
    DOWNSTREAM_EXPIRY_S,
    RESERVED_BY_RANK,
    RepeatAdmission,
)
from savoryroute.coordination.repeat_budget import INTERVAL_S, WINDOW_S, RepeatBudget
from savoryroute.protocol.mesh_frames import AttemptKind, MeshCall

FIRST = MeshCall(
    id=0,
    service="planner",
    instance="i",
    route="r",
    rank=0,
    queue_timeout_ms=0,
    time_left_ms=0,
    is_idempotent=True,
    is_head=False,
    kind=AttemptKind.OF_CALLER,
    n_done=0,
    request_id=b"q",
    fingerprint=b"",
    head=b"",
    body_bytes=0,
)


def retry(rank=0, n_done=0, request_id=b"q"):
    return attrs.evolve(
        FIRST, kind=AttemptKind.RETRY, rank=rank, n_done=n_done, request_id=request_id
    )


class RepeatAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.budget = RepeatBudget(0.2, lambda: self.now_s)
        self.repeats = RepeatAdmission(
            self.budget, b".", lambda: self.now_s, random.Random(1)
        )
        for _ in range(1000):
            self.repeats.note_request(FIRST, self.now_s)
            self.now_s += WINDOW_S / 1000
        self.now_s += INTERVAL_S

    def n_admitted(self, call):
        n_admitted = 0
        while any(self.repeats.try_start(call) for _ in range(20)):
            n_admitted += 1
        return n_admitted

    def test_first_attempts_need_no_budget(self):
        self.now_s += 10 * WINDOW_S
        self.assertTrue(self.repeats.try_start(FIRST))
        self.assertFalse(self.repeats.try_start(retry()))

    def test_only_requests_of_callers_allow_repeats(self):
        for kind in AttemptKind:
            self.now_s += 10 * WINDOW_S
            call = attrs.evolve(FIRST, kind=kind)
            for _ in range(100):
                self.repeats.note_request(call, self.now_s)
                self.now_s += WINDOW_S / 100
            n_admitted = self.n_admitted(retry())
            self.assertEqual(n_admitted > 0, kind is AttemptKind.OF_CALLER, kind)

    def test_lower_ranks_leave_repeats_to_higher_ones(self):
        self.n_admitted(retry(rank=2, n_done=9))
        self.assertGreaterEqual(
            self.budget.left, RESERVED_BY_RANK[2] * self.budget.saved_max - 1.0
        )
        self.assertGreater(self.n_admitted(retry(rank=1, n_done=9)), 0)
        self.assertGreater(self.n_admitted(retry(rank=0, n_done=9)), 0)

    def test_runs_without_progress_leave_repeats_to_runs_with_progress(self):
        self.n_admitted(retry(n_done=0))
        self.assertGreater(self.n_admitted(retry(n_done=3)), 1)

    def test_retries_leave_repeats_to_calls_of_repeated_runs(self):
        self.n_admitted(retry(n_done=9))
        call = attrs.evolve(FIRST, kind=AttemptKind.OF_REPEAT, rank=2, n_done=9)
        self.assertGreater(self.n_admitted(call), 1)
        self.assertLess(self.budget.left, 2.0)

    def test_calls_of_an_action_with_a_repeated_run_are_repeats(self):
        kind_of = self.repeats.first_attempt_of
        self.assertIs(kind_of(b"q"), AttemptKind.OF_CALLER)
        self.assertIs(kind_of(b"q.1"), AttemptKind.OF_UPSTREAM)
        self.assertTrue(self.repeats.try_start(retry(request_id=b"q.0")))
        self.assertIs(kind_of(b"q.1"), AttemptKind.OF_REPEAT)
        self.assertIs(kind_of(b"q"), AttemptKind.OF_CALLER)
        self.assertIs(kind_of(b"p.1"), AttemptKind.OF_UPSTREAM)

    def test_record_of_repeated_runs_is_bounded(self):
        for number in range(600):
            self.repeats.try_start(retry(request_id=b"%d.1" % number))
            for _ in range(20):
                self.repeats.note_request(FIRST, self.now_s)
            self.now_s += 1.0
        self.assertLess(len(self.repeats._repeated), 40)

    def test_no_repeated_run_starts_while_a_called_service_has_no_repeats_left(self):
        self.assertTrue(self.repeats.may_start(retry()))
        self.repeats.note_downstream("r", "stock", 0.0)
        self.repeats.note_downstream("r", "prices", 1.0)
        self.assertFalse(any(self.repeats.may_start(retry()) for _ in range(50)))
        self.assertEqual(self.repeats.share_left("r"), 0.0)
        self.assertGreater(self.repeats.share_left("other"), 0.9)
        self.now_s += 1.1 * DOWNSTREAM_EXPIRY_S
        self.assertTrue(self.repeats.may_start(retry()))

    def test_some_repeated_runs_start_while_little_is_left_downstream(self):
        self.repeats.note_downstream("r", "stock", 0.5)
        n_started = sum(self.repeats.may_start(retry()) for _ in range(400))
        self.assertTrue(120 < n_started < 280, n_started)

    def test_refused_calls_of_repeated_runs_let_fewer_of_them_start(self):
        for _ in range(4):
            self.repeats.note_refused_call("r")
        n_started = sum(self.repeats.may_start(retry()) for _ in range(400))
        self.assertTrue(8 < n_started < 60, n_started)
        for _ in range(100):
            self.repeats.note_request(FIRST, self.now_s)
            self.now_s += WINDOW_S / 100
        self.now_s += INTERVAL_S
        self.assertTrue(all(self.repeats.may_start(retry()) for _ in range(50)))
