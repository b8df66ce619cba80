"""Credits of a first hop: stock, requests for credits, and the decision for a request.

Load pattern: the callers of one organisation send many times their usual load, and a
quota may be as small as 1 request a second over 64 hosts, so that most hosts have no
stock of it.

Source: leases with expiry as in Gray and Cheriton (1989) for credits; the stock is a
share by demand as in Raghavan and others, Cloud Control with Distributed Rate Limiting
(2007), but granted by one holder.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable

import attrs

from ..protocol.quota_frames import N_CREDITS_MAX, QuotaGrant, QuotaRequest, Scope
from .quota_account import (
    CreditWait,
    DecisionHandler,
    QuotaAccount,
    QuotaDecision,
    QuotaRefusal,
)
from .quota_holder import CREDIT_LIFETIME_S, WAIT_MAX_S
from .quota_ring import QuotaRing

__all__ = ["QuotaClient"]

# Demand in seconds that a stock covers.
STOCK_S = 0.25
# Least stock in credits that is asked for ahead of need. At a lower demand a credit
# often expires unused.
STOCK_MIN = 2.0
# Longest wait in seconds of a request for a grant, of each of the two scopes.
WAIT_FOR_GRANT_S = 0.1
# Shortest time in seconds between requests for credits after one was not granted in
# full. It doubles up to the longest while nothing is granted.
ASK_INTERVAL_S = 0.05
ASK_INTERVAL_MAX_S = 0.2
# Seconds for which a host is not asked again after it did not answer.
SILENT_HOST_S = 0.5
# The same for a host that does not hold the bucket of an organisation.
NOT_HOLDER_S = 0.25
# Seconds without a request after which the state of an organisation is dropped.
IDLE_S = 2.0
# Width in seconds over which the retries of refused callers are spread.
RETRY_SPREAD_S = 1.0


@attrs.frozen
class _Ask:
    """A request for credits that was sent."""

    request: QuotaRequest
    ip: str
    sent_s: float


class QuotaClient:
    """Obtains credits for the requests of callers at this host.

    Args:
        ring: Ring of the hosts.
        send: Sends a request for credits to the host at an address; returns False if
            the host cannot be reached. The grant may arrive before it returns.
        is_suspect: Returns whether a host seems not to answer.
        clock: Clock in seconds that counts suspensions.
        rng: Random source.
    """

    def __init__(
        self,
        ring: QuotaRing,
        send: Callable[[str, QuotaRequest], bool],
        is_suspect: Callable[[str], bool],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._ring = ring
        self._send = send
        self._is_suspect = is_suspect
        self._clock = clock
        self._rng = rng
        self._accounts: dict[str, QuotaAccount] = {}
        self._asks: dict[int, _Ask] = {}
        self._silent_until_s: dict[str, float] = {}
        # A late grant for an earlier run of this daemon must not match.
        self._number = rng.getrandbits(48)
        self._waiting: set[str] = set()
        self._n_refused: Counter[str] = Counter()

    @property
    def n_refused(self) -> dict[str, float]:
        """Refused requests by who refused: ``fleet``, ``failure_domain``, ``none``."""
        return dict(self._n_refused)

    @property
    def n_accounts(self) -> int:
        """Number of organisations with state here."""
        return len(self._accounts)

    @property
    def has_waits(self) -> bool:
        """Whether requests wait for credits, so that ``tick`` must be called."""
        return bool(self._waiting)

    def acquire(self, organisation: str, on_decision: DecisionHandler) -> CreditWait:
        """Obtain a credit for a request.

        Args:
            organisation: Name of an organisation with a quota.
            on_decision: Called once with the decision, possibly before returning.
        """
        now_s = self._clock()
        account = self._accounts.get(organisation)
        if account is None:
            account = self._accounts[organisation] = QuotaAccount(now_s, ASK_INTERVAL_S)
        account.note_request(now_s)
        wait = CreditWait(organisation, on_decision, now_s + WAIT_FOR_GRANT_S)
        expires_s = account.take(now_s) if not account.waits else None
        if expires_s is not None:
            self._grant(wait, expires_s)
            self._ask_ahead(organisation, account, now_s)
            return wait
        refusal = account.refusal(Scope.FLEET, now_s)
        if refusal is not None and refusal.is_empty:
            self._refuse(wait, account, now_s)
            return wait
        account.waits.append(wait)
        self._waiting.add(organisation)
        self._advance(organisation, account, now_s)
        return wait

    def cancel(self, wait: CreditWait) -> None:
        """End a wait whose caller has left; its handler is not called any more."""
        wait.is_over = True

    def give_back(self, organisation: str, expires_s: float) -> None:
        """Return the credit of a request that did not run."""
        account = self._accounts.get(organisation)
        if account is not None and expires_s > self._clock():
            account.add(expires_s, 1)

    def on_grant(self, ip: str, grant: QuotaGrant) -> None:
        """Handle the answer to a request for credits.

        An answer with an unknown, repeated or expired number counts for nothing.

        Args:
            ip: Address of the host that answered.
            grant: Its answer.
        """
        ask = self._asks.get(grant.number)
        if ask is None or ask.ip != ip:
            return
        request = ask.request
        if (request.scope, request.organisation) != (grant.scope, grant.organisation):
            return
        del self._asks[grant.number]
        account = self._accounts.get(request.organisation)
        if account is None:
            return
        now_s = self._clock()
        if account.asked.get(request.scope) == grant.number:
            del account.asked[request.scope]
        self._silent_until_s.pop(ip, None)
        expires_s = ask.sent_s + CREDIT_LIFETIME_S
        n = min(grant.n, request.n)
        if n > 0 and expires_s > now_s:
            account.add(expires_s, n)
            account.granted_s = now_s
        self._note_answer(account, ask, grant, now_s)
        self._advance(request.organisation, account, now_s)

    def tick(self) -> None:
        """Handle the waits that are over, and ask again where that is due."""
        now_s = self._clock()
        for organisation in list(self._waiting):
            self._advance(organisation, self._accounts[organisation], now_s)

    def sweep(self) -> None:
        """Drop the state of silent organisations and of old requests for credits."""
        now_s = self._clock()
        for number, ask in list(self._asks.items()):
            if now_s - ask.sent_s > CREDIT_LIFETIME_S:
                del self._asks[number]
        for ip, until_s in list(self._silent_until_s.items()):
            if until_s < now_s:
                del self._silent_until_s[ip]
        for organisation, account in list(self._accounts.items()):
            if now_s - account.used_s > IDLE_S and not account.waits:
                del self._accounts[organisation]

    def _note_answer(
        self, account: QuotaAccount, ask: _Ask, grant: QuotaGrant, now_s: float
    ) -> None:
        """Remember that a host granted too little, or that it does so no longer."""
        scope = grant.scope
        if grant.is_holder and grant.n >= ask.request.n:
            account.refusals.pop(scope, None)
            account.interval_s = ASK_INTERVAL_S
            return
        wait_s = pause_s = NOT_HOLDER_S
        if grant.is_holder:
            wait_s = min(grant.wait_ms / 1000, WAIT_MAX_S)
            pause_s = max(wait_s, account.interval_s)
            # Hosts that get nothing would otherwise send most of the messages.
            grown_s = ASK_INTERVAL_S if grant.n else account.interval_s * 2
            account.interval_s = min(ASK_INTERVAL_MAX_S, grown_s)
        account.refusals[scope] = QuotaRefusal(
            now_s + pause_s,
            now_s + wait_s,
            f"{scope.name.lower()} {ask.ip}",
            grant.is_holder,
        )

    def _advance(self, organisation: str, account: QuotaAccount, now_s: float) -> None:
        """Serve, refuse, or ask for the requests that wait."""
        for wait in list(account.waits):
            if wait.is_over:
                continue
            expires_s = account.take(now_s)
            if expires_s is not None:
                self._grant(wait, expires_s)
            elif not self._may_wait(wait, account, now_s):
                self._refuse(wait, account, now_s)
        account.waits = [wait for wait in account.waits if not wait.is_over]
        if not account.waits:
            self._waiting.discard(organisation)
            return
        for scope in Scope:
            n_waiting = sum(
                wait.scope is scope and not wait.is_over for wait in account.waits
            )
            if n_waiting:
                self._ask(organisation, account, scope, n_waiting, now_s)

    def _may_wait(self, wait: CreditWait, account: QuotaAccount, now_s: float) -> bool:
        """Return whether a request waits on; move it to the reserve if need be."""
        scope = Scope.FLEET
        if wait.scope is scope and not self._is_usable(scope, account, wait, now_s):
            if self._empty_refusal(account, scope, now_s) is not None:
                return False
            wait.scope = Scope.FAILURE_DOMAIN
            wait.until_s = now_s + WAIT_FOR_GRANT_S
        if wait.scope is Scope.FAILURE_DOMAIN and not self._is_usable(
            wait.scope, account, wait, now_s
        ):
            return False
        refusal = account.refusal(wait.scope, now_s)
        return refusal is None or refusal.until_s <= wait.until_s

    def _is_usable(
        self, scope: Scope, account: QuotaAccount, wait: CreditWait, now_s: float
    ) -> bool:
        """Return whether the host that holds a scope may still answer a request."""
        refusal = account.refusal(scope, now_s)
        if refusal is not None and not refusal.is_empty:
            return False
        self._note_timeout(account, scope, now_s)
        ip = self._ring.holder(scope, wait.organisation)
        return now_s < wait.until_s and self._is_reachable(ip, now_s)

    def _is_reachable(self, ip: str | None, now_s: float) -> bool:
        return (
            ip is not None
            and now_s >= self._silent_until_s.get(ip, -math.inf)
            and not self._is_suspect(ip)
        )

    def _note_timeout(self, account: QuotaAccount, scope: Scope, now_s: float) -> None:
        """Note that a host did not answer in time; a later answer still counts."""
        number = account.asked.get(scope)
        if number is None:
            return
        ask = self._asks.get(number)
        if ask is None:
            del account.asked[scope]
        elif now_s - ask.sent_s >= WAIT_FOR_GRANT_S:
            del account.asked[scope]
            self._silent_until_s[ask.ip] = now_s + SILENT_HOST_S

    def _ask_ahead(
        self, organisation: str, account: QuotaAccount, now_s: float
    ) -> None:
        """Ask for more credits if the stock has become small."""
        wanted = account.demand_per_s * STOCK_S
        if wanted < STOCK_MIN or account.n_credits >= wanted / 2:
            return
        self._note_timeout(account, Scope.FLEET, now_s)
        n = int(wanted) - account.n_credits
        self._ask(organisation, account, Scope.FLEET, n, now_s)

    def _ask(
        self,
        organisation: str,
        account: QuotaAccount,
        scope: Scope,
        n: int,
        now_s: float,
    ) -> None:
        """Send a request for credits unless one is under way or it is too early."""
        if scope in account.asked or account.refusal(scope, now_s) is not None:
            return
        ip = self._ring.holder(scope, organisation)
        if not self._is_reachable(ip, now_s):
            return
        wanted = account.demand_per_s * STOCK_S
        if wanted >= STOCK_MIN:
            n = max(n, int(wanted) - account.n_credits)
        self._number += 1
        request = QuotaRequest(scope, organisation, min(n, N_CREDITS_MAX), self._number)
        self._asks[request.number] = _Ask(request, ip, now_s)
        account.asked[scope] = request.number
        if not self._send(ip, request):
            del self._asks[request.number]
            del account.asked[scope]
            self._silent_until_s[ip] = now_s + SILENT_HOST_S
            self._advance(organisation, account, now_s)

    def _grant(self, wait: CreditWait, expires_s: float) -> None:
        wait.is_over = True
        wait.on_decision(QuotaDecision(expires_s))

    def _empty_refusal(
        self, account: QuotaAccount, scope: Scope, now_s: float
    ) -> QuotaRefusal | None:
        """Return a recent answer that a bucket is empty, or None."""
        refusal = account.refusals.get(scope)
        if refusal is None or not refusal.is_empty:
            return None
        return refusal if now_s < refusal.until_s + WAIT_FOR_GRANT_S else None

    def _refuse(self, wait: CreditWait, account: QuotaAccount, now_s: float) -> None:
        """Refuse a request, by the latest answer of the holder."""
        wait.is_over = True
        status, by, wait_s, refuser = 503, "no host could be asked", 0.0, "none"
        for scope in (Scope.FAILURE_DOMAIN, Scope.FLEET):
            refusal = self._empty_refusal(account, scope, now_s)
            if refusal is not None:
                refuser, by = scope.name.lower(), refusal.by
                wait_s = max(0.0, refusal.bucket_s - now_s)
                status = 429 if scope is Scope.FLEET else 503
        self._n_refused[refuser] += 1
        wait.on_decision(
            QuotaDecision(
                None,
                status,
                wait_s + self._rng.random() * RETRY_SPREAD_S,
                by,
                account.n_credits,
                now_s - account.granted_s,
            )
        )
