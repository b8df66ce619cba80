"""Actions of callers on a fleet, checked by the oracle of the lab."""

from __future__ import annotations

import asyncio
import math
import time
from collections import Counter

import attrs

from savoryroute_lab.action_templates import ActionTemplate
from savoryroute_lab.caller import Caller
from savoryroute_lab.calls import Mark, Plan, parse_steps
from savoryroute_lab.oracle import find_violations
from savoryroute_lab.platform import Outage
from savoryroute_lab.tally import Attempt, LogicalRequest
from savoryroute_lab.upstream import UpstreamSettings

from .fleet import Fleet

__all__ = ["Action", "World"]

ALLOWANCE = 12
ATTEMPTS_PER_HOP = 3
WINDOW_S = 60.0
CONDITION_TIMEOUT_S = 25.0
POLL_S = 0.05
MINTS_MAX = 200


@attrs.define
class Action:
    """One action of a caller, with its current idempotency key."""

    template: ActionTemplate
    request: LogicalRequest
    key: str = ""
    is_cancelled: bool = False
    pending: list[asyncio.Task] = attrs.field(factory=list)

    @property
    def reported(self) -> LogicalRequest:
        """The request as its caller sees it: attempts in flight have no answer yet."""
        n_open = sum(not task.done() for task in self.pending)
        unanswered = [Attempt("", self.key, 0.0, 0.0)] * n_open
        return attrs.evolve(self.request, attempts=self.request.attempts + unanswered)

    @property
    def last(self) -> Attempt:
        """The latest attempt."""
        return self.request.attempts[-1]


