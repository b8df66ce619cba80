"""Replays the recorded traces and checks the outcomes that they state."""

import asyncio
import json
import pathlib

from savoryroute.verdict import Verdict
from savoryroute_lab.tally import Outcome
from tests.fleet import Fleet, FleetTestCase, document
from tests.links import Links
from tests.world import ALLOWANCE, Action, World

TRACES = pathlib.Path(__file__).resolve().parents[2] / "traces"


class Replay:
    """Runs the steps of one trace in order.

    The method for a step is named after its ``do`` key.
    """

    def __init__(self, test: FleetTestCase, world: World, plain: dict) -> None:
        self._test = test
        self._world = world
        self._fleet = world.fleet
        self._plain = plain

    async def run(self, steps: list[dict]) -> None:
        for number, step in enumerate(steps):
            arguments = {k: v for k, v in step.items() if k not in ("do", "expect")}
            try:
                done = await getattr(self, "_" + step["do"])(**arguments)
                if "expect" in step:
                    self._compare(done, step["expect"])
            except Exception as error:
                error.add_note(f"step {number}: {step}")
                raise

    def _compare(self, action: Action, expected: dict) -> None:
        last = action.last
        found = {
            "verdict": last.verdict,
            "reason": last.reason,
            "whole": last.is_complete,
        }
        self._test.assertEqual({name: found[name] for name in expected}, expected, last)

    async def _send(self, **options) -> Action:
        return await self._world.send(**options)

    async def _again(self, name: str, through: str) -> Action:
        return await self._world.send_again(name, through)

    async def _settle(self) -> None:
        await self._world.settle()

    async def _wait(self, seconds: float) -> None:
        await asyncio.sleep(seconds)

    async def _hold(self, **ways) -> None:
        self._fleet.links.hold(set(ways["from"]), set(ways["to"]))

    async def _cut(self, **ways) -> None:
        self._fleet.links.cut(set(ways["from"]), set(ways["to"]))

    async def _heal(self) -> None:
        self._fleet.links.heal()

    async def _hold_upstream(self, host: str) -> None:
        self._fleet.links.hold_upstream(self._fleet[host].upstream.address)

    async def _break_link(self, between: list[str]) -> None:
        await self._fleet.links.break_link(*between)

    async def _upstream(self, host: str, **changes) -> None:
        self._fleet[host].upstream.set(changes["set"])

    async def _restart(self, host: str) -> None:
        await self._world.restart(host)
        await self._fleet.wait_ready(host)

    async def _replace(self, host: str) -> None:
        await self._fleet.wait_ready(await self._world.replace(host))

    async def _publish(self, version: int) -> None:
        self._world.publish(self._plain | {"version": version})

    async def _stale(self, behind: int) -> None:
        await self._world.wait_revision(max(self._world.published))
        self._fleet.platform.set_stale(max(self._world.published) - behind)

    async def _in_force(self) -> None:
        await self._world.wait_revision(max(self._world.published))

    async def _crashes(self, most: int) -> None:
        n_crashes = sum(h.upstream.n_crashes for h in self._fleet.hosts.values())
        self._test.assertTrue(1 <= n_crashes <= most, n_crashes)

    async def _deliveries(self, name: str, most: int) -> None:
        own = self._world.actions[name].request.request_id
        roots = [e.request_id.split(".")[0] for e in self._fleet.executions()]
        self._test.assertLessEqual(roots.count(own), most)

    async def _refused(self, kind: str, least: int) -> None:
        actions = self._world.actions.items()
        outcomes = [a.request.outcome for name, a in actions if name.startswith(kind)]
        self._test.assertGreaterEqual(outcomes.count(Outcome.REFUSED), least)

    async def _expect(
        self, name: str, executions: int | None = None, last: dict | None = None
    ) -> None:
        action = self._world.actions[name]
        if last is not None:
            self._compare(action, last)
        if executions is not None:
            own = action.request.request_id
            found = [e for e in self._fleet.executions() if e.request_id == own]
            self._test.assertEqual(len(found), executions)


class TraceTest(FleetTestCase):
    """One test for each file in ``tests/traces``."""

    async def _replay(self, path: pathlib.Path) -> None:
        trace = json.loads(path.read_text())
        plain = document(list(trace["services"]), **trace["document"])
        for policy in plain["classes"].values():
            policy["allowance"] = trace.get("allowance", ALLOWANCE)
        links = Links()
        async with Fleet(trace["services"], plain, trace["domains"], links) as fleet:
            world = World(fleet)
            status = await fleet.query_operators(next(iter(fleet.hosts)), "/status")
            world.published.add(status["revision"])
            try:
                await Replay(self, world, plain).run(trace["steps"])
                world.check()
            finally:
                links.heal()
                await world.settle()
                await world.close()

    def test_traces_cover_all_verdicts(self):
        text = "".join(path.read_text() for path in TRACES.glob("*.json"))
        for verdict in Verdict:
            self.assertIn(f'"verdict": "{verdict}"', text)


def _test_of(path: pathlib.Path):
    async def test(self: TraceTest) -> None:
        await self._replay(path)

    return test


for _path in sorted(TRACES.glob("*.json")):
    setattr(TraceTest, f"test_{_path.stem}", _test_of(_path))
