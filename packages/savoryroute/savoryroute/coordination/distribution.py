"""Distribution of the active documents to every daemon.

A few readers per failure domain watch the platform. What they find is flooded over
the overlay as differences, checked by digest. Heartbeats announce revisions, so that
a daemon that missed a difference can request it. A document is only ever replaced by
one of a higher platform revision.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs

from ..protocol.frames import DocumentFrame, DocumentRequest, Frame
from ..protocol.peer_network import PeerNetwork
from ..state.members import MemberTable
from ..transport.platform_client import PlatformReader, PlatformValue
from .document_store import (
    CODECS,
    HOSTS,
    PRODUCTION,
    TRIAL,
    DocumentCodec,
    DocumentStore,
    Outcome,
)
from .readers import ReaderRole
from .task_set import TaskSet

__all__ = ["Distribution"]

WATCH_TIMEOUT_S = 10.0
# The same after a failed watch, until one is answered. A longer one that is sent just
# before the platform is back would delay its changes.
PROBE_TIMEOUT_S = 0.1
# Seconds between the checks of a host that is not a reader whether it became one.
ROLE_CHECK_S = 2.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 8.0
# After this many seconds without contact to the platform, hosts that are not readers
# read too, at this rate for all hosts of a failure domain together.
FRESHNESS_LIMIT_S = 30.0
FALLBACK_READS_PER_S = 0.2
FETCH_TIMEOUT_S = 2.0
# Larger differences are only announced, and peers request them.
PUSH_BYTES_MAX = 8 * 1024
DIGEST_PREFIX_BYTES = 8
AGE_MAX_MS = 3_600_000
N_START_PEERS = 3
START_TIMEOUT_S = 3.0
START_FETCH_TIMEOUT_S = 10.0
START_POLL_INTERVAL_S = 0.05
POLLS_BETWEEN_REQUESTS = 4
START_READ_JITTER_S = 0.5
REFRESH_TIMEOUT_S = 1.5
TEXT_MAX = 64

DocumentHandler = Callable[[str, Any, int, dict[str, Any]], None]
AuditHandler = Callable[[str, str, str], None]


@attrs.define
class _Channel:
    """Distribution state of one document.

    Attributes:
        store: Store of the active document.
        read_revision: Latest revision read from the platform, valid or not.
        fresh_at_s: Time of the latest contact with the platform, by this daemon or
            by a peer.
        announced: Newer revision that each peer announced.
        refused: Highest revision from each peer that was refused.
        fetch: Task that requests newer revisions from peers, or None.
        answered: Set when a document frame arrives.
        wants_full: Whether the next request asks for the full document.
        backoff_s: Wait in seconds after the next failed read.
        is_watch_answered: Whether the platform answered the latest watch.
    """

    store: DocumentStore
    read_revision: int = 0
    fresh_at_s: float = 0.0
    announced: dict[str, int] = attrs.Factory(dict)
    refused: dict[str, int] = attrs.Factory(dict)
    fetch: asyncio.Task[None] | None = None
    answered: asyncio.Event = attrs.Factory(asyncio.Event)
    wants_full: bool = False
    backoff_s: float = BACKOFF_MIN_S
    is_watch_answered: bool = True


class Distribution:
    """Keeps the active documents up to date with the platform and with peers.

    Args:
        network: Links to peers.
        platform: Client for the platform.
        table: Members of the fleet; the platform's list is merged into it.
        host: Name of this host.
        failure_domain: Failure domain of this host.
        on_document: Called with the environment, document, revision and plain form
            of each document that becomes active.
        overlay_peers: Returns the overlay peers, to which differences are pushed.
        announce: Sends the next heartbeats, with revisions, at once.
        on_audit: Called with the subject, change and evidence of each audit entry.
        seeds: Addresses of peers to ask at start.
        codecs: Kinds of documents.
        rng: Random source for jitter and for the choice of peers.
    """

    def __init__(
        self,
        network: PeerNetwork,
        platform: PlatformReader,
        table: MemberTable,
        host: str,
        failure_domain: str,
        on_document: DocumentHandler,
        *,
        overlay_peers: Callable[[], list[str]] | None = None,
        announce: Callable[[], None] = lambda: None,
        on_audit: AuditHandler = lambda subject, change, evidence: None,
        seeds: Sequence[str] = (),
        codecs: Iterable[DocumentCodec] = CODECS,
        rng: random.Random | None = None,
    ) -> None:
        self._network = network
        self._platform = platform
        self._table = table
        self._host = host
        self._on_document = on_document
        self._overlay_peers = overlay_peers or (lambda: network.hosts)
        self._announce = announce
        self._on_audit = on_audit
        self._seeds = list(seeds)
        self._rng = rng or random.Random()
        self._role = ReaderRole(table, host, failure_domain)
        self._channels = {
            codec.environment: _Channel(DocumentStore(codec)) for codec in codecs
        }
        self._peer_revisions: dict[str, dict[str, int]] = {}
        self._seed_requests: list[asyncio.Task[None] | None] = []
        self._tasks = TaskSet()
        self._peers_asked = asyncio.Event()
        self._ready = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the documents may be acted upon."""
        return self._ready.is_set()

    @property
    def is_reader(self) -> bool:
        """Whether this host is a reader of the production document."""
        return self._role.is_reader(self._channels[PRODUCTION].store.codec.key)

    @property
    def history_bytes(self) -> int:
        """Size in bytes of the differences kept for peers with older documents."""
        return sum(item.store.history_bytes for item in self._channels.values())

    def revision(self, environment: str) -> int:
        """Return the active revision, 0 for none."""
        return self._channels[environment].store.revision

    def digest(self, environment: str) -> bytes:
        """Return the digest of the active document."""
        return self._channels[environment].store.digest

    def document(self, environment: str) -> Any:
        """Return the active document, or None."""
        return self._channels[environment].store.document

    def age_s(self, environment: str) -> float:
        """Return the seconds since the latest known contact with the platform."""
        return _now() - self._channels[environment].fresh_at_s

    def revisions(self) -> list[Any]:
        """Return the ``revisions`` field of a heartbeat.

        Each entry holds the environment, the revision, the first bytes of the digest,
        and the milliseconds since the latest known contact with the platform.
        """
        now_s = _now()
        found = []
        for environment, channel in self._channels.items():
            store = channel.store
            age_ms = min(round((now_s - channel.fresh_at_s) * 1000), AGE_MAX_MS)
            digest = store.digest[:DIGEST_PREFIX_BYTES]
            found.append([environment, store.revision, digest, age_ms])
        return found

    async def start(self) -> None:
        """Start all tasks; ``wait_ready`` waits until there is a document."""
        self._tasks.start()
        now_s = _now()
        for channel in self._channels.values():
            channel.fresh_at_s = now_s
            self._tasks.spawn(self._follow_platform(channel))
        self._tasks.spawn(self._become_ready())

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    async def wait_ready(self) -> None:
        """Wait until the documents may be acted upon."""
        await self._ready.wait()

    async def refresh(self) -> None:
        """Fetch newer documents from peers, after a pause of this process."""
        await self._ask_peers(1, REFRESH_TIMEOUT_S)

    async def handle_control(self, host: str, frame: Frame) -> bool:
        """Handle a control frame; return whether it was a document frame."""
        if isinstance(frame, DocumentRequest):
            await self._handle_request(host, frame)
            return True
        if isinstance(frame, DocumentFrame):
            self._handle_document(host, frame)
            return True
        return False

    def note_revisions(self, host: str, revisions: list[Any]) -> None:
        """Process the ``revisions`` field of a peer's heartbeat."""
        for values in revisions[: 2 * len(self._channels)]:
            if not _is_revision(values):
                continue
            environment, revision, digest, age_ms = values
            channel = self._channels.get(environment)
            if channel is None:
                continue
            fresh_at_s = _now() - age_ms / 1000
            channel.fresh_at_s = max(channel.fresh_at_s, fresh_at_s)
            self._note_announced(channel, host, revision)
            self._check_conflict(channel, host, revision, digest)

    def _note_announced(self, channel: _Channel, host: str, revision: int) -> None:
        """Record the revision that a peer has, and fetch it if it is newer."""
        if revision <= channel.store.revision:
            channel.announced.pop(host, None)
            return
        if channel.refused.get(host, 0) >= revision:
            return
        channel.announced[host] = revision
        if channel.fetch is None:
            channel.fetch = self._tasks.spawn(self._fetch(channel))

    def _check_conflict(
        self, channel: _Channel, host: str, revision: int, digest: bytes
    ) -> None:
        """Audit a peer that has different content under the same revision."""
        store = channel.store
        own_digest = store.digest[:DIGEST_PREFIX_BYTES]
        if revision and revision == store.revision and digest != own_digest:
            change = f"revision {revision} differs at {host}; local one kept"
            self._audit(channel, change, "digest")

    async def _handle_request(self, host: str, frame: DocumentRequest) -> None:
        """Answer a peer that requests newer documents."""
        channel = self._channels.get(frame.environment)
        if channel is None:
            return
        store = channel.store
        if frame.whole and store.revision > frame.have_revision:
            await self._network.send(host, store.full_frame())
            return
        for answer in store.frames_since(frame.have_revision):
            await self._network.send(host, answer)

    def _handle_document(self, host: str, frame: DocumentFrame) -> None:
        """Merge a full document, a difference, or an answer with only a revision."""
        channel = self._channels.get(frame.environment)
        if channel is None:
            return
        self._peer_revisions.setdefault(frame.environment, {})[host] = frame.revision
        if frame.payload:
            outcome = channel.store.offer_frame(frame, host)
            self._follow_up(channel, host, frame, outcome)
        elif frame.revision > channel.store.revision:
            self._note_announced(channel, host, frame.revision)
        channel.answered.set()

    def _follow_up(
        self, channel: _Channel, host: str, frame: DocumentFrame, outcome: Outcome
    ) -> None:
        """Act on the outcome of an offered frame."""
        if outcome is Outcome.APPLIED:
            channel.wants_full = False
            channel.announced.pop(host, None)
            self._activate(channel, f"peer {host}", host)
        elif outcome is Outcome.BASE_UNKNOWN:
            channel.wants_full = channel.fetch is not None
            self._note_announced(channel, host, frame.revision)
        elif outcome is Outcome.DIGEST_MISMATCH and frame.base_revision:
            channel.wants_full = True
            self._note_announced(channel, host, frame.revision)
        elif outcome is Outcome.CONFLICT:
            change = f"revision {frame.revision} differs at {host}; local one kept"
            self._audit(channel, change, "digest")
        elif outcome in (Outcome.INVALID, Outcome.DIGEST_MISMATCH):
            self._refuse(channel, host, frame.revision, outcome)

    def _refuse(
        self, channel: _Channel, host: str, revision: int, outcome: Outcome
    ) -> None:
        """Stop requesting a revision from a peer that sent it in unusable form."""
        channel.refused[host] = max(channel.refused.get(host, 0), revision)
        channel.announced.pop(host, None)
        evidence = str(channel.store.error) if outcome is Outcome.INVALID else ""
        change = f"revision {revision} of {host} refused: {outcome}"
        self._audit(channel, change, evidence)

    async def _fetch(self, channel: _Channel) -> None:
        """Fetch from announcing peers, highest revision first, until up to date."""
        before = channel.store.revision
        try:
            while channel.announced:
                host = max(channel.announced, key=channel.announced.__getitem__)
                wanted = channel.announced[host]
                if wanted <= channel.store.revision:
                    del channel.announced[host]
                elif not await self._fetch_from(channel, host):
                    channel.announced.pop(host, None)
        finally:
            channel.fetch = None
        if channel.store.revision > before:
            self._announce()

    async def _fetch_from(self, channel: _Channel, host: str) -> bool:
        """Request from one peer; return whether to go on with it.

        That is the case if a newer revision became active, or if the full document
        has to be requested.
        """
        store = channel.store
        before = store.revision
        is_full, channel.wants_full = channel.wants_full, False
        request = DocumentRequest(store.codec.environment, before, is_full)
        channel.answered.clear()
        if not await self._network.send(host, request):
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FETCH_TIMEOUT_S):
                await channel.answered.wait()
        return store.revision > before or channel.wants_full

    def _activate(self, channel: _Channel, evidence: str, source: str = "") -> None:
        """Announce a document that became active, to handlers and overlay peers."""
        store = channel.store
        environment = store.codec.environment
        self._audit(channel, f"revision {store.revision} in force", evidence)
        if environment == HOSTS:
            self._table.merge_list(store.document)
        self._on_document(environment, store.document, store.revision, store.plain)
        if channel.fetch is None:
            self._push(store, source)

    def _push(self, store: DocumentStore, source: str) -> None:
        """Push the latest difference, or only announce the revision if it is large."""
        difference = store.latest_difference
        if difference is None or len(difference.payload) > PUSH_BYTES_MAX:
            self._announce()
            return
        for host in self._overlay_peers():
            if host != source:
                self._tasks.spawn(self._network.send(host, difference))

    async def _follow_platform(self, channel: _Channel) -> None:
        """Watch the platform while this host is a reader, until cancelled.

        Starts after peers were asked, since a daemon that knows no other member would
        consider itself a reader.
        """
        await self._peers_asked.wait()
        while True:
            if self._role.is_reader(channel.store.codec.key):
                await self._watch_once(channel)
                continue
            await asyncio.sleep(self._jittered(ROLE_CHECK_S))
            if self._is_fallback_due(channel):
                await self._read_once(channel)

    def _is_fallback_due(self, channel: _Channel) -> bool:
        """Return whether to read although this host is not a reader.

        All hosts of a failure domain together read at ``FALLBACK_READS_PER_S``,
        regardless of their number.
        """
        if _now() - channel.fresh_at_s < FRESHNESS_LIMIT_S:
            return False
        share = ROLE_CHECK_S * FALLBACK_READS_PER_S / self._role.n_candidates
        return self._rng.random() < share

    async def _watch_once(self, channel: _Channel) -> None:
        """Watch once, and back off if the platform does not answer."""
        after = max(channel.read_revision, channel.store.revision)
        key = channel.store.codec.key
        wait_s = WATCH_TIMEOUT_S if channel.is_watch_answered else PROBE_TIMEOUT_S
        result = await self._platform.watch(key, after, wait_s)
        channel.is_watch_answered = result.is_ok()
        if result.is_err():
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * channel.backoff_s)
            channel.backoff_s = min(2 * channel.backoff_s, BACKOFF_MAX_S)
            return
        await self._merge_read(channel, result.ok_value)

    async def _read_once(self, channel: _Channel) -> None:
        """Read once, and ignore a failed read."""
        result = await self._platform.read(channel.store.codec.key)
        if result.is_ok():
            await self._merge_read(channel, result.ok_value)

    async def _merge_read(self, channel: _Channel, value: PlatformValue | None) -> None:
        """Merge a value read from the platform."""
        channel.backoff_s = BACKOFF_MIN_S
        channel.fresh_at_s = _now()
        if value is None or value.revision <= channel.read_revision:
            return
        channel.read_revision = value.revision
        outcome = await channel.store.offer_published(value.text, value.revision)
        if outcome is Outcome.APPLIED:
            self._activate(channel, "platform")
        elif outcome is Outcome.INVALID:
            change = f"revision {value.revision} of the platform skipped"
            self._audit(channel, change, str(channel.store.error))

    async def _become_ready(self) -> None:
        """Ask peers and the platform, then become ready with the highest revision."""
        reads = [
            self._tasks.spawn(self._read_at_start(channel))
            for channel in self._channels.values()
        ]
        await self._ask_peers(N_START_PEERS, START_TIMEOUT_S)
        self._peers_asked.set()
        for read in reads:
            if read is not None:
                await read
        while not self._has_document():
            await asyncio.sleep(START_POLL_INTERVAL_S)
        self._ready.set()

    def _has_document(self) -> bool:
        """Return whether a production or a trial document is active."""
        return any(self._channels[name].store.revision for name in (PRODUCTION, TRIAL))

    async def _read_at_start(self, channel: _Channel) -> None:
        """Read the platform once, after a random delay that spreads the load."""
        await asyncio.sleep(self._rng.uniform(0, START_READ_JITTER_S))
        await self._read_once(channel)

    async def _ask_peers(self, n_wanted: int, timeout_s: float) -> None:
        """Ask peers until ``n_wanted`` of those that have a document answered.

        Stops asking as soon as all known peers answered, and after ``timeout_s``
        seconds at the latest. Then waits until the newer documents are fetched from
        them.
        """
        self._peer_revisions.clear()
        asked: set[str] = set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                self._ask_seeds()
                while not self._has_answers(asked, n_wanted):
                    self._ask_more(asked, n_wanted)
                    await self._wait_for_answers(asked, n_wanted)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_FETCH_TIMEOUT_S):
                while any(channel.fetch for channel in self._channels.values()):
                    await asyncio.sleep(START_POLL_INTERVAL_S)

    async def _wait_for_answers(self, asked: set[str], n_wanted: int) -> None:
        """Wait for answers, until there are enough or it is time to ask more peers."""
        for _ in range(POLLS_BETWEEN_REQUESTS):
            await asyncio.sleep(START_POLL_INTERVAL_S)
            if self._has_answers(asked, n_wanted):
                return

    def _ask_seeds(self) -> None:
        """Request newer documents from the seeds."""
        self._seed_requests = [
            self._tasks.spawn(self._ask(seed)) for seed in self._seeds
        ]

    def _ask_more(self, asked: set[str], n_wanted: int) -> None:
        """Ask up to ``n_wanted`` more members and add their hosts to ``asked``."""
        others = [
            member
            for member in self._table.usable()
            if member.host not in asked and member.host != self._host
        ]
        for member in self._rng.sample(others, min(n_wanted, len(others))):
            asked.add(member.host)
            self._tasks.spawn(self._ask(member.peers_address))

    async def _ask(self, peers_address: str) -> None:
        """Request everything newer than the active documents from one peer."""
        result = await self._network.connect(peers_address)
        if result.is_err():
            return
        host = result.ok_value.host
        for environment, channel in self._channels.items():
            have = channel.store.revision
            request = DocumentRequest(environment, have, False)
            await self._network.send(host, request)

    def _has_answers(self, asked: set[str], n_wanted: int) -> bool:
        """Return whether enough peers reported their production revision."""
        answers = self._peer_revisions.get(PRODUCTION, {})
        n_with_document = sum(1 for revision in answers.values() if revision)
        if n_with_document >= n_wanted:
            return True
        others = {member.host for member in self._table.usable()} - {self._host}
        if others:
            return others <= answers.keys()
        is_list_known = bool(self._channels[HOSTS].store.revision)
        are_seeds_asked = all(ask is None or ask.done() for ask in self._seed_requests)
        return is_list_known and are_seeds_asked

    def _audit(self, channel: _Channel, change: str, evidence: str) -> None:
        """Record a change of a document in the audit trail."""
        self._on_audit(channel.store.codec.environment, change, evidence)

    def _jittered(self, interval_s: float) -> float:
        """Return an interval with jitter."""
        return interval_s * self._rng.uniform(0.75, 1.25)


def _is_revision(values: Any) -> bool:
    """Return whether values from a peer are a valid entry of ``revisions``."""
    if type(values) is not list or len(values) != 4:
        return False
    environment, revision, digest, age_ms = values
    if type(environment) is not str or type(digest) is not bytes:
        return False
    if type(revision) is not int or type(age_ms) is not int:
        return False
    return revision >= 0 and 0 <= age_ms <= AGE_MAX_MS


def _now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()
