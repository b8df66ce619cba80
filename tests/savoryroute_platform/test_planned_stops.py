"""Tests of planned stops of daemons whose upstreams run on."""

import asyncio
import time

from .test_path import PathTest

# Longest time in seconds after a stop signal for which a host may get new work.
NEW_WORK_MAX_S = 3.0


class _StopTest(PathTest):
    async def send_for(self, seconds, statuses, interval_s=0.02):
        """Send requests one after the other; record seconds and status of each."""
        started_s = time.monotonic()
        caller = await self.fleet.caller(0)
        while (sent_s := time.monotonic() - started_s) < seconds:
            answer = await caller.request("/planner/x")
            statuses.append((sent_s, answer.status))
            await asyncio.sleep(interval_s)
        caller.close()


class LastInstanceTest(_StopTest):
    services = ("front", "planner")

    async def test_calls_to_the_last_instance_are_served_while_its_daemon_stops(self):
        await self.request()
        statuses = []
        stop = asyncio.create_task(self.fleet.nodes[1].stop())
        await self.send_for(3.4, statuses)
        await stop
        early = [status for sent_s, status in statuses if sent_s < 2.0]
        self.assertGreater(len(early), 50)
        self.assertEqual(set(early), {200})
        late = [status for sent_s, status in statuses if sent_s > NEW_WORK_MAX_S]
        self.assertNotIn(200, late)
        self.assertEqual({s for _, s in statuses}, {200, 503})

    async def test_upstream_that_drains_during_the_stop_gets_no_more_calls(self):
        await self.request()
        fleet = self.fleet
        stop = asyncio.create_task(fleet.nodes[1].stop())
        await asyncio.sleep(0.2)
        self.assertEqual((await self.request()).status, 200)
        fleet.list_instance(1, state="draining")
        await fleet.wait_until(
            lambda: not fleet.nodes[0].synchronizer.view.instances["i-1"].is_ready
        )
        await fleet.wait_until(lambda: fleet.nodes[1]._upstream.is_leaving, 1.0)
        self.assertEqual((await self.request()).status, 503)
        await stop


class FullInstancesTest(_StopTest):
    services = ("front", "planner", "planner")

    async def test_stopping_daemon_takes_what_the_others_have_no_slots_for(self):
        fleet = self.fleet
        for index in (1, 2):
            # Longer than calls wait for a slot.
            fleet.upstreams[index].delay_s = 0.4
            fleet.list_instance(index, slots=4)
        statuses = []
        # More than the slots of one instance, and no more than those of both.
        loads = [
            asyncio.create_task(self.send_for(2.4, statuses, 0.0)) for _ in range(6)
        ]
        await asyncio.sleep(0.4)
        stop = asyncio.create_task(fleet.nodes[1].stop())
        await asyncio.sleep(0.4)
        n_before = len(fleet.upstreams[1].runs)
        await asyncio.sleep(1.0)
        # Half of the calls would be 8.
        self.assertGreater(len(fleet.upstreams[1].runs) - n_before, 4)
        await asyncio.gather(*loads)
        self.assertEqual({status for _, status in statuses}, {200})
        await stop
