"""View of the upstream instances in the platform's list, at one revision."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

__all__ = ["FleetView", "Instance", "ServiceInstances"]

# Instances that were removed while the list could not be read may be listed again up
# to this many seconds after it can be read again (stated by the platform).
RELISTING_GRACE_S = 2.0


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
    """

    id: str
    service: str
    ip: str
    failure_domain: str
    slots: int
    is_ready: bool
    cold_s: float = 0.0
    started_ms: int = 0


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
    """

    def __init__(self) -> None:
        self._revision = 0
        self._instances: dict[str, Instance] = {}
        self._by_service: dict[str, ServiceInstances] = {}
        self._holders: dict[str, Instance] = {}
        self._retained: dict[str, tuple[Instance, float]] = {}

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
    ) -> None:
        """Apply changed and removed entries up to a revision.

        Changes are ignored unless the revision is later than the view's.

        Args:
            revision: Revision of the list after the changes.
            changes: Instances by id, or None for a removed or unusable entry.
            retain_until_s: Monotonic time in seconds until which removed instances
                are still used, because the list could not be read recently; None to
                remove them immediately.
        """
        if revision <= self._revision:
            return
        self._revision = revision
        for id_, instance in changes.items():
            if instance is not None:
                self._instances[id_] = instance
                self._retained.pop(id_, None)
                continue
            removed = self._instances.pop(id_, None)
            if removed is not None and retain_until_s is not None and removed.is_ready:
                self._retained[id_] = (removed, retain_until_s)
        if changes:
            self._index()

    def expire_retained(self, now_s: float) -> None:
        """Drop removed instances that were not listed again in time."""
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
