"""Failures of docs/design/hard-load.md, part 3, one test for each row, and frames."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.quota_account import QuotaDecision
from savoryroute.coordination.quota_holder import QuotaBounds
from savoryroute.coordination.quota_ring import QuotaRing, RingHost
from savoryroute.protocol.quota_frames import QuotaGrant, Scope

from ...quota_fleet import WINDOW_S, QuotaFleet, bound

BEGIN_S = 8.0
BOUNDS = QuotaBounds(5.0, 0.25, 20.0)


class FailureTest(unittest.TestCase):
    def setUp(self):
        self.fleet = QuotaFleet(12, 3, rate=20.0)
        self.holder = self.holder_of(Scope.FLEET)
        self.others = [host for host in self.fleet.hosts if host is not self.holder]

    def holder_of(self, scope, host=None):
        """Return the host that holds the bucket, as seen from a host."""
        self.fleet.run(BEGIN_S - 1.0)
        seen_from = host or self.fleet.hosts[0]
        return self.fleet.by_ip[seen_from.quotas._ring.holder(scope, "o")]

    def n_admitted(self, from_s, until_s):
        return sum(from_s <= at_s < until_s for at_s in self.fleet.admitted)

    def run_load(self, end_s, per_s=40.0, hosts=None):
        self.fleet.load(per_s, BEGIN_S, end_s, hosts=hosts or self.others)
        self.fleet.run(end_s)
        self.assertLessEqual(self.fleet.most_admitted(), bound(20.0))

    def ask_once(self, host):
        """Send one request at a host and return the decision."""
        decisions: list[QuotaDecision] = []
        self.fleet.request(host, decisions.append)
        self.fleet.run(self.fleet.time.now_s() + 0.4)
        self.assertEqual(len(decisions), 1)
        return decisions[0]

    def test_holder_killed_in_the_middle_of_a_grant(self):
        """Guards against a gap without a reserve, and a full bucket at the next."""
        self.fleet.time.at(BEGIN_S + 1.0, lambda: self.fleet.kill(self.holder))
        self.run_load(BEGIN_S + 12.0)
        gap_s = BEGIN_S + 2.0, BEGIN_S + 6.0
        self.assertGreater(self.n_admitted(*gap_s), 5)
        self.assertGreater(self.n_admitted(BEGIN_S + 10.0, BEGIN_S + 12.0), 35)

    def test_holder_that_does_not_answer_is_replaced_by_the_reserve(self):
        self.fleet.silent.add(self.holder.ip)
        reserve = self.holder_of(Scope.FAILURE_DOMAIN, self.others[0])
        self.fleet.silent.discard(reserve.ip)
        decision = self.ask_once(self.others[0])
        if reserve is not self.holder:
            self.assertIsNotNone(decision.expires_s)

    def test_grant_twice_or_late(self):
        """Guards against credits that count twice, or after their time."""
        host = self.others[0]
        client = host.quotas._client
        sent = []
        host.quotas._send_frame = lambda ip, frame: sent.append((ip, frame)) or True
        decisions = []
        self.fleet.request(host, decisions.append)
        ip, frame = sent[0]
        grant = QuotaGrant(Scope.FLEET, "o", 1, frame[4], True, 0)
        client.on_grant("10.9.9.9", grant)
        self.assertEqual(decisions, [])
        client.on_grant(ip, grant)
        client.on_grant(ip, grant)
        self.assertEqual(len(decisions), 1)
        self.assertEqual(client._accounts["o"].n_credits, 0)
        late = host.quotas.acquire("o", b"r", decisions.append)
        late_grant = QuotaGrant(Scope.FLEET, "o", 1, sent[1][1][4], True, 0)
        now_s = self.fleet.time.now_s()
        self.fleet.time.at(now_s + 0.09, lambda: host.quotas.cancel(late))
        self.fleet.run(now_s + 0.6)
        client.on_grant(sent[1][0], late_grant)
        self.assertEqual(client._accounts["o"].n_credits, 0)

    def test_first_hop_restarts(self):
        """Guards against grants for the earlier run that count for the new one."""
        host = self.others[0]
        for tenth in range(40):
            self.fleet.time.at(
                BEGIN_S + tenth / 10, lambda: self.fleet.start(self.others[0])
            )
        self.run_load(BEGIN_S + 6.0, hosts=[host, *self.others])

    def test_half_of_the_hosts_restart(self):
        for host in self.fleet.hosts[::2]:
            self.fleet.time.at(BEGIN_S + 3.0, lambda host=host: self.fleet.start(host))
        self.run_load(BEGIN_S + 8.0)
        late_s = BEGIN_S + 5.0, BEGIN_S + 8.0
        self.assertGreaterEqual(self.n_admitted(*late_s), 0.95 * 20.0 * 3.0)

    def test_whole_fleet_restarts(self):
        """Guards against a fleet that waits for a handover from nobody."""
        for host in self.fleet.hosts:
            self.fleet.time.at(BEGIN_S + 3.0, lambda host=host: self.fleet.start(host))
        self.run_load(BEGIN_S + 8.0)
        late_s = BEGIN_S + 5.0, BEGIN_S + 8.0
        self.assertGreaterEqual(self.n_admitted(*late_s), 0.95 * 20.0 * 3.0)

    def test_fleet_that_restarts_again_and_again(self):
        """Guards against buckets that are full after each start."""
        self.fleet = fleet = QuotaFleet(12, 3, rate=20.0, burst=200.0)
        for number in range(4):
            for host in fleet.hosts:
                at_s = BEGIN_S + 1.5 * number
                fleet.time.at(at_s, lambda host=host: fleet.start(host))
        fleet.load(1000.0, BEGIN_S, BEGIN_S + 8.0)
        fleet.run(BEGIN_S + 8.0)
        self.assertLessEqual(fleet.most_admitted(), bound(20.0, 200.0))

    def test_failure_domain_is_partitioned(self):
        """Guards against a domain that is cut off and serves nothing or too much."""
        domain = [host for host in self.others if host.domain != self.holder.domain]
        domain = [host for host in domain if host.domain == domain[0].domain]
        self.fleet.time.at(BEGIN_S, lambda: self.fleet.separate(domain))
        self.fleet.load(20.0, BEGIN_S, BEGIN_S + 12.0, hosts=domain)
        n_inside = []
        self.fleet.time.at(
            BEGIN_S + 4.5, lambda: n_inside.append(len(self.fleet.admitted))
        )
        self.fleet.run(BEGIN_S + 4.5)
        limit = BOUNDS.reserve_limit(self.fleet.organisation, 3)
        self.assertGreaterEqual(n_inside[0], int(limit.burst + 4.0 * limit.rate_per_s))
        self.run_load(BEGIN_S + 12.0)

    def test_holder_in_a_partition_stops_after_3_s(self):
        granted = []
        holder = self.holder.quotas._holder
        self.fleet.separate([self.holder])
        for tenth in range(100):
            self.fleet.time.at(
                BEGIN_S + tenth / 10,
                lambda: granted.append(
                    (self.fleet.time.now_s(), holder.grant(Scope.FLEET, "o", 1))
                ),
            )
        self.fleet.run(BEGIN_S + 10.0)
        begun_s = self.holder.proved_s
        for at_s, grant in granted:
            self.assertEqual(grant.is_holder, at_s - begun_s < 3.0, at_s - begun_s)

    def test_holder_that_was_off_the_list_unnoticed_waits_and_starts_empty(self):
        """Guards against a second holder when a long partition heals."""
        self.fleet.separate([self.holder])
        self.fleet.run(BEGIN_S + 10.0)
        self.fleet.heal()
        self.fleet.list(self.holder)
        self.fleet.run(BEGIN_S + 11.5)
        grant = self.holder.quotas._holder.grant(Scope.FLEET, "o", 1)
        self.assertFalse(grant.is_holder)

    def test_limit_lowered_during_a_partition(self):
        self.fleet.separate(self.fleet.hosts[::2])
        self.fleet.publish(1.0)
        self.fleet.load(60.0, BEGIN_S, BEGIN_S + 16.0)
        self.fleet.run(BEGIN_S + 16.0)
        for begin_s, n_admitted in self.fleet.windows():
            if begin_s >= BEGIN_S + 2.5 + WINDOW_S:
                self.assertLessEqual(n_admitted, bound(1.0))

    def test_frozen_for_6_s(self):
        """Guards against credits and authority that survive a suspension."""
        host = self.holder
        self.assertTrue(host.quotas._holder.grant(Scope.FLEET, "o", 1).is_holder)
        host.quotas._client.acquire("o", lambda decision: None)
        account = host.quotas._client._accounts["o"]
        account.add(self.fleet.time.now_s() + 0.5, 5)
        host.is_up = False
        self.fleet.run(self.fleet.time.now_s() + 6.0)
        self.assertIsNone(account.take(self.fleet.time.now_s()))
        self.assertFalse(host.quotas._holder.grant(Scope.FLEET, "o", 1).is_holder)
        host.proved_s = self.fleet.time.now_s()
        self.assertFalse(host.quotas._holder.grant(Scope.FLEET, "o", 1).is_holder)

    def test_leaving_host_does_not_grant(self):
        self.holder.is_leaving = True
        grant = self.holder.quotas._holder.grant(Scope.FLEET, "o", 1)
        self.assertFalse(grant.is_holder)

    def test_refusals(self):
        """429 with the time of the next credit; 503 if nobody could be asked."""
        host = self.others[0]
        self.holder.quotas._holder.grant(Scope.FLEET, "o", 1000)
        self.fleet.publish(0.5)
        self.fleet.run(BEGIN_S + 2.0)
        self.holder.quotas._holder.grant(Scope.FLEET, "o", 1000)
        decision = self.ask_once(host)
        self.assertEqual(decision.status, 429)
        self.assertIn(self.holder.ip, decision.by)
        self.assertGreater(decision.retry_after_s, 0.5)
        for other in self.fleet.hosts:
            self.fleet.silent.add(other.ip)
        far = next(
            other
            for other in self.others[1:]
            if other is not self.holder_of(Scope.FAILURE_DOMAIN, other)
        )
        self.assertEqual(self.ask_once(far).status, 503)
        log = b"".join(line for item in self.fleet.hosts for line in self.flushed(item))
        self.assertEqual(log.count(b'"event":"quota_refused"'), 2)

    def flushed(self, host):
        host.quotas._log.flush()
        lines, self.fleet.lines = self.fleet.lines, []
        return lines

    def test_credit_given_back_keeps_its_expiry(self):
        client = self.others[0].quotas._client
        decision = self.ask_once(self.others[0])
        client.give_back("o", self.fleet.time.now_s() + 0.05)
        again = []
        client.acquire("o", again.append)
        self.assertAlmostEqual(again[0].expires_s, self.fleet.time.now_s() + 0.05)
        client.give_back("o", decision.expires_s - 10.0)
        self.assertEqual(client._accounts["o"].n_credits, 0)


VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=3),
    st.lists(st.integers(), max_size=2),
)


class FrameTest(unittest.TestCase):
    def setUp(self):
        self.fleet = QuotaFleet(2)
        self.fleet.run(BEGIN_S)
        self.quotas = self.fleet.hosts[0].quotas

    @given(st.sampled_from((12, 13)), st.lists(VALUES, max_size=8))
    def test_malformed_frames_are_ignored(self, kind, items):
        self.quotas.on_frame("10.0.0.2", [kind, *items], lambda frame: None)

    @given(st.integers(1, 6), VALUES)
    def test_frame_with_one_wrong_item_is_ignored(self, index, value):
        answers = []
        request = [12, 0, "o", 1, 5]
        if index < len(request):
            request[index] = value
        self.quotas.on_frame("10.0.0.2", request, answers.append)
        for answer in answers:
            self.assertIsNotNone(QuotaGrant.from_frame(answer))
        grant = [13, 0, "o", 1, 5, True, 0]
        grant[index] = value
        self.quotas.on_frame("10.0.0.2", grant, answers.append)


class RingTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.hosts = [RingHost(f"h{i}", f"d{i % 4}") for i in range(16)]
        self.ring = QuotaRing("h0", "d0", lambda: self.now_s)

    def test_host_that_left_stays_on_the_ring_for_3_s(self):
        self.ring.update(self.hosts)
        held = self.ring.holder(Scope.FLEET, "o")
        self.ring.update([host for host in self.hosts if host.ip != held])
        self.now_s = 2.99
        self.assertEqual(self.ring.holder(Scope.FLEET, "o"), held)
        self.now_s = 3.0
        self.assertNotEqual(self.ring.holder(Scope.FLEET, "o"), held)

    def test_host_that_released_leaves_the_ring_at_once(self):
        """Guards against quotas without a holder while upstreams are replaced."""
        hosts = [RingHost(h.ip, h.failure_domain, False, "i-1") for h in self.hosts]
        self.ring.update(hosts)
        name = next(
            f"o{i}" for i in range(99) if self.ring.holder(Scope.FLEET, f"o{i}") == "h3"
        )
        self.ring.release("h3", "i-1")
        successor = self.ring.holder(Scope.FLEET, name)
        self.assertNotEqual(successor, "h3")
        # Also while it is still listed, and by a list that is read again.
        self.ring.update(hosts)
        self.assertEqual(self.ring.holder(Scope.FLEET, name), successor)
        # Another upstream at the address is a new host.
        hosts[3] = RingHost("h3", "d3", False, "i-2")
        self.ring.update(hosts)
        self.assertEqual(self.ring.holder(Scope.FLEET, name), "h3")

    def test_host_that_released_grants_no_more(self):
        """Guards against two holders, also after the daemon has started again."""
        hosts = [RingHost(h.ip, h.failure_domain, False, "i-1") for h in self.hosts]
        self.ring.update(hosts)
        self.ring.release(self.hosts[0].ip, "i-1")
        self.ring.update(hosts)
        self.assertEqual(self.ring.entitled_s, float("inf"))

    def test_host_that_joins_waits_3_s(self):
        self.ring.update(self.hosts[1:])
        self.now_s = 10.0
        self.ring.update(self.hosts)
        self.assertEqual(self.ring.entitled_s, 13.0)

    def test_host_in_its_slow_start_waits_unless_all_are(self):
        cold = [RingHost(host.ip, host.failure_domain, True) for host in self.hosts]
        self.ring.update([cold[0], *self.hosts[1:]])
        self.assertEqual(self.ring.entitled_s, 3.0)
        ring = QuotaRing("h0", "d0", lambda: self.now_s)
        ring.update(cold)
        self.assertEqual(ring.entitled_s, 1.0)

    def test_reserve_is_in_the_failure_domain(self):
        self.ring.update(self.hosts)
        domains = {host.ip: host.failure_domain for host in self.hosts}
        for number in range(100):
            ip = self.ring.holder(Scope.FAILURE_DOMAIN, f"o{number}")
            self.assertEqual(domains[ip], "d0")

    def test_organisations_are_spread_over_hosts(self):
        self.ring.update(self.hosts)
        held = {self.ring.holder(Scope.FLEET, f"o{number}") for number in range(500)}
        self.assertEqual(len(held), 16)


if __name__ == "__main__":
    unittest.main()
