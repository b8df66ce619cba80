"""Faults of the soak, each of one host or of several."""

from __future__ import annotations

import asyncio
import signal
import time

from tests.savoryroute_platform import endless_upstream
from tests.savoryroute_platform.mesh_fleet import Caller
from tests.savoryroute_platform.test_process_start import ignores_hangup

from .callers import INPUTS, STEADY, UPGRADE, misbehave
from .proxy import Fault

__all__ = ["ANSWER_TIMEOUT_S", "FAULTS"]

ANSWER_TIMEOUT_S = 6.0
# Requests a second that upstreams name as limits, and seconds until they must hold.
RATE_LIMITS = (1.5, 5.0, 20.0)
LIMIT_DELAY_S = 0.5
# More requests than an upstream gets while it sheds.
N_SHED = 10_000

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


@fault
async def kill_all(fleet, index, rng):
    for other in range(len(fleet.SERVICES)):
        fleet.signal(other, signal.SIGKILL)
    await asyncio.gather(*map(fleet.restart, range(len(fleet.SERVICES))))


@fault
async def hang_up(fleet, index, rng):
    """Send hangups in series, at times from the first moment of a process."""
    if rng.random() < 0.5:
        await kill(fleet, index, rng)
    for _ in range(rng.randint(10, 200)):
        process = fleet.processes[index]
        # Only the program can ignore them, not the interpreter's start.
        if process.poll() is None and ignores_hangup(process.pid):
            fleet.signal(index, signal.SIGHUP)
        await asyncio.sleep(rng.uniform(0.0, 0.01))


@fault
async def prolong_answers(fleet, index, rng):
    """Let several upstreams send answers without end at once."""
    proxies = [fleet.upstream_proxies[other] for other in fleet.PLANNERS]
    proxies = rng.sample(proxies, rng.randint(1, len(proxies)))
    for proxy in proxies:
        proxy.fault = Fault.ENDLESS
    await asyncio.sleep(rng.uniform(0.2, 1.5))
    for proxy in proxies:
        proxy.fault = Fault.NONE
        proxy.reset()


@fault
async def ask_for_endless_answers(fleet, index, rng):
    """Send requests for answers without end or long ones, and read the answers."""
    names = rng.choices([*sorted(endless_upstream.FAULTS), "long-answer"], k=6)
    await asyncio.gather(
        *(
            ask(fleet.ip(rng.randrange(len(fleet.SERVICES))), fleet.port, name)
            for name in names
        )
    )


async def ask(ip, port, name):
    """Send a request for a faulty or long answer."""
    try:
        caller = await Caller.connect(ip, port)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            await caller.request(f"/faulty/{name}")
        caller.close()
    except (OSError, TimeoutError):
        pass


@fault
async def send_endless_input(fleet, index, rng):
    ip = fleet.ip(rng.randrange(len(fleet.SERVICES)))
    name = rng.choice(sorted(INPUTS))
    await misbehave(ip, fleet.port, name, rng.randint(1, 16), rng.uniform(0.5, 3.0))


@fault
async def send_ahead(fleet, index, rng):
    """Send requests and offers of upgrades ahead, and read all of their answers."""
    index = rng.randrange(len(fleet.SERVICES))
    process = fleet.processes[index]
    requests = [
        STEADY % rng.randrange(10**9) + rng.choice([b"\r\n", UPGRADE])
        for _ in range(rng.randint(2, 50))
    ]
    data, is_closed = b"", False
    sent_s = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(fleet.ip(index), fleet.port)
        writer.write(b"".join(requests))
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            while data.count(b"HTTP/1.1 ") < len(requests) and not is_closed:
                piece = await reader.read(65536)
                data += piece
                is_closed = not piece
        writer.close()
    except (OSError, TimeoutError) as error:
        is_closed = isinstance(error, ConnectionError) and bool(data)
    # An answer that closes the connection says that the next ones were not read.
    is_closed = is_closed and b"connection: close" not in data.lower()
    if is_closed and fleet.is_undisturbed(index, process, sent_s):
        n_answers = data.count(b"HTTP/1.1 ")
        seen = f"{n_answers} of {len(requests)} requests sent ahead were answered"
        fleet.problems.append(f"host {index}: {seen}, last {data[-200:]!r}")
