"""Tests of the router's final word, over attempts that end as told."""

import random
import time
import unittest

from result import Err, Ok

from savoryroute.coordination.action import ActionOpener
from savoryroute.coordination.hops import HopTable
from savoryroute.coordination.outbound import Outbound
from savoryroute.coordination.placement import Choice
from savoryroute.coordination.pressure import PressureMap
from savoryroute.protocol.request import Request, Response
from savoryroute.state.decisions import DecisionLog
from savoryroute.state.document import document_from_plain
from savoryroute.state.member import Member, MemberStatus
from savoryroute.state.quarantine import Quarantine
from savoryroute.verdict import Reason, Refusal, Verdict
from tests.fleet import document

HOME = Member("h1", "s", "a", "r", "127.0.0.1:1", 1, MemberStatus.ALIVE)
SILENCE = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "silent")
GONE = Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, "gone")
FULL = Refusal.not_run(Reason.QUEUE_FULL, "full", 2.0, is_load=True)


class Script:
    """Attempts, placement and keys that do as the test says."""

    def __init__(self, results, n_hosts=5, n_tries=None):
        self.results = list(results)
        self.n_hosts = n_hosts
        self.n_tries = n_tries or len(self.results)

    async def send(self, action, choice):
        return self.results.pop(0)

    def note_first_attempt(self, action):
        pass

    def try_retry(self, action, refusal, n_attempts):
        return n_attempts < self.n_tries

    def choose(self, service, excluded, ejection, may_spill_over):
        return Choice(HOME, False) if len(excluded) < self.n_hosts else None

    def owner_of(self, key):
        return Ok(HOME)

    async def fence_target(self, key, cancels):
        return False

    async def mint(self, service, n_keys, cancels=""):
        return ["new"]


class OutboundTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.decisions = DecisionLog()

    async def outcome(self, script, method="GET", key=""):
        plain = document_from_plain(document(["s"]), "test").unwrap()
        outbound = Outbound(
            ActionOpener(lambda: plain),
            script,
            script,
            PressureMap(),
            HopTable(),
            script,
            Quarantine(time.monotonic, 2, 60.0),
            self.decisions,
            random.Random(1),
        )
        return await outbound.from_caller(Request("s", method, "/x", key=key))

    async def refusal(self, *args, **kwargs):
        return (await self.outcome(*args, **kwargs)).result.err_value

    async def test_silence_of_a_home_is_not_told_as_a_home_that_was_gone(self):
        script = Script([Err(SILENCE), Err(GONE)])
        refusal = await self.refusal(script, "POST", "k")
        self.assertEqual(refusal.reason, Reason.CONNECTION_LOST)

    async def test_a_home_gone_at_the_first_attempt_is_told_so(self):
        refusal = await self.refusal(Script([Err(GONE)]), "POST", "k")
        self.assertEqual(refusal.reason, Reason.KEY_HOME_GONE)

    async def test_the_true_refusal_outlives_the_last_host(self):
        refusal = await self.refusal(Script([Err(FULL)], n_hosts=1, n_tries=2))
        self.assertEqual(refusal, FULL)

    async def test_one_attempt_that_may_have_run_decides_the_verdict(self):
        refusal = await self.refusal(Script([Err(SILENCE), Err(FULL)]))
        self.assertEqual(refusal.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(refusal.reason, Reason.QUEUE_FULL)

    async def test_what_the_caller_was_told_can_be_explained(self):
        outcome = await self.outcome(Script([Err(FULL)]))
        (entry,) = self.decisions.explain(outcome.action)
        self.assertEqual(entry.what, "answered the caller with queue_full: not_run")
        self.assertEqual(entry.detail, "full")

    async def test_an_answer_ends_the_attempts(self):
        answer = Response(200, (), b"x")
        outcome = await self.outcome(Script([Err(FULL), Ok(answer)]))
        self.assertEqual(outcome.result, Ok(answer))

    async def test_a_refused_key_is_replaced_by_a_new_one(self):
        outcome = await self.outcome(Script([Err(FULL)]), "POST", "k")
        self.assertEqual(outcome.next_key, "new")
        outcome = await self.outcome(Script([Err(SILENCE)]), "POST", "k")
        self.assertEqual(outcome.next_key, "")
