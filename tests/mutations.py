"""Mutation tests: deliberate faults in the mechanisms behind each promise.

Run with ``python -m tests.mutations [WORD]``; a word selects the mutations whose
name contains it. Each fault is made in a scratch copy of the package, and the named
test must fail with it. docs/PROMISES.md lists the promises and refers to the mutations
by name.
"""

from __future__ import annotations

import concurrent.futures
import os
import pathlib
import shutil
import subprocess
import sys
import tempfile

import attrs

__all__ = ["MUTATIONS", "Mutation", "main"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
PACKAGE = ROOT / "packages" / "savoryroute" / "savoryroute"
TIMEOUT_S = 240
N_PARALLEL = 2

# One failing example shows that the fault is caught, so Hypothesis does not shrink it.
RUNNER = """
import sys
import hypothesis
import tests.run
hypothesis.settings.register_profile(
    "mutations", derandomize=True, deadline=None, database=None, print_blob=False,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
hypothesis.settings.load_profile("mutations")
sys.exit(tests.run.main())
"""


@attrs.frozen
class Mutation:
    """One deliberate fault.

    Attributes:
        name: Promise or mechanism, and the faulty behaviour.
        file: Path relative to the package.
        old: Text to replace; it must occur exactly once in the file.
        new: Replacement.
        test: Module, class or method that must fail.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


LEDGER = "tests.savoryroute.state.test_ledger"
MACHINE = f"{LEDGER}.TestLedgerMachine"
QUARANTINE = "tests.savoryroute.state.test_quarantine"
ALLOWANCE = "tests.savoryroute.coordination.test_allowance"
RETRIES = "tests.savoryroute.coordination.test_retries"
COUNTER = "tests.savoryroute.state.test_delivery_counter"
KEYS = "tests.savoryroute.state.test_idempotency_key"
NODE = "tests.savoryroute.coordination.test_node"
TRACE = "tests.savoryroute.coordination.test_traces.TraceTest.test_"
WEBSOCKET = "tests.savoryroute.protocol.test_websocket_network.WebSocketNetworkTest"
PROCESSES = "tests.savoryroute_lab.test_processes.ProcessTest"
FUZZ = "tests.savoryroute.coordination.test_fleet_fuzz.TestFleet"
DISTRIBUTION = "tests.savoryroute.coordination.test_distribution"
DOCUMENT_STORE = "tests.savoryroute.coordination.test_document_store"
PLACEMENT = "tests.savoryroute.coordination.test_placement"

MUTATIONS = [
    Mutation(
        "once: any incarnation may run a key",
        "state/ledger.py",
        "return (key.host, key.incarnation) == (self._host, self._incarnation)",
        "return key.host == self._host",
        MACHINE,
    ),
    Mutation(
        "once: any host may run a key",
        "state/ledger.py",
        "return (key.host, key.incarnation) == (self._host, self._incarnation)",
        "return key.incarnation == self._incarnation",
        MACHINE,
    ),
    Mutation(
        "once: no run window",
        "state/ledger.py",
        "if age_s > RUN_WINDOW_S:",
        "if age_s > 1e9:",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "once: record retention shorter than the run window",
        "state/ledger.py",
        "RECORD_RETENTION_S = 360.0",
        "RECORD_RETENTION_S = 200.0",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "once: keys of any age are run",
        "state/ledger.py",
        "        if age_s > RECORD_RETENTION_S:\n"
        "            return refusals.expired(RUN_WINDOW_S, Verdict.MAY_HAVE_RUN)\n"
        "        if age_s > RUN_WINDOW_S:\n"
        "            return refusals.expired(RUN_WINDOW_S, Verdict.NOT_RUN)\n",
        "",
        MACHINE,
    ),
    Mutation(
        "once: records of keys minted ahead are evicted too early",
        "state/ledger.py",
        "if record.settled_s >= since_s or record.minted_s >= since_s:",
        "if record.settled_s >= since_s:",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "once: keys minted far in the future are run",
        "state/ledger.py",
        "if age_s < -MINT_AHEAD_MAX_S:",
        "if age_s < -1e9:",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "once: a duplicate of a running action also runs",
        "state/ledger.py",
        "entry = self._running.get(text)",
        "entry = None",
        MACHINE,
    ),
    Mutation(
        "once: records of settled keys are evicted immediately",
        "state/ledger.py",
        "since_s = self._uptime_s() - RECORD_RETENTION_S",
        "since_s = self._uptime_s()",
        MACHINE,
    ),
    Mutation(
        "once: another body under the same key gets the answer",
        "state/ledger.py",
        "if record.fingerprint not in (None, fingerprint):",
        "if False:",
        MACHINE,
    ),
    Mutation(
        "once: another body under the same key waits for the answer",
        "state/ledger.py",
        "if entry.fingerprint != fingerprint:",
        "if False:",
        MACHINE,
    ),
    Mutation(
        "not run: a full ledger does not fence the keys it refuses",
        "state/ledger.py",
        "self._fenced_to_ms = max(self._fenced_to_ms, parsed_key.minted_ms)",
        "pass",
        LEDGER,
    ),
    Mutation(
        "not run: a refused cancellation is not fenced",
        "state/ledger.py",
        "            self._fence_unseen(parsed_key, refusals.spent())\n"
        "            return Refuse(refusal)",
        "            return Refuse(refusal)",
        LEDGER,
    ),
    Mutation(
        "not run: a fence is not recorded",
        "state/ledger.py",
        "        self._fence_unseen(parsed_key, outcome)\n"
        "        return Verdict.NOT_RUN",
        "        return Verdict.NOT_RUN",
        MACHINE,
    ),
    Mutation(
        "not run: reported by the fence of a running action",
        "state/ledger.py",
        "            return Verdict.MAY_HAVE_RUN\n        record",
        "            return Verdict.NOT_RUN\n        record",
        MACHINE,
    ),
    Mutation(
        "not run: reported for keys past the record retention",
        "state/ledger.py",
        "refusals.expired(RUN_WINDOW_S, Verdict.MAY_HAVE_RUN)",
        "refusals.expired(RUN_WINDOW_S, Verdict.NOT_RUN)",
        MACHINE,
    ),
    Mutation(
        "not run: reported for a key of another owner",
        "state/ledger_refusals.py",
        "return _refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, detail)",
        "return _refusal(Verdict.NOT_RUN, Reason.KEY_HOME_GONE, detail)",
        MACHINE,
    ),
    Mutation(
        'not run: replaces the outcome "may have run"',
        "state/ledger_entry.py",
        "        if self._outcome is not None:\n"
        "            return False\n"
        "        return self._end(attrs.evolve",
        "        return self._end(attrs.evolve",
        LEDGER,
    ),
    Mutation(
        "cancel: accepted while its target runs",
        "state/ledger.py",
        "        if str(target) in self._running:\n"
        "            return refusals.in_progress(RETRY_AFTER_S)\n",
        "",
        MACHINE,
    ),
    Mutation(
        "cancel: an unseen target is not fenced",
        "state/ledger.py",
        "        self._fence_unseen(target, refusals.cancelled())\n",
        "",
        MACHINE,
    ),
    Mutation(
        "cancel: a target of another owner needs no fence",
        "state/ledger.py",
        "if target.host != self._host:",
        "if False:",
        MACHINE,
    ),
    Mutation(
        "cancel: no grace period after a lost connection",
        "state/ledger.py",
        "CANCEL_GRACE_S = 2.0",
        "CANCEL_GRACE_S = 0.0",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "cancel: one key may cancel two targets",
        "state/ledger.py",
        "fingerprint = _with_target(fingerprint, cancels)",
        "pass",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "ledger: recorded answers may fill the whole ledger",
        "state/ledger.py",
        "min(left / ANSWER_DIVISOR, RECORDED_BODY_BYTES_MAX)",
        "RECORDED_BODY_BYTES_MAX",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "ledger: eviction frees no bytes",
        "state/ledger.py",
        "        self._n_bytes -= RECORD_BYTES + record.answer_bytes\n",
        "",
        f"{LEDGER}.TestLedger",
    ),
    Mutation(
        "keys: incarnations with leading zeros are accepted",
        "state/idempotency_key.py",
        "(?P<incarnation>0|[1-9][0-9]{0,18})",
        "(?P<incarnation>[0-9]{1,19})",
        KEYS,
    ),
    Mutation(
        "poison: a crash reported twice counts twice",
        "state/quarantine.py",
        "            self._add(request, crash_id, _Event(at_s, is_alone, is_cleared))",
        "            self._add(request, crash_id, _Event(at_s, is_alone, is_cleared))\n"
        "            self._add(request, crash_id ^ 1, _Event(at_s, is_alone))",
        QUARANTINE,
    ),
    Mutation(
        "poison: crashes reported by peers are ignored",
        "state/quarantine.py",
        "            if _is_row(row):",
        "            if False:",
        QUARANTINE,
    ),
    Mutation(
        "poison: suspect requests run concurrently",
        "state/quarantine.py",
        "if is_suspect and self._is_suspect_in_flight():",
        "if False:",
        QUARANTINE,
    ),
    Mutation(
        "poison: success does not clear a concurrent request",
        "state/quarantine.py",
        "if not event.is_alone and not event.is_cleared:",
        "if False:",
        QUARANTINE,
    ),
    Mutation(
        "poison: success lifts a quarantine",
        "state/quarantine.py",
        "        if self._is_quarantined(request):\n            return\n",
        "",
        QUARANTINE,
    ),
    Mutation(
        "poison: quarantine never ends",
        "state/quarantine.py",
        "return self._last_age_s(request) < self._duration_s",
        "return True",
        QUARANTINE,
    ),
    Mutation(
        "attempts: a delivery uses no allowance",
        "coordination/allowance.py",
        "        self._left -= 1\n",
        "",
        f"{ALLOWANCE}.TestAllowance.test_lends_three_quarters_and_at_least_one",
    ),
    Mutation(
        "attempts: a loan uses no allowance",
        "coordination/allowance.py",
        "        self._left -= n_lent\n",
        "",
        ALLOWANCE,
    ),
    Mutation(
        "attempts: more allowance is returned than was lent",
        "coordination/allowance.py",
        "n = min(max(0, n), self._lent)",
        "n = max(0, n)",
        ALLOWANCE,
    ),
    Mutation(
        "attempts: one delivery too many in a window",
        "state/delivery_counter.py",
        "if len(times) >= maximum:",
        "if len(times) > maximum:",
        COUNTER,
    ),
    Mutation(
        "attempts: a full counter allows every delivery",
        "state/delivery_counter.py",
        "len(self) >= self._actions_max:\n            return False",
        "len(self) >= self._actions_max:\n            return True",
        COUNTER,
    ),
    Mutation(
        "retries: on top of a downstream retry",
        "coordination/retries.py",
        "if refusal.from_downstream or refusal.reason in _NEVER_RETRIED:",
        "if refusal.reason in _NEVER_RETRIED:",
        RETRIES,
    ),
    Mutation(
        "retries: keyed action although its owner has answered",
        "coordination/retries.py",
        "    if is_keyed:\n        return refusal.reason in _OWNER_UNRESPONSIVE\n",
        "",
        RETRIES,
    ),
    Mutation(
        "retries: non-idempotent request that may have run",
        "coordination/retries.py",
        "return refusal.verdict is Verdict.NOT_RUN or is_idempotent",
        "return True",
        RETRIES,
    ),
    Mutation(
        "retries: the budget is unlimited",
        "coordination/retries.py",
        "        self._tokens -= 1.0\n",
        "",
        RETRIES,
    ),
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
        "protocol/upstream_http.py",
        "        if answer.content_length > limit:\n            return None\n",
        '        if answer.content_length > limit:\n            return b""\n',
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
    Mutation(
        "mesh uploads: a call starts before its body is complete",
        "protocol/body_transfer.py",
        "if incoming.received_bytes < call.body_bytes:",
        "if incoming.received_bytes < call.body_bytes // 2:",
        "tests.savoryroute.protocol.test_body_transfer.IncomingBodiesTest",
    ),
    Mutation(
        "mesh uploads: a body that was sent in full counts as incomplete",
        "protocol/body_transfer.py",
        "del self._outgoing[outgoing.call_id]",
        "pass",
        "tests.savoryroute.protocol.test_body_transfer.BodySenderTest",
    ),
    Mutation(
        "mesh uploads: a call cut off in its body is not sent elsewhere",
        "coordination/peer_links.py",
        "on_answer(_lost(connection.peer_ip, link.bodies.stop(call_id)))",
        "on_answer(_lost(connection.peer_ip, False))",
        "tests.savoryroute_platform.test_uploads.LostLinkTest",
    ),
    Mutation(
        "mesh uploads: bodies are held without a limit",
        "state/body_budget.py",
        "if not is_small and has_others and total_bytes > self._limit_bytes:",
        "if False:",
        "tests.savoryroute_platform.test_uploads.MemoryTest",
    ),
    Mutation(
        "mesh uploads: the memory of an abandoned body stays reserved",
        "transport/http_server.py",
        "        self._is_closing = True\n        self._release_reserved()\n",
        "        self._is_closing = True\n",
        "tests.savoryroute_platform.test_uploads.SlowCallerTest",
    ),
    Mutation(
        "mesh uploads: the deadline counts from the last byte",
        "coordination/first_hop.py",
        "request.begun_s + time_left_s,",
        "request.read_s + time_left_s,",
        "tests.savoryroute_platform.test_uploads.SlowCallerTest",
    ),
    Mutation(
        "mesh attempts: a rejected request reaches all upstreams",
        "coordination/attempt_choice.py",
        "if len(forwarded.reached) < forwarded.route.attempts_max:",
        "if True:",
        "tests.savoryroute_platform.test_path.RejectionTest",
    ),
    Mutation(
        "mesh attempts: a lost answer of an unsafe request is retried",
        "coordination/retry_rule.py",
        "if is_idempotent and n_arrivals < attempts_max:",
        "if n_arrivals < attempts_max:",
        "tests.savoryroute_platform.test_path.UnsafeTest",
    ),
    Mutation(
        "mesh retries: calls of repeated runs are not counted",
        "coordination/fleet_retries.py",
        "self._advance(service).balance -= 1.0",
        "self._advance(service)",
        "tests.savoryroute.coordination.test_fleet_retries.FleetBoundTest",
    ),
    Mutation(
        "mesh retries: each daemon saves up the slack of the fleet",
        "coordination/fleet_retries.py",
        "slack = self._slack * SLACK_SHARE / self._n_daemons",
        "slack = self._slack * SLACK_SHARE",
        "tests.savoryroute.coordination.test_fleet_retries.FleetBoundTest",
    ),
    Mutation(
        "mesh retries: no part is reserved for better ranks",
        "coordination/fleet_retries.py",
        "budget.balance - _reserved_share(rank, n_done) * budget.balance_max",
        "budget.balance",
        "tests.savoryroute.coordination.test_fleet_retries.ServiceBudgetTest",
    ),
    Mutation(
        "mesh throttle: failures with free slots refuse whole routes",
        "coordination/throttle.py",
        "is_load_failure and pressure >= FULL_PRESSURE",
        "is_load_failure",
        "tests.savoryroute.coordination.test_shed_chains",
    ),
    Mutation(
        "mesh routes: a route that cannot be read gets a 404",
        "coordination/first_hop.py",
        "if route is None and table.is_complete:",
        "if route is None or not route.parts:",
        "tests.savoryroute_platform.test_unreadable_routes",
    ),
]


def _is_caught(mutation: Mutation) -> bool:
    """Return whether the named test fails with the fault.

    Raises:
        ValueError: The text to replace does not occur exactly once, or the test did
            not load.
    """
    with tempfile.TemporaryDirectory() as folder:
        copy = pathlib.Path(folder) / "savoryroute"
        shutil.copytree(PACKAGE, copy, ignore=shutil.ignore_patterns("__pycache__"))
        file = copy / mutation.file
        text = file.read_text()
        if text.count(mutation.old) != 1:
            raise ValueError(
                f"{mutation.name}: the text to replace must occur exactly once"
            )
        file.write_text(text.replace(mutation.old, mutation.new))
        path = os.pathsep.join([folder, os.environ.get("PYTHONPATH", ""), str(ROOT)])
        run = subprocess.run(
            [sys.executable, "-c", RUNNER, mutation.test],
            cwd=ROOT,
            env={**os.environ, "PYTHONPATH": path},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    if "_FailedTest" in run.stderr:
        raise ValueError(f"{mutation.name}: the named test could not be loaded")
    return run.returncode == 1 and "failed" in run.stdout


def main() -> int:
    """Run the selected mutations and return how many their tests did not catch."""
    word = sys.argv[1] if len(sys.argv) > 1 else ""
    selected = [mutation for mutation in MUTATIONS if word in mutation.name]
    n_missed = 0
    with concurrent.futures.ThreadPoolExecutor(N_PARALLEL) as pool:
        for mutation, is_caught in zip(
            selected, pool.map(_is_caught, selected), strict=True
        ):
            print(f"{'caught' if is_caught else 'NOT caught'}: {mutation.name}")
            n_missed += not is_caught
    print(f"{len(selected) - n_missed} of {len(selected)} caught")
    return n_missed


if __name__ == "__main__":
    sys.exit(main())
