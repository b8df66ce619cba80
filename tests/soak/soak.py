"""Randomized soak test: injects faults and checks the promises to callers.

Usage: python -m tests.soak.soak [--seeds N] [--first SEED] [--seconds S]
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import shutil
import subprocess
import sys
import tempfile
import time

from tests.retry_rule_count import worst_window
from tests.savoryroute_platform.mesh_fleet import Caller
from tests.savoryroute_platform.process_fleet import MB

from .faults import ANSWER_TIMEOUT_S, FAULTS
from .fleet import RETRY_RATIO, RETRY_SLACK, SoakFleet

__all__ = ["Soak", "run_seed"]

N_CALLERS = 12
CALLER_PAUSE_S = 0.02
FAULT_GAP_S = 0.5
READY_TIMEOUT_S = 15.0
# Seconds from the last fault until requests count, the share of these that must be
# served, and the number of the latest ones that are kept.
RECOVERY_S = 4.0
RECOVERED_SHARE = 0.95
N_LAST = 100
# Shares of requests that may run once only, of uploads among these, and of uploads
# whose callers leave half way. Lengths of the bodies of uploads in bytes.
ONCE_SHARE = 0.4
UPLOAD_SHARE = 0.4
ABANDONED_SHARE = 0.1
UPLOAD_BYTES = (5_000, 90_000)
# Share of requests to a service with a sound upstream and a daemon without faults of
# its own, and seconds after which a disturbed daemon must serve them again.
STEADY_SHARE = 0.25
SETTLE_S = 3.0


class Soak:
    """One run of the soak test, with faults drawn from a seed."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet = SoakFleet(seed)
        self.answers: dict[str, int] = {}
        self.bodies: dict[str, bytes] = {}
        self.sent_s: list[float] = []
        self.latest: collections.deque[int] = collections.deque(maxlen=N_LAST)
        self.problems: list[str] = []
        self.faults: list[str] = []
        self._is_finished = False
        self._begun_s = time.monotonic()

    async def run(self, seconds: float) -> None:
        await self.fleet.start()
        try:
            await self._wait_ready()
            callers = [asyncio.create_task(self._call(n)) for n in range(N_CALLERS)]
            await self._inject_faults(seconds)
            await asyncio.sleep(RECOVERY_S)
            self.latest.clear()
            await asyncio.sleep(2.0)
            self._is_finished = True
            await asyncio.gather(*callers)
            self._check()
            await self._check_routes()
        finally:
            self.fleet.stop()

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    caller = await Caller.connect(self.fleet.ip(0), self.fleet.port)
                    if (await caller.request("/safe/ready")).status == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def _inject_faults(self, seconds: float) -> None:
        """Inject overlapping faults, one at a time per host; wait for all to end."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        tasks: dict[int, asyncio.Task] = {}
        while loop.time() < end_s:
            await asyncio.sleep(self.rng.uniform(0.1, FAULT_GAP_S))
            index = self.rng.randrange(1, self.fleet.STEADY)
            if index in tasks and not tasks[index].done():
                continue
            name = self.rng.choice(sorted(FAULTS))
            at_s = time.monotonic() - self._begun_s
            self.faults.append(f"{at_s:.2f} {name}({index})")
            tasks[index] = asyncio.create_task(
                FAULTS[name](self.fleet, index, self.rng)
            )
        await asyncio.gather(*tasks.values())

    async def _call(self, number: int) -> None:
        """Send requests until the run ends; reconnect when the connection closes."""
        caller = None
        index = number % len(self.fleet.SERVICES)
        while not self._is_finished:
            await asyncio.sleep(CALLER_PAUSE_S)
            if caller is None:
                process = self.fleet.processes[index]
                try:
                    caller = await Caller.connect(self.fleet.ip(index), self.fleet.port)
                except OSError:
                    continue
            if self.rng.random() < STEADY_SHARE:
                request = ("/steady/x", "GET", b"")
            elif self.rng.random() >= ONCE_SHARE:
                request = ("/safe/x", "GET", b"")
            elif self.rng.random() >= UPLOAD_SHARE:
                request = ("/once/x", "POST", b"body")
            else:
                length = self.rng.randint(*UPLOAD_BYTES)
                body = bytes([self.rng.randrange(256)]) * length
                request = ("/upload/x", "POST", body)
                if self.rng.random() < ABANDONED_SHARE:
                    await self._abandon(caller, body)
                    caller = None
                    continue
            if not await self._exchange(caller, index, process, *request):
                caller.close()
                caller = None

    async def _abandon(self, caller: Caller, body: bytes) -> None:
        """Send a part of a long body and leave."""
        caller.writer.write(
            b"POST /upload/abandoned HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: abandoned\r\nContent-Length: %d\r\n\r\n%b"
            % (len(body), body[: len(body) // 2])
        )
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        caller.close()

    async def _exchange(
        self,
        caller: Caller,
        index: int,
        process: subprocess.Popen,
        target: str,
        method: str,
        body: bytes,
    ) -> bool:
        """Send a request and check its answer; return whether the connection is kept.

        Args:
            caller: Connection of the caller.
            index: Host of the daemon.
            process: Process of the daemon when the connection was opened.
            target: Target of the request.
            method: Method of the request.
            body: Body of the request.
        """
        sent_s = time.monotonic()
        request_id = caller.write(target, method=method, body=body)
        self.bodies[request_id] = body
        is_steady = target.startswith("/steady/")
        if not is_steady:
            self.sent_s.append(sent_s)
        seen = "connection closed"
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await caller.read()
        except (OSError, TimeoutError) as error:
            answer, seen = None, repr(error)
        if answer is None or not answer.is_complete:
            self.answers[request_id] = 0
            if self.fleet.is_undisturbed(index, process, sent_s):
                self._note(
                    f"{request_id} {target} at {index}, no answer: {seen}", sent_s
                )
            return False
        self.answers[request_id] = answer.status
        self.latest.append(answer.status)
        if answer.status == 200 and answer.body != f"answer to {request_id}".encode():
            self._note(f"{request_id} got {answer.body!r:.60}", sent_s)
        if answer.status in (400, 404, 413, 431):
            self._note(f"{request_id} got {answer.status}", sent_s)
        disturbed_s = max(
            self.fleet.disturbed_s[host] for host in (index, self.fleet.STEADY)
        )
        is_settled = disturbed_s < sent_s - SETTLE_S
        if is_steady and is_settled and answer.status not in (200, 503):
            self._note(f"{request_id} {target} at {index} got {answer.status}", sent_s)
        return answer.headers.get("connection") != "close"

    def _note(self, problem: str, sent_s: float) -> None:
        """Keep a problem with the time of its request, in seconds of the run."""
        self.problems.append(f"{problem} (sent at {sent_s - self._begun_s:.2f} s)")

    def _check(self) -> None:
        """Compare the answers to callers with the executions at upstreams."""
        runs = collections.Counter(
            run["request-id"] for item in self.fleet.upstreams for run in item.runs
        )
        unsafe = {
            run["request-id"]
            for item in self.fleet.upstreams
            for run in item.runs
            if run["line"].startswith("POST")
        }
        for item in self.fleet.upstreams:
            for run in item.runs:
                request_id = run["request-id"]
                if run["body"] != self.bodies.get(request_id, run["body"]):
                    self.problems.append(f"{request_id} ran with another body")
        self.problems += self.fleet.problems
        lines = (run["line"] for item in self.fleet.upstreams for run in item.runs)
        if "abandoned" in runs or any("/upload/endless" in line for line in lines):
            self.problems.append("a request without its complete body ran")
        for request_id, n_runs in runs.items():
            if request_id in unsafe and n_runs > 1:
                self.problems.append(f"{request_id} ran {n_runs} times")
            # The routes allow two attempts of a request.
            if n_runs > 2:
                self.problems.append(f"{request_id} reached {n_runs} upstreams")
            if self.answers.get(request_id) == 503 and request_id in unsafe:
                self.problems.append(f"{request_id} was answered not run, but ran")
        self._check_limits()
        self._check_retries()
        n_served = sum(status == 200 for status in self.latest)
        if len(self.latest) < N_LAST / 2 or n_served < RECOVERED_SHARE * len(
            self.latest
        ):
            counts = dict(collections.Counter(self.latest))
            self.problems.append(f"not recovered: {counts}")

    def _check_limits(self) -> None:
        """Check that upstreams got no more than the rates that they named."""
        for index, per_s, began_s, ended_s in self.fleet.limits:
            times = [run["at_s"] for run in self.fleet.upstreams[index].runs]
            n_runs = sum(began_s <= at_s <= ended_s for at_s in times)
            if n_runs > 1.5 * per_s * (ended_s - began_s) + 5:
                seconds = ended_s - began_s
                self.problems.append(
                    f"host {index} got {n_runs} requests in {seconds:.1f} s at a limit"
                    f" of {per_s} a second"
                )

    def _check_retries(self) -> None:
        """Check that the service got no more repeats than the budget allows."""
        arrivals = sorted(
            arrival
            for index in self.fleet.PLANNERS
            for arrival in self.fleet.upstreams[index].arrivals
        )
        seen: set[str] = set()
        repeats_s = []
        for at_s, request_id in arrivals:
            if request_id in seen:
                repeats_s.append(at_s)
            seen.add(request_id)
        n_repeats, allowed = worst_window(
            self.sent_s, repeats_s, RETRY_RATIO, RETRY_SLACK
        )
        if n_repeats > allowed:
            self.problems.append(f"{n_repeats} repeats, {allowed:.0f} allowed")

    async def _check_routes(self) -> None:
        """Check that each daemon has the newest route."""
        for index in range(len(self.fleet.SERVICES)):
            caller = await Caller.connect(self.fleet.ip(index), self.fleet.port)
            answer = await caller.request(f"/v{self.fleet.version}/x")
            if answer.status == 404:
                self.problems.append(f"host {index} has older active routes")
            caller.close()


def run_seed(seed: int, seconds: float) -> list[str]:
    """Run one seed; return the violated promises and keep the logs if any are."""
    soak = Soak(seed)
    log_folder = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    stop_fleet = soak.fleet.stop

    def keep_logs_and_stop() -> None:
        for log in soak.fleet.logs:
            if log.exists():
                shutil.copy(log, log_folder)
        stop_fleet()

    soak.fleet.stop = keep_logs_and_stop
    asyncio.run(soak.run(seconds))
    counts = dict(collections.Counter(soak.answers.values()))
    print(f"seed {seed}: answers {counts}, {soak.fleet.peak_bytes / MB:.0f} MB at most")
    if soak.problems:
        print(f"seed {seed}: faults {soak.faults}; logs in {log_folder}")
    else:
        shutil.rmtree(log_folder)
    return soak.problems


def main() -> int:
    """Run several seeds and print the violations of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--first", type=int, default=random.randrange(10**6))
    parser.add_argument("--seconds", type=float, default=10.0)
    arguments = parser.parse_args()
    n_violated = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        problems = run_seed(seed, arguments.seconds)
        n_violated += bool(problems)
        print(f"seed {seed}: {problems[:20] or 'ok'}", flush=True)
    return 1 if n_violated else 0


if __name__ == "__main__":
    sys.exit(main())
