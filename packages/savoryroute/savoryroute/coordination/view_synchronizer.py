"""Synchronizes a daemon's routes and instances with the platform and with peers.

Each daemon can watch the platform itself, but does not while updates from peers keep
its list current. A daemon that learns of a change sends it to a few peers, which do the
same, so that during a series of changes a few calls to the platform serve the whole
fleet (timer suppression as in IGMP, RFC 2236; gossip as in Demers et al., "Epidemic
Algorithms for Replicated Database Maintenance", 1987). Each daemon also polls a peer
periodically, and more often while the platform does not answer, so that a host that the
platform rejects still follows within about a second. A daemon with new routes polls a
few peers at once, so that those whose watches are lost notice.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from ..errors import DocumentError
from ..protocol.mesh_frames import ViewRequest, ViewUpdate
from ..state.change_log import ChangeLog
from ..state.checking import describe
from ..state.event_log import EventLog
from ..state.fleet_view import RELISTING_GRACE_S, FleetView, Instance
from ..state.instance_check import check_instance, is_identity
from ..state.revision import era_of, revision_in_era
from ..state.route_table import RouteTable
from .configuration_proof import ConfigurationProof
from .newer_routes import NewerRoutes, PeerAhead
from .platform_calls import PlatformCalls, Topic

__all__ = ["RouteDecoder", "ViewSynchronizer"]

# Seconds without an answer from the platform after which it counts as disconnected.
DISCONNECTED_AFTER_S = 1.0

# Lines logged about fields of one version of the routes that could not be read.
N_DEFECTS_LOGGED_MAX = 20

# Upper bound in seconds on the age of the list that is sent to peers; older lists all
# count the same.
AGE_MAX_S = 3600.0
# Seconds for which entries that a return of the store restored are doubted: longer
# than the store lists an instance that is silent (three heartbeats of 1.5 s).
RESTORED_DOUBT_S = 6.0

RouteDecoder = Callable[[bytes], RouteTable]


class ViewSynchronizer:
    """Holds the active routes and the list of instances.

    Args:
        decode_routes: Decodes the published text of the routes; raises
            ``DocumentError`` if the text is invalid.
        log: Log of changes.
        rng: Random source for jitter and for the choice of peers.
        on_change: Called after each change.
        forward: Sends an update or a request to some peers, except to the peer at the
            given address.
        proof: Proof that the active routes are in force.
    """

    def __init__(
        self,
        decode_routes: RouteDecoder,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[], None],
        forward: Callable[[ViewUpdate | ViewRequest, str], None],
        proof: ConfigurationProof,
    ) -> None:
        self._decode_routes = decode_routes
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._forward = forward
        self._proof = proof
        self._calls = PlatformCalls(log, rng)
        self._newer_routes = NewerRoutes()
        self._changes = ChangeLog()
        self._current_at_s = float("-inf")
        self._view = FleetView()
        self._table: RouteTable | None = None
        self._routes_source = b""
        self._refused_source = b""
        self._is_platform_reachable = False
        self._disconnected_since_s: float | None = time.monotonic()
        self._reconnected_s = float("-inf")

    @property
    def view(self) -> FleetView:
        """Instances of upstreams."""
        return self._view

    @property
    def table(self) -> RouteTable | None:
        """Active routes, or None before the first."""
        return self._table

    @property
    def proof(self) -> ConfigurationProof:
        """Proof that the active routes are in force."""
        return self._proof

    @property
    def version(self) -> int:
        """Version of the active routes, -1 before the first."""
        return -1 if self._table is None else self._table.version

    @property
    def calls(self) -> PlatformCalls:
        """Calls by which this daemon follows the platform."""
        return self._calls

    @property
    def is_platform_reachable(self) -> bool:
        """Whether the latest call to the platform succeeded."""
        return self._is_platform_reachable

    @property
    def is_disconnected(self) -> bool:
        """Whether to rely on peers: for the platform, or for the first routes.

        A platform that answers watches may still fail the reads of the proof.
        """
        if self._table is None or self._proof.is_stale:
            return True
        since_s = self._disconnected_since_s
        return since_s is not None and time.monotonic() - since_s > DISCONNECTED_AFTER_S

    @property
    def stale_s(self) -> float:
        """Seconds since the platform confirmed the list, to this daemon or a peer."""
        return time.monotonic() - self._current_at_s

    @property
    def proof_age_s(self) -> float:
        """Age of the proof that the routes are in force, in seconds or infinite."""
        return self._proof.age_s

    def mark_current(self) -> None:
        """Record that the list now matches the platform's."""
        self._current_at_s = time.monotonic()

    def set_platform_reachable(self, is_reachable: bool, detail: str = "") -> None:
        """Record whether the platform answers, and log a change.

        Args:
            is_reachable: Whether the latest call to the platform succeeded.
            detail: Error of the failed call.
        """
        if is_reachable == self._is_platform_reachable:
            return
        self._is_platform_reachable = is_reachable
        if is_reachable:
            self._reconnected_s = time.monotonic()
            self._disconnected_since_s = None
            self._log.change("platform_regained")
        else:
            self._disconnected_since_s = time.monotonic()
            self._log.change("platform_lost", error=detail)

    def merge_routes(self, source: bytes, origin: str) -> int | None:
        """Activate published routes if they are newer than the active ones.

        Args:
            source: Published text of the routes.
            origin: ``platform``, or the address of the peer that sent them.

        Returns:
            The version of the published routes, None if they are invalid.
        """
        if self._table is not None and source == self._routes_source:
            return self._table.version
        try:
            table = self._decode_routes(source)
        except DocumentError as error:
            if source != self._refused_source:
                self._refused_source = source
                detail = str(error)[:300]
                self._log.change("routes_refused", origin=origin, error=detail)
            return None
        if self._table is not None and table.version <= self._table.version:
            return table.version
        old = None if self._table is None else self._table.version
        self._table = table
        self._routes_source = source
        has_organisations = table.organisations is not None
        self._proof.activate(table.version, has_organisations, origin == "platform")
        self._log.change(
            "routes_in_force",
            version=table.version,
            old=old,
            by=origin,
            defects=len(table.defects),
        )
        for defect in table.defects[:N_DEFECTS_LOGGED_MAX]:
            self._log.change("route_defect", version=table.version, detail=defect)
        self._on_change()
        self._forward(self.make_request(), origin)
        return table.version

    def merge_read(self, source: bytes, sent_s: float) -> bool:
        """Merge the routes that a read returned; return whether it is a proof.

        Args:
            source: Published text of the routes.
            sent_s: Time from ``ConfigurationProof.start_read``.
        """
        if self.merge_routes(source, "platform") is None:
            self._proof.record_failure("the platform's routes cannot be read")
            return False
        self._proof.record_read(sent_s)
        return True

    def merge_list(self, revision: int, instances: dict[str, Instance]) -> None:
        """Replace the instances by the full list read from the platform."""
        self.mark_current()
        if revision > self._view.revision:
            self._apply_list(revision, instances, self._retain_until_s(), "platform")

    def merge_changes(self, revision: int, changes: dict[str, Instance | None]) -> None:
        """Apply changes of the list that the platform reported."""
        self.mark_current()
        if revision > self._view.revision:
            self._apply_changes(revision, changes, self._retain_until_s(), "platform")

    def _apply_list(
        self,
        revision: int,
        instances: dict[str, Instance],
        retain_until_s: float | None,
        origin: str,
    ) -> None:
        """Apply a full list, and restart the change log: it lacks what came between."""
        changes: dict[str, Instance | None] = dict.fromkeys(self._view.instances)
        changes.update(instances)
        self._apply_to_view(revision, changes, retain_until_s, origin)
        self._changes.restart(revision)
        self._forward(self._make_update(0, dict(instances)), origin)

    def _apply_changes(
        self,
        revision: int,
        changes: dict[str, Instance | None],
        retain_until_s: float | None,
        origin: str,
    ) -> None:
        """Apply changes and forward them to some peers, except to their origin."""
        self._apply_to_view(revision, changes, retain_until_s, origin)
        if changes:
            # Includes entries that are unchanged here: a peer may have an intermediate
            # state of them.
            base = self._changes.revision
            self._changes.add(revision, changes)
            self._forward(self._make_update(base, changes), origin)

    def _apply_to_view(
        self,
        revision: int,
        changes: dict[str, Instance | None],
        retain_until_s: float | None,
        origin: str,
    ) -> None:
        known = self._view.instances
        changes = {id_: item for id_, item in changes.items() if item != known.get(id_)}
        for id_, instance in changes.items():
            self._log_instance(id_, known.get(id_), instance, origin)
        restored_until_s = None
        era, known_era = era_of(revision), era_of(self._view.revision)
        if self._view.revision and era > known_era:
            now_s = time.monotonic()
            retain_until_s = now_s + RELISTING_GRACE_S
            restored_until_s = now_s + RESTORED_DOUBT_S
            self._log.change("platform_returned", era=era, old=known_era, by=origin)
        self._view.apply(revision, changes, retain_until_s, restored_until_s)
        if changes:
            self._on_change()

    def expire(self) -> None:
        """Drop the retained instances that were not listed again in time."""
        self._view.expire_retained(time.monotonic())
        self._proof.check()

    def make_request(self) -> ViewRequest:
        """Return a request to one peer, sent now, for all that is newer than here."""
        number = self._proof.start_poll()
        return ViewRequest(self.version, self._view.revision, number)

    def note_request(
        self, ip: str, request: ViewRequest, send: Callable[[list[Any]], None]
    ) -> None:
        """Record which routes a peer has, by its request.

        Args:
            ip: Address of the peer.
            request: The request.
            send: Sends a frame to the peer.
        """
        peer = PeerAhead(ip, request.version, send)
        self._newer_routes.note(peer, self.version)

    def ask_peer_ahead(self) -> None:
        """Ask a peer for routes that the platform should have reported by now.

        The watch of the configuration is in doubt then.
        """
        peer = self._newer_routes.take(self.version)
        if peer is not None:
            peer.send(self.make_request().to_frame())
            self._calls.doubt(Topic.CONFIGURATION, f"{peer.ip} has newer routes")

    def update_for(self, request: ViewRequest) -> ViewUpdate | None:
        """Return what the requesting peer lacks, or None if it lacks nothing."""
        return self._proof.add_to(self._newer_than(request), request.number)

    def _newer_than(self, request: ViewRequest) -> ViewUpdate | None:
        version, source = -1, b""
        if self.version > request.version:
            version, source = self.version, self._routes_source
        if self._view.revision > request.revision:
            changes = self._changes.since(request.revision)
            base = request.revision
            if changes is None:
                base, changes = 0, dict(self._view.instances)
            return attrs.evolve(
                self._make_update(base, changes), version=version, source=source
            )
        if version < 0:
            return None
        return ViewUpdate(version, source, 0, 0, [], [], 0, 0)

    def merge_update(self, ip: str, update: ViewUpdate) -> bool:
        """Merge an update from a peer, where it is newer.

        Args:
            ip: Address of the peer.
            update: The update.

        Returns:
            False if changes before the base of the update are missing here, so that
            the peer has to be asked for them.
        """
        if update.version >= 0:
            self.merge_routes(update.source, ip)
        self._proof.adopt(update, ip)
        if update.revision > self._view.revision:
            if update.base > self._view.revision:
                return False
            rows = self._read_rows(update.instances, ip)
            retain_until_s = None
            if update.retain_ms:
                retain_until_s = time.monotonic() + update.retain_ms / 1000
            if update.base:
                changes = dict.fromkeys(update.removed) | rows
                self._apply_changes(update.revision, changes, retain_until_s, ip)
            else:
                self._log.change(
                    "list_from_peer",
                    peer=ip,
                    revision=revision_in_era(update.revision),
                )
                listed = {id_: row for id_, row in rows.items() if row is not None}
                self._apply_list(update.revision, listed, retain_until_s, ip)
        if update.revision == self._view.revision:
            current_at_s = time.monotonic() - update.age_ms / 1000
            self._current_at_s = max(self._current_at_s, current_at_s)
        return True

    def note_unusable(self, id_: str, origin: str, detail: str) -> None:
        """Log an entry of the list that describes no instance that can be used.

        Args:
            id_: Identity in the entry's key.
            origin: ``platform``, or the address of the peer that sent the entry.
            detail: What is wrong with it.
        """
        self._log.request(
            "instance_unusable", "", instance=describe(id_), by=origin, detail=detail
        )

    def _read_rows(self, rows: list[list[Any]], ip: str) -> dict[str, Instance | None]:
        """Return the instances that a peer sent; None for those out of range."""
        read: dict[str, Instance | None] = {}
        for row in rows:
            instance = Instance(*row)
            defect = check_instance(instance)
            if defect is not None:
                self.note_unusable(instance.id, ip, defect)
            if is_identity(instance.id):
                read[instance.id] = instance if defect is None else None
        return read

    def _make_update(
        self, base: int, changes: dict[str, Instance | None]
    ) -> ViewUpdate:
        """Return the update from a base revision to the current revision."""
        now_s = time.monotonic()
        retain_until_s = self._retain_until_s()
        retain_s = 0.0 if retain_until_s is None else retain_until_s - now_s
        return ViewUpdate(
            version=-1,
            source=b"",
            base=base,
            revision=self._view.revision,
            instances=[
                list(attrs.astuple(item))
                for item in changes.values()
                if item is not None
            ],
            removed=[id_ for id_, item in changes.items() if item is None],
            age_ms=int(min(AGE_MAX_S, now_s - self._current_at_s) * 1000),
            retain_ms=int(retain_s * 1000),
        )

    def _retain_until_s(self) -> float | None:
        """Return until when removed instances are retained, None for no retention."""
        since_reconnected_s = time.monotonic() - self._reconnected_s
        if self._is_platform_reachable and since_reconnected_s < RELISTING_GRACE_S:
            return self._reconnected_s + RELISTING_GRACE_S
        return None

    def _log_instance(
        self,
        id_: str,
        known: Instance | None,
        instance: Instance | None,
        origin: str,
    ) -> None:
        fields: dict[str, Any] = {"instance": id_, "by": origin}
        if instance is None:
            if known is None:
                return
            fields.update(service=known.service, ip=known.ip)
            self._log.change("instance_gone", **fields)
            return
        fields.update(service=instance.service, ip=instance.ip)
        state = "ready" if instance.is_ready else "draining"
        self._log.change("instance_listed", state=state, **fields)
