"""Tests of callers of organisations on the path: daemons, a store and upstreams."""

import asyncio
import json
import unittest
from unittest import mock

from savoryroute.coordination.view_synchronizer import ViewSynchronizer
from savoryroute.transport.frame_link import FrameLink

from .mesh_fleet import MeshFleet
from .stand_ins import configuration, path, tenant

HOST = "shop.example"
FIRST, SECOND = "key-of-first", "key-of-second"
TENANTS = [tenant("first", FIRST, priority=0), tenant("second", SECOND)]


class OrganisationsTest(unittest.IsolatedAsyncioTestCase):
    """A first hop (host 0), one upstream (host 1), routes of which one is public."""

    async def asyncSetUp(self):
        self.fleet = await MeshFleet(
            ["front", "planner"],
            members={"tenants": TENANTS},
            strict_revocation=True,
            revocation_s="5s",
        ).start()
        self.addAsyncCleanup(self.fleet.stop)
        await self.publish(2, TENANTS)
        self.caller = await self.fleet.caller(0)
        self.front, self.planner = self.fleet.upstreams

    async def publish(self, version, tenants):
        paths = [
            path("/planner/", "planner", "unsafe", **{"target-latency": "8000ms"}),
            path("/front/", "front", "unsafe", **{"target-latency": "8000ms"}),
            path("/open/", "planner", public=True),
        ]
        members = {} if tenants is ... else {"tenants": tenants}
        source = configuration(version, {HOST: paths}, ["front", "planner"], **members)
        self.fleet.store.put("op/config", source)
        await self.fleet.wait_until(
            lambda: all(
                node.synchronizer.table.version == version for node in self.fleet.nodes
            )
        )

    async def request(self, target="/planner/x", key=None, **headers):
        fields = {"Authorization": f"Token {key}"} if key else {}
        return await self.caller.request(target, headers=fields | headers)

    async def assert_refused(self, answer, status, reason):
        self.assertEqual(answer.status, status)
        self.assertEqual(json.loads(answer.body), {"reason": reason})
        is_401 = status == 401
        self.assertEqual(answer.headers.get("www-authenticate") == "Token", is_401)
        self.assertEqual("retry-after" in answer.headers, not is_401)

    def set_proof_age(self, age_s):
        patched = mock.patch.object(ViewSynchronizer, "proof_age_s", age_s)
        patched.start()
        self.addCleanup(patched.stop)

    def logged(self, event):
        for node in self.fleet.nodes:
            node._log.flush()
        return [line for line in self.fleet.log_lines if line["event"] == event]

    async def occupy_upstreams(self, seconds):
        """Fill the slots of both upstreams for some seconds."""
        callers = []
        for upstream in (self.front, self.planner):
            upstream.delay_s = seconds
        n_slots = self.fleet.nodes[0]._queue.slots
        for target in ["/planner/x"] * n_slots + ["/front/x"] * n_slots:
            callers.append(await self.fleet.caller(0))
            fields = {"Authorization": f"Token {SECOND}"}
            callers[-1].write(target, method="POST", headers=fields)
        await self.fleet.wait_until(
            lambda: len(self.planner.runs) == len(self.front.runs) == n_slots
        )
        return callers


