"""Failures and stops of real processes under load, checked by the oracle."""

import asyncio
import unittest

from savoryroute_lab.action_templates import ActionTemplate, LoadClass, RetryMode
from savoryroute_lab.caller import Caller
from savoryroute_lab.deployment import NAIROBI, Deployment, ServiceSpec
from savoryroute_lab.launcher import PLATFORM, Launcher, daemon_name, upstream_name
from savoryroute_lab.load import LoadGenerator
from savoryroute_lab.oracle import find_violations
from savoryroute_lab.tally import Outcome
from savoryroute_lab.wiring import OPERATOR_KEY, Wiring

CREWS = NAIROBI.service("crews")
SERVICE = ServiceSpec("crews", 4, 40, 340, CREWS.routes)
DEPLOYMENT = Deployment("r", ("a", "b"), (SERVICE,), NAIROBI.classes)
HOSTS = [upstream.host for upstream in DEPLOYMENT.upstreams]
DOMAIN_B = [u.host for u in DEPLOYMENT.upstreams if u.failure_domain == "b"]
READ = ActionTemplate(
    "read", "crews", "/slots/{n}", timeout_s=1.5, retry_mode=RetryMode.BACKOFF
)
BOOK = ActionTemplate(
    "book",
    "crews",
    "/bookings",
    "POST",
    idempotent=False,
    timeout_s=1.5,
    retry_mode=RetryMode.BACKOFF,
    max_attempts=8,
)
READS_PER_S = 20.0
BOOKINGS_PER_S = 10.0
LEAVING_DETECTION_S = 3.5
GET = b"GET /crews/slots?mark=stream HTTP/1.1\r\nHost: x\r\n"


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.wiring = Wiring.new(DEPLOYMENT)
        self.launcher = Launcher(self.wiring)
        self.addCleanup(self.launcher.remove_folder)
        self.addAsyncCleanup(self.launcher.stop)
        await self.launcher.start()
        self.caller = Caller(self.wiring.all_entries(), seed=1)
        self.addAsyncCleanup(self.caller.close)

    def start_load(self, duration_s: float) -> asyncio.Task:
        classes = [
            LoadClass(READS_PER_S, (READ,)),
            LoadClass(BOOKINGS_PER_S, (BOOK,)),
        ]
        return asyncio.create_task(
            LoadGenerator(self.caller, classes, 1).run(duration_s)
        )

    def assert_no_violations(self, *, all_complete: bool):
        """Check for violations and that most answers are complete.

        Args:
            all_complete: Whether every answer must be complete.
        """
        findings = find_violations(self.caller.requests, self.launcher.executions())
        self.assertTrue(findings.is_clean, findings)
        incomplete = [
            r for r in self.caller.requests if r.outcome is not Outcome.COMPLETE
        ]
        if all_complete:
            self.assertEqual(incomplete, [])
        self.assertGreater(len(self.caller.requests), 2 * len(incomplete))

    async def assert_all_entries_serve(self):
        """Check that new actions, one for each entry, get complete answers."""
        for template in (READ, BOOK):
            requests = await asyncio.gather(
                *(self.caller.send(template) for _ in HOSTS)
            )
            self.assertEqual(
                {r.outcome for r in requests}, {Outcome.COMPLETE}, requests
            )

    async def status(self, host: str, path: str = "status") -> dict:
        url = f"http://127.0.0.1:{self.wiring.ports[host].operators}/{path}"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        session = self.launcher._session
        async with session.get(url, headers=headers) as answer:
            return await answer.json()

    async def test_service_recovers_after_a_daemon_is_killed(self):
        load = self.start_load(4.0)
        await asyncio.sleep(1.0)
        name = daemon_name(HOSTS[0])
        self.launcher.kill(name)
        await asyncio.sleep(1.0)
        await self.launcher.restart(name)
        await load
        await self.assert_all_entries_serve()
        self.assert_no_violations(all_complete=False)

    async def test_paused_daemons_resume_with_a_stale_view(self):
        load = self.start_load(5.0)
        for host, pause_s in ((HOSTS[0], 1.0), (HOSTS[1], 2.5)):
            await asyncio.sleep(0.5)
            self.launcher.pause(daemon_name(host))
            await asyncio.sleep(pause_s)
            self.launcher.resume(daemon_name(host))
        await load
        await self.assert_all_entries_serve()
        self.assert_no_violations(all_complete=False)

    async def test_graceful_stop_of_a_daemon_interrupts_no_request(self):
        host = HOSTS[0]
        port = self.wiring.ports[host].callers
        (idle, idle_writer), (partial, partial_writer) = [
            await asyncio.open_connection("127.0.0.1", port) for _ in range(2)
        ]
        partial_writer.write(GET + b"Content-Length: 2\r\n\r\nx")
        load = self.start_load(6.0)
        await asyncio.sleep(1.0)
        stop = asyncio.create_task(self.launcher.terminate(daemon_name(host)))
        await asyncio.sleep(1.0)
        idle_writer.write(GET + b"\r\n")
        answer = await idle.read()
        self.assertIn(b"Connection: close", answer)
        await asyncio.sleep(2.5)
        partial_writer.write(b"y")
        for response in (answer, await partial.read()):
            self.assertTrue(response.startswith(b"HTTP/1.1 200 OK\r\n"), response[:80])
        self.assertEqual(await stop, 0)
        for writer in (idle_writer, partial_writer):
            writer.close()
        await load
        self.assert_no_violations(all_complete=True)

    async def test_graceful_stop_of_an_upstream_interrupts_no_request(self):
        host = HOSTS[0]
        load = self.start_load(7.0)
        await asyncio.sleep(0.5)
        await self.launcher.set_upstream(host, leaving=True)
        await asyncio.sleep(LEAVING_DETECTION_S)
        n_before = sum(e.host == host for e in self.launcher.executions())
        await asyncio.sleep(0.5)
        n_after = sum(e.host == host for e in self.launcher.executions())
        self.assertEqual(n_after, n_before)
        self.assertEqual(await self.launcher.terminate(upstream_name(host)), 0)
        await load
        self.assert_no_violations(all_complete=True)

    async def test_rolling_replacement_of_a_failure_domain(self):
        load = self.start_load(10.0)
        for host in DOMAIN_B:
            await asyncio.sleep(0.5)
            name = daemon_name(host)
            self.assertEqual(await self.launcher.terminate(name), 0)
            await self.launcher.restart(name)
        await load
        await self.assert_all_entries_serve()
        self.assert_no_violations(all_complete=True)

    async def test_daemons_work_without_the_platform(self):
        load = self.start_load(4.0)
        await asyncio.sleep(0.5)
        self.launcher.kill(PLATFORM)
        name = daemon_name(HOSTS[0])
        self.launcher.kill(name)
        await self.launcher.restart(name)
        await load
        await self.assert_all_entries_serve()
        self.assert_no_violations(all_complete=False)
        revisions = {(await self.status(host))["revision"] for host in HOSTS}
        self.assertEqual(len(revisions), 1)
        self.assertGreater(min(revisions), 0)
