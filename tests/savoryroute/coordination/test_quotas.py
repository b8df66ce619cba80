"""Properties of quotas over whole fleets on a virtual clock."""

import math
import random
import time
import tracemalloc
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from savoryroute.coordination.quota_client import QuotaClient
from savoryroute.coordination.quota_holder import QuotaBounds, QuotaHolder
from savoryroute.coordination.quota_ring import QuotaRing, RingHost
from savoryroute.protocol.quota_frames import QuotaGrant, QuotaRequest, Scope
from savoryroute.state.organisations import Organisation

from ...quota_fleet import WINDOW_S, QuotaFleet, bound

# Seconds at which the load begins, as all hosts are entitled to grant.
BEGIN_S = 8.0
# Seconds after a change until all connected hosts have it.
FOLLOW_S = 2.5

FAULTS = st.sampled_from(
    ("cut", "cut_domain", "heal", "restart", "restart_all", "kill", "return")
    + ("leave", "silence", "limit")
)
STEPS = st.lists(
    st.tuples(FAULTS, st.integers(0, 63), st.floats(0.05, 4.0)), max_size=12
)


def apply(fleet, fault, number, rate, burst_s):
    """Apply one fault; return the new limit if it changed."""
    hosts = fleet.hosts
    host = hosts[number % len(hosts)]
    if fault == "cut":
        fleet.separate(hosts[:: 2 + number % 3], group=1 + number % 2)
    elif fault == "cut_domain":
        fleet.separate([item for item in hosts if item.domain == host.domain])
    elif fault == "heal":
        fleet.heal()
        fleet.silent.clear()
    elif fault == "restart":
        fleet.start(host)
    elif fault == "restart_all":
        for item in hosts:
            fleet.start(item)
    elif fault == "kill":
        fleet.kill(host)
    elif fault == "return" and (not host.is_up or host.is_leaving):
        fleet.list(host, cold_s=float(number % 2))
        fleet.start(host)
    elif fault == "leave":
        fleet.leave(host)
    elif fault == "silence":
        fleet.silent.add(host.ip)
    elif fault == "limit":
        rate = max(1.0, rate * (0.1, 0.5, 3.0)[number % 3])
        fleet.publish(rate, rate * burst_s)
    return rate


class BoundTest(unittest.TestCase):
    @settings(max_examples=60)
    @given(
        n=st.integers(2, 64),
        n_domains=st.integers(1, 4),
        rate=st.sampled_from((1.0, 3.0, 20.0, 80.0)),
        burst_s=st.sampled_from((0.0, 1.0, 10.0)),
        factor=st.sampled_from((0.6, 1.5, 6.0)),
        loss=st.sampled_from((0.0, 0.02, 0.3)),
        delay_s=st.sampled_from((0.004, 0.08, 0.4)),
        steps=STEPS,
        seed=st.integers(0, 2**32),
    )
    def test_bound_holds_in_every_window(
        self, n, n_domains, rate, burst_s, factor, loss, delay_s, steps, seed
    ):
        """Guards against two holders at a time, and credits that are used twice."""
        fleet = QuotaFleet(n, n_domains, rate, rate * burst_s, seed, loss)
        fleet.delay_s = (0.0005, delay_s)
        limits = [(-math.inf, rate)]
        at_s = BEGIN_S - 3.0

        def step(fault, number):
            new = apply(fleet, fault, number, limits[-1][1], burst_s)
            if new != limits[-1][1]:
                limits.append((fleet.time.now_s(), new))

        for fault, number, wait_s in steps:
            at_s += wait_s
            fleet.time.at(at_s, lambda f=fault, k=number: step(f, k))
        end_s = at_s + 8.0
        fleet.load(rate * factor, 1.0, end_s)
        fleet.run(end_s)
        ends_s = [at_s + FOLLOW_S + WINDOW_S for at_s, _ in limits[1:]] + [math.inf]
        for begin_s, n_admitted in fleet.windows():
            binding = [
                limit
                for (from_s, limit), until_s in zip(limits, ends_s, strict=True)
                if from_s < begin_s + WINDOW_S and begin_s < until_s
            ]
            highest = max(binding)
            self.assertLessEqual(n_admitted, bound(highest, highest * burst_s))


