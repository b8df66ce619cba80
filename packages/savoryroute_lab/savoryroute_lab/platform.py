"""Stand-in of the platform's configuration service.

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

VALUE_BYTES_MAXIMUM = 1 << 20
WAIT_MAXIMUM_S = 60.0
HANG_S = 3600.0


class Outage(enum.StrEnum):
    """How the service fails."""

    NONE = "none"
    REFUSE = "refuse"
    ERROR = "error"
    HANG = "hang"


@attrs.frozen
class Revision:
    """One value of a key."""

    number: int
    body: bytes


class Platform:
    """Service whose values can be read and watched; a second port sets them."""

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
        """Address for readers."""
        return self._readers.address

    @property
    def control_address(self) -> str:
        """Address of the control port."""
        return self._control.address

    @property
    def counts(self) -> dict[str, int]:
        """Calls by reader, a waiting watch counted as one."""
        return dict(self._counts)

    async def start(self, port: int = 0, control_port: int = 0) -> None:
        """Start to listen on both ports."""
        await self._readers.open(port)
        await self._control.open(control_port)

    async def stop(self) -> None:
        """Stop both ports."""
        if self._readers.port:
            self._readers.abort()
        await self._readers.close()
        await self._control.close()

    def put(self, key: str, body: bytes) -> int:
        """Publish a value and return its revision."""
        if len(body) > VALUE_BYTES_MAXIMUM:
            raise ValueError(f"{key}: {len(body)} bytes exceed {VALUE_BYTES_MAXIMUM}")
        self._revision += 1
        self._values.setdefault(key, []).append(Revision(self._revision, body))
        self._wake()
        return self._revision

    async def set_outage(self, outage: Outage) -> None:
        """Fail from now on in the way given."""
        was_refusing = self._outage is Outage.REFUSE
        self._outage = outage
        if outage is Outage.REFUSE and not was_refusing:
            self._readers.abort()
        if outage is not Outage.REFUSE and was_refusing:
            await self._readers.open()
        self._wake()

    def set_stale(self, revision: int | None, reader: str | None = None) -> None:
        """Serve nothing above a revision, to all readers or to one.

        Args:
            revision: Newest revision to serve; None to serve the newest there is.
            reader: Value of ``User-Agent``; None for all readers.
        """
        if reader is None:
            self._stale_for_all = revision
        elif revision is None:
            self._stale_for.pop(reader, None)
        else:
            self._stale_for[reader] = revision
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _visible(self, key: str, reader: str) -> Revision | None:
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
        app = web.Application(client_max_size=2 * VALUE_BYTES_MAXIMUM)
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
            return await self._answer(self._visible(key, reader), 404)
        after = int(request.query["after"])
        wait_s = min(float(request.query.get("wait_s", 0)), WAIT_MAXIMUM_S)
        return await self._answer(await self._watch(key, reader, after, wait_s), 304)

    async def _watch(
        self, key: str, reader: str, after: int, wait_s: float
    ) -> Revision | None:
        end_s = time.monotonic() + wait_s
        while True:
            value = self._visible(key, reader)
            if value is not None and value.number > after:
                return value
            left_s = end_s - time.monotonic()
            if left_s <= 0 or self._outage is not Outage.NONE:
                return None
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return None

    async def _answer(self, value: Revision | None, absent: int) -> web.Response:
        if self._outage is Outage.HANG:
            await asyncio.sleep(HANG_S)
        if self._outage is not Outage.NONE:
            return web.Response(status=503)
        if value is None:
            return web.Response(status=absent)
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
        wanted = await request.json()
        self.set_stale(wanted.get("revision"), wanted.get("reader"))
        return web.json_response({})

    async def _control_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self.counts)


async def _serve(port: int, control_port: int) -> None:
    platform = Platform()
    await platform.start(port, control_port)
    await wait_for_signal()
    await platform.stop()


def main() -> int:
    """Run the stand-in until it is told to end."""
    options = docopt.docopt(__doc__)
    uvloop.run(_serve(int(options["--port"]), int(options["--control-port"])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
