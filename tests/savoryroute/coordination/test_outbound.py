"""Tests of the outcome of a request, over attempts with scripted results."""

import random
import time
import unittest

from result import Err, Ok

from savoryroute.coordination.action import ActionOpener
from savoryroute.coordination.admission_level import LevelMap
from savoryroute.coordination.hops import HopTable
from savoryroute.coordination.outbound import Outbound
from savoryroute.coordination.placement import Choice
from savoryroute.protocol.request import Request, Response
from savoryroute.state.decisions import DecisionLog
from savoryroute.state.document import document_from_plain
from savoryroute.state.member import Member, MemberStatus
from savoryroute.state.quarantine import Quarantine
from savoryroute.verdict import Reason, Refusal, Verdict
from tests.fleet import document

OWNER = Member("h1", "s", "a", "r", "127.0.0.1:1", 1, MemberStatus.ALIVE)
LOST = Refusal(Verdict.MAY_HAVE_RUN, Reason.CONNECTION_LOST, "connection lost")
OWNER_GONE = Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, "owner gone")
FULL = Refusal.not_run(Reason.QUEUE_FULL, "full", 2.0, is_load=True)


class ScriptedParts:
    """Stands in for attempts, placement and keys, with scripted results."""

    def __init__(self, results, n_hosts=5, attempts_max=None):
        self.results = list(results)
        self.n_hosts = n_hosts
        self.attempts_max = attempts_max or len(self.results)

    async def send(self, action, choice):
        return self.results.pop(0)

    def note_first_attempt(self, action):
        pass

    def try_retry(self, action, refusal, n_attempts):
        return n_attempts < self.attempts_max

    def choose(self, service, excluded, ejection, may_spill_over):
        return Choice(OWNER, False) if len(excluded) < self.n_hosts else None

    def owner_of(self, key):
        return Ok(OWNER)

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
            LevelMap(),
            HopTable(),
            script,
            Quarantine(time.monotonic, 2, 60.0),
            self.decisions,
            random.Random(1),
        )
        return await outbound.from_caller(Request("s", method, "/x", key=key))

    async def refusal(self, *args, **kwargs):
        return (await self.outcome(*args, **kwargs)).result.err_value

    async def test_lost_connection_before_a_removed_owner_is_reported(self):
        script = ScriptedParts([Err(LOST), Err(OWNER_GONE)])
        refusal = await self.refusal(script, "POST", "k")
        self.assertEqual(refusal.reason, Reason.CONNECTION_LOST)

    async def test_owner_removed_before_the_first_attempt_is_reported(self):
        refusal = await self.refusal(ScriptedParts([Err(OWNER_GONE)]), "POST", "k")
        self.assertEqual(refusal.reason, Reason.KEY_HOME_GONE)

    async def test_last_refusal_is_reported_when_no_host_is_left(self):
        refusal = await self.refusal(
            ScriptedParts([Err(FULL)], n_hosts=1, attempts_max=2)
        )
        self.assertEqual(refusal, FULL)

    async def test_one_attempt_that_may_have_run_sets_the_verdict(self):
        refusal = await self.refusal(ScriptedParts([Err(LOST), Err(FULL)]))
        self.assertEqual(refusal.verdict, Verdict.MAY_HAVE_RUN)
        self.assertEqual(refusal.reason, Reason.QUEUE_FULL)

    async def test_refusal_of_the_caller_is_in_the_decision_log(self):
        outcome = await self.outcome(ScriptedParts([Err(FULL)]))
        (entry,) = self.decisions.explain(outcome.action)
        self.assertEqual(entry.what, "told the caller queue_full: not_run")
        self.assertEqual(entry.detail, "full")

    async def test_answer_ends_the_attempts(self):
        answer = Response(200, (), b"x")
        outcome = await self.outcome(ScriptedParts([Err(FULL), Ok(answer)]))
        self.assertEqual(outcome.result, Ok(answer))

    async def test_new_key_is_offered_only_if_the_old_one_did_not_run(self):
        outcome = await self.outcome(ScriptedParts([Err(FULL)]), "POST", "k")
        self.assertEqual(outcome.next_key, "new")
        outcome = await self.outcome(ScriptedParts([Err(LOST)]), "POST", "k")
        self.assertEqual(outcome.next_key, "")