class World:
    """A fleet, its callers, their actions and the answers that they got."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.actions: dict[str, Action] = {}
        self._callers: dict[str, Caller] = {}
        self._revisions: dict[tuple[str, int], int] = {}
        self._n_incarnations = len(fleet.hosts)
        self._started_s = time.monotonic()
        self.published: set[int] = set()

    async def close(self) -> None:
        """Close the callers."""
        for caller in self._callers.values():
            await caller.close()

    def caller(self, through: str) -> Caller:
        """Return the caller that sends its requests through a daemon."""
        host = self.fleet[through]
        entry = f"127.0.0.1:{host.ports['callers']}"
        if entry not in self._callers:
            services = {other.service for other in self.fleet.hosts.values()}
            self._callers[entry] = Caller(dict.fromkeys(services, [entry]))
        return self._callers[entry]

    async def key(self, through: str, service: str, owner: str = "") -> str:
        """Return a new key, with a certain host as its owner if ``owner`` is given."""
        for _ in range(MINTS_MAX):
            keys = await self.caller(owner or through).mint(service, 1)
            if not keys or owner in ("", keys[0].split(".")[1]):
                return keys[0] if keys else ""
        raise AssertionError(f"no key owned by {owner} was minted")

    async def send(
        self,
        name: str,
        through: str,
        service: str = "booking",
        method: str = "POST",
        later: bool = False,
        **options,
    ) -> Action:
        """Send an action for the first time.

        Args:
            name: Name of the action in the test.
            through: Host whose daemon takes the request.
            service: Service called.
            method: HTTP method; only GET is idempotent.
            later: Whether to return without waiting for the answer.
            options: Any of ``key_of`` (action whose key is used), ``home`` (owner of
                a new key), ``cancels`` (action to cancel), ``body``, ``chain``,
                ``mark``, ``mark_at``, ``path`` and ``timeout_s``.
        """
        plan = Plan(
            parse_steps(options.get("chain", "")),
            mark=Mark(options.get("mark", "")),
            mark_at=options.get("mark_at", ""),
        )
        cancelled = self.actions.get(options.get("cancels", ""))
        headers = {"Savoryroute-Cancels": cancelled.key} if cancelled else {}
        template = ActionTemplate(
            name.rstrip("0123456789"),
            service,
            options.get("path", "/x/{n}"),
            method,
            idempotent=method == "GET",
            plan=plan,
            timeout_s=options.get("timeout_s", 1.0),
            grace_s=2.0,
            body=options.get("body", "").encode(),
            headers=headers,
        )
        action = Action(template, self.caller(through).prepare(template))
        if cancelled is not None:
            cancelled.is_cancelled = True
            action.request.cancels = cancelled.request.request_id
        if "key_of" in options:
            action.key = self.actions[options["key_of"]].key
        elif method != "GET":
            action.key = await self.key(through, service, options.get("home", ""))
        self.actions[name] = action
        return await self.send_again(name, through, later)

    async def send_again(self, name: str, through: str, later: bool = False) -> Action:
        """Send an action again with its current key."""
        action = self.actions[name]
        task = asyncio.create_task(self._attempt(action, through))
        action.pending.append(task)
        if later:
            await asyncio.sleep(POLL_S)
        else:
            await task
        return action

    async def settle(self) -> None:
        """Wait for all answers."""
        for action in self.actions.values():
            await asyncio.gather(*action.pending)

    async def _attempt(self, action: Action, through: str) -> None:
        caller, key = self.caller(through), action.key
        request = attrs.evolve(action.request, attempts=[])
        await caller.send(action.template, key, request)
        action.request.attempts.extend(request.attempts)
        action.request.ended_s = max(action.request.ended_s, request.ended_s)
        next_key = request.attempts[-1].next_key
        if next_key and not action.is_cancelled and action.key == key:
            action.key = next_key

    async def restart(self, host: str) -> None:
        """Restart a daemon without its state and do not wait until it is ready."""
        self._n_incarnations += 1
        await self.fleet.hosts[host].node.close()
        await self.fleet.start_node(host)

    async def replace(self, host: str) -> str:
        """Replace a host by another one at the same addresses."""
        self._n_incarnations += 1
        return await self.fleet.replace_host(host)

    def publish(self, plain: dict, is_valid: bool = True) -> int:
        """Publish a document, which becomes active if it is valid."""
        revision = self.fleet.publish(plain)
        if is_valid:
            self.published.add(revision)
        return revision

    async def end_faults(self) -> None:
        """End all faults."""
        self.fleet.links.heal()
        await self.fleet.platform.set_outage(Outage.NONE)
        self.fleet.platform.set_stale(None)
        for host in self.fleet.hosts.values():
            self.fleet.platform.set_stale(None, f"savoryroute/{host.name}")
            upstream = host.upstream
            defaults = UpstreamSettings(
                upstream.settings.service, upstream.settings.host
            )
            upstream.set(attrs.asdict(defaults))

    async def wait_revision(self, revision: int) -> None:
        """Wait until a revision is active at every daemon."""
        async with asyncio.timeout(CONDITION_TIMEOUT_S):
            while set((await self.revisions()).values()) != {revision}:
                await asyncio.sleep(POLL_S)

    async def revisions(self) -> dict[str, int]:
        """Return the active revision of each daemon; no revision may decrease."""
        found = {}
        for host in self.fleet.hosts:
            status = await self.fleet.query_operators(host, "/status")
            incarnation = host, status["incarnation"]
            found[host] = status["revision"]
            before = self._revisions.get(incarnation, 0)
            assert before <= status["revision"], f"{host}: {before} to {status}"
            assert not found[host] or found[host] in self.published, f"{host}: {status}"
            self._revisions[incarnation] = found[host]
        return found

    def check(self) -> None:
        """Compare the answers that callers got with what the upstreams ran."""
        executions = self.fleet.executions()
        requests = [action.reported for action in self.actions.values()]
        findings = find_violations(requests, executions)
        assert findings.is_clean, self._explain(findings, executions)
        booked = [e for e in executions if e.key and e.method != "GET"]
        for key, n_runs in Counter(e.key for e in booked).items():
            assert n_runs == 1, f"{key} ran {n_runs} times"
        self._check_attempts(executions)

    def _check_attempts(self, executions: list) -> None:
        """Check the executions of each action against the bound in attempts.md."""
        windows = math.ceil((time.monotonic() - self._started_s) / WINDOW_S)
        roots = Counter(e.request_id.split(".")[0] for e in executions)
        by_service = Counter((e.request_id, e.service) for e in executions)
        for action in self.actions.values():
            name = action.request.request_id
            n_sent = len(action.reported.attempts)
            assert roots[name] <= n_sent * ALLOWANCE, f"{name} ran {roots[name]} times"
            maximum = self._n_incarnations * ATTEMPTS_PER_HOP * windows
            assert by_service[name, action.template.service] <= maximum, name

    def _explain(self, findings, executions: list) -> str:
        violating = {*findings.wrong, *findings.ran_twice, *findings.not_run_but_ran}
        violating |= set(findings.ran_cancelled)
        requests = [
            a.request
            for a in self.actions.values()
            if a.request.request_id in violating
        ]
        ran = [e for e in executions if e.request_id in violating]
        return f"{findings}\nrequests: {requests}\nran: {ran}"
