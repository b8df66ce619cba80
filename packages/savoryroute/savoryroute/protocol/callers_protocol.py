"""HTTP connection of a caller, with a time limit for the first request."""

from __future__ import annotations

import asyncio
import logging

from aiohttp import web

from ..verdict import Reason, Refusal, Verdict
from .problem import problem_response

__all__ = ["CallersProtocol", "CallersProtocolServer"]

FIRST_REQUEST_S = 15.0
# Status with which aiohttp reports an error of its parser.
PARSER_ERROR_STATUS = 400

_logger = logging.getLogger(__name__)


class CallersProtocol(web.RequestHandler):
    """Connection that is closed unless a complete request head arrives in time.

    Errors of the parser and of the daemon are answered as problem details (RFC 9457).
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timer for the first request."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._has_request = False
        self._is_head_open = False
        self._timer = loop.call_later(FIRST_REQUEST_S, self._close_if_unused)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer for the first request."""
        self._timer.cancel()
        super().connection_lost(exc)

    @property
    def is_head_open(self) -> bool:
        """Whether part of a request head has arrived."""
        return self._is_head_open

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a head or a body."""
        self._is_head_open = True
        super().data_received(data)

    def note_request(self) -> None:
        """Record that the head of a request is complete."""
        self._has_request = True
        self._is_head_open = False

    def note_answer(self) -> None:
        """Record that a request was answered and its body read."""
        self._is_head_open = False

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the problem response for an error of the parser or of the daemon.

        Raises:
            ConnectionError: Part of the answer was already sent.
        """
        if request.writer.output_size > 0:
            raise ConnectionError("part of the answer was already sent")
        if status == PARSER_ERROR_STATUS:
            detail = f"malformed HTTP request: {message or exc}"[:200]
            refusal = Refusal.not_run(Reason.BAD_REQUEST, detail)
            _logger.info("%s", detail)
        else:
            detail = "the daemon failed while serving the request"
            refusal = Refusal(Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER, detail)
            _logger.error("%s", detail, exc_info=exc)
        response = problem_response(refusal)
        response.force_close()
        return response

    def _close_if_unused(self) -> None:
        if not self._has_request and self.transport is not None:
            self.transport.close()


class CallersProtocolServer(web.Server):
    """Server that handles each connection with a ``CallersProtocol``."""

    def __call__(self) -> CallersProtocol:
        """Return the protocol for a new connection."""
        return CallersProtocol(self, loop=self._loop, **self._kwargs)
