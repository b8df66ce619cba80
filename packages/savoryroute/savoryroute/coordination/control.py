"""Control plane of a daemon: membership and document distribution on one network."""

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
    """Runs membership and document distribution.

    Args:
        make_hello: Returns this daemon's Hello frame with its current uptime.
        table: Table to keep up to date.
        network: Links to peers; its handlers are set here.
        platform: Client for the platform.
        pause: Detector of pauses; after a pause the view is stale until refreshed.
        on_document: See ``Distribution``.
        seeds: Addresses of the first peers to contact.
        get_suspects: See ``Membership``.
        on_suspects: See ``Membership``.
        on_link: Called when a link goes up or down, after membership handled it.
        on_audit: See ``Distribution``.
        overlay: See ``Membership``.
        rng: See ``Membership`` and ``Distribution``.
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
        local_hello = make_hello()
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
            local_hello.host,
            local_hello.failure_domain,
            on_document,
            overlay_peers=lambda: self._membership.peers,
            announce=self._membership.flush,
            on_audit=on_audit,
            seeds=[seed for seed in seeds if seed != local_hello.peers],
            rng=rng,
        )
        network.set_handlers(self.handle_control, self.note_link)
        pause.add_callback(self._note_pause)

    @property
    def membership(self) -> Membership:
        """Membership of the fleet."""
        return self._membership

    @property
    def distribution(self) -> Distribution:
        """Distribution of the documents."""
        return self._distribution

    @property
    def pause(self) -> PauseDetector:
        """Detector of pauses of this process."""
        return self._pause

    async def start(self) -> None:
        """Start pause detection, membership and distribution."""
        await self._pause.start()
        await self._membership.start()
        await self._distribution.start()

    async def stop(self) -> None:
        """Stop all of them."""
        if self._refresh is not None:
            self._refresh.cancel()
        await self._distribution.stop()
        await self._membership.stop()
        await self._pause.stop()

    async def handle_control(self, host: str, frame: Frame) -> None:
        """Pass a control frame to membership or to distribution."""
        self._pause.check()
        if not await self._membership.handle_control(host, frame):
            await self._distribution.handle_control(host, frame)

    def note_link(self, hello: Hello, is_up: bool) -> None:
        """Report a link that went up or down."""
        self._membership.note_link(hello, is_up)
        self._on_link(hello, is_up)

    def _note_pause(self, paused_s: float) -> None:
        """Restart the silence timers and refresh the view after a pause."""
        self._membership.restart_silence_timers()
        if self._refresh is None or self._refresh.done():
            self._refresh = asyncio.create_task(self._refresh_view())

    async def _refresh_view(self) -> None:
        """Fetch documents that were missed, then mark the view as refreshed."""
        await self._distribution.refresh()
        self._pause.mark_refreshed()
