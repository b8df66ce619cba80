"""Tests of the retry budget over a fleet; repeats are counted at the upstreams."""

import asyncio
import time
import unittest

from tests.retry_rule_count import WINDOW_S, worst_window

from .mesh_fleet import MeshFleet

RATIO = 0.2
SLACK = 4.0


class _Always(list):
    """Script that gives the same answer to each request."""

    def __init__(self, action):
        super().__init__([action])

    def pop(self, index=0):
        return self[0]


class BudgetTest(unittest.IsolatedAsyncioTestCase):
    services = ()

    async def asyncSetUp(self):
        self.fleet = await MeshFleet(list(self.services), retry_slack=SLACK).start()
        self.addAsyncCleanup(self.fleet.stop)
        self.fleet.publish(2, priority=0)
        await self.fleet.wait_until(
            lambda: all(n.synchronizer.table.version == 2 for n in self.fleet.nodes)
        )
        self.began_s = time.monotonic()

    def upstreams(self, service):
        return [
            upstream
            for upstream, name in zip(self.fleet.upstreams, self.services, strict=True)
            if name == service
        ]

    async def send(self, target, per_s, seconds):
        """Send requests of callers, each on a new connection, at a steady rate."""
        tasks = []
        for _ in range(int(per_s * seconds)):
            tasks.append(asyncio.create_task(self.request(target)))
            await asyncio.sleep(1.0 / per_s)
        return await asyncio.gather(*tasks)

    async def request(self, target):
        caller = await self.fleet.caller(0)
        answer = await caller.request(target)
        caller.close()
        return answer.status

    def first_and_later(self, service):
        """Return the times of first arrivals and of later ones of each request."""
        arrivals = sorted(
            arrival
            for upstream in self.upstreams(service)
            for arrival in upstream.arrivals
        )
        first_s, later_s, seen = [], [], set()
        for at_s, request_id in arrivals:
            (later_s if request_id in seen else first_s).append(at_s - self.began_s)
            seen.add(request_id)
        return first_s, later_s

    def assert_within_budget(self, requests_s, repeats_s):
        n_repeats, allowed = worst_window(requests_s, repeats_s, RATIO, SLACK)
        self.assertLessEqual(n_repeats, allowed)


class OldRequestsTest(BudgetTest):
    services = ("front", "planner", "planner")

    async def test_requests_before_a_pause_earn_no_retries_after_it(self):
        await self.send("/planner/x", 200, 4.0)
        await asyncio.sleep(WINDOW_S + 0.5)
        for planner in self.upstreams("planner"):
            planner.script = _Always("shed")
        statuses = await self.send("/planner/x", 40, 0.5)
        self.assertEqual(set(statuses), {503})
        self.assert_within_budget(*self.first_and_later("planner"))


class ChainTest(BudgetTest):
    """Runs of one service make eight calls each; half of them are sent again."""

    services = ("front", "planner", "planner", "stock", "stock")
    n_calls = 8

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for planner, index in zip(self.upstreams("planner"), (1, 2), strict=True):
            planner.script = _Half(self.make_run(index))

    def make_run(self, index):
        async def run(fields, writer, full_answer):
            caller = await self.fleet.caller(index)
            for number in range(self.n_calls):
                request_id = f"{fields['request-id']}.{number}"
                headers = {"Request-Id": request_id}
                await caller.request("/stock/x", headers=headers)
            caller.close()
            writer.write(full_answer)
            return True

        return run

    async def test_calls_of_repeated_runs_stay_within_the_budget(self):
        statuses = await self.send("/planner/x", 40, 6.0)
        self.assertGreater(statuses.count(200), 0.4 * len(statuses))
        first_s, later_s = self.first_and_later("planner")
        self.assert_within_budget(first_s, later_s)
        n_arrivals = {}
        for upstream in self.upstreams("planner"):
            for _, request_id in upstream.arrivals:
                n_arrivals[request_id] = n_arrivals.get(request_id, 0) + 1
        repeats_s = [
            at_s - self.began_s
            for upstream in self.upstreams("stock")
            for at_s, request_id in upstream.arrivals
            if n_arrivals[request_id.partition(".")[0]] > 1
        ]
        # No caller sends requests to the called service, so it has the slack alone.
        self.assert_within_budget([], repeats_s)


class _Half(_Always):
    """Script that sheds every other request and runs the others."""

    def __init__(self, action):
        super().__init__(action)
        self._n_requests = 0

    def pop(self, index=0):
        self._n_requests += 1
        return "shed" if self._n_requests % 2 else self[0]
