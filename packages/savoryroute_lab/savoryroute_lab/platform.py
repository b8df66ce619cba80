"""Stand-in for the platform's configuration service.

Usage:
  platform --port=N --control-port=N
"""

from __future__ import annotations

import asyncio
import enum
import sys
import time
from collections import Counter

import attrs
import docopt
import uvloop
from aiohttp import web

from .http import Listener, wait_for_signal

__all__ = ["Outage", "Platform", "main"]

VALUE_BYTES_MAX = 1 << 20
WAIT_MAX_S = 60.0
HANG_S = 3600.0


class Outage(enum.StrEnum):
    """How the service fails."""

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"


@attrs.frozen
class Revision:
    """Value of a key, with its revision number."""

    number: int
    body: bytes


class Platform:
    """Key-value service with reads and watches, and a second port for control."""

    def __init__(self) -> None:
        self._values: dict[str, list[Revision]] = {}
        self._revision = 0
        self._outage = Outage.NONE
        self._stale_for_all: int | None = None
        self._stale_for: dict[str, int] = {}
        self._counts: Counter[str] = Counter()
        self._changed = asyncio.Event()
        self._readers = Listener(self._readers_app())
        self._control = Listener(self._control_app())

    @property
    def address(self) -> str:
        """Address of the port for readers."""
        return self._readers.address

    @property
    def control_address(self) -> str:
        """Address of the control port."""
        return self._control.address

    @property
    def counts(self) -> dict[str, int]:
        """Number of requests by ``User-Agent``; a watch counts as one request."""
        return dict(self._counts)

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Start listening on both ports."""
        await self._readers.open(port)
        await self._control.open(control_port)

    async def stop(self) -> None:
        """Stop listening on both ports; connections of readers are aborted."""
        if self._readers.port:
            self._readers.abort()
        await self._readers.close()
        await self._control.close()

    def put(self, key: str, body: bytes) -> int:
        """Publish a value and return its revision.

        Raises:
            ValueError: The value exceeds ``VALUE_BYTES_MAX``.
        """
        if len(body) > VALUE_BYTES_MAX:
            raise ValueError(
                f"{key}: {len(body)} bytes exceed the limit of {VALUE_BYTES_MAX}"
            )
        self._revision += 1
        self._values.setdefault(key, []).append(Revision(self._revision, body))
        self._notify_watches()
        return self._revision

    async def set_outage(self, outage: Outage) -> None:
        """Fail in the given way until it is set again."""
        was_refusing = self._outage is Outage.REFUSE
        self._outage = outage
        if outage is Outage.REFUSE and not was_refusing:
            self._readers.abort()
        if outage is not Outage.REFUSE and was_refusing:
            await self._readers.open()
        self._notify_watches()

    def set_stale(self, revision: int | None, reader: str | None = None) -> None:
        """Hide revisions above a given one, from one reader or all readers.

        Args:
            revision: Newest revision to serve; None to serve the latest.
            reader: Value of ``User-Agent``; None for all readers without their own
                setting.
        """
        if reader is None:
            self._stale_for_all = revision
        elif revision is None:
            self._stale_for.pop(reader, None)
        else:
            self._stale_for[reader] = revision
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _newest_visible_revision(self, key: str, reader: str) -> Revision | None:
        newest = self._stale_for.get(reader, self._stale_for_all)
        for value in reversed(self._values.get(key, [])):
            if newest is None or value.number <= newest:
                return value
        return None

    def _readers_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/v1/values/{key:.+}", self._read)
        return app

    def _control_app(self) -> web.Application:
        app = web.Application(client_max_size=2 * VALUE_BYTES_MAX)
        app.router.add_put("/lab/values/{key:.+}", self._control_put)
        app.router.add_post("/lab/outage", self._control_outage)
        app.router.add_post("/lab/stale", self._control_stale)
        app.router.add_get("/lab/counts", self._control_counts)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        reader = request.headers.get("User-Agent", "")
        self._counts[reader] += 1
        key = request.match_info["key"]
        if "after" not in request.query:
            return await self._answer(self._newest_visible_revision(key, reader), 404)
        after = int(request.query["after"])
        wait_s = min(float(request.query.get("wait_s", 0)), WAIT_MAX_S)
        return await self._answer(await self._watch(key, reader, after, wait_s), 304)

    async def _watch(
        self, key: str, reader: str, after: int, wait_s: float
    ) -> Revision | None:
        deadline_s = time.monotonic() + wait_s
        while True:
            value = self._newest_visible_revision(key, reader)
            if value is not None and value.number > after:
                return value
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0 or self._outage is not Outage.NONE:
                return None
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return None

    async def _answer(self, value: Revision | None, absent_status: int) -> web.Response:
        if self._outage is Outage.HANG:
            await asyncio.sleep(HANG_S)
        if self._outage is not Outage.NONE:
            return web.Response(status=503)
        if value is None:
            return web.Response(status=absent_status)
        return web.Response(
            body=value.body,
            headers={"X-Revision": str(value.number)},
            content_type="application/json",
        )

    async def _control_put(self, request: web.Request) -> web.Response:
        revision = self.put(request.match_info["key"], await request.read())
        return web.json_response({"revision": revision})

    async def _control_outage(self, request: web.Request) -> web.Response:
        await self.set_outage(Outage((await request.json())["mode"]))
        return web.json_response({})

    async def _control_stale(self, request: web.Request) -> web.Response:
        parameters = await request.json()
        self.set_stale(parameters.get("revision"), parameters.get("reader"))
        return web.json_response({})

    async def _control_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


async def _serve(port: int, control_port: int) -> None:
    platform = Platform()
    await platform.start(port, control_port)
    await wait_for_signal()
    await platform.stop()


def main() -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    options = docopt.docopt(__doc__)
    uvloop.run(_serve(int(options["--port"]), int(options["--control-port"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
