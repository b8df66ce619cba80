"""Membership table: members of the fleet in the view of one daemon.

Precedence of evidence about one host:

1. Incarnations are random numbers without an order. The incarnation that started
   last is the current one. Its start is estimated on the local clock as the time of
   the evidence minus the uptime that the evidence states. The lowest estimate is
   kept, because delays only make an estimate later. A Hello on a link takes
   precedence over gossip. An incarnation that a Hello superseded is never accepted
   again. Gossip does not supersede a host from which direct evidence arrived within
   the last ``DIRECT_FRESH_S`` seconds.
2. Within one incarnation, evidence is ordered by the uptime of the host's daemon. A
   suspicion states the last known uptime. An uptime that is later by more than one
   heartbeat refutes it.
3. LEAVING is final for its incarnation. Only GONE can follow it.
4. The platform's list contains no incarnations and lags behind. It adds hosts, and
   it decides about hosts for which there is no other evidence. Its ``leaving``
   applies to an incarnation only if that started longer ago than the list lags.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from .host_list import HostList, ListedHost
from .member import (
    GOSSIP_STATUSES,
    Evidence,
    Member,
    MemberStatus,
    MemberUpdate,
    MergeResult,
)

__all__ = ["MemberTable"]

# Longest time by which the platform's list lags behind the fleet.
LIST_LAG_S = 60.0
# A suspicion older than the known uptime by more than this, a bit over one heartbeat,
# is answered with this daemon's view.
REFUTE_MARGIN_MS = 1500
# Gossip does not replace an incarnation heard directly within this time.
DIRECT_FRESH_S = 3.0
# Superseded incarnations remembered per host.
N_SUPERSEDED = 8

_USABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
_FINAL = (MemberStatus.LEAVING, MemberStatus.GONE)

ChangeHandler = Callable[[str, Member | None, Member, Evidence], None]


@attrs.define
class _Entry:
    """A member and the evidence for its status.

    Times are in seconds on the local monotonic clock.

    Attributes:
        member: The member in its present state.
        is_direct: Whether its incarnation is known from the host itself.
        is_listed: Whether the platform's list contains the host.
        is_listed_leaving: Whether the list marks the host as leaving.
        is_leaving_by_list: Whether its status LEAVING comes from the list.
        has_announced_leaving: Whether the host or gossip announced that it leaves.
        uptime_ms: Latest known uptime of its daemon in milliseconds.
        started_at_s: Earliest estimate of the start of its daemon.
        known_at_s: Time at which the incarnation became known.
        heard_at_s: Time of the latest direct evidence, or None if there is none or
            the host has been silent since.
        suspected_at_s: Time at which the suspicion began, or None.
        uptime_at_silence_ms: Uptime known when this daemon found the host silent, or
            None if direct evidence arrived since.
        was_suspected: Whether a suspicion ended without having been refuted.
        superseded: Incarnations that a Hello superseded, the latest last.
    """

    member: Member
    is_direct: bool = False
    is_listed: bool = False
    is_listed_leaving: bool = False
    is_leaving_by_list: bool = False
    has_announced_leaving: bool = False
    uptime_ms: int = 0
    started_at_s: float = 0.0
    known_at_s: float = 0.0
    heard_at_s: float | None = None
    suspected_at_s: float | None = None
    uptime_at_silence_ms: int | None = None
    was_suspected: bool = False
    superseded: tuple[int, ...] = ()


class MemberTable:
    """All members, merged from the platform's list, direct evidence and gossip."""

    def __init__(
        self,
        host: str,
        on_change: ChangeHandler | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._host = host
        self._on_change = on_change
        self._clock = clock
        self._entries: dict[str, _Entry] = {}
        self._by_service: dict[str, dict[str, None]] = {}
        self._by_domain: dict[str, dict[str, None]] = {}
        self._by_status: dict[MemberStatus, dict[str, None]] = {
            status: {} for status in MemberStatus
        }
        self._version = 0

    @property
    def version(self) -> int:
        """Version of the table; increases with each change."""
        return self._version

    @property
    def members(self) -> list[Member]:
        """All members, including those with status GONE."""
        return [entry.member for entry in self._entries.values()]

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, host: str) -> Member | None:
        """Return the member with this host name, or None."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def of_service(self, service: str) -> list[Member]:
        """Return the members of a service that accept new work, suspects last."""
        found = [
            self._entries[host].member for host in self._by_service.get(service, ())
        ]
        alive = [item for item in found if item.status is MemberStatus.ALIVE]
        suspects = [item for item in found if item.status is MemberStatus.SUSPECT]
        return alive + suspects

    def in_domain(self, failure_domain: str) -> list[Member]:
        """Return the members of a failure domain that are alive or suspect."""
        hosts = self._by_domain.get(failure_domain, ())
        found = [self._entries[host].member for host in hosts]
        return [item for item in found if item.status in _USABLE]

    def all_in_domain(self, failure_domain: str) -> list[Member]:
        """Return all members of a failure domain, whatever their status."""
        hosts = self._by_domain.get(failure_domain, ())
        return [self._entries[host].member for host in hosts]

    def usable(self) -> list[Member]:
        """Return all members that are alive or suspect."""
        return [item for item in self.members if item.status in _USABLE]

    def is_listed(self, host: str) -> bool:
        """Return whether the platform's list contains the host as live."""
        entry = self._entries.get(host)
        return bool(entry and entry.is_listed and not entry.is_listed_leaving)

    def uptime_ms(self, host: str) -> int | None:
        """Return the estimated current uptime of a host's daemon, or None."""
        entry = self._entries.get(host)
        if entry is None or not entry.member.incarnation:
            return None
        return round((self._clock() - entry.started_at_s) * 1000)

    def heard_at_s(self, host: str) -> float | None:
        """Return the local time of the latest direct evidence in seconds, or None."""
        entry = self._entries.get(host)
        return entry.heard_at_s if entry else None

    def suspected_at_s(self, host: str) -> float | None:
        """Return the local time in seconds when suspicion began, or None."""
        entry = self._entries.get(host)
        return entry.suspected_at_s if entry else None

    def of_status(self, status: MemberStatus) -> list[Member]:
        """Return all members with a status."""
        return [self._entries[host].member for host in self._by_status[status]]

    def update_of(self, host: str) -> MemberUpdate | None:
        """Return the update that this daemon gossips about a host, or None."""
        entry = self._entries.get(host)
        if entry is None or not entry.member.incarnation:
            return None
        if entry.member.status.value not in GOSSIP_STATUSES:
            return None
        return MemberUpdate(entry.member, entry.uptime_ms)

    def merge_list(self, host_list: HostList) -> None:
        """Merge the platform's list."""
        for listed in host_list.hosts.values():
            self._merge_listed(listed)
        for host, entry in list(self._entries.items()):
            if host not in host_list.hosts:
                self._unlist(entry)

    def note_hello(self, member: Member, uptime_ms: int) -> bool:
        """Record a member's Hello; return whether the change must be gossiped."""
        entry = self._entries.get(member.host)
        if entry is None:
            self._add(member, uptime_ms, Evidence.HELLO)
            self._mark_heard(self._entries[member.host], uptime_ms)
            return True
        if entry.member.incarnation == member.incarnation:
            return self._revive(entry, uptime_ms, Evidence.HELLO)
        if member.incarnation in entry.superseded:
            return False
        started_at_s = self._clock() - uptime_ms / 1000
        if entry.is_direct and started_at_s < entry.started_at_s:
            return False
        self._supersede(entry, member, uptime_ms, Evidence.HELLO)
        self._mark_heard(entry, uptime_ms)
        return True

    def note_heartbeat(self, host: str, uptime_ms: int) -> bool:
        """Record a heartbeat; return whether the change must be gossiped."""
        entry = self._entries.get(host)
        if entry is None:
            return False
        return self._revive(entry, uptime_ms, Evidence.HEARTBEAT)

    def note_goodbye(self, host: str, incarnation: int) -> bool:
        """Record that a host leaves; return whether the change must be gossiped."""
        entry = self._entries.get(host)
        if entry is None or entry.member.incarnation not in (0, incarnation):
            return False
        if entry.has_announced_leaving:
            return False
        entry.has_announced_leaving = True
        entry.member = attrs.evolve(entry.member, incarnation=incarnation)
        self._set_status(entry, MemberStatus.LEAVING, Evidence.GOODBYE)
        return True

    def suspect(self, host: str) -> bool:
        """Suspect a silent host; return whether the change must be gossiped."""
        entry = self._entries.get(host)
        if entry is None:
            return False
        entry.heard_at_s = None
        entry.uptime_at_silence_ms = entry.uptime_ms
        if entry.member.status is not MemberStatus.ALIVE:
            return False
        self._set_status(entry, MemberStatus.SUSPECT, Evidence.SILENCE)
        return True

    def expire(self, host: str, is_domain_cut: bool) -> None:
        """Declare a suspected host unreachable or gone after the suspicion timeout.

        Args:
            host: Host from which nothing was received.
            is_domain_cut: Whether no host of its failure domain is reachable.
        """
        entry = self._entries.get(host)
        if entry is None or entry.member.status in _FINAL:
            return
        entry.was_suspected = True
        if is_domain_cut and self.is_listed(host):
            self._set_status(entry, MemberStatus.UNREACHABLE, Evidence.DOMAIN_CUT)
        else:
            self._set_status(entry, MemberStatus.GONE, Evidence.SILENCE)

    def mark_domain_cut(self, failure_domain: str) -> None:
        """Mark all members of a failure domain as unreachable."""
        for host in self._by_domain.get(failure_domain, ()):
            entry = self._entries[host]
            if entry.member.status in _USABLE and host != self._host:
                # When the domain is reachable again, a suspect may still be down.
                entry.was_suspected |= entry.member.status is MemberStatus.SUSPECT
                self._set_status(entry, MemberStatus.UNREACHABLE, Evidence.DOMAIN_CUT)

    def mark_domain_back(self, failure_domain: str) -> None:
        """Mark members alive that were unreachable only because of the domain cut."""
        for host in self._by_domain.get(failure_domain, ()):
            entry = self._entries[host]
            is_cut = entry.member.status is MemberStatus.UNREACHABLE
            is_only_cut = entry.uptime_at_silence_ms is None and not entry.was_suspected
            if is_cut and is_only_cut:
                self._set_status(entry, MemberStatus.ALIVE, Evidence.DOMAIN_BACK)

    def merge_update(self, update: MemberUpdate) -> MergeResult:
        """Merge a member update received by gossip.

        Returns:
            ``NEW`` if the update should be passed on, ``REFUTED`` if this daemon has
            later evidence and should send its own view, otherwise ``KNOWN``.
        """
        reported = update.member
        if reported.host == self._host or not reported.incarnation:
            return MergeResult.KNOWN
        entry = self._entries.get(reported.host)
        if entry is None:
            return self._merge_unknown_host(update)
        if reported.incarnation != entry.member.incarnation:
            return self._merge_other_incarnation(entry, update)
        return self._merge_same_incarnation(entry, update)

    def restart_silence_timers(self) -> None:
        """Restart all silence timers, after this process itself was paused."""
        now = self._clock()
        for entry in self._entries.values():
            if entry.heard_at_s is not None:
                entry.heard_at_s = now
            if entry.suspected_at_s is not None:
                entry.suspected_at_s = now

    def _merge_unknown_host(self, update: MemberUpdate) -> MergeResult:
        """Add a host that is known only from a member update."""
        if update.member.status is MemberStatus.SUSPECT:
            return MergeResult.KNOWN
        self._add(update.member, update.uptime_ms, Evidence.RUMOUR)
        self._entries[update.member.host].has_announced_leaving = (
            update.member.status is MemberStatus.LEAVING
        )
        return MergeResult.NEW

    def _merge_other_incarnation(
        self, entry: _Entry, update: MemberUpdate
    ) -> MergeResult:
        """Accept another incarnation if it started later."""
        reported = update.member
        if reported.incarnation in entry.superseded or self._is_fresh(entry):
            return MergeResult.KNOWN
        if reported.status is MemberStatus.SUSPECT and entry.member.incarnation:
            return MergeResult.KNOWN
        started_at_s = self._clock() - update.uptime_ms / 1000
        if entry.member.incarnation and started_at_s <= entry.started_at_s:
            return MergeResult.KNOWN
        self._supersede(entry, reported, update.uptime_ms, Evidence.RUMOUR)
        entry.has_announced_leaving = reported.status is MemberStatus.LEAVING
        return MergeResult.NEW

    def _is_fresh(self, entry: _Entry) -> bool:
        """Return whether direct evidence arrived within ``DIRECT_FRESH_S``."""
        if entry.heard_at_s is None:
            return False
        return self._clock() - entry.heard_at_s < DIRECT_FRESH_S

    def _merge_same_incarnation(
        self, entry: _Entry, update: MemberUpdate
    ) -> MergeResult:
        """Merge an update about the known incarnation."""
        reported = update.member.status
        if reported is MemberStatus.LEAVING:
            return self._merge_leaving(entry)
        if entry.has_announced_leaving:
            return MergeResult.REFUTED
        if reported is MemberStatus.SUSPECT:
            return self._merge_suspicion(entry, update.uptime_ms)
        if update.uptime_ms <= entry.uptime_ms:
            return MergeResult.KNOWN
        self._note_uptime(entry, update.uptime_ms)
        if entry.member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            return MergeResult.KNOWN
        self._merge_refutation(entry)
        return MergeResult.NEW

    def _merge_leaving(self, entry: _Entry) -> MergeResult:
        """Merge an update that a host is leaving."""
        if entry.has_announced_leaving:
            return MergeResult.KNOWN
        entry.has_announced_leaving = True
        self._set_status(entry, MemberStatus.LEAVING, Evidence.RUMOUR)
        return MergeResult.NEW

    def _merge_suspicion(self, entry: _Entry, uptime_ms: int) -> MergeResult:
        """Merge a suspicion, which states the last known uptime."""
        if uptime_ms < entry.uptime_ms:
            is_alive = entry.member.status is MemberStatus.ALIVE
            is_refuted = uptime_ms + REFUTE_MARGIN_MS < entry.uptime_ms
            return MergeResult.REFUTED if is_alive and is_refuted else MergeResult.KNOWN
        is_later = uptime_ms > entry.uptime_ms
        self._note_uptime(entry, uptime_ms)
        is_unreachable = entry.member.status is MemberStatus.UNREACHABLE
        if entry.member.status is not MemberStatus.ALIVE:
            if not (is_unreachable and is_later):
                return MergeResult.KNOWN
        self._set_status(entry, MemberStatus.SUSPECT, Evidence.RUMOUR)
        return MergeResult.NEW

    def _merge_refutation(self, entry: _Entry) -> None:
        """Merge gossip that refutes a suspicion.

        A host that is alive but silent towards this daemon is unreachable from here.
        """
        entry.was_suspected = False
        if entry.uptime_at_silence_ms is None:
            self._set_status(entry, MemberStatus.ALIVE, Evidence.RUMOUR)
        else:
            self._set_status(entry, MemberStatus.UNREACHABLE, Evidence.RUMOUR)

    def _merge_listed(self, listed: ListedHost) -> None:
        """Merge one entry of the platform's list."""
        entry = self._entries.get(listed.host)
        if entry is None:
            status = MemberStatus.LEAVING if listed.is_leaving else MemberStatus.ALIVE
            member = _listed_member(listed, status)
            self._add(member, 0, Evidence.LIST)
            entry = self._entries[listed.host]
            entry.is_leaving_by_list = listed.is_leaving
        elif not entry.member.incarnation:
            self._merge_listed_only(entry, listed)
        elif listed.is_leaving:
            self._apply_listed_leaving(entry)
        elif entry.is_leaving_by_list and not entry.has_announced_leaving:
            entry.is_leaving_by_list = False
            self._set_status(entry, MemberStatus.ALIVE, Evidence.LIST)
        entry.is_listed = True
        entry.is_listed_leaving = listed.is_leaving

    def _merge_listed_only(self, entry: _Entry, listed: ListedHost) -> None:
        """Merge a list entry for a host that is known only from the list."""
        status = MemberStatus.LEAVING if listed.is_leaving else entry.member.status
        if entry.is_leaving_by_list and not listed.is_leaving:
            status = MemberStatus.ALIVE
        if entry.member.status is MemberStatus.GONE and not entry.is_listed:
            status = MemberStatus.ALIVE
        entry.is_leaving_by_list = listed.is_leaving
        self._replace(entry, _listed_member(listed, status), Evidence.LIST)

    def _apply_listed_leaving(self, entry: _Entry) -> None:
        """Apply the list's ``leaving`` unless it may concern an older incarnation."""
        is_young = self._clock() - entry.started_at_s < LIST_LAG_S
        is_new = not entry.is_listed_leaving
        if is_new and not is_young and entry.member.status not in _FINAL:
            entry.is_leaving_by_list = True
            self._set_status(entry, MemberStatus.LEAVING, Evidence.LIST)

    def _unlist(self, entry: _Entry) -> None:
        """Record that the list no longer contains a host."""
        was_listed, entry.is_listed = entry.is_listed, False
        entry.is_listed_leaving = False
        if was_listed and entry.heard_at_s is None:
            if entry.member.status is not MemberStatus.GONE:
                self._set_status(entry, MemberStatus.GONE, Evidence.LIST)

    def _revive(self, entry: _Entry, uptime_ms: int, evidence: Evidence) -> bool:
        """Record direct evidence that the known incarnation is alive."""
        self._mark_heard(entry, uptime_ms)
        if entry.has_announced_leaving or entry.member.status in (
            MemberStatus.ALIVE,
            MemberStatus.LEAVING,
        ):
            return False
        self._set_status(entry, MemberStatus.ALIVE, evidence)
        return True

    def _mark_heard(self, entry: _Entry, uptime_ms: int) -> None:
        """Record the time and uptime of direct evidence."""
        entry.is_direct = True
        entry.heard_at_s = self._clock()
        entry.uptime_at_silence_ms = None
        entry.was_suspected = False
        self._note_uptime(entry, uptime_ms)

    def _note_uptime(self, entry: _Entry, uptime_ms: int) -> None:
        """Keep the latest uptime and the earliest estimate of the start."""
        entry.uptime_ms = max(entry.uptime_ms, uptime_ms)
        started_at_s = self._clock() - uptime_ms / 1000
        entry.started_at_s = min(entry.started_at_s, started_at_s)

    def _supersede(
        self, entry: _Entry, member: Member, uptime_ms: int, evidence: Evidence
    ) -> None:
        """Replace the known incarnation with one that started later."""
        if evidence is Evidence.HELLO and entry.member.incarnation:
            superseded = (*entry.superseded, entry.member.incarnation)
            entry.superseded = superseded[-N_SUPERSEDED:]
        entry.is_direct = False
        entry.has_announced_leaving = False
        entry.is_leaving_by_list = False
        entry.heard_at_s = None
        entry.uptime_at_silence_ms = None
        entry.was_suspected = False
        entry.uptime_ms = uptime_ms
        entry.started_at_s = self._clock() - uptime_ms / 1000
        entry.known_at_s = self._clock()
        self._replace(entry, member, evidence)

    def _add(self, member: Member, uptime_ms: int, evidence: Evidence) -> None:
        """Add an unknown host."""
        now = self._clock()
        entry = _Entry(
            member,
            uptime_ms=uptime_ms,
            started_at_s=now - uptime_ms / 1000,
            known_at_s=now,
        )
        self._entries[member.host] = entry
        self._index(member)
        self._report_change(None, member, evidence)

    def _set_status(
        self, entry: _Entry, status: MemberStatus, evidence: Evidence
    ) -> None:
        """Change the status of a member."""
        self._replace(entry, attrs.evolve(entry.member, status=status), evidence)

    def _replace(self, entry: _Entry, member: Member, evidence: Evidence) -> None:
        """Replace the member of an entry and report the change."""
        old = entry.member
        if member == old:
            return
        entry.member = member
        is_suspect = member.status is MemberStatus.SUSPECT
        entry.suspected_at_s = self._clock() if is_suspect else None
        self._by_status[old.status].pop(old.host, None)
        if member.service != old.service:
            self._by_service[old.service].pop(old.host, None)
        if member.failure_domain != old.failure_domain:
            self._by_domain[old.failure_domain].pop(old.host, None)
        self._index(member)
        self._report_change(old, member, evidence)

    def _index(self, member: Member) -> None:
        """Index a member by status, service and failure domain."""
        self._version += 1
        self._by_status[member.status][member.host] = None
        self._by_service.setdefault(member.service, {})[member.host] = None
        self._by_domain.setdefault(member.failure_domain, {})[member.host] = None

    def _report_change(
        self, old: Member | None, new: Member, evidence: Evidence
    ) -> None:
        """Call the change handler, if there is one."""
        if self._on_change is not None:
            self._on_change(new.host, old, new, evidence)


def _listed_member(listed: ListedHost, status: MemberStatus) -> Member:
    """Return a listed host as a member of unknown incarnation."""
    return Member(
        listed.host,
        listed.service,
        listed.failure_domain,
        listed.region,
        listed.peers_address,
        0,
        status,
    )
