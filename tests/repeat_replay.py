"""Replay of callers, first hops and the upstreams of two services, in virtual time.

Callers send requests to a service whose upstreams shed a share of them. Runs of it may
make calls to a second service, which no caller calls. Admission of repeats is that of
the product, one for each upstream; repeats are counted when they reach an upstream.
"""

from __future__ import annotations

import itertools
import random

import attrs

from savoryroute.coordination.repeat_admission import RepeatAdmission, reserved_share
from savoryroute.coordination.repeat_budget import RepeatBudget, slack_part
from savoryroute.protocol.mesh_frames import AttemptKind, MeshCall

from .retry_rule_count import fullest_window, worst_window
from .virtual_time import VirtualTime

__all__ = ["RepeatReplay"]

RATIO = 0.2
ARRIVALS_MAX = 6
PLACEMENTS_MAX = 3
ANSWER_S = 0.004
CALL_S = 0.02


class _Upstream:
    """Upstream of one service with the admission of the daemon beside it."""

    def __init__(self, replay: RepeatReplay, service: str, number: int) -> None:
        self._replay = replay
        self.service = service
        self.number = number
        self.is_up = True
        self.start()

    def start(self) -> None:
        """Start the daemon anew, without what it knew."""
        clock = self._replay.time.now_s
        rng = random.Random(self.number)
        self.budget = RepeatBudget(RATIO, clock)
        self.repeats = RepeatAdmission(self.budget, b".", clock, rng)


@attrs.define(eq=False)
class _Request:
    """Request of a caller, or call of a run."""

    id: bytes
    service: str
    kind: AttemptKind
    rank: int
    parent: _Request | None = None
    maker: _Upstream | None = None
    n_arrivals: int = 0
    n_placements: int = 0
    n_done: int = 0
    n_calls_left: int = 0