class IdentityTest(OrganisationsTest):
    async def test_upstream_gets_the_organisation_and_never_the_key(self):
        """Guards against forged names and forwarded keys, in any spelling."""
        headers = {"aUTHORIZATION": f"tOKEN {FIRST}", "tEnAnT": "second"}
        answer = await self.caller.request("/planner/x", headers=headers)
        self.assertEqual(answer.status, 200)
        (run,) = self.planner.runs
        self.assertEqual(run["tenant"], "first")
        self.assertNotIn("authorization", run)
        self.assertNotIn(FIRST, str(run))

    async def test_header_that_is_folded_into_another_is_not_forwarded(self):
        answer = await self.request(key=FIRST, **{"X-A": "1\r\n Tenant: second"})
        self.assertIn(answer.status, (200, 400))
        for run in self.planner.runs:
            self.assertEqual(run["tenant"], "first")

    async def test_requests_without_exactly_one_valid_key(self):
        await self.assert_refused(await self.request(), 401, "key_required")
        for value in ("Token no-key", f"Bearer {FIRST}", f"Token {FIRST} {FIRST}"):
            answer = await self.request(Authorization=value)
            await self.assert_refused(answer, 401, "key_invalid")
        answer = await self.request(key=FIRST, AUTHORIZATION=f"Token {FIRST}")
        await self.assert_refused(answer, 401, "key_invalid")
        self.assertEqual(self.planner.runs, [])

    async def test_public_route(self):
        for key in (None, "no-key", FIRST):
            answer = await self.request("/open/x", key, Tenant="forged")
            self.assertEqual(answer.status, 200)
        names = [run.get("tenant") for run in self.planner.runs]
        self.assertEqual(names, [None, None, "first"])
        self.assertNotIn("authorization", str(self.planner.runs))

    async def test_without_organisations_headers_are_forwarded(self):
        await self.publish(3, ...)
        answer = await self.request(key="any", Tenant="theirs")
        self.assertEqual(answer.status, 200)
        (run,) = self.planner.runs
        self.assertEqual((run["authorization"], run["tenant"]), ("token any", "theirs"))

    async def test_unknown_route_is_404_before_the_key_is_asked_for(self):
        self.assertEqual((await self.request("/nothing/x")).status, 404)

    async def test_organisation_and_rank_reach_the_daemon_beside_the_upstream(self):
        calls = []
        upstream = self.fleet.nodes[1]._upstream
        run = upstream.run
        upstream.run = lambda call, *rest: (calls.append(call), run(call, *rest))[1]
        for key in (SECOND, FIRST):
            await self.request(key=key)
        self.assertEqual([c.organisation for c in calls], ["second", "first"])
        self.assertGreater(calls[0].rank, calls[1].rank)

    async def test_key_is_nowhere_but_in_the_request(self):
        """Guards against keys in log lines, metrics, frames and answers."""
        frames = []
        send = FrameLink.send
        with mock.patch.object(
            FrameLink, "send", lambda s, f: (frames.append(repr(f)), send(s, f))[1]
        ):
            bodies = []
            for target in ("/planner/x", "/open/x", "/nothing/x"):
                for value in (f"Token {FIRST}", f"Token no-{FIRST}", f"Other {FIRST}"):
                    answer = await self.request(target, Authorization=value)
                    bodies.append(repr(vars(answer)))
            # Host 1 gets the next configuration from its peer.
            for task in self.fleet._tasks[1]:
                task.cancel()
            self.fleet.nodes[1].synchronizer.set_platform_reachable(False, "refused")
            bad = TENANTS + [tenant("bad", FIRST) | {"priority": FIRST}, FIRST]
            await self.publish(3, bad)
            await self.request(key=FIRST)
        metrics = [node._metrics.render("")[0] for node in self.fleet.nodes]
        self.logged("")
        self.assertTrue(any("tenants" in frame for frame in frames))
        shown = f"{self.fleet.log_lines} {metrics} {frames} {bodies}"
        self.assertIn("organisation_requests", shown)
        for key in (FIRST, SECOND):
            self.assertNotIn(key, shown)

    async def test_log_and_metrics_name_the_organisation(self):
        await self.request(key=FIRST)
        self.set_proof_age(4.8)
        await self.request(key=FIRST)
        await self.request()
        stale, missing = self.logged("refused")
        self.assertEqual((stale["organisation"], stale["proof_age_s"]), ("first", 4.8))
        self.assertEqual(missing["organisation"], "")
        text = self.fleet.nodes[0]._metrics.render("text/plain")[0].decode()
        self.assertIn('organisation_requests{of="first"} 1', text)
        self.assertIn('organisation_refused{of="first"} 1', text)
        self.assertIn('organisation_unauthorised{of=""} 1', text)


class ProofTest(OrganisationsTest):
    async def test_old_proof(self):
        """Guards against keys that count after they may have been revoked."""
        self.set_proof_age(4.74)
        self.assertEqual((await self.request(key=FIRST)).status, 200)
        self.set_proof_age(4.75)
        for key in (FIRST, "no-key"):
            answer = await self.request(key=key)
            await self.assert_refused(answer, 503, "stale_configuration")
        for key in (FIRST, None):
            self.assertEqual((await self.request("/open/x", key)).status, 200)
        names = [run.get("tenant") for run in self.planner.runs]
        self.assertEqual(names, ["first", None, None])


