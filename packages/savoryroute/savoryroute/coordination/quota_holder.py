"""Token buckets of the organisations that this host holds, and its authority to grant.

Load pattern: the callers of one organisation send many times their usual load at all
hosts. The bound on what is admitted over all hosts has to hold by construction, also
in a partition and while holders change.

Source: token bucket as in Turner, New Directions in Communications (1986); the reserves
split a bound in advance as in the escrow method of O'Neil (1986).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable

import attrs

from ..protocol.quota_frames import Scope
from ..state.organisations import Organisation
from .quota_ring import QuotaRing

__all__ = ["CREDIT_LIFETIME_S", "Grant", "QuotaBounds", "QuotaHolder"]

# Seconds after the request for it at which a credit expires.
CREDIT_LIFETIME_S = 0.5
# Age in seconds of the proof of the configuration up to which this host grants.
PROOF_AGE_MAX_S = 3.0
# The same for a reserve, which serves a failure domain that is partitioned. It ends
# before another host can be the reserve: the entry of a silent host is dropped after
# 4.5 s, and the next one waits for 3 s.
RESERVE_PROOF_AGE_MAX_S = 5.5
# Least credits that a bucket can hold, and the same in seconds of its rate, taken from
# what the reserves would get. With fewer, irregular requests below the quota are
# refused, and a first hop that has most of the demand cannot ask often enough.
BUCKET_CREDITS_MIN = 8.0
BUCKET_MIN_S = 0.1
# Seconds for which a full bucket is kept after its last use. A bucket that is dropped
# counts as empty when the ring last changed.
FULL_BUCKET_KEPT_S = 10.0
# Longest wait in seconds that a refusal states.
WAIT_MAX_S = 60.0


@attrs.frozen
class Grant:
    """Answer to a request for credits.

    Attributes:
        n: Number of credits granted.
        is_holder: Whether this host holds the bucket and may grant.
        wait_s: Seconds until the bucket has a further credit; 0 if all were granted.
    """

    n: int
    is_holder: bool
    wait_s: float = 0.0


_NOT_HOLDER = Grant(0, False)


@attrs.frozen
class _Limit:
    rate_per_s: float
    burst: float


@attrs.frozen
class QuotaBounds:
    """Terms of the bound on quotas, the same at all hosts.

    Attributes:
        window_s: Length in seconds of the windows in which a quota is bounded.
        overage: Fraction by which it may be exceeded in a window.
        slack: Requests by which it may be exceeded besides.
    """

    window_s: float
    overage: float
    slack: float

    def fleet_limit(self, organisation: Organisation) -> _Limit:
        """Return rate and burst of the bucket of the holder."""
        rate_per_s = organisation.rate_per_s
        least = max(BUCKET_CREDITS_MIN, rate_per_s * BUCKET_MIN_S)
        least = max(1.0, min(least, self._spare(organisation) / 2))
        return _Limit(rate_per_s, max(organisation.burst, least))

    def reserve_limit(self, organisation: Organisation, n_domains: int) -> _Limit:
        """Return rate and burst of the reserve of a failure domain.

        Args:
            organisation: The organisation.
            n_domains: Number of failure domains, each of which has a reserve.
        """
        extra_burst = self.fleet_limit(organisation).burst - organisation.burst
        part = (self._spare(organisation) - extra_burst) / max(1, n_domains)
        if part < 1.0:
            return _Limit(0.0, 0.0)
        burst = max(1.0, part / 2)
        return _Limit((part - burst) / (self.window_s + CREDIT_LIFETIME_S), burst)

    def _spare(self, organisation: Organisation) -> float:
        """Return by how many credits a window may exceed what the holder grants.

        Credits that were granted shortly before a window can be used in it.
        """
        rate_per_s = organisation.rate_per_s
        in_window = rate_per_s * self.window_s + organisation.burst
        return self.overage * in_window + self.slack - rate_per_s * CREDIT_LIFETIME_S


@attrs.define
class _Bucket:
    tokens: float
    filled_s: float
    used_s: float

    def refill(self, limit: _Limit, now_s: float) -> None:
        added = limit.rate_per_s * (now_s - self.filled_s)
        self.tokens = min(limit.burst, self.tokens + added)
        self.filled_s = now_s


class QuotaHolder:
    """Grants credits of the buckets that the local host holds.

    Args:
        ip: Address of the local host.
        ring: Ring of the hosts.
        bounds: Terms of the bound on quotas.
        find: Returns an organisation of the active configuration by its name.
        proof_age_s: Returns the age of the proof of the configuration in seconds,
            infinity without one.
        is_leaving: Returns whether the local host is leaving.
        revocation_s: Seconds after which no host may use an older configuration, None
            without such a bound.
        clock: Clock in seconds that counts suspensions.
    """

    def __init__(
        self,
        ip: str,
        ring: QuotaRing,
        bounds: QuotaBounds,
        find: Callable[[str], Organisation | None],
        proof_age_s: Callable[[], float],
        is_leaving: Callable[[], bool],
        revocation_s: float | None,
        clock: Callable[[], float],
    ) -> None:
        self._ip = ip
        self._ring = ring
        self._bounds = bounds
        self._find = find
        self._proof_age_s = proof_age_s
        self._is_leaving = is_leaving
        fleet_max_s = PROOF_AGE_MAX_S
        if revocation_s is not None:
            fleet_max_s = min(fleet_max_s, 0.6 * revocation_s)
        self._proof_age_max_s = {
            Scope.FLEET: fleet_max_s,
            Scope.FAILURE_DOMAIN: RESERVE_PROOF_AGE_MAX_S,
        }
        self._clock = clock
        self._buckets: dict[tuple[Scope, str], _Bucket] = {}
        self._proved_s = -math.inf
        self._n_granted: Counter[str] = Counter()

    @property
    def n_buckets(self) -> int:
        """Number of buckets in memory."""
        return len(self._buckets)

    @property
    def n_granted(self) -> dict[str, float]:
        """Credits granted so far, by the name of the scope."""
        return dict(self._n_granted)

    def grant(self, scope: Scope, name: str, n: int) -> Grant:
        """Return the answer to a request for credits, taken from the bucket.

        Args:
            scope: Whether the bucket of the fleet or the reserve is asked.
            name: Name of the organisation.
            n: Number of credits asked for.
        """
        now_s = self.check()
        organisation = self._find(name)
        if organisation is None or organisation.rate_per_s is None:
            return _NOT_HOLDER
        if not self._may_grant(scope, name, now_s):
            return _NOT_HOLDER
        limit = self._limit(scope, organisation)
        bucket = self._bucket(scope, name, limit, now_s)
        bucket.used_s = now_s
        n_granted = min(n, math.floor(bucket.tokens + 1e-9))
        bucket.tokens -= n_granted
        self._n_granted[scope.name.lower()] += n_granted
        if n_granted == n:
            return Grant(n, True)
        wait_s = WAIT_MAX_S
        if limit.rate_per_s > 0.0:
            wait_s = min(WAIT_MAX_S, (1.0 - bucket.tokens) / limit.rate_per_s)
        return Grant(n_granted, True, wait_s)

    def check(self) -> float:
        """Check the age of the proof; called often enough to notice a lapse.

        Returns:
            The time.
        """
        now_s = self._clock()
        is_lapsed = now_s - self._proved_s > RESERVE_PROOF_AGE_MAX_S
        if is_lapsed and self._proved_s != -math.inf:
            # This host may have been off the list without learning of it, and
            # another one may have held its buckets.
            self._ring.restart_handover()
            self._buckets.clear()
        age_s = self._proof_age_s()
        if age_s != math.inf:
            # Stays valid for a newer configuration that has no proof of its own yet.
            self._proved_s = max(self._proved_s, now_s - age_s)
        return now_s

    def keep_held(self) -> None:
        """Drop the buckets that another host holds now, so that they start empty."""
        for key in list(self._buckets):
            if self._ring.holder(*key) != self._ip:
                del self._buckets[key]

    def sweep(self) -> None:
        """Drop buckets that are full and unused, or of no organisation any more."""
        now_s = self.check()
        self.keep_held()
        for (scope, name), bucket in list(self._buckets.items()):
            if now_s - bucket.used_s < FULL_BUCKET_KEPT_S:
                continue
            organisation = self._find(name)
            if organisation is not None and organisation.rate_per_s is not None:
                limit = self._limit(scope, organisation)
                bucket.refill(limit, now_s)
                filled = self._filled(scope, limit, now_s)
                if bucket.tokens < limit.burst or filled < limit.burst:
                    continue
            del self._buckets[scope, name]

    def _may_grant(self, scope: Scope, name: str, now_s: float) -> bool:
        """Return whether this host alone holds a bucket now."""
        return (
            now_s - self._proved_s < self._proof_age_max_s[scope]
            and not self._is_leaving()
            and now_s >= self._ring.entitled_s
            and self._ring.holder(scope, name) == self._ip
        )

    def _limit(self, scope: Scope, organisation: Organisation) -> _Limit:
        if scope is Scope.FLEET:
            return self._bounds.fleet_limit(organisation)
        return self._bounds.reserve_limit(organisation, self._ring.n_domains)

    def _bucket(self, scope: Scope, name: str, limit: _Limit, now_s: float) -> _Bucket:
        """Return a bucket, filled up to now."""
        bucket = self._buckets.get((scope, name))
        if bucket is None:
            tokens = self._filled(scope, limit, now_s)
            bucket = self._buckets[scope, name] = _Bucket(tokens, now_s, now_s)
        bucket.refill(limit, now_s)
        return bucket

    def _filled(self, scope: Scope, limit: _Limit, now_s: float) -> float:
        """Return the tokens of a bucket that was empty when this host got it."""
        empty_s = max(self._ring.changed_s(scope), self._ring.entitled_s)
        return min(limit.burst, limit.rate_per_s * max(0.0, now_s - empty_s))
