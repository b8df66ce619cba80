"""Shares of organisations in a call queue and in what a first hop admits.

Load pattern: the callers of one organisation send many times their usual load, or
repeat refused requests at once. In order of arrival, the organisation that sends most
gets most of the capacity, and the others lose as large a part of their requests as it
does.

Sources: start-time fair queueing (Goyal, Vin and Cheng, 1996), with several calls in
service as in SFQ(D) (Jin, Chase and Kaur, Interposed Proportional Sharing for a Storage
Service Utility, 2004); max-min fairness (Bertsekas and Gallager, Data Networks, 1992);
refusal with a probability by the estimated rate of each flow as in core-stateless fair
queueing (Stoica, Shenker and Zhang, 1998).
"""

from __future__ import annotations

import bisect
from collections import deque
from collections.abc import Callable

import attrs

from .service_rate import RecentCount
from .switches import switchable

__all__ = ["MaxMinShares", "StartTags", "Tag"]

# Share of an organisation's requests that is served at least, over the share of all.
# Equal shares alone give the largest organisation a fifth of that of all if it usually
# sends 30% of the load and the load is 1.8 times the capacity.
SERVED_FLOOR = 0.25
# Factor on the work of a call of an organisation that is served less than that.
FLOOR_CHARGE = 0.125
# Least work of a call in seconds, so that each call advances its organisation's tags.
WORK_MIN_S = 1e-6
# Seconds between removals of organisations without effect on later decisions.
SWEEP_INTERVAL_S = 1.0
# Requests by which the level is found. With fewer, the admitted total varies more; with
# more, a hop with 10 requests a second follows a change too slowly.
N_SAMPLES = 32
# Decayed number of requests below which an organisation counts as silent: 4 s after its
# last request. Its next request counts as 1 in any case.
COUNT_MIN = 0.02


@attrs.define(eq=False, slots=True)
class _Flow:
    """Tags of one organisation in one rank.

    Attributes:
        started_finish_s: Finish tag of the last call that was started.
        finish_s: Finish tag of the last call, started or waiting.
        has_gap: Whether a waiting call was removed since the calls were tagged.
        n_offered: Calls offered in about the last second.
        n_started: Those that were started.
        n_waiting: Calls that wait.
    """

    n_offered: RecentCount
    n_started: RecentCount
    n_waiting: int = 0
    started_finish_s: float = 0.0
    finish_s: float = 0.0
    has_gap: bool = False


@attrs.define(eq=False, slots=True)
class _RankTags:
    rank: float
    n_offered: RecentCount
    n_started: RecentCount
    virtual_s: float = 0.0
    n_waiting: int = 0
    flows: dict[str, _Flow] = attrs.field(factory=dict)


@attrs.define(eq=False, slots=True)
class Tag:
    """Start tag of one call.

    Attributes:
        start_s: Start tag; calls of one rank start in this order.
    """

    start_s: float
    _rank_tags: _RankTags
    _flow: _Flow
    _virtual_s: float
    _work_s: float


class StartTags:
    """Start tags of the waiting calls of one upstream, by rank and organisation.

    Virtual time of a rank is the start tag of its call that was started last. Once no
    call of a rank waits, all its tags are dropped, which is the end of a busy period in
    the published algorithm. Among organisations that always have calls waiting in a
    rank, the work started differs by at most the largest call of each.

    An organisation whose calls start less than a quarter as often as all of its rank is
    charged for less work, as with a larger weight in the published algorithm.

    A call that is refused while it waits gets no capacity. Its organisation's later
    calls are tagged as if it had not arrived, else an organisation that sends too much
    would get less than its share.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._ranks: dict[float, _RankTags] = {}
        self._swept_s = clock()
        self._gaps: list[_Flow] = []

    @property
    def n_organisations(self) -> int:
        """Organisations with state, counted in each rank."""
        return sum(len(tags.flows) for tags in self._ranks.values())

    @property
    def has_gaps(self) -> bool:
        """Whether calls were removed and ``retag`` is due."""
        return bool(self._gaps)

    def n_waiting(self, rank: float, organisation: str) -> int:
        """Return the waiting calls of an organisation in a rank."""
        tags = self._ranks.get(rank)
        flow = None if tags is None else tags.flows.get(organisation)
        return 0 if flow is None else flow.n_waiting

    def next_tag(self, rank: float, organisation: str, work_s: float) -> Tag:
        """Return the tag of a call that is offered now and may have to wait.

        Args:
            rank: Rank of the call.
            organisation: Name of its organisation, or an empty string.
            work_s: Usual service time of such calls in seconds.
        """
        now_s = self._clock()
        tags = self._ranks.get(rank)
        if tags is None:
            tags = self._ranks[rank] = _RankTags(
                rank, RecentCount(now_s), RecentCount(now_s)
            )
        flow = tags.flows.get(organisation)
        if flow is None:
            flow = tags.flows[organisation] = _Flow(
                RecentCount(now_s), RecentCount(now_s)
            )
        tags.n_offered.add(now_s)
        flow.n_offered.add(now_s)
        if _is_below_floor(flow, tags, now_s):
            work_s *= FLOOR_CHARGE
        virtual_s = tags.virtual_s
        start_s = max(virtual_s, flow.finish_s)
        return Tag(start_s, tags, flow, virtual_s, max(WORK_MIN_S, work_s))

    def add(self, tag: Tag) -> None:
        """Count a call that waits from now on."""
        tag._rank_tags.n_waiting += 1
        tag._flow.n_waiting += 1
        tag._flow.finish_s = tag.start_s + tag._work_s

    def start(self, tag: Tag) -> None:
        """Count a waiting call as started."""
        now_s = self._clock()
        tags, flow = tag._rank_tags, tag._flow
        tags.n_started.add(now_s)
        flow.n_started.add(now_s)
        tags.virtual_s = max(tags.virtual_s, tag.start_s)
        flow.started_finish_s = tag.start_s + tag._work_s
        self._close(tag)

    def remove(self, tag: Tag) -> None:
        """Take back a waiting call that does not start."""
        flow = tag._flow
        if not flow.has_gap:
            flow.has_gap = True
            self._gaps.append(flow)
        self._close(tag)

    def retag(self, waiting: list[Tag]) -> None:
        """Close the gaps that removed calls have left.

        Args:
            waiting: Tags of the waiting calls, in their order.
        """
        for flow in self._gaps:
            flow.finish_s = flow.started_finish_s
        for tag in waiting:
            flow = tag._flow
            if flow.has_gap:
                tag.start_s = max(tag._virtual_s, flow.finish_s)
                flow.finish_s = tag.start_s + tag._work_s
        for flow in self._gaps:
            flow.has_gap = False
        self._gaps.clear()

    def sweep(self) -> None:
        """Drop state that has no effect on later tags."""
        now_s = self._clock()
        if now_s - self._swept_s < SWEEP_INTERVAL_S:
            return
        self._swept_s = now_s
        for tags in list(self._ranks.values()):
            if not tags.n_waiting:
                del self._ranks[tags.rank]
                continue
            # A finish tag in the past gives the same start tag as none.
            tags.flows = {
                name: flow
                for name, flow in tags.flows.items()
                if flow.n_waiting or flow.finish_s > tags.virtual_s
            }

    def _close(self, tag: Tag) -> None:
        """End the wait of one call."""
        tags = tag._rank_tags
        tag._flow.n_waiting -= 1
        tags.n_waiting -= 1
        if not tags.n_waiting:
            self._ranks.pop(tags.rank, None)


def _is_below_floor(flow: _Flow, tags: _RankTags, now_s: float) -> bool:
    """Return whether an organisation's calls start too seldom, compared with all."""
    n_expected = flow.n_offered.value(now_s) * tags.n_started.value(now_s)
    n_floor = SERVED_FLOOR * n_expected / tags.n_offered.value(now_s)
    # One call less is no sign with few calls.
    return flow.n_started.value(now_s) + 1.0 < n_floor


