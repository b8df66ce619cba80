"""What a daemon believes of routes and instances, from the platform or from peers.

Each daemon watches the platform itself. A peer is asked now and then, and often while
the platform does not answer, so that a host which the platform turns away still
follows within a second or so.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import attrs

from ..errors import DocumentError
from ..protocol.mesh_frames import ViewNews, ViewQuestion
from ..state.event_log import EventLog
from ..state.fleet_view import LAPSE_GRACE_S, FleetView, Instance
from ..state.route_table import RouteTable

__all__ = ["ViewKeeper"]

# Seconds between questions to peers while the platform answers, and while not.
ASK_INTERVAL_S = 1.0
ASK_INTERVAL_CUT_S = 0.25
# Peers asked at a time while the platform does not answer.
ASKED_WHEN_CUT = 2
# Age in seconds of the last answer of the platform that counts as cut off.
CUT_AFTER_S = 1.0

RouteDecoder = Callable[[bytes], RouteTable]


class ViewKeeper:
    """Holder of the routes in force and of the list of instances.

    Args:
        decode_routes: Decodes the published text of the routes; raises
            ``DocumentError`` where it cannot.
        log: Log of changes.
        rng: Source of the choice among peers.
        on_change: Told after each change.
    """

    def __init__(
        self,
        decode_routes: RouteDecoder,
        log: EventLog,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._decode_routes = decode_routes
        self._log = log
        self._rng = rng
        self._on_change = on_change
        self._view = FleetView()
        self._table: RouteTable | None = None
        self._source = b""
        self._is_platform_heard = False
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
    def is_platform_heard(self) -> bool:
        """Whether the platform answered the last time that it was asked."""
        return self._is_platform_heard

    def note_platform(self, is_heard: bool, detail: str = "") -> None:
        """Take note of whether the platform answers."""
        if is_heard == self._is_platform_heard:
            return
        self._is_platform_heard = is_heard
        if is_heard:
            self._regained_s = time.monotonic()
            self._cut_since_s = None
            self._log.change("platform_regained")
        else:
            self._cut_since_s = time.monotonic()
            self._log.change("platform_lost", error=detail)

    def take_routes(self, source: bytes, origin: str) -> None:
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

    def take_list(self, revision: int, instances: dict[str, Instance]) -> None:
        """Take over a whole list of instances read from the platform."""
        missing = {id_: None for id_ in self._view.instances.keys() - instances.keys()}
        changes: dict[str, Instance | None] = {**instances, **missing}
        self.take_changes(revision, changes)

    def take_changes(self, revision: int, changes: dict[str, Instance | None]) -> None:
        """Apply changes of the list that the platform told."""
        if revision <= self._view.revision:
            return
        for id_, instance in changes.items():
            known = self._view.instances.get(id_)
            if instance != known:
                self._log_instance(id_, known, instance)
        self._view.apply(revision, changes, self._lapse_until_s())
        self._on_change()

    def expire(self) -> None:
        """Drop instances whose entries lapsed and did not come back."""
        self._view.expire_lapsed(time.monotonic())

    def question(self) -> ViewQuestion:
        """Return what to ask a peer."""
        version = -1 if self._table is None else self._table.version
        return ViewQuestion(version, self._view.revision)

    def news_for(self, question: ViewQuestion) -> ViewNews | None:
        """Return what a peer lacks, or None."""
        version, source = -1, b""
        if self._table is not None and self._table.version > question.version:
            version, source = self._table.version, self._source
        revision, rows = 0, []
        if self._view.revision > question.revision:
            revision = self._view.revision
            rows = [list(attrs.astuple(item)) for item in self._view.instances.values()]
        if version < 0 and not revision:
            return None
        return ViewNews(version, source, revision, rows)

    def take_news(self, ip: str, news: ViewNews) -> None:
        """Take over what a peer knows that is newer."""
        if news.version >= 0:
            self.take_routes(news.source, ip)
        if news.revision > self._view.revision:
            instances = {row[0]: Instance(*row) for row in news.instances}
            self._log.change("list_from_peer", peer=ip, revision=news.revision)
            self._view.replace(news.revision, instances)
            self._on_change()

    def peers_to_ask(self, open_ips: list[str], other_ips: list[str]) -> list[str]:
        """Return the peers to ask now, none where it is not yet time.

        Args:
            open_ips: Hosts with an open link.
            other_ips: Further hosts that are known.
        """
        now_s = time.monotonic()
        is_cut = (
            self._cut_since_s is not None and now_s - self._cut_since_s > CUT_AFTER_S
        ) or self._table is None
        interval_s = ASK_INTERVAL_CUT_S if is_cut else ASK_INTERVAL_S
        if now_s - self._asked_s < interval_s * self._rng.uniform(0.8, 1.2):
            return []
        self._asked_s = now_s
        candidates = open_ips or (other_ips if is_cut else [])
        n_asked = min(len(candidates), ASKED_WHEN_CUT if is_cut else 1)
        return self._rng.sample(candidates, n_asked)

    def _lapse_until_s(self) -> float | None:
        """Return until when removed instances stay, None for removal at once."""
        since_regained_s = time.monotonic() - self._regained_s
        if self._is_platform_heard and since_regained_s < LAPSE_GRACE_S:
            return self._regained_s + LAPSE_GRACE_S
        return None

    def _log_instance(
        self, id_: str, known: Instance | None, instance: Instance | None
    ) -> None:
        fields: dict[str, Any] = {"instance": id_}
        if instance is None:
            if known is None:
                return
            fields.update(service=known.service, ip=known.ip)
            self._log.change("instance_gone", **fields)
            return
        fields.update(service=instance.service, ip=instance.ip)
        state = "ready" if instance.is_ready else "draining"
        self._log.change("instance_listed", state=state, **fields)
