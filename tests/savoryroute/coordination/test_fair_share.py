"""Tests of shares between organisations: tags, bounds, costs and replayed load."""

import random
import time
import unittest

from hypothesis import given
from hypothesis import strategies as st

from savoryroute.coordination.call_queue import CallQueue, QueuedCall
from savoryroute.coordination.fair_share import MaxMinShares
from savoryroute.coordination.throttle import ActionThrottle
from savoryroute.verdict import Reason
from tests.share_replay import (
    HOP_PER_S,
    SLOTS,
    WORK_S,
    Outcome,
    draw_organisations,
    max_min,
    play_hops,
    play_queue,
    rates,
    replay_at_queue,
    served_share,
)


class QueueCase(unittest.TestCase):
    """A queue of one slot whose upstream ends calls when the test says so."""

    def setUp(self):
        self.now_s = 0.0
        self.started = []
        self.refused = []
        self.queue = CallQueue(1, lambda: self.now_s)

    def offer(self, organisation, group="r", rank=1, queue_timeout_s=60.0):
        call = QueuedCall(
            rank,
            group,
            1e9,
            queue_timeout_s,
            lambda: self.started.append(organisation),
            lambda reason: self.refused.append(organisation),
            organisation=organisation,
        )
        self.assertIn(self.queue.offer(call), (None, Reason.OVERLOAD))
        return call

    def finish(self, n_calls=1):
        for _ in range(n_calls):
            self.queue.finish("r", 0.05)


class StartOrderTest(QueueCase):
    def test_calls_of_a_flood_wait_behind_those_of_others(self):
        """Guards against service in order of arrival, of which a flood gets most."""
        self.offer("running")
        for organisation in ["hot"] * 6 + ["a", "a", "b"]:
            self.offer(organisation)
        self.finish(9)
        self.assertEqual(
            self.started[1:], ["hot", "a", "b", "hot", "a", "hot", "hot", "hot", "hot"]
        )

    def test_calls_without_organisation_start_in_order_of_arrival(self):
        """Guards other deployments: nothing changes without organisations."""
        calls = []
        for number in range(40):
            call = self.offer("", group=f"g{number % 3}", rank=number % 2)
            calls.append(call)
            if number % 7 == 6:
                self.queue.withdraw(calls[number - 2])
        waiting = [call for call in calls[1:] if call in self.queue._waiting]
        expected = sorted(waiting, key=lambda call: (call.rank, call.order[-1]))
        self.finish()
        self.assertEqual(self.queue._waiting, expected[1:])

    def test_calls_without_organisation_have_one_turn_among_others(self):
        """Guards against public routes that pass or starve the organisations."""
        self.offer("running")
        for organisation in ["", "", "", "a", "b"]:
            self.offer(organisation)
        self.finish(5)
        self.assertEqual(self.started[1:], ["", "a", "b", "", ""])

    def test_rank_precedes_share(self):
        """Guards the order of ranks, in which an organisation may take it all."""
        self.offer("running")
        for organisation, rank in (("a", 2), ("b", 1), ("b", 1), ("b", 1)):
            self.offer(organisation, rank=rank)
        self.finish(4)
        self.assertEqual(self.started[1:], ["b", "b", "b", "a"])

    def test_earlier_load_does_not_count_once_nothing_waits(self):
        """Guards against a debt that outlives the pressure."""
        self.offer("hot")
        for _ in range(100):
            self.offer("hot")
        self.finish(101)
        self.offer("running")
        for organisation in ["hot", "a", "hot", "a"]:
            self.offer(organisation)
        self.finish(4)
        self.assertEqual(self.started[-4:], ["hot", "a", "hot", "a"])

    def test_refused_calls_do_not_count(self):
        """Guards against an organisation that waits behind what it never got."""
        self.offer("running")
        for _ in range(8):
            self.offer("hot", queue_timeout_s=0.5)
        for organisation in ("a", "a", "a"):
            self.offer(organisation)
        self.now_s = 0.6
        self.queue.expire()
        self.offer("hot")
        self.finish(4)
        self.assertEqual(self.refused, ["hot"] * 8)
        self.assertEqual(self.started[1:], ["a", "hot", "a", "a"])

    def test_call_behind_one_of_a_smaller_share_may_run_past_its_wait(self):
        """Guards against a full queue of one organisation that shuts out others."""
        self.offer("running")
        while not self.queue.offer(self.hot_call()):
            pass
        n_hot = self.queue.n_waiting
        self.assertEqual(self.queue.n_waiting_of(1, "hot"), n_hot)
        self.offer("a", queue_timeout_s=0.5)
        self.assertEqual(self.queue.n_waiting, n_hot + 1)
        self.finish(2)
        self.assertIn("a", self.started)
        self.now_s = 0.5
        self.queue.expire()
        self.assertEqual(set(self.refused), {"hot"})

    def hot_call(self):
        return QueuedCall(
            1,
            "r",
            1e9,
            0.5,
            lambda: self.started.append("hot"),
            lambda reason: self.refused.append("hot"),
            organisation="hot",
        )


