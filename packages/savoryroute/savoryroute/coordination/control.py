"""Membership and distribution joined to one network."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Any

from ..protocol.frames import Frame, Hello
from ..protocol.peer_network import PeerNetwork
from ..state.members import MemberTable
from ..transport.platform_client import PlatformReader
from .distribution import AuditHandler, Distribution, DocumentHandler
from .membership import Membership, SuspectsHandler
from .overlay import Overlay
from .pause import PauseDetector

__all__ = ["Control"]


class Control:
    """What a daemon runs to follow the fleet and the documents.

    Args:
        make_hello: Returns this daemon's first frame, its uptime up to date.
        table: Table to keep up to date.
        network: Links to peers; its handlers are set here.
        platform: The platform as this host reaches it.
        pause: Detector whose pauses make the view old until it is refreshed.
        on_document: See ``Distribution``.
        seeds: Addresses of peers to begin with.
        get_suspects: See ``Membership``.
        on_suspects: See ``Membership``.
        on_link: Called when a link goes up or down, after membership.
        on_audit: See ``Distribution``.
        overlay: See ``Membership``.
        rng: Source of jitter.
    """

    def __init__(
        self,
        make_hello: Callable[[], Hello],
        table: MemberTable,
        network: PeerNetwork,
        platform: PlatformReader,
        pause: PauseDetector,
        on_document: DocumentHandler,
        *,
        seeds: Sequence[str] = (),
        get_suspects: Callable[[], list[Any]] = list,
        on_suspects: SuspectsHandler = lambda host, suspects: None,
        on_link: Callable[[Hello, bool], None] = lambda hello, is_up: None,
        on_audit: AuditHandler = lambda subject, change, evidence: None,
        overlay: Overlay | None = None,
        rng: random.Random | None = None,
    ) -> None:
        own = make_hello()
        self._pause = pause
        self._on_link = on_link
        self._refresh: asyncio.Task[None] | None = None
        self._membership = Membership(
            make_hello,
            table,
            network,
            seeds=seeds,
            get_revisions=lambda: self._distribution.revisions(),
            get_suspects=get_suspects,
            on_revisions=lambda host, found: self._distribution.note_revisions(
                host, found
            ),
            on_suspects=on_suspects,
            overlay=overlay,
            rng=rng,
        )
        self._distribution = Distribution(
            network,
            platform,
            table,
            own.host,
            own.failure_domain,
            on_document,
            neighbours=lambda: self._membership.peers,
            announce=self._membership.flush,
            on_audit=on_audit,
            seeds=[seed for seed in seeds if seed != own.peers],
            rng=rng,
        )
        network.set_handlers(self.handle_control, self.note_link)
        pause.add_callback(self._note_pause)

    @property
    def membership(self) -> Membership:
        """Who is in the fleet."""
        return self._membership

    @property
    def distribution(self) -> Distribution:
        """The documents in force."""
        return self._distribution

    @property
    def pause(self) -> PauseDetector:
        """Detector of pauses of this process."""
        return self._pause

    async def start(self) -> None:
        """Start everything."""
        await self._pause.start()
        await self._membership.start()
        await self._distribution.start()

    async def stop(self) -> None:
        """Stop everything."""
        if self._refresh is not None:
            self._refresh.cancel()
        await self._distribution.stop()
        await self._membership.stop()
        await self._pause.stop()

    async def handle_control(self, host: str, frame: Frame) -> None:
        """Hand a control frame to the part that it is for."""
        self._pause.check()
        if not await self._membership.handle_control(host, frame):
            await self._distribution.handle_control(host, frame)

    def note_link(self, hello: Hello, is_up: bool) -> None:
        """Tell of a link that went up or down."""
        self._membership.note_link(hello, is_up)
        self._on_link(hello, is_up)

    def _note_pause(self, paused_s: float) -> None:
        """Refresh the view after a pause."""
        self._membership.restart_silence_timers()
        if self._refresh is None or self._refresh.done():
            self._refresh = asyncio.create_task(self._refresh_view())

    async def _refresh_view(self) -> None:
        """Ask peers for what was missed, then trust the view again."""
        await self._distribution.refresh()
        self._pause.mark_refreshed()