@switchable("fair_shares", "organisations are not told apart when load is refused")
class MaxMinShares:
    """Shares of one route's requests that a first hop admits, by organisation.

    Each organisation is admitted up to a common level of requests in the last second. A
    first hop sees 10 to 40 requests a second of many organisations, so most counts are
    0 or 1 and the level cannot be computed from them without a bias. Instead, each
    request counts itself, and the level is the one at which the last ``N_SAMPLES``
    requests, with the counts that they had on arrival, would have been admitted in the
    share that is asked for. So the admitted total is right whatever the error of the
    counts, and organisations with one request in the last second are refused last.

    Args:
        clock: Monotonic clock in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._counts: dict[str, RecentCount] = {}
        self._recent: deque[float] = deque()
        self._sorted: list[float] = []
        self._swept_s = clock()

    @property
    def n_organisations(self) -> int:
        """Organisations with state."""
        return len(self._counts)

    def note_request(self, organisation: str) -> float:
        """Count a request; return the requests of the organisation in about 1 s."""
        now_s = self._clock()
        if now_s - self._swept_s >= SWEEP_INTERVAL_S:
            self._sweep(now_s)
        count = self._counts.get(organisation)
        if count is None:
            count = self._counts[organisation] = RecentCount(now_s)
        count.add(now_s)
        n_requests = count.value(now_s)
        self._recent.append(n_requests)
        bisect.insort(self._sorted, n_requests)
        if len(self._recent) > N_SAMPLES:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
        return n_requests

    def share_for(self, n_requests: float, admitted_share: float) -> float:
        """Return the share that is admitted of an organisation's requests.

        Args:
            n_requests: Its requests in the last second.
            admitted_share: Share of all requests that is admitted.
        """
        share = min(1.0, self._level(admitted_share) / n_requests)
        return max(share, SERVED_FLOOR * admitted_share)

    def share_of(self, organisation: str, admitted_share: float) -> float:
        """Return the share that is admitted of an organisation's requests."""
        count = self._counts.get(organisation)
        n_requests = 0.0 if count is None else count.value(self._clock())
        return self.share_for(max(1.0, n_requests), admitted_share)

    def _level(self, admitted_share: float) -> float:
        """Return the level at which the recent requests have the admitted share."""
        counts = self._sorted
        n_left = admitted_share * len(counts)
        floor = admitted_share * SERVED_FLOOR
        inverse_sum = sum(1.0 / n_requests for n_requests in counts)
        # Requests before ``low`` are admitted, those from ``high`` on in the least
        # share, those between in the share of the level over their count.
        low, high = 0, len(counts)
        while counts[low] * inverse_sum < n_left:
            n_left -= 1.0
            inverse_sum -= 1.0 / counts[low]
            low += 1
            if low == high:
                return counts[-1]
        level = n_left / inverse_sum
        while high - low > 1 and level < floor * counts[high - 1]:
            high -= 1
            n_left -= floor
            inverse_sum -= 1.0 / counts[high]
            level = n_left / inverse_sum
            while low and level < counts[low - 1]:
                low -= 1
                n_left += 1.0
                inverse_sum += 1.0 / counts[low]
                level = n_left / inverse_sum
        return level

    def _sweep(self, now_s: float) -> None:
        """Forget the organisations that are silent."""
        self._swept_s = now_s
        self._counts = {
            name: count
            for name, count in self._counts.items()
            if count.value(now_s) >= COUNT_MIN
        }
