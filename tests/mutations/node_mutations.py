"""Deliberate faults in the document-driven daemon as a whole."""

from __future__ import annotations

from .mutation import Mutation

__all__ = ["NODE_MUTATIONS"]

NODE = "tests.savoryroute.coordination.test_node"
TRACE = "tests.savoryroute.coordination.test_traces.TraceTest.test_"
WEBSOCKET = "tests.savoryroute.protocol.test_websocket_network.WebSocketNetworkTest"
PROCESSES = "tests.savoryroute_lab.test_processes.ProcessTest"
FUZZ = "tests.savoryroute.coordination.test_fleet_fuzz.TestFleet"
DISTRIBUTION = "tests.savoryroute.coordination.test_distribution"
DOCUMENT_STORE = "tests.savoryroute.coordination.test_document_store"
PLACEMENT = "tests.savoryroute.coordination.test_placement"

NODE_MUTATIONS = [
    Mutation(
        "node once: keyed calls bypass the ledger",
        "coordination/inbound.py",
        "        if call.key:\n",
        "        if False:\n",
        f"{TRACE}reply_lost_then_other_domain",
    ),
    Mutation(
        "node once: a failed run is recorded as not run",
        "coordination/inbound.py",
        "            entry.may_have_run(result.err_value)",
        "            entry.not_run(result.err_value)",
        f"{TRACE}delete_ran_then_dropped",
    ),
    Mutation(
        "node not run: a lost upstream connection is reported as not run",
        "protocol/upstream_http.py",
        "return Err(Refusal(Verdict.MAY_HAVE_RUN, reason, detail))",
        "return Err(Refusal(Verdict.NOT_RUN, reason, detail))",
        f"{TRACE}delete_ran_then_dropped",
    ),
    Mutation(
        "node once: the HTTP client re-sends requests on its own",
        "protocol/upstream_http.py",
        "self._session._retry_connection = False",
        "self._session._retry_connection = True",
        f"{NODE}.AtMostOnceTest.test_an_action_with_a_lost_answer_runs_once",
    ),
    Mutation(
        "node not run: reported without a fence at the key owner",
        "coordination/keys.py",
        "        if await self.fence(key) is Verdict.NOT_RUN:\n",
        "        if True:\n",
        f"{TRACE}home_unreachable_after_run",
    ),
    Mutation(
        "node cancel: the target is not fenced at its key owner",
        "coordination/keys.py",
        "        verdict = await self.fence(cancels, is_cancellation=True)\n",
        "        verdict = Verdict.NOT_RUN\n",
        f"{TRACE}cancellation_overtakes_at_another_home",
    ),
    Mutation(
        "node cancel: a fence does not state that it is for a cancellation",
        "coordination/inbound.py",
        "self._ledger.fence(frame.key, frame.is_cancellation)",
        "self._ledger.fence(frame.key, False)",
        f"{TRACE}cancellation_overtakes_at_another_home",
    ),
    Mutation(
        "node not run: a read ignores that an attempt was lost",
        "coordination/outbound.py",
        "                verdict = Verdict.MAY_HAVE_RUN\n",
        "                verdict = Verdict.NOT_RUN\n",
        f"{TRACE}read_lost_then_shed",
    ),
    Mutation(
        "node not run: a session refuses a keyed call as not run",
        "protocol/peer_session.py",
        "Verdict.MAY_HAVE_RUN if call.key else Verdict.NOT_RUN",
        "Verdict.NOT_RUN",
        f"{WEBSOCKET}.test_excess_calls_are_reported_not_run_only_without_a_key",
    ),
    Mutation(
        "node attempts: deliveries of one action are not counted",
        "coordination/upstream_guard.py",
        "if not self._counter.count_delivery(delivery_key, maximum):",
        "if False:",
        f"{TRACE}deliveries_of_one_action",
    ),
    Mutation(
        "node attempts: each answer returns the full loan",
        "coordination/attempts.py",
        "action.allowance.give_back(min(lent, answer.allowance_left))",
        "action.allowance.give_back(lent)",
        f"{TRACE}allowance_of_one_sending",
    ),
    Mutation(
        "node order: each hop uses the class of its own route",
        "coordination/action.py",
        "class_name = route.class_name if hop is None else hop.class_name",
        "class_name = route.class_name",
        f"{TRACE}class_of_the_whole_action",
    ),
    Mutation(
        "node order: all classes have the same rank",
        "coordination/upstream_guard.py",
        "            policy.rank,\n",
        "            0,\n",
        f"{NODE}.OverloadTest",
    ),
    Mutation(
        "node complete: a truncated answer is passed on",
        "protocol/upstream_http.py",
        'return _may_have_run(Reason.BAD_ANSWER, "the answer body is incomplete")',
        'return Ok(Response(200, (), b""))',
        f"{NODE}.CompleteAnswersTest.test_a_truncated_answer_is_not_delivered",
    ),
    Mutation(
        "node complete: an oversized answer is truncated",
        "transport/bounded_read.py",
        "answer.content_length > limit:\n        return None\n",
        'answer.content_length > limit:\n        return b""\n',
        f"{NODE}.CompleteAnswersTest.test_an_answer_above_the_limit_is_refused",
    ),
    Mutation(
        "node complete: calls on a link share one id",
        "protocol/peer_session.py",
        "        self._next_id += 1\n",
        "        self._next_id = 1\n",
        f"{NODE}.CompleteAnswersTest.test_concurrent_answers_reach_their_own_callers",
    ),
    Mutation(
        "node cancel: downstream calls continue after a disconnect",
        "protocol/peer_session.py",
        "            await self.send(Cancel(number))\n",
        "            pass\n",
        f"{NODE}.CancellationTest",
    ),
    Mutation(
        "node poison: retries of lost requests run concurrently",
        "coordination/attempts.py",
        "was_lost=action.n_lost > 0",
        "was_lost=False",
        f"{TRACE}crash_request_and_neighbours",
    ),
    Mutation(
        "node poison: lost requests are not noted as crash evidence",
        "coordination/upstream_guard.py",
        "            self._crashes.note_lost(arrival.fingerprint)\n",
        "            pass\n",
        f"{NODE}.PoisonTest",
    ),
    Mutation(
        "node leaving: a leaving host accepts new work",
        "coordination/upstream_guard.py",
        "        if self._is_leaving:\n",
        "        if False:\n",
        f"{NODE}.LeavingTest.test_a_leaving_upstream_gets_no_new_work",
    ),
    Mutation(
        "node stop: calls in flight are not awaited",
        "coordination/node.py",
        "while self._n_open and time.monotonic() < deadline_s:",
        "while False:",
        f"{PROCESSES}.test_graceful_stop_of_a_daemon_interrupts_no_request",
    ),
    Mutation(
        "node stop: open connections are not closed gracefully",
        "coordination/node.py",
        "        self._callers.announce_leaving()\n",
        "",
        f"{PROCESSES}.test_graceful_stop_of_a_daemon_interrupts_no_request",
    ),
    Mutation(
        "node document: an older revision replaces a newer one",
        "coordination/document_store.py",
        "        if revision <= self._revision:\n"
        "            return Outcome.OLD\n"
        "        return self._offer_parsed(",
        # _offer_parsed checks the revision again, so it has to pass there too.
        "        if revision == self._revision:\n"
        "            return Outcome.OLD\n"
        "        self._revision = min(self._revision, revision - 1)\n"
        "        return self._offer_parsed(",
        DISTRIBUTION,
    ),
    Mutation(
        "node document: an older revision replaces one that came during its parsing",
        "coordination/document_store.py",
        "        if revision <= self._revision:\n"
        "            return Outcome.OLD\n"
        "        if parsed.is_err():\n",
        "        if revision == self._revision:\n"
        "            return Outcome.OLD\n"
        "        if parsed.is_err():\n",
        DOCUMENT_STORE,
    ),
    Mutation(
        "node document: a restarted daemon does not ask its peers",
        "coordination/distribution.py",
        "        if revision <= channel.store.revision:\n",
        "        if True:\n",
        DISTRIBUTION,
    ),
    Mutation(
        "node document: a trial document beside production is enforced",
        "coordination/active_document.py",
        "if environment == PRODUCTION or not self._is_enforced:",
        "if True:",
        f"{NODE}.TrialTest.test_a_trial_document_beside_production_is_only_reported",
    ),
    Mutation(
        "fleet fuzz: keyed calls bypass the ledger",
        "coordination/inbound.py",
        "        if call.key:\n",
        "        if False:\n",
        FUZZ,
    ),
    Mutation(
        "fleet fuzz: a lost upstream connection is reported as not run",
        "protocol/upstream_http.py",
        "return Err(Refusal(Verdict.MAY_HAVE_RUN, reason, detail))",
        "return Err(Refusal(Verdict.NOT_RUN, reason, detail))",
        FUZZ,
    ),
    Mutation(
        "node placement: no cap on ejections",
        "coordination/placement.py",
        "return n_unavailable + 1 <= ejection.maximum_fraction * len(members)",
        "return True",
        PLACEMENT,
    ),
]
