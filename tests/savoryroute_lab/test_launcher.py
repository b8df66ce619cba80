"""Tests of the launcher with stand-ins and without daemons."""

import unittest

from savoryroute_lab.caller import ActionTemplate, Caller
from savoryroute_lab.deployment import NAIROBI, Deployment
from savoryroute_lab.launcher import Launcher, upstream_name
from savoryroute_lab.oracle import find_violations
from savoryroute_lab.tally import Outcome
from savoryroute_lab.upstream import CRASH_EXIT_CODE
from savoryroute_lab.wiring import Wiring

SMALL = Deployment("r", ("a",), (NAIROBI.service("catalogue"),), NAIROBI.classes, 0.1)
VIEW = ActionTemplate("view", "catalogue", "/items/1", timeout_s=5.0)
CRASH = ActionTemplate(
    "crash", "catalogue", "/x", "POST", body=b"lab-crash", idempotent=False
)


class LauncherTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.wiring = Wiring.new(SMALL)
        self.launcher = Launcher(self.wiring, has_daemons=False)
        self.addCleanup(self.launcher.remove_folder)
        self.addAsyncCleanup(self.launcher.stop)
        await self.launcher.start()

    def new_caller(self):
        first = self.wiring.upstream_addresses()["catalogue"][:1]
        caller = Caller({"catalogue": first}, has_daemons=False)
        self.addAsyncCleanup(caller.close)
        return caller

    async def test_kill_pause_restart_and_records(self):
        caller = self.new_caller()
        name = upstream_name("r-catalogue-1")
        self.assertEqual((await caller.send(VIEW)).outcome, Outcome.COMPLETE)
        crashed = await caller.send(CRASH)
        self.assertEqual(crashed.outcome, Outcome.MAY_HAVE_RUN)
        exit_code = await self.launcher.wait_ended(name)
        self.assertEqual(exit_code, CRASH_EXIT_CODE)
        self.assertEqual(await self.launcher.restart_ended(), [name])
        self.launcher.pause(name)
        self.launcher.resume(name)
        self.assertEqual((await caller.send(VIEW)).outcome, Outcome.COMPLETE)
        self.launcher.kill(name)
        second_caller = self.new_caller()
        self.assertEqual((await second_caller.send(VIEW)).outcome, Outcome.REFUSED)
        executions = self.launcher.executions()
        self.assertEqual(len(executions), 3)
        findings = find_violations(caller.requests, executions)
        self.assertTrue(findings.is_clean)
        self.assertEqual(findings.unended, 1)
        self.assertEqual(findings.most_unended, 1)
        self.assertEqual(findings.most_executions, 1)

    async def test_settings_and_graceful_stop(self):
        await self.launcher.set_service("catalogue", sheds=True)
        caller = Caller(self.wiring.upstream_addresses(), has_daemons=False)
        self.addAsyncCleanup(caller.close)
        self.assertEqual((await caller.send(VIEW)).outcome, Outcome.REFUSED)
        await self.launcher.set_platform("outage", mode="hang")
        name = upstream_name("r-catalogue-2")
        self.assertEqual(await self.launcher.terminate(name), 0)
        self.assertFalse(self.launcher.is_running(name))
