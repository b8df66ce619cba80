"""Deliberate faults in the daemon on a platform."""

from __future__ import annotations

from .mutation import Mutation

__all__ = ["MESH_MUTATIONS"]


MESH_MUTATIONS = [
    Mutation(
        "mesh answers: a head without end is read until the deadline",
        "transport/http_client.py",
        "elif self._framing_bytes > FRAMING_BYTES_MAX:",
        "elif False:",
        "tests.savoryroute.transport.test_http_client.EndlessAnswerTest",
    ),
    Mutation(
        "mesh answers: the memory of an answer stays reserved",
        "transport/http_client.py",
        "self._pool.bodies.release(self._body_bytes)",
        "pass",
        "tests.savoryroute.transport.test_http_client.EndlessAnswerTest",
    ),
    Mutation(
        "mesh leaving: first hops forget that an upstream leaves",
        "coordination/instance_selector.py",
        "        if answer.is_leaving:",
        "        if False:",
        "tests.savoryroute_platform.test_leaving_upstreams",
    ),
    Mutation(
        "mesh leaving: an upstream that started again counts as leaving",
        "coordination/local_upstream.py",
        '        self._leaving_instance = ""\n        self._rate_limit_text = None\n',
        "        self._rate_limit_text = None\n",
        "tests.savoryroute_platform.test_leaving_upstreams",
    ),
    Mutation(
        "mesh limits: each answer grants the rate limit again",
        "coordination/rate_limit.py",
        "        else:\n            self._refill()\n",
        "        else:\n            self._tokens = 1.0\n",
        "tests.savoryroute.coordination.test_rate_limit",
    ),
    Mutation(
        "mesh limits: waiting calls ignore the rate limit",
        "coordination/call_queue.py",
        "return self._n_running < self._slots and self._rate_limit.allows_call",
        "return self._n_running < self._slots",
        "tests.savoryroute.coordination.test_rate_limit",
    ),
    Mutation(
        "mesh limits: nothing starts at a limit of zero",
        "coordination/rate_limit.py",
        "self._per_s = max(RATE_MIN_PER_S, per_s)",
        "self._per_s = max(1e-9, per_s)",
        "tests.savoryroute.coordination.test_rate_limit",
    ),
    Mutation(
        "mesh poison: what peers report is not forwarded",
        "coordination/crash_reports.py",
        "            self._forward([FrameKind.SUSPECTS.value, rows], ip)",
        "            pass",
        "tests.savoryroute.coordination.test_crash_reports",
    ),
    Mutation(
        "mesh poison: only the first rows of a crash are reported",
        "coordination/crash_reports.py",
        "while rows := self._quarantine.export_new():\n            self._broadcast(",
        "if rows := self._quarantine.export_new():\n            self._broadcast(",
        "tests.savoryroute.coordination.test_crash_reports",
    ),
    Mutation(
        "mesh poison: a daemon that restarts learns of no earlier crash",
        "coordination/crash_reports.py",
        "return [FrameKind.SUSPECTS.value, rows] if rows else None",
        "return None",
        "tests.savoryroute.coordination.test_crash_reports",
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
        "tests.savoryroute_platform.test_attempts.RejectionTest",
    ),
    Mutation(
        "mesh attempts: a lost answer of an unsafe request is retried",
        "coordination/retry_rule.py",
        "if is_idempotent and n_arrivals < attempts_max:",
        "if n_arrivals < attempts_max:",
        "tests.savoryroute_platform.test_attempts.UnsafeTest",
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