class RepeatReplay:
    """Two services, of which the first is called by callers.

    Args:
        n_upstreams: Upstreams of each service.
        slack: Repeats that a service may get beyond the ratio in a window.
        seed: Seed of arrivals and sheds.
        shed_share: Share of the arrivals that are shed during the fault.
        n_calls: Calls to the second service that each run of the first makes.
        ranks: Priorities of the callers' requests, drawn with equal probability.
    """

    def __init__(
        self,
        n_upstreams: int,
        slack: float,
        seed: int,
        shed_share: float = 0.7,
        n_calls: int = 0,
        ranks: tuple[int, ...] = (0,),
    ) -> None:
        self.time = VirtualTime()
        self.rng = random.Random(seed)
        self._slack = slack
        self._n_calls = n_calls
        self._ranks = ranks
        self._ids = itertools.count()
        self._shed_share = shed_share
        self.fault_s = (0.0, float("inf"))
        # Share of the requests that goes to the first tenth of the upstreams.
        self.skew = 0.0
        self.requests_s: dict[str, list[float]] = {"front": [], "back": []}
        self.repeats_s: dict[str, list[float]] = {"front": [], "back": []}
        self.n_runs = 0
        self.n_failed_runs = 0
        self.upstreams: dict[str, list[_Upstream]] = {"front": [], "back": []}
        for service in self.upstreams:
            for _ in range(n_upstreams):
                self.add_upstream(service)

    def add_upstream(self, service: str) -> None:
        """Add an upstream; all daemons learn of it at once."""
        upstreams = self.upstreams[service]
        upstreams.append(_Upstream(self, service, len(upstreams)))
        self.share_slack(service)

    def share_slack(self, service: str) -> None:
        """Give each daemon its part of the slack."""
        listed = [item for item in self.upstreams[service] if item.is_up]
        for index, upstream in enumerate(listed):
            upstream.budget.set_slack(slack_part(self._slack, index, len(listed)))

    def restart(self, upstream: _Upstream) -> None:
        """Restart the daemon beside an upstream."""
        upstream.start()
        self.share_slack(upstream.service)

    def restart_in_turn(self, from_s: float, gap_s: float) -> None:
        """Restart the daemons of the first service one after the other."""
        for number, upstream in enumerate(self.upstreams["front"]):
            at_s = from_s + number * gap_s
            self.time.at(at_s, lambda upstream=upstream: self.restart(upstream))

    def stop(self, upstream: _Upstream) -> None:
        """Take an upstream out of the list."""
        upstream.is_up = False
        self.share_slack(upstream.service)

    def arrive(self, per_s: float, from_s: float, to_s: float) -> RepeatReplay:
        """Let callers send requests in a span of time."""
        at_s = from_s
        while (at_s := at_s + self.rng.expovariate(per_s)) < to_s:
            self.time.at(at_s, self._enter)
        return self

    def play(self) -> RepeatReplay:
        """Replay everything until all requests have ended."""
        self.time.run()
        return self

    def worst(self, service: str) -> tuple[int, float]:
        """Return repeats and allowed repeats of the worst window of a service."""
        return worst_window(
            self.requests_s[service], self.repeats_s[service], RATIO, self._slack
        )

    def fullest(self, service: str) -> float:
        """Return the largest share of the allowed repeats that a window holds."""
        return fullest_window(
            self.requests_s[service], self.repeats_s[service], RATIO, self._slack
        )

    def _enter(self) -> None:
        request = _Request(
            b"%x" % next(self._ids),
            "front",
            AttemptKind.OF_CALLER,
            self.rng.choice(self._ranks),
        )
        self.requests_s["front"].append(self.time.now_s())
        self._place(request)

    def _place(self, request: _Request) -> None:
        """Send an attempt to a random upstream."""
        upstreams = [item for item in self.upstreams[request.service] if item.is_up]
        if self.rng.random() < self.skew:
            upstreams = upstreams[: max(1, len(upstreams) // 10)]
        if not upstreams:
            return
        upstream = self.rng.choice(upstreams)
        request.n_placements += 1
        call = _call(request)
        if not upstream.repeats.may_start(call) or not upstream.repeats.try_start(call):
            if request.n_placements < PLACEMENTS_MAX:
                self._place(request)
            else:
                self._end(request, upstream, False)
            return
        now_s = self.time.now_s()
        request.n_arrivals += 1
        if call.is_repeat:
            self.repeats_s[request.service].append(now_s)
        began_s, ended_s = self.fault_s
        is_shed = (
            request.service == "front"
            and began_s <= now_s < ended_s
            and self.rng.random() < self._shed_share
        )
        if is_shed:
            self.time.after(
                ANSWER_S, lambda: self._on_shed(request, upstream, call, now_s)
            )
            return
        self.time.after(CALL_S, lambda: self._on_run(request, upstream, call, now_s))

    def _on_shed(
        self, request: _Request, upstream: _Upstream, call: MeshCall, sent_s: float
    ) -> None:
        upstream.repeats.note_request(call, sent_s)
        share = upstream.repeats.share_left("r")
        request.kind = AttemptKind.RETRY
        if request.n_arrivals < ARRIVALS_MAX and share > reserved_share(_call(request)):
            self._place(request)
        else:
            self._end(request, upstream, False)

    def _on_run(
        self, request: _Request, upstream: _Upstream, call: MeshCall, sent_s: float
    ) -> None:
        """Make the calls of a run one after the other."""
        upstream.repeats.note_request(call, sent_s)
        if request.service == "front" and self._n_calls:
            request.n_calls_left = self._n_calls
            self._call_back(request, upstream)
        else:
            self._end(request, upstream, True)

    def _call_back(self, run: _Request, maker: _Upstream) -> None:
        run.n_calls_left -= 1
        id_ = b"%b.%d" % (run.id, run.n_calls_left)
        kind = maker.repeats.first_attempt_of(id_)
        self._place(_Request(id_, "back", kind, run.rank, run, maker))

    def _end(self, request: _Request, upstream: _Upstream, is_served: bool) -> None:
        """End a request; a run goes on with its next call after a served one."""
        run = request.parent
        if run is None:
            return
        share = upstream.repeats.share_left("r")
        request.maker.repeats.note_downstream("r", request.service, share)
        run.n_done += is_served
        if is_served and run.n_calls_left:
            self._call_back(run, request.maker)
        elif run.kind is AttemptKind.RETRY:
            self.n_runs += 1
            self.n_failed_runs += not is_served
            if not is_served:
                request.maker.repeats.note_refused_call("r")


def _call(request: _Request) -> MeshCall:
    """Return the frame of an attempt, as far as admission reads it."""
    n_done = 0 if request.parent is None else request.parent.n_done
    return MeshCall(
        id=0,
        service=request.service,
        instance="",
        route="r",
        rank=request.rank,
        queue_timeout_ms=0,
        time_left_ms=0,
        is_idempotent=True,
        is_head=False,
        kind=request.kind,
        n_done=n_done,
        request_id=request.id,
        fingerprint=b"",
        head=b"",
        body_bytes=0,
    )
