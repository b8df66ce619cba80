"""Daemons with quotas on a virtual clock, with a lossy message layer and a store."""

from __future__ import annotations

import random
from collections import Counter

import attrs

from savoryroute.coordination.quotas import Quotas
from savoryroute.state.address import Address
from savoryroute.state.event_log import EventLog
from savoryroute.state.fleet_view import Instance
from savoryroute.state.mesh_settings import parse_mesh_settings
from savoryroute.state.organisations import Organisation, Organisations
from savoryroute.state.route_table import RouteTable

from .virtual_time import VirtualTime

SETTINGS = parse_mesh_settings(
    """{host: "h", ip: "10.0.0.1", failure_domain: "d", service: "s",
    callers: "10.0.0.1:1", links: "10.0.0.1:2", readiness: "10.0.0.1:3",
    upstream: "10.0.0.1:4", platform: "10.0.0.1:5", metrics_port: 0, grace_s: "6s",
    retry_ratio: 0.2, retry_slack: 10, memory_mb: 300, quota_window_s: "5s",
    quota_overage: 0.25, quota_slack: 20}""",
    "test",
).unwrap()
LEASE_S = 4.5
POLL_S = 1.0
WINDOW_S = 5.0


@attrs.define(eq=False)
class Host:
    """One daemon; group 0 reaches the store."""

    ip: str
    domain: str
    quotas: Quotas | None = None
    table: RouteTable | None = None
    seen: dict = attrs.field(factory=dict)
    proved_s: float = float("-inf")
    group: int = 0
    run: int = 0
    is_up: bool = True
    is_leaving: bool = False


class QuotaFleet:
    """Hosts, the store's list and configuration, and messages between the hosts."""

    def __init__(self, n, n_domains=4, rate=10.0, burst=0.0, seed=1, loss=0.0):
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay_s = (0.0005, 0.004)
        self.hosts = [
            Host(f"10.0.{i // 250}.{i % 250 + 1}", f"d{i % n_domains}")
            for i in range(n)
        ]
        self.by_ip = {host.ip: host for host in self.hosts}
        self.listed = {}
        self.admitted = []
        self.statuses = Counter()
        self.refused_s = []
        self.n_frames = Counter()
        self.lines = []
        self.silent = set()
        self.publish(rate, burst)
        for host in self.hosts:
            self.list(host)
        for host in self.hosts:
            self.start(host)

    def publish(self, rate, burst=0.0):
        self.organisation = Organisation("o", 0, rate, burst)
        organisations = Organisations([(b"k", self.organisation)])
        self.table = RouteTable(1, {}, {}, organisations=organisations)

    def list(self, host, cold_s=0.0):
        ip, domain = host.ip, host.domain
        self.listed[ip] = Instance(ip, "s", ip, domain, 10, True, cold_s)

    def start(self, host):
        host.run += 1
        host.is_up, host.is_leaving, host.proved_s = True, False, float("-inf")
        host.table, host.seen = self.table, {}
        settings = attrs.evolve(
            SETTINGS, callers=Address(host.ip, 1), failure_domain=host.domain
        )
        host.quotas = Quotas(
            settings,
            lambda: host.table,
            lambda: self.time.now_s() - host.proved_s,
            lambda: host.is_leaving,
            lambda ip, frame: self.send(host, ip, frame),
            lambda ip: False,
            self.time.after,
            EventLog(1, {}, clock=self.time.now_s, write=self._write),
            self.rng,
            self.time.now_s,
        )
        self._poll(host, host.run, self.rng.uniform(0.0, 0.3))
        self._check(host, host.run, 0)

    def _write(self, descriptor, data):
        self.lines.append(data)
        return len(data)

    def _poll(self, host, run, delay_s):
        """Renew list, configuration and proof each second while connected."""

        def poll():
            if host.run != run or not host.is_up:
                return
            if host.group == 0:
                host.proved_s, host.table = self.time.now_s(), self.table
                if not host.is_leaving and host.ip not in self.listed:
                    self.list(host)
                if host.seen != self.listed:
                    host.seen = dict(self.listed)
                    host.quotas.update_hosts(self.listed.values())
            self._poll(host, run, POLL_S)

        self.time.after(delay_s, poll)

    def _check(self, host, run, n):
        if host.run == run and host.is_up:
            host.quotas.check()
            if n % 5 == 0:
                host.quotas.sweep()
            self.time.after(0.2, lambda: self._check(host, run, n + 1))

    def send(self, sender, ip, frame):
        self.n_frames[sender.ip] += 1
        target = self.by_ip[ip]
        if self.rng.random() < self.loss:
            return True

        def arrive():
            if target.is_up and sender.group == target.group and ip not in self.silent:
                target.quotas.on_frame(
                    sender.ip,
                    frame,
                    lambda answer: self.send(target, sender.ip, answer),
                )

        self.time.after(self.rng.uniform(*self.delay_s), arrive)
        return True

    def separate(self, hosts, group=1):
        """Cut hosts off from the others and the store, which drops them later."""
        for host in hosts:
            host.group = group
            self.time.after(LEASE_S, lambda host=host: self._expire(host))

    def _expire(self, host):
        if host.group or not host.is_up:
            self.listed.pop(host.ip, None)

    def heal(self):
        for host in self.hosts:
            host.group = 0

    def kill(self, host):
        host.is_up = False
        self.time.after(LEASE_S, lambda: self._expire(host))

    def leave(self, host):
        host.is_leaving = True
        self.listed.pop(host.ip, None)

    def request(self, host, on_end=None):
        if not host.is_up:
            return

        def on_decision(decision):
            if decision.expires_s is not None:
                self.admitted.append(self.time.now_s())
            else:
                self.statuses[decision.status] += 1
                self.refused_s.append(self.time.now_s())
            if on_end is not None:
                on_end(decision)

        host.quotas.acquire("o", b"r", on_decision)

    def load(self, per_s, start_s, end_s, weights=None, hosts=None):
        """Send requests at exponential intervals to hosts chosen by weight."""
        at_s = start_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < end_s:
            chosen = self.rng.choices(hosts or self.hosts, weights)[0]
            self.time.at(at_s, lambda chosen=chosen: self.request(chosen))

    def run(self, until_s):
        """Run to a time; what is scheduled later stays."""
        self.time.run(until_s)

    def windows(self):
        """Return begin and admitted requests of each window that begins with one."""
        times = sorted(self.admitted)
        end = 0
        for begin, at_s in enumerate(times):
            while end < len(times) and times[end] < at_s + WINDOW_S:
                end += 1
            yield at_s, end - begin

    def most_admitted(self):
        """Return the most admitted in any window."""
        return max((n for _, n in self.windows()), default=0)


def bound(rate, burst=0.0):
    """Return the most that may be admitted in a window."""
    return (rate * WINDOW_S + burst) * 1.25 + 20
