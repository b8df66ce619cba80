"""Sends one attempt to the local upstream, or to a peer over its session."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from ..errors import ConnectionClosedError
from ..protocol.frames import Answer, Call
from ..protocol.request import Response
from ..protocol.websocket_network import WebSocketNetwork
from ..state.member import Member
from ..verdict import Reason, Refusal, Verdict

__all__ = ["CallSender", "result_of"]

# Time in seconds after a call's deadline in which its refusal may still arrive.
ANSWER_GRACE_S = 0.05


class CallSender:
    """Sends call frames to the hosts that run the attempts."""

    def __init__(
        self,
        host: str,
        network: WebSocketNetwork,
        run_locally: Callable[[Call], Awaitable[Answer]],
    ) -> None:
        self._host = host
        self._network = network
        self._run_locally = run_locally

    async def send(self, member: Member, call: Call) -> Result[Answer, Refusal]:
        """Send one attempt and wait for its answer.

        Returns:
            The answer, or a refusal by this daemon: ``NOT_RUN`` only if nothing
            was sent.
        """
        if member.host == self._host:
            return Ok(await self._run_locally(call))
        deadline_s = time.monotonic() + call.time_left_ms / 1000
        session = self._network.session(member.host)
        if session is None:
            connected = await self._network.connect(member.peers_address)
            if isinstance(connected, Err):
                return _refused(Verdict.NOT_RUN, connected.err_value)
            session = self._network.session(member.host)
        if session is None:
            detail = f"another host than expected answers at {member.peers_address}"
            return _refused(Verdict.NOT_RUN, ConnectionClosedError(detail))
        try:
            time_left_s = deadline_s - time.monotonic() + ANSWER_GRACE_S
            async with asyncio.timeout(time_left_s):
                return Ok(await session.call(call))
        except TimeoutError:
            detail = f"{member.host} did not answer before the deadline"
            return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.DEADLINE, detail))
        except ConnectionClosedError as error:
            return _refused(Verdict.MAY_HAVE_RUN, error)


def result_of(answer: Answer) -> Result[Response, Refusal]:
    """Return the result that an answer carries."""
    refusal = _refusal_of(answer)
    if answer.verdict == Verdict.RAN:
        response = Response(answer.status, tuple(answer.headers), answer.body, refusal)
        return Ok(response)
    return Err(refusal)


def _refusal_of(answer: Answer) -> Refusal | None:
    """Return the refusal in an answer, or None.

    A complete answer has one only if a call downstream was refused for load.
    """
    is_complete = answer.verdict == Verdict.RAN
    if is_complete and not answer.is_load:
        return None
    try:
        verdict = Verdict.MAY_HAVE_RUN if is_complete else Verdict(answer.verdict)
        reason = Reason.OVERLOAD if is_complete else Reason(answer.reason)
    except ValueError:
        verdict, reason = Verdict.MAY_HAVE_RUN, Reason.BAD_ANSWER
    return Refusal(
        verdict=verdict,
        reason=reason,
        detail=answer.detail,
        retry_after_s=answer.retry_after_ms / 1000 or None,
        is_load=answer.is_load,
        from_downstream=answer.from_deep,
        status=answer.status,
    )


def _refused(verdict: Verdict, error: ConnectionClosedError) -> Err[Refusal]:
    reason = Reason.UNREACHABLE
    if verdict is Verdict.MAY_HAVE_RUN:
        reason = Reason.CONNECTION_LOST
    return Err(Refusal(verdict, reason, str(error)))
