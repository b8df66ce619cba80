"""View of the upstream instances in the platform's list, at one revision."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from .revision import era_of

__all__ = ["FleetView", "Instance", "ServiceInstances"]

# Instances that were removed while the list could not be read may be listed again up
# to this many seconds after it can be read again (stated by the platform).
RELISTING_GRACE_S = 2.0
# Departures that are remembered, more than occur within the age of a store's copy.
DEPARTURES_MAX = 4096


@attrs.frozen
class Instance:
    """One running upstream.

    Attributes:
        id: Identity, usually new after each start.
        service: Service that the instance belongs to.
        ip: IP address of its host.
        failure_domain: Failure domain of its host.
        slots: Number of requests that it runs concurrently.
        is_ready: Whether it accepts new work.
        cold_s: Remaining seconds of its slow start when the entry was written.
        started_ms: Start time by the upstream's clock, in Unix milliseconds.
        sequence: Number of the instance's report on itself, counted from its start.
    """

    id: str
    service: str
    ip: str
    failure_domain: str
    slots: int
    is_ready: bool
    cold_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


@attrs.frozen
class _Departure:
    """A report by which an instance was draining, or the last one before its removal.

    Attributes:
        started_ms: Start of the instance.
        sequence: Number of the report.
        era: Era of the list that showed the departure.
    """

    started_ms: int
    sequence: int
    era: int

    def outdates(self, instance: Instance) -> bool:
        """Return whether an entry of the instance is not newer than the departure."""
        reported = (instance.started_ms, instance.sequence)
        return reported <= (self.started_ms, self.sequence)


class ServiceInstances:
    """Instances of one service that accept new work.

    Args:
        instances: Instances of the service.
    """

    def __init__(self, instances: list[Instance]) -> None:
        self._instances = instances
        self._splits: dict[str, tuple[list[Instance], list[Instance]]] = {}

    def __iter__(self) -> Iterator[Instance]:
        return iter(self._instances)

    def __len__(self) -> int:
        return len(self._instances)

    def split(self, failure_domain: str) -> tuple[list[Instance], list[Instance]]:
        """Return the instances of a failure domain, and all others."""
        found = self._splits.get(failure_domain)
        if found is None:
            local = [i for i in self._instances if i.failure_domain == failure_domain]
            remote = [i for i in self._instances if i.failure_domain != failure_domain]
            found = self._splits[failure_domain] = local, remote
        return found


_NO_INSTANCES = ServiceInstances([])


class FleetView:
    """Instances by id, at one revision of the platform's list.

    Only a later revision replaces an earlier one, whether it comes from the platform
    or from a peer. A host runs one upstream. If several entries have the same
    address, the upstream that started last is the current holder of the address. The
    other entries belong to upstreams that stopped without deregistering and whose
    entries have not expired yet.

    After a return of the store from an older copy, entries may show instances as ready
    whose departure was listed before. Those get no new work until they report again,
    or until the store has had the time to remove them.
    """

    def __init__(self) -> None:
        self._revision = 0
        self._instances: dict[str, Instance] = {}
        self._by_service: dict[str, ServiceInstances] = {}
        self._holders: dict[str, Instance] = {}
        self._retained: dict[str, tuple[Instance, float]] = {}
        self._departures: dict[str, _Departure] = {}
        self._restored_until_s: float | None = None

    @property
    def revision(self) -> int:
        """Revision of the list that this view reflects."""
        return self._revision

    @property
    def instances(self) -> dict[str, Instance]:
        """Instances by id."""
        return self._instances

    def of_service(self, service: str) -> ServiceInstances:
        """Return the instances of a service that accept new work."""
        return self._by_service.get(service, _NO_INSTANCES)

    def instance_at(self, ip: str) -> Instance | None:
        """Return the listed instance that holds an IP address, or None."""
        return self._holders.get(ip)

    def apply(
        self,
        revision: int,
        changes: dict[str, Instance | None],
        retain_until_s: float | None = None,
        restored_until_s: float | None = None,
    ) -> None:
        """Apply changed and removed entries up to a revision.

        Changes are ignored unless the revision is later than the view's.

        Args:
            revision: Revision of the list after the changes.
            changes: Instances by id, or None for a removed or unusable entry.
            retain_until_s: Monotonic time in seconds until which removed instances
                are still used, because the list could not be read recently; None to
                remove them immediately.
            restored_until_s: If the list is the first after a return of the store:
                monotonic time in seconds until which its entries may be outdated.
        """
        if revision <= self._revision:
            return
        self._revision = revision
        if restored_until_s is not None:
            self._restored_until_s = restored_until_s
        for id_, instance in changes.items():
            self._note_departure(id_, instance)
            if instance is not None:
                self._instances[id_] = instance
                self._retained.pop(id_, None)
                continue
            removed = self._instances.pop(id_, None)
            if removed is not None and retain_until_s is not None and removed.is_ready:
                self._retained[id_] = (removed, retain_until_s)
        if changes:
            self._index()

    def _note_departure(self, id_: str, instance: Instance | None) -> None:
        """Record or drop the departure of an instance whose entry changes."""
        era = era_of(self._revision)
        if instance is None or not instance.is_ready:
            last = instance or self._instances.get(id_)
            if last is not None:
                departure = _Departure(last.started_ms, last.sequence, era)
                self._departures.pop(id_, None)
                self._departures[id_] = departure
                if len(self._departures) > DEPARTURES_MAX:
                    del self._departures[next(iter(self._departures))]
            return
        known = self._departures.get(id_)
        if known is not None and (known.era == era or not known.outdates(instance)):
            del self._departures[id_]

    def _is_outdated(self, instance: Instance) -> bool:
        """Return whether a restored entry shows an instance that has departed since."""
        if self._restored_until_s is None or not instance.is_ready:
            return False
        known = self._departures.get(instance.id)
        if known is None or known.era == era_of(self._revision):
            return False
        return known.outdates(instance)

    def expire_retained(self, now_s: float) -> None:
        """Drop what holds for a limited time only.

        These are removed instances that were not listed again in time, and the doubt
        about entries that a return of the store has restored.
        """
        if self._restored_until_s is not None and self._restored_until_s <= now_s:
            self._restored_until_s = None
            self._index()
        expired = [
            id_ for id_, (_, until_s) in self._retained.items() if until_s <= now_s
        ]
        for id_ in expired:
            del self._retained[id_]
        if expired:
            self._index()

    def _index(self) -> None:
        holders: dict[str, Instance] = {}
        for instance in self._instances.values():
            if self._is_outdated(instance):
                instance = attrs.evolve(instance, is_ready=False)
            holder = holders.get(instance.ip)
            if holder is None or holder.started_ms <= instance.started_ms:
                holders[instance.ip] = instance
        by_service: dict[str, list[Instance]] = {}
        for instance in holders.values():
            if instance.is_ready:
                by_service.setdefault(instance.service, []).append(instance)
        for instance, _ in self._retained.values():
            if instance.ip not in holders:
                by_service.setdefault(instance.service, []).append(instance)
        self._holders = holders
        self._by_service = {
            service: ServiceInstances(listed) for service, listed in by_service.items()
        }
