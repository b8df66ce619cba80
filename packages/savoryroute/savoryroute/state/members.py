"""Members of the fleet as one daemon sees them.

Order of evidence about one host:

1. Incarnations are random numbers and have no order of their own. The one that
   started last is the present one. Its start is estimated on the local clock as
   the time of the evidence minus the uptime it states, and the lowest estimate is
   kept, since delays only make an estimate later. A Hello on a link beats what is
   known from hearsay only; an incarnation that a Hello superseded never comes
   back; hearsay does not supersede a host that was itself heard a moment ago.
2. Within one incarnation the host's own uptime counts the evidence. A suspicion
   states the uptime last heard; an uptime later by more than a heartbeat
   refutes it.
3. LEAVING is final for its incarnation. Only GONE follows it.
4. The platform's list has no incarnations and lags. It adds hosts, and it speaks
   for hosts of which nothing else is known. Its ``leaving`` is believed of an
   incarnation that is older than the lag of the list.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import attrs

from .host_list import HostList, ListedHost
from .member import (
    SPREAD_STATUSES,
    Evidence,
    Member,
    MemberStatus,
    MemberUpdate,
    MergeResult,
)

__all__ = ["MemberTable"]

LIST_LAG_S = 60.0
REFUTE_MARGIN_MS = 1500
DIRECT_FRESH_S = 3.0
N_SUPERSEDED = 8


_USABLE = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
_FINAL = (MemberStatus.LEAVING, MemberStatus.GONE)

ChangeHandler = Callable[[str, Member | None, Member, Evidence], None]


@attrs.define
class _Entry:
    """A member with the evidence for it; times are on the local clock."""

    member: Member
    is_direct: bool = False
    is_listed: bool = False
    is_listed_leaving: bool = False
    is_leaving_by_list: bool = False
    has_left: bool = False
    uptime_ms: int = 0
    started_at_s: float = 0.0
    known_at_s: float = 0.0
    heard_at_s: float | None = None
    suspected_at_s: float | None = None
    silent_uptime_ms: int | None = None
    was_suspected: bool = False
    superseded: tuple[int, ...] = ()


class MemberTable:
    """All members, merged from the list, from direct evidence and from hearsay."""

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
        """Number that grows with each change."""
        return self._version

    @property
    def members(self) -> list[Member]:
        """All members, those gone included."""
        return [entry.member for entry in self._entries.values()]

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, host: str) -> Member | None:
        """Return the member of that name, or None."""
        entry = self._entries.get(host)
        return entry.member if entry else None

    def of_service(self, service: str) -> list[Member]:
        """Return the members that may take new work, suspects last."""
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
        """Return whether the platform's list has the host as live."""
        entry = self._entries.get(host)
        return bool(entry and entry.is_listed and not entry.is_listed_leaving)

    def uptime_ms(self, host: str) -> int | None:
        """Return the estimated present uptime of a host's daemon, or None."""
        entry = self._entries.get(host)
        if entry is None or not entry.member.incarnation:
            return None
        return round((self._clock() - entry.started_at_s) * 1000)

    def heard_at_s(self, host: str) -> float | None:
        """Return the local time of the latest direct evidence, or None."""
        entry = self._entries.get(host)
        return entry.heard_at_s if entry else None

    def suspected_at_s(self, host: str) -> float | None:
        """Return the local time since which a host is suspected, or None."""
        entry = self._entries.get(host)
        return entry.suspected_at_s if entry else None

    def of_status(self, status: MemberStatus) -> list[Member]:
        """Return all members of a status."""
        return [self._entries[host].member for host in self._by_status[status]]

    def update_of(self, host: str) -> MemberUpdate | None:
        """Return what this daemon would tell of a host, or None."""
        entry = self._entries.get(host)
        if entry is None or not entry.member.incarnation:
            return None
        if entry.member.status.value not in SPREAD_STATUSES:
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
        """Note what a member says of itself; return whether it is news to others."""
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
        """Note a sign of life; return whether it is news to others."""
        entry = self._entries.get(host)
        if entry is None:
            return False
        return self._revive(entry, uptime_ms, Evidence.HEARTBEAT)

    def note_goodbye(self, host: str, incarnation: int) -> bool:
        """Note that a host leaves; return whether it is news to others."""
        entry = self._entries.get(host)
        if entry is None or entry.member.incarnation not in (0, incarnation):
            return False
        if entry.has_left:
            return False
        entry.has_left = True
        entry.member = attrs.evolve(entry.member, incarnation=incarnation)
        self._set_status(entry, MemberStatus.LEAVING, Evidence.GOODBYE)
        return True

    def suspect(self, host: str) -> bool:
        """Suspect a host that was silent here; return whether it is news."""
        entry = self._entries.get(host)
        if entry is None:
            return False
        entry.heard_at_s = None
        entry.silent_uptime_ms = entry.uptime_ms
        if entry.member.status is not MemberStatus.ALIVE:
            return False
        self._set_status(entry, MemberStatus.SUSPECT, Evidence.SILENCE)
        return True

    def expire(self, host: str, is_domain_cut: bool) -> None:
        """End the suspicion of a host that was not refuted.

        Args:
            host: The host that stayed silent.
            is_domain_cut: Whether nobody of its failure domain can be reached.
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
        """Take all members of a failure domain for cut off."""
        for host in self._by_domain.get(failure_domain, ()):
            entry = self._entries[host]
            if entry.member.status in _USABLE and host != self._host:
                # The end of the cut is no sign that a suspect lives.
                entry.was_suspected |= entry.member.status is MemberStatus.SUSPECT
                self._set_status(entry, MemberStatus.UNREACHABLE, Evidence.DOMAIN_CUT)

    def mark_domain_back(self, failure_domain: str) -> None:
        """Take members for alive that were only cut off with their domain."""
        for host in self._by_domain.get(failure_domain, ()):
            entry = self._entries[host]
            is_cut = entry.member.status is MemberStatus.UNREACHABLE
            is_only_cut = entry.silent_uptime_ms is None and not entry.was_suspected
            if is_cut and is_only_cut:
                self._set_status(entry, MemberStatus.ALIVE, Evidence.DOMAIN_BACK)

    def merge_update(self, update: MemberUpdate) -> MergeResult:
        """Merge a rumour.

        Returns:
            ``NEW`` when it is to be passed on, ``REFUTED`` when this daemon knows
            better and should tell its own view, else ``KNOWN``.
        """
        told = update.member
        if told.host == self._host or not told.incarnation:
            return MergeResult.KNOWN
        entry = self._entries.get(told.host)
        if entry is None:
            return self._hear_of_unknown(update)
        if told.incarnation != entry.member.incarnation:
            return self._hear_of_other_incarnation(entry, update)
        return self._hear_of_same_incarnation(entry, update)

    def restart_silence_timers(self) -> None:
        """Forget all silence, after this process itself was paused."""
        now = self._clock()
        for entry in self._entries.values():
            if entry.heard_at_s is not None:
                entry.heard_at_s = now
            if entry.suspected_at_s is not None:
                entry.suspected_at_s = now

    def _hear_of_unknown(self, update: MemberUpdate) -> MergeResult:
        """Add a host that only a rumour tells of."""
        if update.member.status is MemberStatus.SUSPECT:
            return MergeResult.KNOWN
        self._add(update.member, update.uptime_ms, Evidence.RUMOUR)
        self._entries[update.member.host].has_left = (
            update.member.status is MemberStatus.LEAVING
        )
        return MergeResult.NEW

    def _hear_of_other_incarnation(
        self, entry: _Entry, update: MemberUpdate
    ) -> MergeResult:
        """Believe in another incarnation if it started later."""
        told = update.member
        if told.incarnation in entry.superseded or self._is_fresh(entry):
            return MergeResult.KNOWN
        if told.status is MemberStatus.SUSPECT and entry.member.incarnation:
            return MergeResult.KNOWN
        started_at_s = self._clock() - update.uptime_ms / 1000
        if entry.member.incarnation and started_at_s <= entry.started_at_s:
            return MergeResult.KNOWN
        self._supersede(entry, told, update.uptime_ms, Evidence.RUMOUR)
        entry.has_left = told.status is MemberStatus.LEAVING
        return MergeResult.NEW

    def _is_fresh(self, entry: _Entry) -> bool:
        """Return whether a host itself was heard a moment ago."""
        if entry.heard_at_s is None:
            return False
        return self._clock() - entry.heard_at_s < DIRECT_FRESH_S

    def _hear_of_same_incarnation(
        self, entry: _Entry, update: MemberUpdate
    ) -> MergeResult:
        """Merge a rumour of the incarnation that is known."""
        told = update.member.status
        if told is MemberStatus.LEAVING:
            return self._hear_of_leaving(entry)
        if entry.has_left:
            return MergeResult.REFUTED
        if told is MemberStatus.SUSPECT:
            return self._hear_suspicion(entry, update.uptime_ms)
        if update.uptime_ms <= entry.uptime_ms:
            return MergeResult.KNOWN
        self._note_uptime(entry, update.uptime_ms)
        if entry.member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            return MergeResult.KNOWN
        self._hear_refutation(entry)
        return MergeResult.NEW

    def _hear_of_leaving(self, entry: _Entry) -> MergeResult:
        """Merge a rumour that a host leaves."""
        if entry.has_left:
            return MergeResult.KNOWN
        entry.has_left = True
        self._set_status(entry, MemberStatus.LEAVING, Evidence.RUMOUR)
        return MergeResult.NEW

    def _hear_suspicion(self, entry: _Entry, uptime_ms: int) -> MergeResult:
        """Merge a suspicion that states the uptime last heard."""
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

    def _hear_refutation(self, entry: _Entry) -> None:
        """Merge a sign of life heard from others.

        A host that lives, but was silent here, is cut off from this daemon.
        """
        entry.was_suspected = False
        if entry.silent_uptime_ms is None:
            self._set_status(entry, MemberStatus.ALIVE, Evidence.RUMOUR)
        else:
            self._set_status(entry, MemberStatus.UNREACHABLE, Evidence.RUMOUR)

    def _merge_listed(self, listed: ListedHost) -> None:
        """Merge one entry of the list."""
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
            self._believe_listed_leaving(entry)
        elif entry.is_leaving_by_list and not entry.has_left:
            entry.is_leaving_by_list = False
            self._set_status(entry, MemberStatus.ALIVE, Evidence.LIST)
        entry.is_listed = True
        entry.is_listed_leaving = listed.is_leaving

    def _merge_listed_only(self, entry: _Entry, listed: ListedHost) -> None:
        """Merge the list for a host of which nothing else is known."""
        status = MemberStatus.LEAVING if listed.is_leaving else entry.member.status
        if entry.is_leaving_by_list and not listed.is_leaving:
            status = MemberStatus.ALIVE
        if entry.member.status is MemberStatus.GONE and not entry.is_listed:
            status = MemberStatus.ALIVE
        entry.is_leaving_by_list = listed.is_leaving
        self._replace(entry, _listed_member(listed, status), Evidence.LIST)

    def _believe_listed_leaving(self, entry: _Entry) -> None:
        """Believe the list's ``leaving`` unless it is of a former incarnation."""
        is_young = self._clock() - entry.started_at_s < LIST_LAG_S
        is_news = not entry.is_listed_leaving
        if is_news and not is_young and entry.member.status not in _FINAL:
            entry.is_leaving_by_list = True
            self._set_status(entry, MemberStatus.LEAVING, Evidence.LIST)

    def _unlist(self, entry: _Entry) -> None:
        """Merge that the list no longer has a host."""
        was_listed, entry.is_listed = entry.is_listed, False
        entry.is_listed_leaving = False
        if was_listed and entry.heard_at_s is None:
            if entry.member.status is not MemberStatus.GONE:
                self._set_status(entry, MemberStatus.GONE, Evidence.LIST)

    def _revive(self, entry: _Entry, uptime_ms: int, evidence: Evidence) -> bool:
        """Note direct evidence of life in the known incarnation."""
        self._mark_heard(entry, uptime_ms)
        if entry.has_left or entry.member.status in (
            MemberStatus.ALIVE,
            MemberStatus.LEAVING,
        ):
            return False
        self._set_status(entry, MemberStatus.ALIVE, evidence)
        return True

    def _mark_heard(self, entry: _Entry, uptime_ms: int) -> None:
        """Note the time and uptime of direct evidence."""
        entry.is_direct = True
        entry.heard_at_s = self._clock()
        entry.silent_uptime_ms = None
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
        """Replace the known incarnation by one that started later."""
        if evidence is Evidence.HELLO and entry.member.incarnation:
            superseded = (*entry.superseded, entry.member.incarnation)
            entry.superseded = superseded[-N_SUPERSEDED:]
        entry.is_direct = False
        entry.has_left = False
        entry.is_leaving_by_list = False
        entry.heard_at_s = None
        entry.silent_uptime_ms = None
        entry.was_suspected = False
        entry.uptime_ms = uptime_ms
        entry.started_at_s = self._clock() - uptime_ms / 1000
        entry.known_at_s = self._clock()
        self._replace(entry, member, evidence)

    def _add(self, member: Member, uptime_ms: int, evidence: Evidence) -> None:
        """Add a host that was unknown."""
        now = self._clock()
        entry = _Entry(
            member,
            uptime_ms=uptime_ms,
            started_at_s=now - uptime_ms / 1000,
            known_at_s=now,
        )
        self._entries[member.host] = entry
        self._index(member)
        self._tell(None, member, evidence)

    def _set_status(
        self, entry: _Entry, status: MemberStatus, evidence: Evidence
    ) -> None:
        """Change the status of a member."""
        self._replace(entry, attrs.evolve(entry.member, status=status), evidence)

    def _replace(self, entry: _Entry, member: Member, evidence: Evidence) -> None:
        """Put another member into an entry and tell of the change."""
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
        self._tell(old, member, evidence)

    def _index(self, member: Member) -> None:
        """File a member under its service and failure domain."""
        self._version += 1
        self._by_status[member.status][member.host] = None
        self._by_service.setdefault(member.service, {})[member.host] = None
        self._by_domain.setdefault(member.failure_domain, {})[member.host] = None

    def _tell(self, old: Member | None, new: Member, evidence: Evidence) -> None:
        """Call the handler of changes."""
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
