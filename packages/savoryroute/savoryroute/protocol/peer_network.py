"""Interface of coordination to the links between daemons."""

from __future__ import annotations

import abc
from collections.abc import Awaitable, Callable

from result import Result

from ..errors import ConnectionClosedError
from .frames import Frame, Hello

__all__ = ["ControlHandler", "LinkHandler", "PeerNetwork"]

ControlHandler = Callable[[str, Frame], Awaitable[None]]
LinkHandler = Callable[[Hello, bool], None]


class PeerNetwork(abc.ABC):
    """Open links to peers by host name.

    Production uses WebSocket connections; long simulated runs in tests use the
    in-memory implementation. Calls and answers don't pass through this interface:
    handlers receive only control frames (heartbeats, document frames, goodbyes).
    """

    @property
    @abc.abstractmethod
    def hosts(self) -> list[str]:
        """Names of the hosts with an open link."""

    @abc.abstractmethod
    async def connect(self, peers_address: str) -> Result[Hello, ConnectionClosedError]:
        """Open a link to ``ip:port``, or reuse the open one.

        Returns:
            The first frame of the peer, or why the link could not be opened.
        """

    @abc.abstractmethod
    async def send(self, host: str, frame: Frame) -> bool:
        """Send a control frame; return whether there was a link to send it on."""

    @abc.abstractmethod
    def hello(self, host: str) -> Hello | None:
        """Return the first frame of the peer on the open link, or None."""

    @abc.abstractmethod
    def disconnect(self, host: str) -> None:
        """Close the link to a host, if there is one."""

    @abc.abstractmethod
    def set_handlers(self, on_control: ControlHandler, on_link: LinkHandler) -> None:
        """Set the handlers of control frames and of links that open or close."""
