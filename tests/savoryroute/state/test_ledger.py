"""Tests of the ledger: single cases, and random histories against a simple oracle."""

import asyncio
import collections
import unittest

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

from savoryroute.state import ledger as ledgers
from savoryroute.state.idempotency_key import mint_key
from savoryroute.state.ledger import Ledger
from savoryroute.state.ledger_entry import RecordedAnswer, Refuse, Replay, Run, Wait
from savoryroute.verdict import Reason, Refusal, Verdict

LOST = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "lost")
SHED = Refusal(Verdict.NOT_RUN, Reason.OVERLOAD, "shed")
INDEX = st.integers(0, 1000)
SKEWS_S = st.sampled_from([0.0, 0.0, -20.0, 0.9, 3.0])
STEPS_S = st.sampled_from([0.5, 1.0, 3.0, 3.0, 60.0, 200.0, 298.0, 301.0, 361.0])

# A few actions with many copies each cover the most interleavings.
N_BOOKINGS = 4
N_ACTIONS = 7


class Owner:
    """Host whose daemon may restart with an empty ledger."""

    def __init__(self, world, host, n_records):
        self.world, self.host, self.n_records = world, host, n_records
        self.incarnation = 0
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.started_s = self.world.now_s
        self.ledger = Ledger(
            self.host,
            self.incarnation,
            lambda: self.world.now_s - self.started_s,
            self.n_records * ledgers.RECORD_BYTES,
        )


@attrs.frozen
class Copy:
    """One copy of an action in transit."""

    key: str
    body: bytes
    cancels: str = ""
    is_target_fenced: bool = False


@attrs.define(eq=False)
class Delivery:
    """Action begun at its owner, and the copies that wait for its outcome."""

    owner: Owner
    entry: object
    copy: Copy
    answer: RecordedAnswer | None = None
    is_closed: bool = False
    waiting: list = attrs.field(factory=list)