class BoundTest(unittest.TestCase):
    @given(
        works_ms=st.lists(st.integers(1, 40), min_size=2, max_size=6),
        slots=st.integers(1, 5),
        seed=st.integers(0, 2**32),
    )
    def test_started_work_differs_by_at_most_the_largest_call_of_each(
        self, works_ms, slots, seed
    ):
        """Guards the bound of start-time fair queueing, also if calls are withdrawn."""
        rng = random.Random(seed)
        now_s = 0.0
        queue = CallQueue(slots, lambda: now_s)
        works_s = [work_ms / 1000 for work_ms in works_ms]
        started_s = [0.0] * len(works_s)
        running = []
        waiting = [[] for _ in works_s]

        def offer(number):
            def start():
                running.append(number)
                if call in waiting[number]:
                    waiting[number].remove(call)
                    started_s[number] += works_s[number]

            call = QueuedCall(
                1,
                f"g{number}",
                1e9,
                1e9,
                start,
                lambda _: None,
                organisation=str(number),
            )
            waiting[number].append(call)
            self.assertIsNone(queue.offer(call))

        def finish():
            number = running.pop(rng.randrange(len(running)))
            queue.finish(f"g{number}", works_s[number])

        for number in range(len(works_s)):
            offer(number)
            finish()
        while len(running) < slots:
            offer(0)
        for number in range(len(works_s)):
            waiting[number] = []
            for _ in range(3):
                offer(number)
        started_s = [0.0] * len(works_s)
        least, most = {}, {}
        for _ in range(120):
            now_s += 0.001
            finish()
            if rng.random() < 0.2:
                number = rng.randrange(len(works_s))
                queue.withdraw(waiting[number].pop(rng.randrange(2)))
            for number in range(len(works_s)):
                while len(waiting[number]) < 3:
                    offer(number)
            for f in range(len(works_s)):
                for g in range(f):
                    ahead_s = started_s[f] - started_s[g]
                    least[f, g] = min(least.get((f, g), 0.0), ahead_s)
                    most[f, g] = max(most.get((f, g), 0.0), ahead_s)
        for (f, g), most_s in most.items():
            bound_s = works_s[f] + works_s[g]
            self.assertLessEqual(most_s - least[f, g], bound_s + 1e-9)


