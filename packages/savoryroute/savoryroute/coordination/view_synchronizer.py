"""What a daemon believes of routes and instances, from the platform or from peers.

Each daemon watches the platform itself, but not while peers keep its list current:
whoever learns of a change tells a few others, who do the same, so that in a series of
changes a few calls to the platform serve the whole fleet (suppression of timers as in
IGMP, RFC 2236; spreading as in Demers and others, Epidemic Algorithms, 1987). A peer is
asked now and then, and often while the platform does not answer, so that a host which
the platform turns away still follows within a second or so.
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
from ..state.event_log import EventLog
from ..state.fleet_view import RELISTING_GRACE_S, FleetView, Instance
from ..state.route_table import RouteTable

__all__ = ["ViewSynchronizer"]

# Seconds between questions to peers while the platform answers, and while not.
ASK_INTERVAL_S = 1.0
ASK_INTERVAL_CUT_S = 0.25
# Peers asked at a time while the platform does not answer.
ASKED_WHEN_CUT = 2
# Age in seconds of the last answer of the platform that counts as cut off.
CUT_AFTER_S = 1.0

# Longest age of a list that is told; older ones are all the same.
AGE_LONGEST_S = 3600.0

RouteDecoder = Callable[[bytes], RouteTable]


class ViewSynchronizer:
    """Holder of the routes in force and of the list of instances.

    Args:
        decode_routes: Decodes the published text of the routes; raises
            ``DocumentError`` where it cannot.
        log: Log of changes.
        rng: Source of the choice among peers.
        on_change: Told after each change.
        spread: Sends news to some peers, but not to the one at a stated address.
    """

    def __init__(
        self,
        decode_routes: RouteDecoder,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[], None],
        spread: Callable[[ViewUpdate, str], None],
    ) -> None:
        self._decode_routes = decode_routes
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._spread = spread
        self._changes = ChangeLog()
        self._current_s = float("-inf")
        self._view = FleetView()
        self._table: RouteTable | None = None
        self._source = b""
        self._is_platform_reachable = False
        self._cut_since_s: float | None = time.monotonic()
        self._regained_s = float("-inf")
        self._asked_s = float("-inf")

    @property
    def view(self) -> FleetView:
        """Instances of upstreams."""
        return self._view

    @property
    def table(self) -> RouteTable | None:
        """Routes in force, or None before the first."""
        return self._table

    @property
    def is_platform_reachable(self) -> bool:
        """Whether the platform answered the last time that it was asked."""
        return self._is_platform_reachable

    @property
    def stale_s(self) -> float:
        """Seconds since the platform confirmed the list, to this daemon or a peer."""
        return time.monotonic() - self._current_s

    def mark_current(self) -> None:
        """Take note that the list is the platform's now."""
        self._current_s = time.monotonic()

    def set_platform_reachable(self, is_heard: bool, detail: str = "") -> None:
        """Take note of whether the platform answers."""
        if is_heard == self._is_platform_reachable:
            return
        self._is_platform_reachable = is_heard
        if is_heard:
            self._regained_s = time.monotonic()
            self._cut_since_s = None
            self._log.change("platform_regained")
        else:
            self._cut_since_s = time.monotonic()
            self._log.change("platform_lost", error=detail)

    def merge_routes(self, source: bytes, origin: str) -> None:
        """Take over published routes if they are newer than those in force."""
        try:
            table = self._decode_routes(source)
        except DocumentError as error:
            self._log.change("routes_refused", origin=origin, error=str(error)[:300])
            return
        if self._table is not None and table.version <= self._table.version:
            return
        old = None if self._table is None else self._table.version
        self._table = table
        self._source = source
        self._log.change("routes_in_force", version=table.version, old=old, by=origin)
        self._on_change()

    def merge_list(self, revision: int, instances: dict[str, Instance]) -> None:
        """Take over a whole list of instances read from the platform."""
        self.mark_current()
        if revision > self._view.revision:
            self._apply_whole(revision, instances, self._retain_until_s(), "platform")

    def merge_changes(self, revision: int, changes: dict[str, Instance | None]) -> None:
        """Apply changes of the list that the platform told."""
        self.mark_current()
        if revision > self._view.revision:
            self._apply(revision, changes, self._retain_until_s(), "platform")

    def _apply_whole(
        self,
        revision: int,
        instances: dict[str, Instance],
        retain_until_s: float | None,
        origin: str,
    ) -> None:
        """Take over a whole list; what came and went before it is not known."""
        changes: dict[str, Instance | None] = dict.fromkeys(self._view.instances)
        changes.update(instances)
        self._apply_to_view(revision, changes, retain_until_s, origin)
        self._changes.restart(revision)
        self._spread(self._list_news(0, dict(instances)), origin)

    def _apply(
        self,
        revision: int,
        changes: dict[str, Instance | None],
        retain_until_s: float | None,
        origin: str,
    ) -> None:
        """Apply changes and tell some peers, but not the one that they came from."""
        self._apply_to_view(revision, changes, retain_until_s, origin)
        if changes:
            # Also what is as it was before: a peer may know of a state between.
            base = self._changes.revision
            self._changes.add(revision, changes)
            self._spread(self._list_news(base, changes), origin)

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
        self._view.apply(revision, changes, retain_until_s)
        if changes:
            self._on_change()

    def expire(self) -> None:
        """Drop instances whose entries lapsed and did not come back."""
        self._view.expire_retained(time.monotonic())

    def make_request(self) -> ViewRequest:
        """Return what to ask a peer."""
        version = -1 if self._table is None else self._table.version
        return ViewRequest(version, self._view.revision)

    def update_for(self, request: ViewRequest) -> ViewUpdate | None:
        """Return what a peer lacks, or None."""
        version, source = -1, b""
        if self._table is not None and self._table.version > request.version:
            version, source = self._table.version, self._source
        if self._view.revision > request.revision:
            changes = self._changes.since(request.revision)
            base = request.revision
            if changes is None:
                base, changes = 0, dict(self._view.instances)
            return attrs.evolve(
                self._list_news(base, changes), version=version, source=source
            )
        if version < 0:
            return None
        return ViewUpdate(version, source, 0, 0, [], [], 0, 0)

    def merge_update(self, ip: str, news: ViewUpdate) -> bool:
        """Take over what a peer knows that is newer.

        Returns:
            Whether that was possible; if not, the peer is to be asked for the rest.
        """
        if news.version >= 0:
            self.merge_routes(news.source, ip)
        if news.revision > self._view.revision:
            if news.base > self._view.revision:
                return False
            rows = {row[0]: Instance(*row) for row in news.instances}
            retain_until_s = None
            if news.retain_ms:
                retain_until_s = time.monotonic() + news.retain_ms / 1000
            if news.base:
                changes = dict.fromkeys(news.removed) | rows
                self._apply(news.revision, changes, retain_until_s, ip)
            else:
                self._log.change("list_from_peer", peer=ip, revision=news.revision)
                self._apply_whole(news.revision, rows, retain_until_s, ip)
        if news.revision == self._view.revision:
            current_s = time.monotonic() - news.age_ms / 1000
            self._current_s = max(self._current_s, current_s)
        return True

    def _list_news(self, base: int, changes: dict[str, Instance | None]) -> ViewUpdate:
        """Return the news that brings a peer from a revision to the present one."""
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
            age_ms=int(min(AGE_LONGEST_S, now_s - self._current_s) * 1000),
            retain_ms=int(retain_s * 1000),
        )

    def is_poll_due(self) -> bool:
        """Return whether peers are to be asked now; the next time is after a while."""
        interval_s = ASK_INTERVAL_CUT_S if self._is_cut() else ASK_INTERVAL_S
        now_s = time.monotonic()
        if now_s - self._asked_s < interval_s * self._rng.uniform(0.8, 1.2):
            return False
        self._asked_s = now_s
        return True

    def select_peers(self, open_ips: list[str], other_ips: list[str]) -> list[str]:
        """Return the peers to ask.

        Args:
            open_ips: Hosts with an open link.
            other_ips: Further hosts that are known.
        """
        is_cut = self._is_cut()
        candidates = open_ips or (other_ips if is_cut else [])
        n_asked = min(len(candidates), ASKED_WHEN_CUT if is_cut else 1)
        return self._rng.sample(candidates, n_asked)

    def _is_cut(self) -> bool:
        """Return whether the platform was silent of late, or told no routes yet."""
        if self._table is None:
            return True
        since_s = self._cut_since_s
        return since_s is not None and time.monotonic() - since_s > CUT_AFTER_S

    def _retain_until_s(self) -> float | None:
        """Return until when removed instances stay, None for removal at once."""
        since_regained_s = time.monotonic() - self._regained_s
        if self._is_platform_reachable and since_regained_s < RELISTING_GRACE_S:
            return self._regained_s + RELISTING_GRACE_S
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
