"""Randomized soak test: injects faults and checks the promises to callers.

Usage: python -m tests.soak.soak [--seeds N] [--first SEED] [--seconds S]
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import random
import shutil
import signal
import sys
import tempfile
import time

from tests.retry_rule_count import worst_window
from tests.savoryroute_platform.mesh_fleet import Caller

from .fleet import RETRY_RATIO, RETRY_SLACK, SoakFleet
from .proxy import Fault

__all__ = ["Soak", "run_seed"]

N_CALLERS = 12
CALLER_PAUSE_S = 0.02
FAULT_GAP_S = 0.5
ANSWER_TIMEOUT_S = 6.0
READY_TIMEOUT_S = 15.0
# Seconds from the last fault until requests count, the share of these that must be
# served, and the number of the latest ones that are kept.
RECOVERY_S = 4.0
RECOVERED_SHARE = 0.95
N_LAST = 100
# Requests a second that upstreams name as limits, and seconds until they must hold.
RATE_LIMITS = (1.5, 5.0, 20.0)
LIMIT_DELAY_S = 0.5
# More requests than an upstream gets while it sheds.
N_SHED = 10_000
# Shares of requests that may run once only, of uploads among these, and of uploads
# whose callers leave half way. Lengths of the bodies of uploads in bytes.
ONCE_SHARE = 0.4
UPLOAD_SHARE = 0.4
ABANDONED_SHARE = 0.1
UPLOAD_BYTES = (5_000, 90_000)

FAULTS = {}


def fault(function):
    """Register a fault under the function's name."""
    FAULTS[function.__name__] = function
    return function


@fault
async def kill(fleet, index, rng):
    fleet.signal(index, signal.SIGKILL)
    await fleet.restart(index)


@fault
async def stop(fleet, index, rng):
    fleet.signal(index, signal.SIGTERM)
    await fleet.restart(index)


@fault
async def pause(fleet, index, rng):
    fleet.signal(index, signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.2, 2.5))
    fleet.signal(index, signal.SIGCONT)


@fault
async def impair_upstream(fleet, index, rng):
    await impair(fleet.upstream_proxies[index], rng, 1.5)


@fault
async def impair_store(fleet, index, rng):
    await impair(fleet.store_proxies[index], rng, 2.0)


async def impair(proxy, rng, longest_s):
    """Apply a random fault to a proxy for a while, then reset its connections."""
    proxy.fault = rng.choice(list(Fault))
    await asyncio.sleep(rng.uniform(0.2, longest_s))
    proxy.fault = Fault.NONE
    proxy.reset()


@fault
async def return_bad_answers(fleet, index, rng):
    scripts = ["drop", "shed", b"garbage\r\n\r\n"]
    fleet.upstreams[index].script += [rng.choice(scripts) for _ in range(10)]


@fault
async def shed(fleet, index, rng):
    """Let an upstream reject all requests for a while."""
    fleet.upstreams[index].script += ["shed"] * N_SHED
    await asyncio.sleep(rng.uniform(0.2, 3.0))
    fleet.upstreams[index].script.clear()


@fault
async def drain(fleet, index, rng):
    fleet.list_instance(index, state="draining")
    await asyncio.sleep(rng.uniform(0.2, 1.0))
    fleet.list_instance(index)


@fault
async def limit_rate(fleet, index, rng):
    """Let an upstream name a rate limit; its daemon may be killed meanwhile."""
    upstream = fleet.upstreams[index]
    upstream.rate_limit = str(rng.choice(RATE_LIMITS))
    began_s = time.monotonic() + LIMIT_DELAY_S
    await asyncio.sleep(LIMIT_DELAY_S + rng.uniform(0.5, 2.0))
    if rng.random() < 0.5:
        await kill(fleet, index, rng)
    await asyncio.sleep(rng.uniform(0.5, 2.0))
    fleet.limits.append((index, float(upstream.rate_limit), began_s, time.monotonic()))
    upstream.rate_limit = None


@fault
async def leave(fleet, index, rng):
    """Let an upstream say that it leaves; later it starts under its identity again."""
    fleet.upstreams[index].is_leaving = True
    await asyncio.sleep(rng.uniform(0.2, 2.0))
    fleet.upstreams[index].is_leaving = False
    fleet.list_instance(index, born=int(time.time() * 1000))


@fault
async def change_routes(fleet, index, rng):
    fleet.publish()


@fault
async def expire_history(fleet, index, rng):
    fleet.store.expire_history()


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
            index = self.rng.randrange(1, len(self.fleet.SERVICES))
            if index in tasks and not tasks[index].done():
                continue
            name = self.rng.choice(sorted(FAULTS))
            self.faults.append(f"{name}({index})")
            tasks[index] = asyncio.create_task(
                FAULTS[name](self.fleet, index, self.rng)
            )
        await asyncio.gather(*tasks.values())

    async def _call(self, number: int) -> None:
        """Send requests until the run ends; reconnect when the connection closes."""
        caller = None
        while not self._is_finished:
            await asyncio.sleep(CALLER_PAUSE_S)
            try:
                if caller is None:
                    index = number % len(self.fleet.SERVICES)
                    ip = self.fleet.ip(index)
                    caller = await Caller.connect(ip, self.fleet.port)
                if self.rng.random() >= ONCE_SHARE:
                    caller = await self._exchange(caller, "/safe/x", "GET", b"")
                elif self.rng.random() >= UPLOAD_SHARE:
                    caller = await self._exchange(caller, "/once/x", "POST", b"body")
                else:
                    caller = await self._upload(caller)
            except (OSError, TimeoutError):
                caller = None

    async def _upload(self, caller: Caller) -> Caller | None:
        """Send a long body, or a part of it and leave."""
        length = self.rng.randint(*UPLOAD_BYTES)
        body = bytes([self.rng.randrange(256)]) * length
        if self.rng.random() >= ABANDONED_SHARE:
            return await self._exchange(caller, "/upload/x", "POST", body)
        caller.writer.write(
            b"POST /upload/abandoned HTTP/1.1\r\nHost: shop.example\r\n"
            b"Request-Id: abandoned\r\nContent-Length: %d\r\n\r\n%b"
            % (length, body[: length // 2])
        )
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        caller.close()
        return None

    async def _exchange(
        self, caller: Caller, target: str, method: str, body: bytes
    ) -> Caller | None:
        request_id = caller.write(target, method=method, body=body)
        self.bodies[request_id] = body
        self.sent_s.append(time.monotonic())
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            answer = await caller.read()
        if not answer.is_complete:
            self.answers[request_id] = 0
            caller.close()
            return None
        self.answers[request_id] = answer.status
        self.latest.append(answer.status)
        if answer.status == 200 and answer.body != f"answer to {request_id}".encode():
            self.problems.append(f"{request_id} got {answer.body!r:.60}")
        if answer.status in (400, 404, 413, 431):
            self.problems.append(f"{request_id} got {answer.status}")
        if answer.headers.get("connection") == "close":
            caller.close()
            return None
        return caller

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
        if "abandoned" in runs:
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
            arrival for item in self.fleet.upstreams for arrival in item.arrivals
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
        print(f"seed {seed}: {problems[:5] or 'ok'}", flush=True)
    return 1 if n_violated else 0


if __name__ == "__main__":
    sys.exit(main())
