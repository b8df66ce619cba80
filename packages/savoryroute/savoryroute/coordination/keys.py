"""Idempotency keys: minting, lookup of the host that owns a key, fencing there."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok, Result

from ..errors import ConnectionClosedError
from ..protocol.websocket_network import WebSocketNetwork
from ..state.idempotency_key import IdempotencyKey, mint_key, parse_key
from ..state.ledger import Ledger
from ..state.member import Member
from ..state.members import MemberTable
from ..state.policies import EjectionPolicy
from ..verdict import Reason, Refusal, Verdict
from .placement import Placement

__all__ = ["KeyManager"]

FENCE_TIMEOUT_S = 0.5


class KeyManager:
    """Mints idempotency keys, finds their owners and fences keys there.

    The owner of a key is the one host that may run its action.
    """

    def __init__(
        self,
        host: str,
        incarnation: int,
        ledger: Ledger,
        network: WebSocketNetwork,
        placement: Placement,
        table: MemberTable,
        ejection: Callable[[], EjectionPolicy | None],
    ) -> None:
        self._host = host
        self._incarnation = incarnation
        self._ledger = ledger
        self._network = network
        self._placement = placement
        self._table = table
        self._ejection = ejection

    async def mint(self, service: str, n_keys: int, cancels: str = "") -> list[str]:
        """Return new keys owned by a host that can run the action, or none.

        Args:
            service: Service that is to run the actions.
            n_keys: Number of keys.
            cancels: Key of an action to be cancelled; the new keys get the same
                owner if that host still runs.
        """
        owner = self._cancelled_owner(cancels)
        if owner is not None:
            minted = await self._mint_for(owner, n_keys)
            if minted:
                return minted
        tried: list[str] = []
        ejection = self._ejection()
        while ejection is not None:
            choice = self._placement.choose(service, tried, ejection, True)
            if choice is None:
                return []
            tried.append(choice.member.host)
            minted = await self._mint_for(choice.member, n_keys)
            if minted:
                return minted
        return []

    def owner_of(self, key: str) -> Result[Member, Refusal]:
        """Return the host that owns a key.

        Returns:
            The member, or a refusal: ``MAY_HAVE_RUN`` if the owner is unknown or
            runs in another incarnation.
        """
        parsed = parse_key(key)
        if isinstance(parsed, Err):
            return parsed
        found = parsed.ok_value
        member = self._table.get(found.host)
        if member is None or self._is_replaced(found):
            detail = f"the owner of the key, {found.host}, is unknown or was replaced"
            return Err(Refusal(Verdict.MAY_HAVE_RUN, Reason.KEY_HOME_GONE, detail))
        return Ok(member)

    async def fence(self, key: str, is_cancellation: bool = False) -> Verdict:
        """Ask the owner of a key to fence it.

        Args:
            key: Idempotency key.
            is_cancellation: Whether the action is to be cancelled.

        Returns:
            What the owner knows of the action; ``MAY_HAVE_RUN`` if it cannot be asked.
        """
        owner = self.owner_of(key)
        if isinstance(owner, Err):
            return owner.err_value.verdict
        host = owner.ok_value.host
        if host == self._host:
            return self._ledger.fence(key, is_cancellation)
        session = self._network.session(host)
        if session is None:
            return Verdict.MAY_HAVE_RUN
        try:
            async with asyncio.timeout(FENCE_TIMEOUT_S):
                return await session.fence(key, is_cancellation)
        except (TimeoutError, ConnectionClosedError):
            return Verdict.MAY_HAVE_RUN

    async def confirm(self, key: str, refusal: Refusal) -> Refusal:
        """Return a local refusal with the verdict of the owner of its key.

        This daemon forwarded nothing, but another daemon may have forwarded another
        copy of the request.

        Args:
            key: Idempotency key of the request, or an empty string.
            refusal: Refusal that this daemon made itself.
        """
        if not key or refusal.verdict is not Verdict.NOT_RUN:
            return refusal
        if await self.fence(key) is Verdict.NOT_RUN:
            return refusal
        return refusal.as_may_have_run()

    async def fence_target(self, key: str, cancels: str) -> bool:
        """Fence the action to cancel if its key has another owner than ``key``.

        Args:
            key: Key of the cancellation.
            cancels: Key of the action to cancel, or an empty string.

        Returns:
            Whether that owner has fenced or finished the action.
        """
        parsed, target = parse_key(key), parse_key(cancels)
        if isinstance(parsed, Err) or isinstance(target, Err):
            return False
        if parsed.ok_value.host == target.ok_value.host:
            return False
        verdict = await self.fence(cancels, is_cancellation=True)
        return verdict is not Verdict.MAY_HAVE_RUN

    def _is_replaced(self, key: IdempotencyKey) -> bool:
        """Return whether the owner runs in another incarnation than the key names."""
        if key.host == self._host:
            return key.incarnation != self._incarnation
        hello = self._network.hello(key.host)
        return hello is not None and hello.incarnation != key.incarnation

    def _cancelled_owner(self, cancels: str) -> Member | None:
        if not cancels:
            return None
        owner = self.owner_of(cancels)
        return owner.ok_value if isinstance(owner, Ok) else None

    async def _mint_for(self, owner: Member, n_keys: int) -> list[str]:
        """Return keys owned by a host, or none if it cannot be reached."""
        if owner.host == self._host:
            return [self._ledger.mint() for _ in range(n_keys)]
        hello = self._network.hello(owner.host)
        if hello is None:
            connected = await self._network.connect(owner.peers_address)
            if isinstance(connected, Err):
                return []
            hello = connected.ok_value
        known = self._table.get(owner.host)
        minted_ms = self._table.uptime_ms(owner.host)
        if known is None or known.incarnation != hello.incarnation or not minted_ms:
            return []
        return [
            mint_key(owner.host, hello.incarnation, minted_ms) for _ in range(n_keys)
        ]