class LedgerMachine(RuleBasedStateMachine):
    """Random histories of callers, entry daemons, a network and three owners.

    The network delays, duplicates, loses and misroutes copies.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 1000.0
        sizes = {"a": 1000, "b": 4, "c.d": 1000}
        self.owners = [Owner(self, host, size) for host, size in sizes.items()]
        self.now_s += 50.0
        self.sent = []
        self.network = []
        self.deliveries = []
        self.executions = collections.defaultdict(list)
        self.reported_not_run = set()
        self.cancelled = set()

    def pick(self, items, index):
        return items[index % len(items)]

    @precondition(lambda self: len(self.sent) < N_BOOKINGS)
    @rule(i=INDEX, skew_s=SKEWS_S, body=st.binary(), is_delayed=st.booleans())
    def book(self, i, skew_s, body, is_delayed):
        owner = self.pick(self.owners, i)
        uptime_ms = int((self.now_s - owner.started_s + skew_s) * 1000)
        key = mint_key(owner.host, owner.incarnation, uptime_ms)
        self.send(Copy(key, body), owner, is_delayed)

    @precondition(lambda self: 0 < len(self.sent) < N_ACTIONS)
    @rule(
        i=INDEX,
        way=st.sampled_from(["own", "own", "fenced", "blind"]),
        is_delayed=st.booleans(),
    )
    def cancel(self, i, way, is_delayed):
        target = self.pick(self.sent, i).key
        owner = self.owner_of(target) if way == "own" else self.owners[0]
        is_fenced = False
        if way == "fenced":
            verdict = self.owner_of(target).ledger.fence(target, is_cancellation=True)
            is_fenced = verdict is not Verdict.MAY_HAVE_RUN
        copy = Copy(owner.ledger.mint(), b"cancel", target, is_fenced)
        self.send(copy, owner, is_delayed)

    def send(self, copy, owner, is_delayed):
        self.sent.append(copy)
        if is_delayed:
            self.network.append(copy)
        else:
            self.take(copy, owner)

    @precondition(lambda self: self.sent)
    @rule(i=INDEX, has_other_body=st.booleans(), is_delayed=st.booleans())
    def send_again(self, i, has_other_body, is_delayed):
        copy = self.pick(self.sent, i)
        if has_other_body:
            copy = attrs.evolve(copy, body=copy.body + b"!")
        if is_delayed:
            self.network.append(copy)
        else:
            self.take(copy, self.owner_of(copy.key))

    @precondition(lambda self: self.network)
    @rule(i=INDEX)
    def lose(self, i):
        self.network.remove(self.pick(self.network, i))

    @precondition(lambda self: self.network)
    @rule(i=INDEX, is_duplicate=st.booleans(), wrong=st.none() | INDEX)
    def arrive(self, i, is_duplicate, wrong):
        copy = self.pick(self.network, i)
        if not is_duplicate:
            self.network.remove(copy)
        is_misrouted = wrong is not None and wrong % 3 == 0
        self.take(
            copy,
            self.pick(self.owners, wrong) if is_misrouted else self.owner_of(copy.key),
        )

    def owner_of(self, key):
        return next(owner for owner in self.owners if f".{owner.host}." in key)

    def take(self, copy, owner):
        """Deliver one copy to the ledger of an owner."""
        begun = owner.ledger.begin(*attrs.astuple(copy))
        if isinstance(begun, Run):
            self.deliveries.append(Delivery(owner, begun.entry, copy))
        elif isinstance(begun, Wait):
            first = next(d for d in self.deliveries if d.entry is begun.entry)
            assert first.copy == copy
            first.waiting.append(copy)
        else:
            self.check_result(
                copy, begun.outcome if isinstance(begun, Replay) else begun
            )

    def check_result(self, copy, result):
        """Check the result that a caller gets against all executions."""
        ran = self.executions[copy.key]
        if isinstance(result, RecordedAnswer):
            assert [(copy, result)] == ran, (
                "a replayed answer differs from that of the only execution"
            )
            return
        refusal = result.refusal if isinstance(result, Refuse) else result
        if refusal.verdict is Verdict.NOT_RUN:
            assert not ran, f"NOT_RUN was reported for an action that ran: {refusal}"
            self.reported_not_run.add(copy.key)

    @precondition(lambda self: self.sent)
    @rule(i=INDEX, j=INDEX)
    def fence(self, i, j):
        key = self.pick(self.sent, i).key
        verdict = self.pick(self.owners, j).ledger.fence(key)
        if verdict is Verdict.NOT_RUN:
            self.check_result(Copy(key, b""), SHED)
        if verdict is Verdict.RAN:
            assert len(self.executions[key]) == 1

    @precondition(lambda self: self.deliveries)
    @rule(i=INDEX, is_large=st.booleans())
    def execute(self, i, is_large):
        delivery = self.pick(self.deliveries, i)
        if delivery.is_closed or delivery.answer is not None:
            return
        copy = delivery.copy
        assert copy.key not in self.reported_not_run, "ran after NOT_RUN was reported"
        assert copy.key not in self.cancelled, "ran after its cancellation"
        number = sum(map(len, self.executions.values()))
        size = ledgers.RECORDED_BODY_BYTES_MAX + 1 if is_large else 1
        delivery.answer = RecordedAnswer(200 + number, ("n", str(number)), b"x" * size)
        self.executions[copy.key].append((copy, delivery.answer))
        assert len(self.executions[copy.key]) == 1, "ran twice"
        if copy.cancels:
            self.cancelled.add(copy.cancels)

    @precondition(lambda self: self.deliveries)
    @rule(i=INDEX, is_lost=st.booleans())
    def end(self, i, is_lost):
        delivery = self.pick(self.deliveries, i)
        if is_lost:
            delivery.entry.may_have_run(LOST)
        elif delivery.answer is not None:
            delivery.entry.finish(delivery.answer)
        else:
            delivery.entry.not_run(SHED)
        delivery.is_closed = True
        for copy in [delivery.copy, *delivery.waiting]:
            self.check_result(copy, delivery.entry.outcome)
        delivery.waiting.clear()

    @precondition(lambda self: self.deliveries)
    @rule(i=INDEX)
    def complete(self, i):
        self.execute(i, False)
        self.end(i, False)

    @rule(i=INDEX)
    def restart(self, i):
        owner = self.pick(self.owners, i)
        for delivery in self.deliveries:
            delivery.is_closed |= delivery.owner is owner
        self.deliveries = [d for d in self.deliveries if d.owner is not owner]
        owner.restart()

    @rule(step_s=STEPS_S)
    def wait(self, step_s):
        self.now_s += step_s

    def teardown(self):
        """Complete all actions in flight, then re-send every action, twice."""
        for _ in range(2):
            for i in range(len(self.deliveries)):
                self.complete(i)
            for copy in self.sent:
                self.take(copy, self.owner_of(copy.key))


TestLedgerMachine = LedgerMachine.TestCase
TestLedgerMachine.settings = settings(max_examples=400, stateful_step_count=40)


class TestLedger(unittest.TestCase):
    def setUp(self):
        self.now_s = 10.0
        self.ledger = self.make()

    def make(self, n_records=100):
        capacity = n_records * ledgers.RECORD_BYTES
        return Ledger("a", 7, lambda: self.now_s, capacity)

    def refused(self, key, body=b"", cancels="", **options):
        begun = self.ledger.begin(key, body, cancels, **options)
        self.assertIsInstance(begun, Refuse)
        return begun.refusal.verdict, begun.refusal.reason

    def test_waiter_gets_the_answer(self):
        async def scenario():
            key = self.ledger.mint()
            entry = self.ledger.begin(key, b"").entry
            waiting = asyncio.create_task(self.ledger.begin(key, b"").entry.wait())
            await asyncio.sleep(0)
            entry.finish(RecordedAnswer(201, (), b"yes"))
            return await waiting

        self.assertEqual(asyncio.run(scenario()).body, b"yes")

    def test_late_answer_replaces_may_have_run(self):
        key = self.ledger.mint()
        entry = self.ledger.begin(key, b"").entry
        entry.may_have_run(LOST)
        self.assertEqual(
            self.refused(key), (Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST)
        )
        self.assertTrue(entry.finish(RecordedAnswer(201, (), b"")))
        self.assertFalse(entry.not_run(SHED))
        self.assertIsInstance(self.ledger.begin(key, b""), Replay)

    def test_other_body_never_gets_not_run_for_an_action_that_ran(self):
        key = self.ledger.mint()
        self.ledger.begin(key, b"x").entry.finish(RecordedAnswer(201, (), b""))
        self.assertEqual(
            self.refused(key, b"y"), (Verdict.MAY_HAVE_RUN, Reason.KEY_REUSED)
        )

    def test_full_ledger_fences_what_it_refuses(self):
        self.ledger = self.make(n_records=1)
        first, refused = self.ledger.mint(), self.ledger.mint()
        self.ledger.begin(first, b"").entry.not_run(SHED)
        self.assertEqual(self.refused(refused), (Verdict.NOT_RUN, Reason.OVERLOAD))
        self.assertEqual(self.ledger.n_records, 1)
        self.now_s += ledgers.RECORD_RETENTION_S - 100
        late = self.ledger.mint()
        self.assertEqual(self.refused(late), (Verdict.NOT_RUN, Reason.OVERLOAD))
        self.now_s += 101
        self.assertEqual(self.refused(late), (Verdict.NOT_RUN, Reason.KEY_SPENT))
        self.now_s += ledgers.RECORD_RETENTION_S + 1
        self.assertIsInstance(self.ledger.begin(self.ledger.mint(), b""), Run)

    def test_records_are_evicted_after_the_retention_time_only(self):
        keys = [self.ledger.mint() for _ in range(3)]
        for key in keys:
            self.ledger.begin(key, b"").entry.finish(RecordedAnswer(200, (), b"abc"))
        self.assertEqual(self.ledger.n_bytes, 3 * (ledgers.RECORD_BYTES + 3))
        self.now_s += ledgers.RECORD_RETENTION_S
        self.assertIsInstance(self.ledger.begin(keys[0], b""), Replay)
        self.now_s += 0.1
        self.assertEqual(
            self.refused(keys[0]), (Verdict.MAY_HAVE_RUN, Reason.KEY_EXPIRED)
        )
        self.assertEqual((self.ledger.n_records, self.ledger.n_bytes), (0, 0))

    def test_large_answers_leave_room_for_new_keys(self):
        capacity = 4 * 1024 * 1024
        self.ledger = Ledger("a", 7, lambda: self.now_s, capacity)
        answer = RecordedAnswer(201, (), b"x" * 4096)
        keys = [self.ledger.mint() for _ in range(1800)]
        for key in keys:
            self.ledger.begin(key, b"").entry.finish(answer)
        self.assertIsInstance(self.ledger.begin(keys[0], b""), Replay)
        self.assertEqual(
            self.refused(keys[-1]), (Verdict.MAY_HAVE_RUN, Reason.TOO_LARGE)
        )
        self.assertEqual(self.ledger.fence(keys[-1]), Verdict.RAN)
        self.assertGreater(self.ledger.n_unrecorded_answers, 0)
        self.assertLess(self.ledger.n_bytes, capacity / 2 + 1800 * ledgers.RECORD_BYTES)

    def test_cancellation_after_a_restart_waits_for_the_upstream(self):
        self.now_s = 0.0
        target = mint_key("a", 6, 0)
        self.assertEqual(
            self.refused(self.ledger.mint(), b"", target),
            (Verdict.NOT_RUN, Reason.IN_PROGRESS),
        )
        self.now_s = ledgers.CANCEL_GRACE_S
        self.assertIsInstance(self.ledger.begin(self.ledger.mint(), b"", target), Run)

    def test_first_copies_run_within_the_window_only(self):
        first, late = self.ledger.mint(), self.ledger.mint()
        self.now_s += ledgers.RUN_WINDOW_S
        self.assertIsInstance(self.ledger.begin(first, b""), Run)
        self.now_s += 0.1
        self.assertEqual(self.refused(late), (Verdict.NOT_RUN, Reason.KEY_EXPIRED))

    def test_key_minted_ahead_runs_after_its_mint_time(self):
        key = mint_key("a", 7, 20_000)
        begun = self.ledger.begin(key, b"")
        self.assertEqual(begun.refusal.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(begun.refusal.retry_after_s, 10.0)
        self.now_s += begun.refusal.retry_after_s - ledgers.MINT_AHEAD_MAX_S
        self.ledger.begin(key, b"").entry.finish(RecordedAnswer(200, (), b""))
        self.now_s += ledgers.RECORD_RETENTION_S + 0.5
        self.assertIsInstance(self.ledger.begin(key, b""), Replay)
        self.now_s += 1.0
        self.assertEqual(self.refused(key), (Verdict.MAY_HAVE_RUN, Reason.KEY_EXPIRED))

    def test_cancellation_before_during_and_after(self):
        early, later = self.ledger.mint(), self.ledger.mint()
        self.assertIsInstance(self.ledger.begin(self.ledger.mint(), b"", early), Run)
        self.assertEqual(self.refused(early), (Verdict.NOT_RUN, Reason.CANCELLED))
        entry = self.ledger.begin(later, b"").entry
        refused = self.ledger.mint()
        self.assertEqual(
            self.refused(refused, b"", later), (Verdict.NOT_RUN, Reason.IN_PROGRESS)
        )
        entry.finish(RecordedAnswer(201, (), b""))
        self.assertEqual(
            self.refused(refused, b"", later), (Verdict.NOT_RUN, Reason.KEY_SPENT)
        )
        self.assertIsInstance(self.ledger.begin(self.ledger.mint(), b"", later), Run)
        self.assertIsInstance(self.ledger.begin(later, b""), Replay)

    def test_fence_for_a_cancellation_prevents_a_new_booking(self):
        unseen, spent = self.ledger.mint(), self.ledger.mint()
        self.assertEqual(self.ledger.fence(spent), Verdict.NOT_RUN)
        self.assertEqual(self.refused(spent), (Verdict.NOT_RUN, Reason.KEY_SPENT))
        for key in (unseen, spent):
            self.assertEqual(self.ledger.fence(key, True), Verdict.NOT_RUN)
            self.assertEqual(self.refused(key), (Verdict.NOT_RUN, Reason.CANCELLED))

    def test_cancellation_covers_its_target_in_either_form(self):
        target, key = self.ledger.mint(), self.ledger.mint()
        self.assertIsInstance(self.ledger.begin(key, b"", target), Run)
        self.assertIsInstance(self.ledger.begin(key, b"", f'"{target}"'), Wait)
        other = self.ledger.mint()
        self.assertEqual(
            self.refused(key, b"", other), (Verdict.MAY_HAVE_RUN, Reason.KEY_REUSED)
        )

    def test_cancellation_of_a_fenced_booking_prevents_a_new_one(self):
        booking = self.ledger.mint()
        self.ledger.begin(booking, b"").entry.not_run(SHED)
        self.ledger.begin(self.ledger.mint(), b"", booking)
        self.assertEqual(self.refused(booking), (Verdict.NOT_RUN, Reason.CANCELLED))

    def test_cancellation_waits_after_a_lost_connection(self):
        booking = self.ledger.mint()
        self.ledger.begin(booking, b"").entry.may_have_run(LOST)
        self.assertEqual(
            self.refused(self.ledger.mint(), b"", booking),
            (Verdict.NOT_RUN, Reason.IN_PROGRESS),
        )
        self.now_s += ledgers.CANCEL_GRACE_S
        self.assertIsInstance(self.ledger.begin(self.ledger.mint(), b"", booking), Run)

    def test_cancellation_of_another_owners_key_needs_its_fence(self):
        target = mint_key("b", 1, 0)
        self.assertEqual(
            self.refused(self.ledger.mint(), b"", target),
            (Verdict.NOT_RUN, Reason.KEY_INVALID),
        )
        key = self.ledger.mint()
        self.assertIsInstance(
            self.ledger.begin(key, b"", target, is_target_fenced=True), Run
        )