class UseTest(unittest.TestCase):
    def shares(self, n, rate, factor, seconds):
        """Return the used share of the quota and the refused share of the requests."""
        fleet = QuotaFleet(n, rate=rate, seed=n)
        weights = [1.0 / (i + 1) for i in range(n)]
        fleet.load(rate * factor, BEGIN_S, BEGIN_S + seconds + 2.0, weights)
        fleet.run(BEGIN_S + seconds + 2.0)
        begin_s = BEGIN_S + 2.0
        n_admitted = sum(at_s >= begin_s for at_s in fleet.admitted)
        n_refused = sum(at_s >= begin_s for at_s in fleet.refused_s)
        self.assertLessEqual(fleet.statuses[503], 0)
        self.assertLessEqual(fleet.most_admitted(), bound(rate))
        return n_admitted / (rate * seconds), n_refused / (n_admitted + n_refused)

    def test_quota_is_used_at_demand_above_it(self):
        """Guards against credits that expire in the stocks of quiet hosts."""
        for n in (13, 64, 195):
            for rate, seconds in ((3.0, 60.0), (300.0, 6.0)):
                for factor in (1.5, 10.0):
                    used, _ = self.shares(n, rate, factor, seconds)
                    with self.subTest(n=n, rate=rate, factor=factor):
                        self.assertGreaterEqual(used, 0.95)

    def test_hardly_a_request_is_refused_at_usual_demand(self):
        for n in (13, 64, 195):
            for rate, seconds in ((3.0, 400.0), (300.0, 6.0)):
                _, refused = self.shares(n, rate, 0.6, seconds)
                with self.subTest(n=n, rate=rate):
                    self.assertLessEqual(refused, 0.01)

    def test_callers_that_move_within_a_second_are_served(self):
        """Guards against stocks that stay behind where the demand was."""
        fleet = QuotaFleet(13, rate=100.0)
        for second in range(10):
            begin_s = BEGIN_S + second * 0.7
            host = fleet.hosts[second]
            fleet.load(60.0, begin_s, begin_s + 0.7, hosts=[host])
        fleet.run(BEGIN_S + 8.0)
        n_refused = sum(fleet.statuses.values())
        self.assertLessEqual(n_refused, 0.01 * len(fleet.admitted))

    def test_most_demand_at_one_host_uses_the_quota(self):
        fleet = QuotaFleet(13, rate=300.0)
        fleet.load(600.0, BEGIN_S, BEGIN_S + 8.0, hosts=fleet.hosts[:1])
        fleet.run(BEGIN_S + 8.0)
        n_late = sum(at_s >= BEGIN_S + 2.0 for at_s in fleet.admitted)
        self.assertGreaterEqual(n_late, 0.95 * 300.0 * 6.0)


class MessagesTest(unittest.TestCase):
    def test_frames_do_not_grow_with_refused_requests(self):
        """Guards against a frame for each request beyond the quota."""
        for n in (13, 64, 195, 1089):
            fleet = QuotaFleet(n, rate=300.0, seed=n)
            ring = fleet.hosts[0].quotas._ring
            fleet.run(BEGIN_S)
            ip = ring.holder(Scope.FLEET, "o")
            weights = [1.0 / (i + 1) for i in range(n)]
            fleet.load(3000.0, BEGIN_S, BEGIN_S + 4.0, weights)
            fleet.n_frames.clear()
            fleet.run(BEGIN_S + 4.0)
            per_s = {at: n_sent / 4.0 for at, n_sent in fleet.n_frames.items()}
            with self.subTest(n=n):
                self.assertLess(per_s.pop(ip), min(25.0 * n, 1800.0))
                self.assertLess(max(per_s.values()), 25.0)


class CostTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        clock = self.clock = lambda: self.now_s
        self.ring = QuotaRing("a", "d", clock)
        self.ring.update([RingHost("a", "d"), RingHost("b", "d")])
        self.now_s = 20.0
        self.organisation = Organisation("o", 0, 1e6, 1e6)
        self.holder = QuotaHolder(
            "a",
            self.ring,
            QuotaBounds(5.0, 0.25, 20.0),
            lambda name: self.organisation,
            lambda: 0.0,
            lambda: False,
            5.0,
            clock,
        )
        self.client = QuotaClient(
            self.ring, self.send, lambda ip: False, clock, random.Random(1)
        )

    def send(self, ip, request: QuotaRequest):
        grant = QuotaGrant(
            request.scope, request.organisation, request.n, request.number, True, 0
        )
        self.client.on_grant(ip, grant)
        return True

    def test_stock_hit_takes_at_most_20_us(self):
        costs_s = []
        for _ in range(20):
            begun_s = time.process_time()
            for _ in range(1000):
                self.now_s += 0.001
                self.client.acquire("o", lambda decision: None)
            costs_s.append((time.process_time() - begun_s) / 1000)
        # The least of several rounds: other processes use the same caches.
        self.assertLess(min(costs_s), 20e-6)

    def test_10000_organisations_take_at_most_10_mb(self):
        names = [f"organisation-{i}" for i in range(10_000)]
        tracemalloc.start()
        for name in names:
            self.client.acquire(name, lambda decision: None)
            self.holder.grant(Scope.FLEET, name, 1)
        n_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        self.assertLess(n_bytes, 10_000_000)
        self.now_s += 60.0
        self.client.sweep()
        self.holder.sweep()
        self.assertEqual(self.client.n_accounts + self.holder.n_buckets, 0)


if __name__ == "__main__":
    unittest.main()
