"""Tests of the next step after an answer, and of the status of refusals."""

import itertools
import unittest

from savoryroute.coordination.retry_rule import (
    PLACEMENTS_MAX,
    REJECTIONS_MAX,
    NextStep,
    next_step,
    status_of,
)
from savoryroute.protocol.mesh_frames import MeshAnswer
from savoryroute.verdict import Reason, Verdict


def answer(verdict, reason=None, was_sent=False, status=0):
    return MeshAnswer(1, verdict, reason, was_sent=was_sent, status=status)


class NextStepTest(unittest.TestCase):
    def test_non_idempotent_request_that_may_have_run_is_not_retried(self):
        for reason, n in itertools.product(Reason, range(1, 4)):
            lost = answer(Verdict.MAY_HAVE_RUN, reason, was_sent=True)
            self.assertIs(next_step(lost, False, n, n, 5), NextStep.GIVE_UP, reason)

    def test_failed_run_is_retried_only_if_idempotent(self):
        failed = answer(Verdict.RAN, was_sent=True, status=500)
        self.assertIs(next_step(failed, False, 1, 1, 2), NextStep.RETURN_ANSWER)
        self.assertIs(next_step(failed, True, 1, 1, 2), NextStep.RETRY)
        self.assertIs(next_step(failed, True, 2, 2, 2), NextStep.RETURN_ANSWER)

    def test_attempts_that_reach_an_upstream_are_limited(self):
        lost = answer(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, was_sent=True)
        self.assertIs(next_step(lost, True, 1, 1, 2), NextStep.RETRY)
        self.assertIs(next_step(lost, True, 2, 2, 2), NextStep.GIVE_UP)
        shed = answer(Verdict.NOT_RUN, Reason.OVERLOAD, was_sent=True)
        self.assertIs(next_step(shed, False, 1, 1, 2), NextStep.RETRY)
        self.assertIs(next_step(shed, False, 2, 2, 2), NextStep.GIVE_UP)

    def test_rejection_with_free_slots_is_retried_beyond_the_attempts_of_a_route(self):
        shed = answer(Verdict.NOT_RUN, Reason.OVERLOAD, was_sent=True)
        shed.n_reported, shed.limit = 3, 10
        for n in range(1, REJECTIONS_MAX):
            self.assertIs(next_step(shed, False, n, n, 2), NextStep.RETRY)
        n = REJECTIONS_MAX
        self.assertIs(next_step(shed, False, n, n, 2), NextStep.GIVE_UP)
        shed.n_reported = 10
        self.assertIs(next_step(shed, False, 2, 2, 2), NextStep.GIVE_UP)

    def test_refusal_by_a_daemon_is_placed_elsewhere_a_few_times(self):
        full = answer(Verdict.NOT_RUN, Reason.OVERLOAD)
        for n in range(1, PLACEMENTS_MAX):
            self.assertIs(next_step(full, False, n, 0, 1), NextStep.PLACE_ELSEWHERE)
        self.assertIs(next_step(full, False, PLACEMENTS_MAX, 0, 1), NextStep.GIVE_UP)

    def test_quarantine_deadline_and_dropped_organisation_are_final(self):
        for reason in (Reason.QUARANTINED, Reason.DEADLINE, Reason.KEY_INVALID):
            refused = answer(Verdict.NOT_RUN, reason)
            self.assertIs(next_step(refused, True, 1, 0, 5), NextStep.GIVE_UP)


class StatusTest(unittest.TestCase):
    def test_only_not_run_gets_status_503_or_429_for_a_quota(self):
        for reason in Reason:
            expected = 429 if reason is Reason.QUOTA else 503
            self.assertEqual(status_of(Verdict.NOT_RUN, reason), expected)
            self.assertIn(status_of(Verdict.MAY_HAVE_RUN, reason), (502, 504))
