"""Membership of the fleet: heartbeats with a few peers, gossip about the others.

Each daemon exchanges heartbeats with a small overlay of peers chosen by rendezvous
hashing, so the cost does not depend on the size of the fleet. What it observes there
directly is gossiped as member updates, each sent to a bounded number of peers
(infection-style dissemination).

Source: Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent infection-style
process group membership protocol", 2002. Differences: a suspected host refutes by its
uptime, and a silent failure domain is probed before its hosts count as gone.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from ..protocol.frames import Frame, Goodbye, Heartbeat, Hello
from ..protocol.peer_network import PeerNetwork
from ..state.member import Member, MemberStatus, MemberUpdate, MergeResult
from ..state.members import MemberTable
from .gossip_queue import GossipQueue
from .overlay import Overlay
from .task_set import TaskSet

__all__ = ["Membership"]

HEARTBEAT_INTERVAL_S = 1.0
# Largest random deviation of an interval, as a fraction of it.
HEARTBEAT_JITTER = 0.1
# Minimum time between two heartbeats to a peer, also if they are flushed.
FLUSH_GAP_S = 0.1
# One in so many heartbeats to a peer contains the revisions of the documents.
REVISIONS_EVERY = 5
SILENCE_TIMEOUT_S = 3.5
SUSPICION_TIMEOUT_S = 4.0
CONNECT_RETRY_S = 1.0
CONNECT_TIMEOUT_S = 2.0
LINK_LOST_JITTER_S = 0.3
SWEEP_INTERVAL_S = 1.0
PROBE_INTERVAL_S = 3.0
PROBE_TIMEOUT_S = 1.5
# A failure domain is reachable if one of its hosts was heard within this time, or
# answers a probe. The result of probing so many hosts is then used for a time.
DOMAIN_FRESH_S = 2.5
DOMAIN_PROBES = 3
DOMAIN_CHECK_TTL_S = 5.0
N_UPDATES_SENT_MAX = 6
N_SUSPECTS_MAX = 32
N_UPDATES_MERGED_MAX = 64

RevisionsHandler = Callable[[str, list[Any]], None]
SuspectsHandler = Callable[[str, list[Any]], None]


@attrs.define
class _Peer:
    """State of one peer of the overlay.

    Attributes:
        host: Name of the peer.
        flush: Set when the next heartbeat is to be sent at once.
        n_sent: Heartbeats sent since the link was opened, or since the latest call of
            ``Membership.flush``.
        failing_since_s: Time since which the peer cannot be reached, or None.
        linked_at_s: Time from which the silence of the peer counts.
    """

    host: str
    flush: asyncio.Event = attrs.Factory(asyncio.Event)
    n_sent: int = 0
    failing_since_s: float | None = None
    linked_at_s: float = 0.0


class Membership:
    """Keeps a member table up to date by exchanging heartbeats with a few peers.

    Args:
        make_hello: Returns this daemon's Hello frame with its current uptime.
        table: Table to keep up to date.
        network: Links to peers.
        seeds: Addresses to connect to while no peer is linked.
        get_revisions: Returns the ``revisions`` of the next heartbeat.
        get_suspects: Returns the ``suspects`` of the next heartbeat.
        on_revisions: Called with the host and the ``revisions`` of each heartbeat
            that has any.
        on_suspects: Called with the host and the ``suspects`` of each heartbeat that
            has any.
        overlay: Overlay to use in place of the default one.
        rng: Random source for jitter and for the choice of probed hosts.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        table: MemberTable,
        network: PeerNetwork,
        *,
        seeds: Sequence[str] = (),
        get_revisions: Callable[[], list[Any]] = list,
        get_suspects: Callable[[], list[Any]] = list,
        on_revisions: RevisionsHandler = lambda host, revisions: None,
        on_suspects: SuspectsHandler = lambda host, suspects: None,
        overlay: Overlay | None = None,
        rng: random.Random | None = None,
    ) -> None:
        local_hello = make_hello()
        self._make_hello = make_hello
        self._host = local_hello.host
        self._incarnation = local_hello.incarnation
        self._failure_domain = local_hello.failure_domain
        self._table = table
        self._network = network
        self._seeds = [seed for seed in seeds if seed != local_hello.peers]
        self._get_revisions = get_revisions
        self._get_suspects = get_suspects
        self._on_revisions = on_revisions
        self._on_suspects = on_suspects
        self._rng = rng or random.Random()
        self._overlay = overlay or Overlay(local_hello.host, local_hello.failure_domain)
        self._gossip = GossipQueue(_now)
        self._peers: dict[str, _Peer] = {}
        self._inbound_heard_at_s: dict[str, float] = {}
        self._domain_checks: dict[str, tuple[float, bool]] = {}
        self._tasks = TaskSet()
        self._expiring: set[str] = set()
        self._is_leaving = False

    @property
    def peers(self) -> list[str]:
        """Hosts of the overlay with an open link."""
        open_hosts = set(self._network.hosts)
        return [host for host in self._peers if host in open_hosts]

    @property
    def is_leaving(self) -> bool:
        """Whether this host has announced that it is leaving."""
        return self._is_leaving

    async def start(self) -> None:
        """Start all tasks."""
        self._tasks.start()
        self._note_hello(self._make_hello())
        self._tasks.spawn(self._maintain_overlay())
        self._tasks.spawn(self._sweep_suspects())
        self._tasks.spawn(self._probe_lost())

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    async def handle_control(self, host: str, frame: Frame) -> bool:
        """Handle a control frame; return whether it was a membership frame."""
        if isinstance(frame, Heartbeat):
            self._handle_heartbeat(host, frame)
            return True
        if isinstance(frame, Goodbye):
            self._handle_goodbye(host, frame)
            return True
        return False

    def note_link(self, hello: Hello, is_up: bool) -> None:
        """Record that a link went up or down."""
        if hello.host == self._host or not self._tasks.is_running:
            return
        if is_up:
            self._note_hello(hello)
        else:
            self._tasks.spawn(self._follow_up_lost_link(hello))

    def note_unreachable(self, host: str) -> None:
        """Suspect a host because a call could not connect to it."""
        self._suspect(host)

    async def announce_leaving(self) -> None:
        """Notify all linked peers at once that this host takes no new work."""
        self._is_leaving = True
        self._table.note_goodbye(self._host, self._incarnation)
        self._gossip_about(self._host)
        goodbye = Goodbye(self._host, self._incarnation)
        sends = [self._network.send(host, goodbye) for host in self._network.hosts]
        await asyncio.gather(*sends, return_exceptions=True)

    def restart_silence_timers(self) -> None:
        """Restart all silence timers, after a pause of this process."""
        self._table.restart_silence_timers()
        now_s = _now()
        for peer in self._peers.values():
            peer.linked_at_s = now_s
            peer.failing_since_s = None
        self.flush()

    def flush(self) -> None:
        """Send heartbeats to the overlay now, without waiting for the interval."""
        for peer in self._peers.values():
            peer.n_sent = 0
            peer.flush.set()

    def _handle_heartbeat(self, host: str, frame: Heartbeat) -> None:
        """Merge a heartbeat."""
        if self._table.note_heartbeat(host, frame.uptime_ms):
            self._gossip_about(host)
        member = self._table.get(host)
        if member is not None:
            self._note_domain_heard(member.failure_domain)
        self._inbound_heard_at_s[host] = _now()
        self._start_heartbeats(host)
        for values in frame.rumours[:N_UPDATES_MERGED_MAX]:
            update = MemberUpdate.unpack(values)
            if update.is_ok():
                self._merge_update(host, update.ok_value)
        if frame.suspects:
            self._on_suspects(host, frame.suspects[:N_SUSPECTS_MAX])
        if frame.revisions:
            self._on_revisions(host, frame.revisions)

    def _handle_goodbye(self, host: str, frame: Goodbye) -> None:
        """Merge a goodbye; it is ignored unless it is about its sender."""
        if frame.host == host and self._table.note_goodbye(host, frame.incarnation):
            self._gossip_about(host)

    def _merge_update(self, source: str, update: MemberUpdate) -> None:
        """Merge a member update, and gossip it further or refute it."""
        member = update.member
        if member.host == self._host:
            self._merge_update_about_self(update)
            return
        result = self._table.merge_update(update)
        if result is MergeResult.NEW:
            self._gossip_about(member.host, source)
        elif result is MergeResult.REFUTED:
            self._gossip_about(member.host)

    def _merge_update_about_self(self, update: MemberUpdate) -> None:
        """Refute the update if it suspects this incarnation of this host."""
        member = update.member
        is_suspicion = member.status is MemberStatus.SUSPECT
        if is_suspicion and member.incarnation == self._incarnation:
            self._table.note_heartbeat(self._host, self._make_hello().uptime_ms)
            self._gossip_about(self._host)

    def _gossip_about(self, host: str, source: str = "") -> None:
        """Queue the state of a host for gossip, and flush the heartbeats."""
        update = self._table.update_of(host)
        if update is None:
            return
        self._gossip.put(update, len(self._table), source)
        if self._gossip.may_send:
            for peer in self._peers.values():
                peer.flush.set()

    def _note_hello(self, hello: Hello) -> None:
        """Merge the Hello of a peer."""
        if self._table.note_hello(_member_of(hello), hello.uptime_ms):
            self._gossip_about(hello.host)
        self._note_domain_heard(hello.failure_domain)

    def _note_domain_heard(self, failure_domain: str) -> None:
        """Mark a failure domain as back if the latest check found it cut off."""
        check = self._domain_checks.pop(failure_domain, None)
        if check is not None and check[1]:
            self._table.mark_domain_back(failure_domain)

    async def _maintain_overlay(self) -> None:
        """Exchange heartbeats with the chosen peers, until cancelled."""
        version = -1
        while True:
            if self._table.version != version:
                version = self._table.version
                self._overlay.choose(self._table.usable())
            for host in self._overlay.chosen:
                self._start_heartbeats(host)
            if not self.peers:
                await self._connect_to_seeds()
            await asyncio.sleep(self._jittered(SWEEP_INTERVAL_S))

    async def _connect_to_seeds(self) -> None:
        """Open links to the seeds."""
        for seed in self._seeds:
            hello = await self._connect(seed)
            if hello is not None:
                self._inbound_heard_at_s[hello.host] = _now()
                self._start_heartbeats(hello.host)

    def _start_heartbeats(self, host: str) -> None:
        """Start to exchange heartbeats with a peer, unless already started."""
        if host in self._peers or host == self._host or not self._tasks.is_running:
            return
        peer = _Peer(host, linked_at_s=_now())
        self._peers[host] = peer
        self._tasks.spawn(self._exchange_heartbeats(peer))

    def _is_overlay_peer(self, host: str) -> bool:
        """Return whether this host chose the peer, or the peer chose this host."""
        if host in self._overlay.chosen:
            return True
        return (
            _now() - self._inbound_heard_at_s.get(host, -SILENCE_TIMEOUT_S)
            < SILENCE_TIMEOUT_S
        )

    async def _exchange_heartbeats(self, peer: _Peer) -> None:
        """Exchange heartbeats with one peer while it belongs to the overlay."""
        try:
            while self._is_overlay_peer(peer.host):
                await self._exchange_heartbeat(peer)
        finally:
            del self._peers[peer.host]
            self._inbound_heard_at_s.pop(peer.host, None)

    async def _exchange_heartbeat(self, peer: _Peer) -> None:
        """Send one heartbeat and wait until the next is due."""
        if not await self._ensure_link(peer):
            self._note_failure(peer)
            await asyncio.sleep(self._jittered(CONNECT_RETRY_S))
            return
        peer.flush.clear()
        await self._network.send(peer.host, self._make_heartbeat(peer))
        await asyncio.sleep(FLUSH_GAP_S)
        interval_s = self._jittered(HEARTBEAT_INTERVAL_S) - FLUSH_GAP_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(interval_s):
                await peer.flush.wait()
        self._check_silence(peer)

    async def _ensure_link(self, peer: _Peer) -> bool:
        """Return whether there is a link, after opening one if necessary."""
        if self._network.hello(peer.host) is not None:
            return True
        member = self._table.get(peer.host)
        if member is None:
            return False
        hello = await self._connect(member.peers_address)
        if hello is None or hello.host != peer.host:
            return False
        peer.linked_at_s = _now()
        peer.failing_since_s = None
        peer.n_sent = 0
        return True

    async def _connect(self, peers_address: str) -> Hello | None:
        """Open a link and merge its Hello, unless the link was already open.

        Returns:
            The Hello of the peer, or None if the connection failed.
        """
        open_before = set(self._network.hosts)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                result = await self._network.connect(peers_address)
        except TimeoutError:
            return None
        if result.is_err():
            return None
        hello = result.ok_value
        if hello.host != self._host and hello.host not in open_before:
            self._note_hello(hello)
        return hello

    def _make_heartbeat(self, peer: _Peer) -> Heartbeat:
        """Return the next heartbeat for a peer."""
        has_revisions = peer.n_sent % REVISIONS_EVERY == 0
        peer.n_sent += 1
        return Heartbeat(
            uptime_ms=self._make_hello().uptime_ms,
            rumours=self._gossip.take(peer.host, N_UPDATES_SENT_MAX),
            suspects=self._get_suspects()[:N_SUSPECTS_MAX],
            revisions=self._get_revisions() if has_revisions else [],
        )

    def _check_silence(self, peer: _Peer) -> None:
        """Suspect a linked peer without a heartbeat within ``SILENCE_TIMEOUT_S``."""
        heard_at_s = self._table.heard_at_s(peer.host) or 0.0
        silent_s = _now() - max(heard_at_s, peer.linked_at_s)
        if silent_s > SILENCE_TIMEOUT_S:
            self._network.disconnect(peer.host)
            self._note_failure(peer)

    def _note_failure(self, peer: _Peer) -> None:
        """Suspect a peer that cannot be reached."""
        if peer.failing_since_s is None:
            peer.failing_since_s = _now()
        self._suspect(peer.host)

    def _suspect(self, host: str) -> None:
        """Suspect a host and gossip the suspicion."""
        if self._table.suspect(host):
            self._gossip_about(host)

    async def _follow_up_lost_link(self, hello: Hello) -> None:
        """Suspect a host whose link went down, unless it can be reached again."""
        await asyncio.sleep(self._rng.uniform(0, LINK_LOST_JITTER_S))
        member = self._table.get(hello.host)
        if member is None or member.incarnation != hello.incarnation:
            return
        if member.status is not MemberStatus.ALIVE:
            return
        if self._network.hello(hello.host) is not None:
            return
        if await self._connect(member.peers_address) is None:
            self._suspect(hello.host)

    async def _sweep_suspects(self) -> None:
        """Expire suspicions that were not refuted in time, until cancelled."""
        while True:
            await asyncio.sleep(self._jittered(SWEEP_INTERVAL_S))
            deadline_s = _now() - SUSPICION_TIMEOUT_S
            for member in self._table.of_status(MemberStatus.SUSPECT):
                since_s = self._table.suspected_at_s(member.host)
                is_due = since_s is not None and since_s < deadline_s
                if is_due and member.host not in self._expiring:
                    self._expiring.add(member.host)
                    self._tasks.spawn(self._expire(member))

    async def _expire(self, member: Member) -> None:
        """Mark a suspected host as gone, or as unreachable with its domain."""
        try:
            is_domain_cut = await self._is_domain_cut(
                member.failure_domain, member.host
            )
            current = self._table.get(member.host)
            if current is None or current.status is not MemberStatus.SUSPECT:
                return
            self._table.expire(member.host, is_domain_cut)
            if is_domain_cut:
                self._table.mark_domain_cut(member.failure_domain)
        finally:
            self._expiring.discard(member.host)

    async def _is_domain_cut(self, failure_domain: str, host: str) -> bool:
        """Return whether no other host of the failure domain answers."""
        if failure_domain == self._failure_domain and not self._is_isolated():
            return False
        check = self._domain_checks.get(failure_domain)
        if check is not None and _now() - check[0] < DOMAIN_CHECK_TTL_S:
            return check[1]
        is_domain_cut = not await self._is_domain_reachable(failure_domain, host)
        self._domain_checks[failure_domain] = (_now(), is_domain_cut)
        return is_domain_cut

    def _is_isolated(self) -> bool:
        """Return whether no other host of the local domain was heard recently."""
        return not self._was_heard(self._failure_domain)

    def _was_heard(self, failure_domain: str) -> bool:
        """Return whether another host of a failure domain was heard recently."""
        earliest_s = _now() - DOMAIN_FRESH_S
        for member in self._table.all_in_domain(failure_domain):
            heard_at_s = self._table.heard_at_s(member.host)
            if member.host != self._host and (heard_at_s or 0.0) > earliest_s:
                return True
        return False

    async def _is_domain_reachable(self, failure_domain: str, host: str) -> bool:
        """Return whether a host of the domain was heard recently or answers a probe."""
        if self._was_heard(failure_domain):
            return True
        others = [
            member
            for member in self._table.in_domain(failure_domain)
            if member.host not in (host, self._host)
        ]
        probed = self._rng.sample(others, min(DOMAIN_PROBES, len(others)))
        probes = [self._probe(member) for member in probed]
        return any(await asyncio.gather(*probes))

    async def _probe(self, member: Member) -> bool:
        """Return whether a host answers, on the open link or on a new one."""
        host = member.host
        if self._network.hello(host) is None:
            return await self._connect(member.peers_address) is not None
        probed_at_s = _now()
        await self._network.send(host, self._make_heartbeat(_Peer(host)))
        await asyncio.sleep(PROBE_TIMEOUT_S)
        is_heard = (self._table.heard_at_s(host) or 0.0) > probed_at_s
        if not is_heard:
            self._network.disconnect(host)
        return is_heard

    async def _probe_lost(self) -> None:
        """Probe one lost host of each failure domain periodically, until cancelled."""
        while True:
            await asyncio.sleep(self._jittered(PROBE_INTERVAL_S))
            for member in self._lost_by_domain():
                await self._probe(member)

    def _lost_by_domain(self) -> list[Member]:
        """Return a random lost host of each failure domain.

        Lost hosts are unreachable or gone, although the platform lists them.
        """
        lost: dict[str, list[Member]] = {}
        unreachable = self._table.of_status(MemberStatus.UNREACHABLE)
        for member in unreachable + self._table.of_status(MemberStatus.GONE):
            if self._table.is_listed(member.host):
                lost.setdefault(member.failure_domain, []).append(member)
        return [self._rng.choice(members) for members in lost.values()]

    def _jittered(self, interval_s: float) -> float:
        """Return an interval with jitter."""
        factor = self._rng.uniform(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER)
        return interval_s * factor


def _member_of(hello: Hello) -> Member:
    """Return the sender of a Hello as a member."""
    return Member(
        hello.host,
        hello.service,
        hello.failure_domain,
        hello.region,
        hello.peers,
        hello.incarnation,
        MemberStatus.ALIVE,
    )


def _now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()
