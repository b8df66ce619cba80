"""Launched deployment that runs variants one after another."""

from __future__ import annotations

import asyncio
import json
import time

import aiohttp
import attrs

from ..caller import Caller
from ..http import LOOPBACK, client_session
from ..launcher import Launcher, NotReadyError
from ..load import LoadGenerator
from ..oracle import Findings, find_violations
from ..tally import LogicalRequest
from ..wiring import OPERATOR_KEY, Wiring
from .cpu import CpuUsage, measure_cpu_usage
from .scenario import SLOW_FACTOR, Phases, Scenario
from .variants import Variant

__all__ = ["Fleet", "Run"]

DOCUMENT_TIMEOUT_S = 15.0
DOCUMENT_POLL_S = 0.2
SETTLE_S = 1.0


@attrs.frozen
class Run:
    """Requests and processor usage of one variant under one surge.

    Attributes:
        scenario: Scenario that ran.
        variant: Variant that ran.
        surge: Factor on demand during the trigger.
        phases: Durations of the phases.
        start_s: Start of the load in monotonic seconds.
        requests: All requests.
        cpu: Processor usage of the machine.
    """

    scenario: Scenario
    variant: Variant
    surge: float
    phases: Phases
    start_s: float
    requests: list[LogicalRequest]
    cpu: CpuUsage


class Fleet:
    """Processes of one scenario, with or without daemons.

    Args:
        scenario: Scenario to run.
        phases: Durations of the phases.
        seed: Seed of arrival times and random choices, the same for each run.
        has_daemons: Whether daemons run.
    """

    def __init__(
        self, scenario: Scenario, phases: Phases, seed: int, has_daemons: bool
    ) -> None:
        self._scenario = scenario
        self._phases = phases
        self._seed = seed
        self._has_daemons = has_daemons
        self._wiring = Wiring.new(scenario.deployment)
        self._launcher = Launcher(self._wiring, has_daemons=has_daemons)
        self._version = 1
        self._requests: list[LogicalRequest] = []

    async def __aenter__(self) -> Fleet:
        await self._launcher.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._launcher.stop()

    async def run(self, variant: Variant, surge: float) -> Run:
        """Run one variant through all phases."""
        await self._prepare(variant)
        caller = Caller(self._entries(), self._seed, self._has_daemons, True)
        load = LoadGenerator(caller, self._scenario.load, self._seed)
        start_s = time.monotonic()
        async with measure_cpu_usage() as cpu:
            await asyncio.gather(
                load.run(
                    self._phases.total_s,
                    lambda time_s: self._phases.surge(time_s, surge),
                ),
                self._trigger(),
            )
        await caller.close()
        self._requests.extend(caller.requests)
        return Run(
            scenario=self._scenario,
            variant=variant,
            surge=surge,
            phases=self._phases,
            start_s=start_s,
            requests=caller.requests,
            cpu=cpu,
        )

    def findings(self) -> Findings:
        """Return the violations found in all runs so far."""
        return find_violations(self._requests, self._launcher.executions())

    async def _trigger(self) -> None:
        service = self._scenario.slow_service
        await asyncio.sleep(self._phases.steady_s)
        await self._launcher.set_service(service, slow_factor=SLOW_FACTOR)
        await asyncio.sleep(self._phases.trigger_s)
        await self._launcher.set_service(service, slow_factor=1.0)

    async def _prepare(self, variant: Variant) -> None:
        deployment = self._scenario.deployment
        for service in deployment.services:
            slots = deployment.slots(service)
            settings = variant.upstream_settings(slots)
            await self._launcher.set_service(service.name, **settings)
        if self._has_daemons:
            await self._publish(variant)
        await asyncio.sleep(SETTLE_S)

    async def _publish(self, variant: Variant) -> None:
        self._version += 1
        plain = self._scenario.deployment.document("production", self._version)
        text = json.dumps(variant.document(plain))
        revision = await self._launcher.publish("documents/production", text)
        end_s = time.monotonic() + DOCUMENT_TIMEOUT_S
        async with client_session() as session:
            while not await self._is_active(session, revision):
                if time.monotonic() >= end_s:
                    raise NotReadyError(
                        f"revision {revision} is not active on all daemons"
                    )
                await asyncio.sleep(DOCUMENT_POLL_S)

    async def _is_active(self, session: aiohttp.ClientSession, revision: int) -> bool:
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        for ports in self._wiring.ports.values():
            url = f"http://{LOOPBACK}:{ports.operators}/status"
            async with session.get(url, headers=headers) as response:
                status = await response.json()
            if status["revision"] < revision:
                return False
        return True

    def _entries(self) -> dict[str, list[str]]:
        if self._has_daemons:
            return self._wiring.service_entries()
        return self._wiring.upstream_addresses()