class FailureTableTest(OrganisationsTest):
    """One test for each row of the failure table of the design."""

    async def test_organisation_dropped_with_requests_waiting(self):
        """Guards against requests that start although their key was withdrawn."""
        busy = await self.occupy_upstreams(0.8)
        waiting = []
        # One waits beside the first hop, one at another host.
        for target in ("/front/x", "/planner/x"):
            waiting.append(await self.fleet.caller(0))
            fields = {"Authorization": f"Token {FIRST}"}
            waiting[-1].write(target, method="POST", headers=fields)
        queues = [node._queue for node in self.fleet.nodes]
        await self.fleet.wait_until(lambda: all(q.n_waiting == 1 for q in queues), 1.0)
        await self.publish(3, TENANTS[1:])
        for caller in waiting:
            await self.assert_refused(await caller.read(), 503, "key_invalid")
        self.assertEqual([q.n_waiting for q in queues], [0, 0])
        for caller in busy:
            self.assertEqual((await caller.read()).status, 200)
        self.assertEqual(len(self.front.runs) + len(self.planner.runs), len(busy))
        self.assertEqual((await self.request(key=FIRST)).status, 401)

    async def test_organisation_dropped_with_requests_running(self):
        self.planner.delay_s = 0.4
        self.caller.write("/planner/x", headers={"Authorization": f"Token {FIRST}"})
        await self.fleet.wait_until(lambda: self.planner.runs)
        await self.publish(3, TENANTS[1:])
        self.assertEqual((await self.caller.read()).status, 200)

    async def test_organisation_dropped_before_the_body_is_sent(self):
        """A request that waits for its link has not run and must not run later."""
        links = self.fleet.nodes[0]._links
        links._links.clear()
        links._dialling[self.fleet.ip(1)] = asyncio.Future()
        self.caller.write("/planner/x", headers={"Authorization": f"Token {FIRST}"})
        await self.fleet.wait_until(lambda: links._queued)
        await self.publish(3, TENANTS[1:])
        await self.assert_refused(await self.caller.read(), 503, "key_invalid")
        self.assertFalse(any(links._queued.values()))

    async def test_whole_value_unreadable(self):
        await self.publish(3, {"first": [FIRST]})
        for key in (FIRST, None):
            answer = await self.request(key=key)
            await self.assert_refused(answer, 503, "unreadable_organisation")
        self.assertEqual((await self.request("/open/x")).status, 200)

    async def test_one_entry_unreadable(self):
        """Guards against a 401 for a key that is in an entry that is unreadable."""
        await self.publish(3, [TENANTS[1], TENANTS[0] | {"burst": "many"}])
        self.assertEqual((await self.request(key=SECOND)).status, 200)
        answer = await self.request(key=FIRST)
        await self.assert_refused(answer, 503, "unreadable_organisation")
        await self.assert_refused(await self.request(), 401, "key_required")

    async def test_restarted_daemon_without_routes(self):
        """No answer but 503 before the first routes, and keys count with a proof."""
        node = self.fleet.nodes[0]
        table, node.synchronizer._table = node.synchronizer._table, None
        for key in (FIRST, None):
            answer = await self.request(key=key)
            await self.assert_refused(answer, 503, "not_ready")
        node.synchronizer._table = table
        self.set_proof_age(float("inf"))
        answer = await self.request(key=FIRST)
        await self.assert_refused(answer, 503, "stale_configuration")
        self.assertEqual((await self.request("/open/x")).status, 200)

    async def test_call_of_an_upstream_without_a_key(self):
        """Guards against work that is lost as its further calls have no key."""
        self.set_proof_age(0.0)
        child = {"Request-Id": "act1.child"}
        answer = await self.request(**child)
        await self.assert_refused(answer, 503, "key_required")
        self.front.delay_s = 0.6
        self.caller.write(
            "/front/x",
            headers={"Authorization": f"Token {FIRST}", "Request-Id": "act1"},
        )
        await self.fleet.wait_until(lambda: self.front.runs)
        upstream = await self.fleet.caller(0)
        self.set_proof_age(9.0)
        answer = await upstream.request("/planner/x", headers=child)
        self.assertEqual(answer.status, 200)
        self.assertEqual(self.planner.runs[0]["tenant"], "first")
        answer = await upstream.request("/open/x", headers=child)
        self.assertNotIn("tenant", self.planner.runs[1])
        self.assertEqual((await self.caller.read()).status, 200)


if __name__ == "__main__":
    unittest.main()
