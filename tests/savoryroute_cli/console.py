"""Helpers for tests of commands: runs of the command line, stand-in for a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import io
import json
import threading

import attrs
from aiohttp import web

from savoryroute_cli.main import main

__all__ = ["CLOSED", "DaemonStandIn", "Run", "json_answer", "run"]

CLOSED = "127.0.0.1:1"
"""Address at which nothing listens."""


@attrs.frozen
class Run:
    """Exit code, standard output and standard error of one command."""

    code: int
    out: str
    err: str


def run(*argv: str) -> Run:
    """Run one command in this process."""
    out = io.TextIOWrapper(io.BytesIO(), encoding="utf-8", write_through=True)
    err = io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        code = main([str(argument) for argument in argv])
    return Run(int(code), out.buffer.getvalue().decode(), err.getvalue())


class DaemonStandIn:
    """HTTP server in a thread that gives scripted answers and records requests.

    Each answer is a function from a request to a response. The last one also answers
    all further requests.
    """

    def __init__(self, *answers) -> None:
        self._answers = list(answers)
        self.requests: list[web.Request] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self.address = ""

    def __enter__(self) -> DaemonStandIn:
        self._thread.start()
        self._run(self._start())
        return self

    def __exit__(self, *_: object) -> None:
        self._run(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _start(self) -> None:
        server = web.Server(self._handle)
        self._runner = web.ServerRunner(server)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        self.requests.append(request)
        answer = self._answers[0]
        if len(self._answers) > 1:
            self._answers.pop(0)
        return answer(request)


def json_answer(value: object, status: int = 200, **headers: str):
    """Return a scripted answer with a JSON body."""
    return lambda request: web.Response(
        text=json.dumps(value), status=status, headers=headers
    )
