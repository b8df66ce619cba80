"""Tests of the retry conditions and the retry budget."""

import unittest

from savoryroute.coordination.retries import (
    RETRIES_SAVED_MAX,
    RetryBudget,
    may_retry,
)
from savoryroute.verdict import Reason, Refusal, Verdict

RETRIED = {
    Reason.CONNECTION_LOST,
    Reason.LEAVING,
    Reason.NOT_READY,
    Reason.NO_UPSTREAM,
    Reason.OVERLOAD,
    Reason.QUEUE_FULL,
    Reason.UNREACHABLE,
}


class TestMayRetry(unittest.TestCase):
    def check(self, verdict, reason=Reason.OVERLOAD, is_idempotent=False, **options):
        refusal = Refusal(
            verdict, reason, "", from_downstream=options.pop("downstream", False)
        )
        return may_retry(refusal, is_idempotent, options.pop("n", 1), 3, **options)

    def test_retry_only_if_not_run_or_idempotent(self):
        self.assertTrue(self.check(Verdict.NOT_RUN))
        self.assertFalse(self.check(Verdict.MAY_HAVE_RUN))
        self.assertTrue(self.check(Verdict.MAY_HAVE_RUN, is_idempotent=True))

    def test_attempts_of_a_hop_are_limited(self):
        self.assertTrue(self.check(Verdict.NOT_RUN, n=2))
        self.assertFalse(self.check(Verdict.NOT_RUN, n=3))

    def test_refusal_from_downstream_is_not_retried_again(self):
        self.assertFalse(
            self.check(Verdict.NOT_RUN, downstream=True, is_idempotent=True)
        )

    def test_retried_reasons(self):
        for reason in Reason:
            with self.subTest(reason=reason):
                self.assertEqual(
                    self.check(Verdict.NOT_RUN, reason, True), reason in RETRIED
                )

    def test_keyed_action_is_retried_only_if_its_owner_did_not_answer(self):
        for reason in Reason:
            with self.subTest(reason=reason):
                self.assertEqual(
                    self.check(Verdict.MAY_HAVE_RUN, reason, is_keyed=True),
                    reason in {Reason.CONNECTION_LOST, Reason.UNREACHABLE},
                )


class TestRetryBudget(unittest.TestCase):
    def test_retries_stay_a_small_share_in_a_full_outage(self):
        now_s = 0.0
        budget = RetryBudget(0.1, 1.0, lambda: now_s)
        n_first, n_retries = 10_000, 0
        for _ in range(n_first):
            now_s += 0.01
            budget.note_first_attempt()
            n_retries += sum(budget.try_retry() for _ in range(3))
        bound = RETRIES_SAVED_MAX + 0.1 * n_first + 1.0 * now_s
        self.assertLessEqual(n_retries, bound)
        self.assertGreater(n_retries, 0.9 * bound)

    def test_saved_retries_are_limited(self):
        budget = RetryBudget(0.1, 1.0, lambda: 0.0)
        for _ in range(10_000):
            budget.note_first_attempt()
        self.assertEqual(sum(budget.try_retry() for _ in range(100)), RETRIES_SAVED_MAX)