class FailureTableTest(QueueCase):
    """One test for each row of the failure table of Part 4."""

    def test_organisation_sends_seven_times_its_usual(self):
        for n_repeats in (0, 3):
            outcome = play_queue(1.2, 2, n_repeats, True)
            self.assertGreater(outcome.others, 0.99)
            self.assertAlmostEqual(
                outcome.hot, Outcome.of_oracle(1.2, 2).hot, delta=0.03
            )

    def test_one_organisation_uses_all_capacity(self):
        throttle = ActionThrottle(lambda: self.now_s, random.Random(1))
        for _ in range(100):
            self.offer("only")
            self.assertEqual(throttle.admit("r", 1, "only"), 1.0)
        self.finish(100)
        self.assertEqual(len(self.started), 100)

    def test_state_of_silent_organisations_is_dropped(self):
        shares = MaxMinShares(lambda: self.now_s)
        for number in range(10_000):
            self.now_s += 1e-4
            self.offer(f"o{number}", rank=number % 2, queue_timeout_s=1.0)
            shares.note_request(f"o{number}")
        for _ in range(6):
            self.now_s += 1.0
            shares.note_request("only")
            self.queue.expire()
            self.finish(self.queue.n_running)
            self.offer("only")
            self.offer("only")
        self.assertEqual(shares.n_organisations, 1)
        self.assertLessEqual(self.queue._tags.n_organisations, 1)


class QueueReplayTest(unittest.TestCase):
    """Replays of 8 s, with the oracle's max-min allocation of the same load."""

    def test_others_are_served_as_by_the_oracle(self):
        """Guards against a hot organisation that takes capacity of the others."""
        for load in (1.2, 1.5, 1.8):
            for hot in (0, 2):
                for n_repeats in (0, 3):
                    oracle = Outcome.of_oracle(load, hot)
                    before = play_queue(load, hot, n_repeats, False)
                    after = play_queue(load, hot, n_repeats, True)
                    with self.subTest(load=load, hot=hot, n_repeats=n_repeats):
                        self.assertGreater(after.others, oracle.others - 0.02)
                        self.assertGreater(after.hot, oracle.hot - 0.02)
                        self.assertGreater(after.others, before.others + 0.1)
                        self.assertGreater(after.n_served, 0.99 * before.n_served)

    def test_hot_organisation_is_served_again_once_it_sends_its_usual(self):
        """Guards against a debt after 3 s at 7.5 times the usual."""
        rng = random.Random(3)
        usual = rates(0.9 * SLOTS / WORK_S, 2, 1.0)
        extra = {"o2": 6.5 * usual["o2"]}
        calls = draw_organisations(rng, usual, 8.0, WORK_S)
        calls += draw_organisations(rng, extra, 3.0, WORK_S, start_s=2.0)
        calls.sort(key=lambda call: call.at_s)
        replay_at_queue(calls, True)
        for name, least in (("o2", 0.99), ("o5", 0.99), ("o40", 0.99)):
            after = [c for c in calls if c.organisation == name and c.at_s > 5.2]
            self.assertGreater(served_share(after), least, name)
        during = [c for c in calls if 2.0 <= c.at_s < 5.0 and c.organisation != "o2"]
        demands = {**usual, "o2": 7.5 * usual["o2"]}
        served = max_min(demands, SLOTS / WORK_S)
        del demands["o2"], served["o2"]
        oracle = sum(served.values()) / sum(demands.values())
        self.assertGreater(served_share(during), oracle - 0.01)

    def test_no_organisation_is_served_less_than_a_quarter_as_often_as_all(self):
        """Guards the largest organisation, whose usual load is many equal shares."""
        for n_repeats in (0, 3):
            outcome = play_queue(1.8, 20, n_repeats, True)
            self.assertGreater(outcome.least, 0.25 * outcome.all)


class ThrottleReplayTest(unittest.TestCase):
    """First hops with 10 to 40 requests a second, in front of one upstream."""

    def test_others_gain_and_the_total_stays(self):
        """Guards against coarse counts that refuse those who send little."""
        for n_hops in HOP_PER_S:
            n_before = n_after = 0
            for load, hot in ((1.2, 0), (1.5, 2), (1.8, 2)):
                for n_repeats in (0, 3):
                    oracle = Outcome.of_oracle(load, hot)
                    before = play_hops(n_hops, load, hot, n_repeats, False)
                    after = play_hops(n_hops, load, hot, n_repeats, True)
                    n_before += before.n_served
                    n_after += after.n_served
                    with self.subTest(n_hops=n_hops, load=load, n_repeats=n_repeats):
                        self.assertGreater(after.others, before.others + 0.1)
                        self.assertGreater(after.others, oracle.others - 0.12)
                        self.assertGreater(after.least, 0.25 * after.all)
            self.assertGreater(n_after, 0.97 * n_before)


class ThrottleShareTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.rng = random.Random(5)
        self.throttle = ActionThrottle(lambda: self.now_s, self.rng)

    def refuse_more(self, organisation):
        """Let the admitted share of rank 1 fall to about 0.4."""
        while self.throttle.shares.get("r", 1.0) > 0.4:
            self.throttle.admit("r", 1, organisation)
            self.throttle.note_end("r", [0.38], 1, organisation)
            self.now_s += 0.31
        self.throttle.admit("r", 1, organisation)

    def test_other_rank_of_the_same_route_has_its_own_share(self):
        """Guards organisations of a better rank from refusals of a lower one."""
        self.refuse_more("a")
        for _ in range(100):
            self.assertEqual(self.throttle.admit("r", 0, "b"), 1.0)

    def test_admitted_total_is_the_share(self):
        """Guards the total against the bias of counts of 0 and 1."""
        names = [f"o{int(self.rng.paretovariate(0.4))}" for _ in range(6000)]
        for per_s in (5.0, 20.0, 500.0):
            shares = MaxMinShares(lambda: self.now_s)
            n_admitted = 0.0
            for name in names:
                self.now_s += self.rng.expovariate(per_s)
                n_admitted += shares.share_for(shares.note_request(name), 0.6)
            self.assertAlmostEqual(n_admitted / len(names), 0.6, delta=0.02)

    def test_requests_without_organisation_draw_as_before(self):
        """Guards other deployments: the same draws give the same refusals."""
        self.refuse_more("")
        share = self.throttle.shares["r"]
        state = self.rng.getstate()
        admitted = [self.throttle.admit("r", 1) for _ in range(100)]
        self.rng.setstate(state)
        drawn = [share if self.rng.random() < share else None for _ in range(100)]
        self.assertEqual(admitted, drawn)

    def test_refusal_names_the_organisation_and_both_shares(self):
        """Guards the log line by which an operator sees who was refused and why."""
        self.refuse_more("a")
        self.now_s += 0.01
        for _ in range(40):
            self.throttle.admit("r", 1, "hot")
        self.assertRegex(
            self.throttle.refusal_detail("r", 1, "hot"),
            r": admitted are 0\.\d\d of all and 0\.\d\d of those of hot$",
        )
        self.refuse_more("")
        self.assertNotIn("of those", self.throttle.refusal_detail("r", 1, ""))


class CostTest(QueueCase):
    def assert_cheap(self, action, n_calls):
        """Assert at most 20 us a call in the best of five runs."""
        runs_s = []
        for _ in range(5):
            began_s = time.process_time()
            for number in range(n_calls):
                action(number)
            runs_s.append(time.process_time() - began_s)
        self.assertLess(min(runs_s) / n_calls, 20e-6)

    def test_offer_with_a_thousand_waiting_calls(self):
        """Guards the cost of a call with many organisations."""
        for number in range(1001):
            self.offer(f"o{number % 300}", queue_timeout_s=1e6)
        calls = [
            QueuedCall(1, "r", 1e9, 1e6, int, int, organisation=f"o{number % 300}")
            for number in range(500)
        ]
        self.assert_cheap(lambda number: self.queue.offer(calls[number]), 100)

    def test_share_with_ten_thousand_organisations(self):
        """Guards the cost of a request at the first hop."""
        shares = MaxMinShares(lambda: self.now_s)
        for number in range(10_000):
            shares.note_request(f"o{number}")
        self.assert_cheap(
            lambda number: shares.share_for(shares.note_request(f"o{number}"), 0.5), 500
        )
