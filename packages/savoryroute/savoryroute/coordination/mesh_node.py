"""One daemon on a platform: construction of its parts, start and graceful stop."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

from ..protocol.header_names import HeaderNames
from ..protocol.mesh_frames import (
    FrameKind,
    Leaving,
    MeshCall,
    ViewRequest,
    ViewUpdate,
)
from ..state.body_budget import SMALL_BODY_BYTES, BodyBudget
from ..state.event_log import EventLog
from ..state.fleet_view import FleetView, Instance
from ..state.mesh_settings import MeshSettings
from ..state.metrics import Metrics
from ..state.organisations import Organisations
from ..state.process_memory import resident_bytes
from ..state.quarantine import Quarantine
from ..state.revision import era_of, revision_in_era
from ..state.route_table import CallerLimits, RouteTable
from ..transport.caller_exchange import Exchange
from ..transport.frame_link import FrameLink, FrameLinkServer
from ..transport.http_client import HttpPool
from ..transport.http_server import CallersListener
from .call_queue import CallQueue
from .configuration_proof import ConfigurationProof, boot_time_s, proof_limit_s
from .crash_reports import CrashReports
from .first_hop import FirstHop
from .instance_selector import InstanceSelector
from .load_reports import LoadReports
from .local_upstream import LocalUpstream
from .organisation_counters import OrganisationCounters
from .peer_calls import PeerCalls
from .peer_links import PeerLinks
from .peer_polls import LINKS_MIN, PeerPolls
from .quotas import Quotas
from .repeat_admission import RepeatAdmission
from .repeat_budget import RepeatBudget, slack_part
from .request_records import RequestRecords
from .switches import MECHANISMS, Switches
from .throttle import ActionThrottle
from .upstream_health import UpstreamHealth
from .upstream_reports import slots_to_fill
from .view_synchronizer import RouteDecoder, ViewSynchronizer

__all__ = ["MeshNode"]

# Peers to which each host forwards what it learns. About one in a hundred connected
# hosts then gets it only with the next poll.
FORWARD_FANOUT = 4
# Peers to which each host shows the version of new routes. The frames are short, and
# all but one in four hundred connected hosts get one.
REQUEST_FANOUT = 6
# Seconds between checks for timeouts, silent links and idle connections.
SWEEP_INTERVAL_S = 0.05
SLOTS_DEFAULT = 16
CRASHES_MAX = 3
QUARANTINE_S = 30.0
# Seconds after a stop signal in which callers can still connect, while they learn of
# the stop and turn to other hosts.
LEAVE_LISTEN_S = 2.6
# Seconds after a stop signal in which the upstream still gets calls that no other
# instance can take. They end before callers cannot connect any more.
LEAVE_SERVE_S = 2.4
# While leaving, idle connections of callers are closed after this time in seconds.
LEAVE_IDLE_S = 0.3
# Share of the memory that request bodies may take up, and as much for the bodies of
# answers that the local upstream is sending. While a body is copied or sent,
# up to three times as much is in use.
BODIES_MEMORY_SHARE = 0.15
# Share of the memory that frames may take up which are partly received from peers, or
# which peers have not read.
FRAMES_MEMORY_SHARE = 0.1
# Margin in seconds before the end of the grace period, when the process is killed.
LEAVE_MARGIN_S = 0.4
# Requests for readiness and metrics have no body.
OPERATORS_LIMITS = CallerLimits(body_bytes_max=SMALL_BODY_BYTES)
QUOTA_FRAMES = (
    FrameKind.QUOTA_REQUEST,
    FrameKind.QUOTA_GRANT,
    FrameKind.QUOTA_RELEASE,
)


class MeshNode:
    """One daemon beside one upstream, on a platform.

    Args:
        settings: Listening addresses and limits.
        names: Header names of the platform.
        decode_routes: Decodes the published routes.
        log: Event log.
        ready_path: Path of the readiness check.
    """

    def __init__(
        self,
        settings: MeshSettings,
        names: HeaderNames,
        decode_routes: RouteDecoder,
        log: EventLog,
        ready_path: bytes,
    ) -> None:
        self._settings = settings
        self._log = log
        self._ready_path = ready_path
        self._rng = random.Random()
        self._is_leaving = False
        self._was_listed = False
        self._local_start: tuple[str, int] | None = None
        # Start of the upstream beside which this host has released its quotas.
        self._released_start: tuple[str, int] | None = None
        self._accepted_links: set[FrameLink] = set()
        self._quarantine = Quarantine(time.monotonic, CRASHES_MAX, QUARANTINE_S)
        self._crash_reports = CrashReports(
            self._quarantine, log, self._broadcast, self._forward
        )
        switches = Switches(frozenset(settings.switched_off))
        self._queue = CallQueue(SLOTS_DEFAULT, time.monotonic, switches)
        self._answer_bodies = BodyBudget(
            int(settings.memory_bytes * BODIES_MEMORY_SHARE)
        )
        self._pool = HttpPool(
            settings.upstream.ip,
            settings.upstream.port,
            names.request_id,
            self._answer_bodies,
        )
        self._repeat_budget = RepeatBudget(settings.retry_ratio, time.monotonic)
        self._repeats = RepeatAdmission(
            self._repeat_budget,
            names.id_separator,
            time.monotonic,
            self._rng,
            switches,
        )
        self._upstream = LocalUpstream(
            settings.service,
            self._pool,
            self._queue,
            names,
            UpstreamHealth(
                settings.service,
                self._pool,
                self._quarantine,
                log,
                self._crash_reports.report,
            ),
            self._quarantine,
            self._repeats,
            log,
            switches,
            settings.callers.ip,
        )
        self._bodies = BodyBudget(int(settings.memory_bytes * BODIES_MEMORY_SHARE))
        self._peer_calls = PeerCalls(self._upstream, self._bodies, self._answer_bodies)
        self._synchronizer = ViewSynchronizer(
            decode_routes,
            log,
            self._rng,
            self._on_view,
            self._forward_view,
            ConfigurationProof(log, self._rng, proof_limit_s(settings.revocation_s)),
        )
        self._polls = PeerPolls(self._rng, lambda: self._synchronizer.is_disconnected)
        self._selector = InstanceSelector(
            settings.callers.ip,
            settings.failure_domain,
            self._rng,
            time.monotonic,
            switches,
        )
        self._frames = BodyBudget(int(settings.memory_bytes * FRAMES_MEMORY_SHARE))
        self._links = PeerLinks(
            settings.links.port,
            log,
            self._on_control_frame,
            self._answer_bodies,
            self._frames,
        )
        self._metrics = Metrics(self._gauges)
        self._organisations: Organisations | None = None
        self._organisation_counters = OrganisationCounters()
        self._quotas = Quotas(
            settings,
            lambda: self._synchronizer.table,
            lambda: self._synchronizer.proof_age_s,
            lambda: self._is_leaving,
            self._send_frame,
            self._links.is_suspect,
            lambda delay_s, call: asyncio.get_running_loop().call_later(delay_s, call),
            log,
            self._rng,
            boot_time_s,
        )

        def table() -> RouteTable | None:
            return self._synchronizer.table

        def proof_age_s() -> float:
            return self._synchronizer.proof_age_s

        throttle = ActionThrottle(time.monotonic, self._rng, switches)
        self._load_reports = LoadReports(
            self._upstream, throttle, log, time.monotonic, SWEEP_INTERVAL_S
        )
        self._first_hop = FirstHop(
            settings.service,
            settings.callers.ip,
            names,
            table,
            self._synchronizer.view,
            self._selector,
            self._links,
            self._upstream,
            throttle,
            self._quarantine,
            RequestRecords(
                log,
                self._metrics,
                table,
                self._synchronizer.view,
                self._organisation_counters,
                proof_age_s,
            ),
            self._rng,
            proof_age_s,
            settings.revocation_s,
            self._quotas,
            self._answer_bodies,
            switches,
        )
        self._callers = CallersListener(
            self._first_hop.handle,
            self._limits,
            self._on_bad_request,
            self._bodies,
            self._answer_bodies,
        )
        self._readiness, self._metrics_listener = (
            CallersListener(
                serve,
                lambda: OPERATORS_LIMITS,
                self._on_bad_request,
                self._bodies,
                self._answer_bodies,
            )
            for serve in (self._serve_readiness, self._serve_metrics)
        )
        self._link_server = FrameLinkServer(self._make_link)
        self._sweeper: asyncio.Task | None = None

    @property
    def synchronizer(self) -> ViewSynchronizer:
        """Routes and instances; the platform adapter feeds their changes in."""
        return self._synchronizer

    @property
    def is_ready(self) -> bool:
        """Whether the host accepts callers."""
        return not self._is_leaving and self._synchronizer.table is not None

    async def start(self) -> None:
        """Open all ports and start the periodic checks.

        Raises:
            OSError: A port cannot be listened on; none is then.
        """
        settings = self._settings
        try:
            await self._link_server.start(settings.links.ip, settings.links.port)
            await self._callers.start(settings.callers.ip, settings.callers.port)
            await self._readiness.start(settings.readiness.ip, settings.readiness.port)
            if settings.metrics.port:
                await self._metrics_listener.start(
                    settings.metrics.ip, settings.metrics.port
                )
        except OSError:
            self._stop_listening()
            raise
        self._sweeper = asyncio.create_task(self._sweep())
        self._log.change(
            "started",
            service=settings.service,
            switched_off=sorted(settings.switched_off),
        )

    async def stop(self) -> None:
        """Stop gracefully: finish the requests that were read, then close."""
        started_s = time.monotonic()
        self._log.change("leaving", n_open=self._callers.n_open)
        self._is_leaving = True
        self._callers.is_leaving = True
        serves_s = 0.0 if self._upstream.is_leaving else LEAVE_SERVE_S
        self._upstream.is_last_resort = True
        own = self._synchronizer.view.instance_at(self._settings.callers.ip)
        if own is not None:
            self._selector.note_leaving(own, serves_s)
        for link in self._accepted_links:
            link.send(Leaving(int(serves_s * 1000)).to_frame())
        latest_s = started_s + self._settings.grace_s - LEAVE_MARGIN_S
        while time.monotonic() < latest_s:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            passed_s = time.monotonic() - started_s
            if passed_s >= serves_s and not self._upstream.is_leaving:
                self._upstream.leave()
            if passed_s < LEAVE_LISTEN_S:
                continue
            # A request accepted later could be aborted at the end of the grace period.
            self._callers.stop_listening()
            self._callers.sweep(LEAVE_IDLE_S)
            if passed_s >= LEAVE_LISTEN_S + LEAVE_IDLE_S:
                # What is read from now on was long on its way, such as a slow upload.
                self._first_hop.stop_at(latest_s)
            if not self._n_unfinished():
                break
        self._log.change(
            "stopped",
            seconds=round(time.monotonic() - started_s, 3),
            n_cut=self._n_unfinished(),
        )
        await self.close()

    def _n_unfinished(self) -> int:
        """Return how many requests and answers the end of the process would cut off."""
        n_links = sum(link.has_unwritten for link in self._accepted_links)
        n_answers = self._callers.n_busy + self._peer_calls.n_sending
        return n_answers + self._upstream.n_open + n_links

    async def close(self) -> None:
        """Stop at once; requests in flight are aborted."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self._stop_listening()
        for listener in (self._callers, self._readiness, self._metrics_listener):
            listener.sweep(0.0)
        await asyncio.sleep(0)
        self._links.close()
        self._pool.close()
        self._log.flush()

    def _stop_listening(self) -> None:
        """Accept no further connections on any port."""
        for listener in (self._callers, self._readiness, self._metrics_listener):
            listener.stop_listening()
        self._link_server.close()

    async def _sweep(self) -> None:
        """Check timeouts, links and connections until the task is cancelled."""
        n_ticks = 0
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            n_ticks += 1
            steps: list[Callable[[], object]] = [
                self._load_reports.sample,
                self._upstream.sweep,
                self._peer_calls.sweep,
                self._links.sweep,
                self._quotas.check,
                self._log.flush,
                self._synchronizer.ask_peer_ahead,
                self._poll_peers,
            ]
            if n_ticks % 20 == 0:
                steps.append(self._quotas.sweep)
            if n_ticks % 5 == 0:
                steps += [
                    self._callers.sweep,
                    self._readiness.sweep,
                    self._metrics_listener.sweep,
                    self._synchronizer.expire,
                ]
            for step in steps:
                try:
                    step()
                except Exception as error:
                    # One failing check must not end the others, for good.
                    self._log.request("check_failed", "", error=repr(error)[:200])

    def _poll_peers(self) -> None:
        """Request from peers what is newer than here, when a poll is due."""
        synchronizer = self._synchronizer
        if not self._polls.is_due():
            return
        connections = self._open_connections()
        others: list[str] = []
        if len(connections) < LINKS_MIN:
            known = {item.ip for item in synchronizer.view.instances.values()}
            known.update(seed.ip for seed in self._settings.seeds)
            others = sorted(known - connections.keys() - {self._settings.callers.ip})
        for ip in self._polls.select([*connections], others):
            if ip in connections:
                connections[ip].send(synchronizer.make_request().to_frame())
                connections[ip].send(self._crash_reports.make_request())
            else:
                self._links.dial(ip)

    def _forward_view(self, message: ViewUpdate | ViewRequest, origin: str) -> None:
        """Send an update or a request to some random peers other than its origin."""
        is_request = isinstance(message, ViewRequest)
        fanout = REQUEST_FANOUT if is_request else FORWARD_FANOUT
        self._forward(message.to_frame(), origin, fanout)

    def _forward(
        self, frame: list[Any], origin: str, fanout: int = FORWARD_FANOUT
    ) -> None:
        """Send a frame to some random peers other than its origin."""
        connections = self._open_connections()
        ips = sorted(connections.keys() - {origin})
        for ip in self._rng.sample(ips, min(len(ips), fanout)):
            connections[ip].send(frame)

    def _broadcast(self, frame: list[Any]) -> None:
        """Send a frame to all linked peers."""
        for connection in self._open_connections().values():
            connection.send(frame)

    def _open_connections(self) -> dict[str, FrameLink]:
        """Return an open connection to each linked peer, opened by either side."""
        accepted = {link.peer_ip: link for link in self._accepted_links if link.is_open}
        return self._links.open_connections | accepted

    def _send_frame(self, ip: str, frame: list[Any]) -> bool:
        """Send a frame to a host on any open link, or on a new one."""
        for link in self._accepted_links:
            if link.peer_ip == ip and link.is_open:
                link.send(frame)
                return True
        return self._links.send_frame(ip, frame)

    def _limits(self) -> CallerLimits:
        table = self._synchronizer.table
        return CallerLimits() if table is None else table.limits

    def _on_view(self) -> None:
        """Apply a change of routes or instances to the parts of this daemon."""
        settings = self._settings
        view: FleetView = self._synchronizer.view
        ips = {instance.ip for instance in view.instances.values()}
        self._refuse_dropped_organisations()
        self._quotas.update_hosts(view.instances.values())
        self._links.keep_only(ips)
        self._selector.keep_only(view.instances)
        local = view.instance_at(settings.callers.ip)
        if local is not None and local.service != settings.service:
            local = None
        if local is not None:
            self._was_listed = True
            self._queue.slots = slots_to_fill(local.slots)
            start = (local.id, local.started_ms)
            if start != self._local_start:
                self._local_start = start
                self._upstream.note_start()
        self._repeat_budget.set_slack(self._slack_part(local))
        if local is not None and not local.is_ready:
            self._release_quotas(local)
        is_taking = local.is_ready if local is not None else not self._was_listed
        if is_taking != self._upstream.is_leaving:
            return
        if is_taking and self._is_leaving:
            return
        if is_taking:
            self._upstream.is_leaving = False
        else:
            self._upstream.leave()
        self._log.change("own_upstream", is_taking_calls=is_taking)

    def _release_quotas(self, instance: Instance) -> None:
        """Hand the quotas that this host holds over to others, once an upstream."""
        if self._released_start == self._local_start:
            return
        self._released_start = self._local_start
        frame = self._quotas.release(instance)
        if frame is not None:
            self._broadcast(frame)

    def _refuse_dropped_organisations(self) -> None:
        """Refuse waiting requests of organisations that the configuration dropped."""
        table = self._synchronizer.table
        former = self._organisations
        current = self._organisations = None if table is None else table.organisations
        if former is None or current is None or current is former:
            return
        self._organisation_counters.keep_only(current.names)
        dropped = former.names - current.names
        if not dropped:
            return
        self._log.change("organisations_dropped", n_organisations=len(dropped))
        routes = [route for routes in table.routes.values() for route in routes]
        public = {route.name for route in routes if route.is_public}

        def is_dropped(call: MeshCall) -> bool:
            return call.organisation in dropped and call.route not in public

        self._first_hop.refuse_waiting(dropped)
        self._upstream.refuse_waiting(is_dropped)

    def _slack_part(self, local: Instance | None) -> int:
        """Return the part of the retry budget's slack for the local upstream."""
        if local is None:
            return 0
        instances = self._synchronizer.view.instances.values()
        ids = sorted(item.id for item in instances if item.service == local.service)
        return slack_part(self._settings.retry_slack, ids.index(local.id), len(ids))

    def _on_bad_request(self, status: int, detail: str) -> None:
        self._log.request("bad_request", "", status=status, detail=detail)

    def _serve_readiness(self, exchange: Exchange) -> None:
        if exchange.request.target != self._ready_path:
            exchange.respond(404, b"", b"")
        else:
            exchange.respond(200 if self.is_ready else 503, b"", b"")

    def _serve_metrics(self, exchange: Exchange) -> None:
        body, headers = self._metrics.render("text/plain")
        head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        exchange.respond(200, head.encode(), body)

    def _gauges(self) -> dict[str, float | dict[str, float]]:
        synchronizer = self._synchronizer
        gauges: dict[str, float | dict[str, float]] = {
            "calls_running": self._queue.n_running,
            "calls_waiting": self._queue.n_waiting,
            "offered_load": self._upstream.offered_load,
            "loop_delay_seconds": self._load_reports.loop_delay_s,
            "calls_returned": self._queue.n_returned,
            "slots": self._queue.slots,
            "upstream_work_time": self._queue.times.factor,
            "upstream_runs": self._upstream.n_runs,
            "upstream_rate_limit": self._queue.rate_limit.per_s or 0.0,
            "upstream_connections_opened": self._pool.n_opened,
            "repeats_admitted": self._repeats.n_admitted,
            "repeats_turned_away": self._repeats.n_refused,
            "repeats_left": {self._settings.service: self._repeats.left},
            "body_bytes_held": self._bodies.held_bytes,
            "bodies_refused": self._bodies.n_refused,
            "answer_bytes_held": self._answer_bodies.held_bytes,
            "answers_refused": self._answer_bodies.n_refused,
            "frame_bytes_held": self._frames.held_bytes,
            "links_cut_for_memory": self._frames.n_refused,
            "resident_bytes": resident_bytes(),
            "links_open": len(self._links.open_connections),
            "routes_version": synchronizer.version,
            "routes_defects": 0
            if synchronizer.table is None
            else len(synchronizer.table.defects),
            "list_revision": revision_in_era(synchronizer.view.revision),
            "platform_era": era_of(synchronizer.view.revision),
            "instances": len(synchronizer.view.instances),
            "platform_heard": int(synchronizer.is_platform_reachable),
            "platform_answer_age_seconds": synchronizer.calls.answer_ages_s,
            "configuration_proof_age_seconds": synchronizer.proof.gauge_s,
            "log_lines_left_out": self._log.n_left_out,
            "switched_off": {
                str(name): int(name in self._settings.switched_off)
                for name in MECHANISMS
            },
        }
        gauges.update(self._first_hop.gauges())
        gauges.update(self._organisation_counters.gauges())
        gauges.update(self._quotas.gauges())
        return gauges

    # Links that peers opened.

    def _make_link(self) -> FrameLink:
        return FrameLink(
            self._on_frame, self._on_link_lost, self._on_bad_frame, self._frames
        )

    def _on_frame(self, link: FrameLink, frame: list[Any]) -> None:
        if frame[0] == FrameKind.PING:
            link.send([FrameKind.PONG.value])
            return
        self._accepted_links.add(link)
        if not self._peer_calls.on_frame(link, frame):
            self._on_control_frame(link.peer_ip, link, frame)

    def _on_link_lost(self, link: FrameLink) -> None:
        self._accepted_links.discard(link)
        self._peer_calls.on_lost(link)

    def _on_bad_frame(self, detail: str) -> None:
        self._log.change("peer_sent_bad_frame", detail=detail)

    def _on_control_frame(self, ip: str, link: FrameLink, frame: list[Any]) -> None:
        """Handle a frame that is not about calls."""
        kind = frame[0]
        if kind == FrameKind.VIEW_REQUEST:
            request = ViewRequest.from_frame(frame)
            self._synchronizer.note_request(ip, request, link.send)
            update = self._synchronizer.update_for(request)
            if update is not None:
                link.send(update.to_frame())
        elif kind == FrameKind.VIEW_UPDATE:
            if not self._synchronizer.merge_update(ip, ViewUpdate.from_frame(frame)):
                link.send(self._synchronizer.make_request().to_frame())
        elif kind == FrameKind.SUSPECTS:
            self._crash_reports.merge(frame[1], ip)
        elif kind == FrameKind.SUSPECTS_REQUEST:
            reports = self._crash_reports.answer_to(frame[1])
            if reports is not None:
                link.send(reports)
        elif kind in QUOTA_FRAMES:
            self._quotas.on_frame(ip, frame, link.send)
        elif kind == FrameKind.LEAVING:
            self._note_leaving(ip, Leaving.from_frame(frame))

    def _note_leaving(self, ip: str, leaving: Leaving) -> None:
        """Prefer other hosts to a leaving one, and send it no calls for a while."""
        serves_s = leaving.serves_ms / 1000
        self._log.change("peer_leaving", peer=ip, serves_s=serves_s)
        for instance in self._synchronizer.view.instances.values():
            if instance.ip == ip:
                self._selector.note_leaving(instance, serves_s)
