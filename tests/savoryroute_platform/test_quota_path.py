"""Tests of quotas through daemons."""

import asyncio
import json
import time

from .mesh_fleet import MeshFleet
from .stand_ins import tenant
from .test_path import PathTest

QUOTA_SETTINGS = {"quota_window_s": "5s", "quota_overage": 0.25, "quota_slack": 20}

KEY = "key-of-acme"


class QuotaTest(PathTest):
    services = ("front", "front", "planner")
    rate = 2.0

    async def asyncSetUp(self):
        acme = tenant("acme", KEY, **{"rate-per-s": self.rate, "burst": 0})
        members = {"tenants": [acme]}
        self.fleet = MeshFleet(
            list(self.services), self.kinds, members=members, **QUOTA_SETTINGS
        )
        await self.fleet.start()
        self.addAsyncCleanup(self.fleet.stop)
        self.caller = await self.fleet.caller(0)
        self.planners = self.fleet.upstreams[2:]
        self.quotas = [node._quotas for node in self.fleet.nodes]
        # Until the hosts may grant, and their buckets hold a few credits.
        await asyncio.sleep(3.2)

    async def request(self, target="/planner/x", caller=None, **headers):
        headers = {"Authorization": f"Token {KEY}"} | headers
        return await (caller or self.caller).request(target, headers=headers)

    @property
    def client(self):
        return self.quotas[0]._client

    def lose_frames(self):
        """Let no request for credits of the first host arrive anywhere."""
        self.client._send = lambda ip, request: True


class QuotaPathTest(QuotaTest):
    async def test_requests_beyond_the_quota_get_429(self):
        begun_s = time.monotonic()
        answers = []
        for n in range(60):
            caller = await self.fleet.caller(n % 2)
            answers.append(await self.request(caller=caller))
            caller.close()
        elapsed_s = time.monotonic() - begun_s
        refused = [answer for answer in answers if answer.status == 429]
        n_served = sum(answer.status == 200 for answer in answers)
        self.assertEqual(n_served + len(refused), 60)
        self.assertEqual(n_served, self.n_runs)
        self.assertGreater(n_served, 2)
        self.assertLessEqual(n_served, 9 + self.rate * elapsed_s)
        self.assertEqual(json.loads(refused[0].body), {"reason": "quota"})
        self.assertGreater(float(refused[0].headers["retry-after"]), 0.0)
        for node in self.fleet.nodes:
            node._log.flush()
        events = {line["event"] for line in self.fleet.log_lines}
        self.assertIn("quota_refused", events)
        body, _ = self.fleet.nodes[0]._metrics.render("text/plain")
        self.assertIn(b"savoryroute_quota_refused", body)

    async def test_request_that_waits_ends_when_its_caller_leaves(self):
        """Guards against requests that run for nobody, and waits without an end."""
        self.lose_frames()
        self.caller.write("/planner/x", headers={"Authorization": f"Token {KEY}"})
        await self.fleet.wait_until(lambda: self.client.has_waits)
        self.caller.close()
        await self.fleet.wait_until(lambda: not self.client.has_waits)
        await asyncio.sleep(0.3)
        self.assertEqual(self.n_runs, 0)

    async def test_request_that_waits_is_refused_at_its_deadline(self):
        self.lose_frames()
        answer = await self.request(**{"Deadline-Ms": "40"})
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(answer.body), {"reason": "deadline"})
        await self.fleet.wait_until(lambda: not self.client.has_waits)
        self.assertEqual(self.n_runs, 0)

    async def test_nobody_answers(self):
        self.lose_frames()
        answer = await self.request()
        self.assertEqual(answer.status, 503)
        self.assertEqual(json.loads(answer.body), {"reason": "unreachable"})
        self.assertIn("retry-after", answer.headers)

    async def test_credit_returns_unless_an_upstream_was_reached(self):
        """Guards against arrivals at upstreams beyond the quota."""
        self.planners[0].script += ["shed"] * 10
        answer = await self.request()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.client._accounts["acme"].n_credits, 0)
        self.planners[0].crash()
        answer = await self.request()
        self.assertEqual(answer.status, 503)
        self.assertEqual(self.client._accounts["acme"].n_credits, 1)

    async def test_quota_refusals_do_not_count_for_the_throttle(self):
        hop = self.fleet.nodes[0]._first_hop
        ends = []
        note_end = hop._throttle.note_end
        hop._throttle.note_end = lambda *args: ends.append(args) or note_end(*args)
        self.lose_frames()
        await self.request()
        await self.request(**{"Deadline-Ms": "40"})
        self.assertEqual(ends, [])

    async def test_malformed_frames_keep_the_link(self):
        node = self.fleet.nodes[0]
        await self.fleet.wait_until(lambda: node._links.open_connections)
        ip, link = next(iter(node._links.open_connections.items()))
        for frame in ([12], [13, -1, 5, "x"], [12, 0, "acme", 2**80, -1], [13, {}]):
            link.send(frame)
            node._on_control_frame(ip, link, frame)
        await asyncio.sleep(0.1)
        self.assertTrue(link.is_open)


class NoQuotaTest(QuotaTest):
    rate = 0

    async def test_organisation_without_a_rate_needs_no_credit(self):
        self.lose_frames()
        for _ in range(30):
            self.assertEqual((await self.request()).status, 200)


del QuotaTest, PathTest
