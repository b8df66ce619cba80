"""Quotas of organisations at one daemon: joins ring, holder and client, and frames."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

from ..protocol.mesh_frames import FrameKind
from ..protocol.quota_frames import QuotaGrant, QuotaRequest
from ..state.event_log import EventLog
from ..state.fleet_view import Instance
from ..state.mesh_settings import MeshSettings
from ..state.organisations import Organisation
from ..state.route_table import RouteTable
from .quota_account import CreditWait, DecisionHandler, QuotaDecision
from .quota_client import QuotaClient
from .quota_holder import QuotaBounds, QuotaHolder
from .quota_ring import QuotaRing, RingHost

__all__ = ["Quotas"]

# Seconds between checks of the requests that wait for credits.
TICK_S = 0.01


class Quotas:
    """Decides on requests by the quotas of their organisations.

    Args:
        settings: Address, failure domain and terms of the bound on quotas.
        table: Returns the active routes, or None before the first are known.
        proof_age_s: Returns the age of the proof of the configuration in seconds.
        is_leaving: Returns whether this host is leaving.
        send: Sends a frame to a host; returns False if it cannot be reached.
        is_suspect: Returns whether a host seems not to answer.
        call_later: Calls a function after a delay in seconds.
        log: Event log.
        rng: Random source.
        clock: Clock in seconds that counts suspensions.
    """

    def __init__(
        self,
        settings: MeshSettings,
        table: Callable[[], RouteTable | None],
        proof_age_s: Callable[[], float],
        is_leaving: Callable[[], bool],
        send: Callable[[str, list[Any]], bool],
        is_suspect: Callable[[str], bool],
        call_later: Callable[[float, Callable[[], None]], Any],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self._ip = settings.callers.ip
        self._is_bounded = settings.quota_window_s is not None
        self._table = table
        self._proof_age_s = proof_age_s
        self._send_frame = send
        self._call_later = call_later
        self._log = log
        self._is_tick_due = False
        self._n_frames: Counter[str] = Counter()
        self._ring = QuotaRing(self._ip, settings.failure_domain, clock)
        bounds = QuotaBounds(
            settings.quota_window_s or 0.0, settings.quota_overage, settings.quota_slack
        )
        self._holder = QuotaHolder(
            self._ip,
            self._ring,
            bounds,
            self._find,
            proof_age_s,
            is_leaving,
            settings.revocation_s,
            clock,
        )
        self._client = QuotaClient(self._ring, self._send, is_suspect, clock, rng)

    def gauges(self) -> dict[str, float | dict[str, float]]:
        """Return credits granted here, refused requests, and frames."""
        if not self._is_bounded:
            return {}
        return {
            "quota_credits_granted": self._holder.n_granted,
            "quota_refused": self._client.n_refused,
            "quota_frames": dict(self._n_frames),
            "quota_buckets": self._holder.n_buckets,
            "quota_stocks": self._client.n_accounts,
        }

    def update_hosts(self, instances: Iterable[Instance]) -> None:
        """Take over the list of instances."""
        if not self._is_bounded:
            return
        self._ring.update(
            RingHost(item.ip, item.failure_domain, item.cold_s > 0.0, _identity(item))
            for item in instances
        )
        self._holder.keep_held()

    def release(self, instance: Instance) -> list[Any] | None:
        """Grant no more, as the local upstream drains, which it does not take back.

        Args:
            instance: The local upstream.

        Returns:
            The frame that tells this to peers, None if there are no quotas.
        """
        if not self._is_bounded:
            return None
        identity = _identity(instance)
        self._ring.release(self._ip, identity)
        self._holder.keep_held()
        return [FrameKind.QUOTA_RELEASE.value, identity]

    def needs_credit(self, name: str) -> bool:
        """Return whether requests of an organisation need a credit."""
        return self._is_bounded and self._find(name) is not None

    def acquire(
        self, name: str, request_id: bytes, on_decision: DecisionHandler
    ) -> CreditWait:
        """Obtain a credit for a request.

        Args:
            name: Name of an organisation with a quota.
            request_id: Id of the request, for the log.
            on_decision: Called once with the decision, possibly before returning.
        """

        def on_logged(decision: QuotaDecision) -> None:
            if decision.expires_s is None:
                self._log_refusal(name, request_id, decision)
            on_decision(decision)

        wait = self._client.acquire(name, on_logged)
        if self._client.has_waits and not self._is_tick_due:
            self._is_tick_due = True
            self._call_later(TICK_S, self._tick)
        return wait

    def cancel(self, wait: CreditWait) -> None:
        """End a wait without a decision."""
        self._client.cancel(wait)

    def give_back(self, name: str, expires_s: float) -> None:
        """Return the credit of a request that reached no upstream."""
        self._client.give_back(name, expires_s)

    def check(self) -> None:
        """Check the age of the proof; called every few hundredths of a second."""
        if self._is_bounded:
            self._holder.check()

    def sweep(self) -> None:
        """Drop state that is not needed any more; called about once a second."""
        self._holder.sweep()
        self._client.sweep()

    def on_frame(
        self, ip: str, frame: list[Any], answer: Callable[[list[Any]], None]
    ) -> None:
        """Handle a frame about quotas; a malformed one is logged and ignored.

        Args:
            ip: Address of the host that sent it.
            frame: The frame.
            answer: Sends a frame back.
        """
        if frame[0] == FrameKind.QUOTA_RELEASE:
            if len(frame) == 2 and type(frame[1]) is str:
                self._n_frames["release_received"] += 1
                self._ring.release(ip, frame[1])
                return
        elif frame[0] == FrameKind.QUOTA_REQUEST:
            request = QuotaRequest.from_frame(frame)
            if request is not None:
                self._n_frames["request_received"] += 1
                answer(self._grant(request).to_frame())
                return
        else:
            grant = QuotaGrant.from_frame(frame)
            if grant is not None:
                self._n_frames["grant_received"] += 1
                self._client.on_grant(ip, grant)
                return
        self._log.request("quota_frame_malformed", "", peer=ip, frame=_shortened(frame))

    def _find(self, name: str) -> Organisation | None:
        """Return an organisation that has a quota, or None."""
        table = self._table()
        if table is None or table.organisations is None:
            return None
        organisation = table.organisations.by_name(name)
        if organisation is None or not organisation.rate_per_s:
            return None
        return organisation

    def _grant(self, request: QuotaRequest) -> QuotaGrant:
        """Return the answer of this host to a request for credits."""
        grant = self._holder.grant(request.scope, request.organisation, request.n)
        return QuotaGrant(
            request.scope,
            request.organisation,
            grant.n,
            request.number,
            grant.is_holder,
            math.ceil(grant.wait_s * 1000),
        )

    def _send(self, ip: str, request: QuotaRequest) -> bool:
        if ip == self._ip:
            self._client.on_grant(ip, self._grant(request))
            return True
        self._n_frames["request_sent"] += 1
        return self._send_frame(ip, request.to_frame())

    def _tick(self) -> None:
        self._client.tick()
        self._is_tick_due = self._client.has_waits
        if self._is_tick_due:
            self._call_later(TICK_S, self._tick)

    def _log_refusal(
        self, name: str, request_id: bytes, decision: QuotaDecision
    ) -> None:
        age_s = decision.stock_age_s
        self._log.request(
            "quota_refused",
            request_id.decode("latin-1"),
            organisation=name,
            status=decision.status,
            by=decision.by,
            stock=decision.stock,
            stock_age=None if age_s == math.inf else round(age_s, 3),
            proof_age=round(min(self._proof_age_s(), 1e9), 3),
            retry_after=round(decision.retry_after_s, 3),
        )


def _identity(instance: Instance) -> str:
    """Return what tells an upstream from a later start under the same id."""
    return f"{instance.id} {instance.started_ms}"


def _shortened(frame: list[Any]) -> str:
    """Return the start of a frame; large numbers are not converted."""
    return ", ".join(
        type(item).__name__ if type(item) is not str else repr(item[:20])
        for item in frame[:8]
    )
