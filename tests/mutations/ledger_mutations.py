"""Deliberate faults in what one daemon keeps: keys, poison requests, attempts."""

from __future__ import annotations

from .mutation import Mutation

__all__ = ["LEDGER_MUTATIONS"]

LEDGER = "tests.savoryroute.state.test_ledger"
MACHINE = f"{LEDGER}.TestLedgerMachine"
QUARANTINE = "tests.savoryroute.state.test_quarantine"
ALLOWANCE = "tests.savoryroute.coordination.test_allowance"
RETRIES = "tests.savoryroute.coordination.test_retries"
COUNTER = "tests.savoryroute.state.test_delivery_counter"
KEYS = "tests.savoryroute.state.test_idempotency_key"

LEDGER_MUTATIONS = [
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
        "return self._add(request, crash_id, _Event(at_s, is_alone, is_cleared))",
        "self._add(request, crash_id, _Event(at_s, is_alone, is_cleared))\n"
        "            return self._add(request, crash_id ^ 1, _Event(at_s, is_alone))",
        QUARANTINE,
    ),
    Mutation(
        "poison: crashes reported by peers are ignored",
        "state/quarantine.py",
        "if _is_row(row) and self._merge_row(*row)",
        "if False",
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
        "poison: crashes of other requests evict those of a quarantined one",
        "state/quarantine.py",
        "self._remove(self._least_needed())",
        "self._remove(next(iter(self._events)))",
        QUARANTINE,
    ),
    Mutation(
        "poison: quarantine never ends",
        "state/quarantine.py",
        "return self._last_age_s(request) < self._length_s(request)",
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
]
