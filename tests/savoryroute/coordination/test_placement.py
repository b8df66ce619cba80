"""Tests of host selection and ejection."""

import collections
import random
import unittest

from savoryroute.coordination.placement import (
    EJECT_AFTER_FAILURES,
    REPORT_HALF_LIFE_S,
    Placement,
)
from savoryroute.protocol.frames import Answer
from savoryroute.state.audit import AuditTrail
from savoryroute.state.member import Member, MemberStatus
from savoryroute.state.policies import EjectionPolicy
from savoryroute.verdict import Reason, Verdict

POLICY = EjectionPolicy(maximum_fraction=0.34, base_s=2.0)


def member(host: str, domain: str = "a") -> Member:
    return Member(host, "s", domain, "r", "127.0.0.1:1", 1, MemberStatus.ALIVE)


def answer(
    verdict=Verdict.RAN, reason="", n_in_flight=0, n_queued=0, limit=10, is_load=False
) -> Answer:
    return Answer(
        1,
        verdict,
        reason,
        "",
        0,
        is_load,
        False,
        200,
        [],
        b"",
        0,
        8.0,
        n_in_flight,
        limit,
        n_queued,
    )


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 100.0
        self.members = [member("a1"), member("a2"), member("b1", "b")]
        self.placement = Placement(
            "a1",
            "a",
            lambda service: self.members,
            AuditTrail(),
            random.Random(1),
            lambda: self.now_s,
        )

    def choose(self, excluded=(), may_spill_over=True):
        return self.placement.choose("s", excluded, POLICY, may_spill_over)

    def choices(self, n: int = 200) -> collections.Counter:
        return collections.Counter(self.choose().member.host for _ in range(n))

    def report(self, host: str, latency_s: float = 0.01, **fields) -> None:
        """Let a host answer one attempt."""
        self.placement.begin(host)
        self.placement.end(host, answer(**fields), latency_s)

    def fail_attempt(self, host: str) -> None:
        self.placement.begin(host)
        self.placement.end(host, None, 0.01)
        self.placement.eject_if_failing(host, "s", POLICY)

    def test_local_failure_domain_is_preferred(self):
        self.assertNotIn("b1", self.choices())

    def test_overflow_goes_to_a_domain_with_spare_capacity(self):
        for host in ("a1", "a2"):
            self.report(host, n_in_flight=10, n_queued=5)
        self.report("b1", n_in_flight=2)
        choice = self.choose()
        self.assertEqual((choice.member.host, choice.is_spill_over), ("b1", True))
        self.assertNotEqual(self.choose(may_spill_over=False).member.host, "b1")

    def test_overflow_stays_local_when_other_domains_are_busy(self):
        for host in ("a1", "a2", "b1"):
            self.report(host, n_in_flight=9, n_queued=5)
        self.assertFalse(self.choose().is_spill_over)

    def test_choice_without_local_hosts_is_no_spill_over(self):
        self.members = [member("b1", "b")]
        self.assertFalse(self.choose().is_spill_over)

    def test_local_upstream_is_preferred_unless_it_is_busy(self):
        self.report("a1", n_in_flight=2)
        self.report("a2", n_in_flight=1)
        self.assertEqual(set(self.choices()), {"a1"})
        self.report("a1", n_in_flight=9)
        self.assertEqual(set(self.choices()), {"a2"})

    def test_less_loaded_host_is_chosen(self):
        self.report("a1", n_in_flight=9)
        self.report("a2", n_in_flight=1)
        self.assertEqual(set(self.choices()), {"a2"})

    def test_slower_host_is_avoided(self):
        self.report("a1", latency_s=1.0, n_in_flight=1)
        self.report("a2", latency_s=0.01, n_in_flight=1)
        self.assertEqual(set(self.choices()), {"a2"})

    def test_old_reports_decay(self):
        self.report("a1", latency_s=1.0, n_in_flight=10, n_queued=10)
        self.report("a2", n_in_flight=1)
        self.now_s += 10 * REPORT_HALF_LIFE_S
        self.report("a2", n_in_flight=3)
        self.assertIn("a1", self.choices())

    def test_failing_host_is_ejected_and_comes_back(self):
        for _ in range(EJECT_AFTER_FAILURES):
            self.fail_attempt("a2")
        self.assertEqual(set(self.choices()), {"a1"})
        self.assertEqual(self.choose(excluded=("a1",)).member.host, "b1")
        self.now_s += POLICY.base_s + 60
        self.assertEqual(self.choose(excluded=("a1",)).member.host, "a2")

    def test_ten_consecutive_failures_eject_a_host(self):
        """Ten is the documented limit; the constant in the code is lower."""
        for _ in range(10):
            self.fail_attempt("a1")
        record = self.placement.record("a1")
        self.assertGreater(record.ejected_until_s, self.now_s)

    def test_ejection_is_capped(self):
        for host in ("a1", "a2", "b1"):
            for _ in range(2 * EJECT_AFTER_FAILURES):
                self.fail_attempt(host)
        ejected = [
            host
            for host, record in self.placement.records.items()
            if record.ejected_until_s > self.now_s
        ]
        self.assertEqual(ejected, ["a1"])

    def test_refusals_for_load_do_not_eject(self):
        for _ in range(3 * EJECT_AFTER_FAILURES):
            refused = {"verdict": Verdict.NOT_RUN, "reason": Reason.OVERLOAD}
            self.report("a1", is_load=True, **refused)
            self.placement.eject_if_failing("a1", "s", POLICY)
        self.assertLess(self.placement.record("a1").ejected_until_s, self.now_s)

    def test_leaving_host_is_skipped_at_once(self):
        self.report("a1", verdict=Verdict.NOT_RUN, reason=Reason.LEAVING)
        self.assertEqual(set(self.choices()), {"a2"})

    def test_unknown_host_does_not_attract_all_attempts(self):
        self.report("a1", latency_s=0.05, n_in_flight=2)
        hosts = []
        for _ in range(12):
            host = self.choose().member.host
            self.placement.begin(host)
            hosts.append(host)
        self.assertLessEqual(hosts.count("a2"), 6)
        self.assertGreater(hosts.count("a2"), 0)
