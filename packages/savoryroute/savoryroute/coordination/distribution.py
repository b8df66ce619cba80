"""How the document in force reaches every daemon.

A few readers per failure domain watch the platform. What they find floods over
the overlay as differences, checked by digest. Heartbeats announce revisions, so
that whoever missed a difference asks for it. A document is replaced by one of a
higher platform revision only.
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

WATCH_S = 10.0
ROLE_CHECK_S = 2.0
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 8.0
FRESHNESS_LIMIT_S = 30.0
FALLBACK_READS_PER_S = 0.2
FETCH_TIMEOUT_S = 2.0
PUSH_BYTES_MAX = 8 * 1024
DIGEST_PREFIX_BYTES = 8
AGE_MAX_MS = 3_600_000
START_PEERS = 3
START_LIMIT_S = 3.0
START_FETCH_LIMIT_S = 10.0
START_STEP_S = 0.05
STEPS_BETWEEN_ASKS = 4
START_READ_JITTER_S = 0.5
CONFIRM_LIMIT_S = 1.5
TEXT_MAX = 64

DocumentHandler = Callable[[str, Any, int, dict[str, Any]], None]
AuditHandler = Callable[[str, str, str], None]


@attrs.define
class _Channel:
    """One document with what is known of it elsewhere.

    Attributes:
        store: The document in force.
        seen_revision: Latest revision read, valid or not.
        fresh_at_s: Time of the latest contact with the platform, here or at
            others.
        announced: Revision that each peer has.
        refused: Revision that each peer offered in vain.
        fetch: Task that asks peers for newer revisions.
        answered: Set when a frame arrives.
        backoff_s: Wait after the next failed read.
    """

    store: DocumentStore
    seen_revision: int = 0
    fresh_at_s: float = 0.0
    announced: dict[str, int] = attrs.Factory(dict)
    refused: dict[str, int] = attrs.Factory(dict)
    fetch: asyncio.Task[None] | None = None
    answered: asyncio.Event = attrs.Factory(asyncio.Event)
    wants_full: bool = False
    backoff_s: float = BACKOFF_MIN_S


class Distribution:
    """Keeps the documents in force up to date with platform and peers.

    Args:
        network: Links to peers.
        platform: The platform as this host reaches it.
        table: Members; the platform's list is merged into it.
        host: Name of this host.
        failure_domain: Failure domain of this host.
        on_document: Called with environment, document, revision and plain form of
            each document that comes into force.
        neighbours: Returns the hosts to push differences to.
        announce: Makes the next heartbeats, with revisions, go out now.
        on_audit: Called with subject, change and evidence.
        seeds: Addresses of peers to ask at start.
        codecs: Kinds of documents.
        rng: Source of jitter.
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
        neighbours: Callable[[], list[str]] | None = None,
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
        self._neighbours = neighbours or (lambda: network.hosts)
        self._announce = announce
        self._on_audit = on_audit
        self._seeds = list(seeds)
        self._rng = rng or random.Random()
        self._role = ReaderRole(table, host, failure_domain)
        self._channels = {
            codec.environment: _Channel(DocumentStore(codec)) for codec in codecs
        }
        self._answers: dict[str, dict[str, int]] = {}
        self._seed_asks: list[asyncio.Task[None] | None] = []
        self._tasks = TaskSet()
        self._asked = asyncio.Event()
        self._ready = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Whether the production document may be acted upon."""
        return self._ready.is_set()

    @property
    def is_reader(self) -> bool:
        """Whether this host is to read the production document."""
        return self._role.is_reader(self._channels[PRODUCTION].store.codec.key)

    @property
    def history_bytes(self) -> int:
        """Bytes of the differences kept for peers with older documents."""
        return sum(item.store.history_bytes for item in self._channels.values())

    def revision(self, environment: str) -> int:
        """Return the revision in force, 0 for none."""
        return self._channels[environment].store.revision

    def digest(self, environment: str) -> bytes:
        """Return the digest of the document in force."""
        return self._channels[environment].store.digest

    def document(self, environment: str) -> Any:
        """Return the document in force, or None."""
        return self._channels[environment].store.document

    def age_s(self, environment: str) -> float:
        """Return the seconds since the latest known contact with the platform."""
        return _now() - self._channels[environment].fresh_at_s

    def revisions(self) -> list[Any]:
        """Return ``revisions`` of a heartbeat.

        Each is environment, revision, first bytes of the digest, and milliseconds
        since the latest known contact with the platform.
        """
        now = _now()
        found = []
        for environment, channel in self._channels.items():
            store = channel.store
            age_ms = min(round((now - channel.fresh_at_s) * 1000), AGE_MAX_MS)
            digest = store.digest[:DIGEST_PREFIX_BYTES]
            found.append([environment, store.revision, digest, age_ms])
        return found

    async def start(self) -> None:
        """Start all tasks; ``wait_ready`` tells when there is a document."""
        self._tasks.start()
        now = _now()
        for channel in self._channels.values():
            channel.fresh_at_s = now
            self._tasks.spawn(self._follow_platform(channel))
        self._tasks.spawn(self._become_ready())

    async def stop(self) -> None:
        """Stop all tasks."""
        await self._tasks.stop()

    async def wait_ready(self) -> None:
        """Wait until the production document may be acted upon."""
        await self._ready.wait()

    async def refresh(self) -> None:
        """Ask peers whether there is a newer document, after a pause."""
        await self._ask_peers(1, CONFIRM_LIMIT_S)

    async def handle_control(self, host: str, frame: Frame) -> bool:
        """Handle a control frame; return whether it was about documents."""
        if isinstance(frame, DocumentRequest):
            await self._handle_request(host, frame)
            return True
        if isinstance(frame, DocumentFrame):
            self._handle_document(host, frame)
            return True
        return False

    def note_revisions(self, host: str, revisions: list[Any]) -> None:
        """Note the ``revisions`` of a peer's heartbeat."""
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
        """Ask a peer that has a newer revision."""
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
        """Audit a peer that has other content under the same revision."""
        store = channel.store
        own_digest = store.digest[:DIGEST_PREFIX_BYTES]
        if revision and revision == store.revision and digest != own_digest:
            change = f"revision {revision} differs at {host}; own one kept"
            self._audit(channel, change, "digest")

    async def _handle_request(self, host: str, frame: DocumentRequest) -> None:
        """Answer a peer that asks for something newer."""
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
        """Merge a document, difference or answer without news."""
        channel = self._channels.get(frame.environment)
        if channel is None:
            return
        self._answers.setdefault(frame.environment, {})[host] = frame.revision
        if frame.payload:
            outcome = channel.store.offer_frame(frame, host)
            self._follow_up(channel, host, frame, outcome)
        elif frame.revision > channel.store.revision:
            self._note_announced(channel, host, frame.revision)
        channel.answered.set()

    def _follow_up(
        self, channel: _Channel, host: str, frame: DocumentFrame, outcome: Outcome
    ) -> None:
        """Act on what became of an offered frame."""
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
            change = f"revision {frame.revision} differs at {host}; own one kept"
            self._audit(channel, change, "digest")
        elif outcome in (Outcome.INVALID, Outcome.DIGEST_MISMATCH):
            self._refuse(channel, host, frame.revision, outcome)

    def _refuse(
        self, channel: _Channel, host: str, revision: int, outcome: Outcome
    ) -> None:
        """Ask a peer no more for a revision that it could not give."""
        channel.refused[host] = max(channel.refused.get(host, 0), revision)
        channel.announced.pop(host, None)
        evidence = str(channel.store.error) if outcome is Outcome.INVALID else ""
        change = f"revision {revision} of {host} refused: {outcome}"
        self._audit(channel, change, evidence)

    async def _fetch(self, channel: _Channel) -> None:
        """Ask announcing peers, highest first, until none has anything newer."""
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
        """Ask one peer; return whether anything came of it."""
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
        """Tell of a document that came into force, here and to neighbours."""
        store = channel.store
        environment = store.codec.environment
        self._audit(channel, f"revision {store.revision} in force", evidence)
        if environment == HOSTS:
            self._table.merge_list(store.document)
        self._on_document(environment, store.document, store.revision, store.plain)
        if channel.fetch is None:
            self._push(store, source)

    def _push(self, store: DocumentStore, source: str) -> None:
        """Push the latest difference, or announce it where it is large."""
        step = store.latest_difference
        if step is None or len(step.payload) > PUSH_BYTES_MAX:
            self._announce()
            return
        for host in self._neighbours():
            if host != source:
                self._tasks.spawn(self._network.send(host, step))

    async def _follow_platform(self, channel: _Channel) -> None:
        """Watch the platform while this host is a reader, for ever.

        Begins when peers were asked, since a daemon that knows of no others would
        take itself for a reader.
        """
        await self._asked.wait()
        while True:
            if self._role.is_reader(channel.store.codec.key):
                await self._watch_once(channel)
                continue
            await asyncio.sleep(self._jittered(ROLE_CHECK_S))
            if self._is_fallback_due(channel):
                await self._read_once(channel)

    def _is_fallback_due(self, channel: _Channel) -> bool:
        """Return whether to read although others should.

        All hosts of a failure domain together read at ``FALLBACK_READS_PER_S``,
        whatever their number.
        """
        if _now() - channel.fresh_at_s < FRESHNESS_LIMIT_S:
            return False
        share = ROLE_CHECK_S * FALLBACK_READS_PER_S / self._role.n_candidates
        return self._rng.random() < share

    async def _watch_once(self, channel: _Channel) -> None:
        """Watch once; back off if the platform does not answer."""
        after = max(channel.seen_revision, channel.store.revision)
        key = channel.store.codec.key
        result = await self._platform.watch(key, after, WATCH_S)
        if result.is_err():
            await asyncio.sleep(self._rng.uniform(0.5, 1.0) * channel.backoff_s)
            channel.backoff_s = min(2 * channel.backoff_s, BACKOFF_MAX_S)
            return
        await self._merge_read(channel, result.ok_value)

    async def _read_once(self, channel: _Channel) -> None:
        """Read once; a platform that does not answer changes nothing."""
        result = await self._platform.read(channel.store.codec.key)
        if result.is_ok():
            await self._merge_read(channel, result.ok_value)

    async def _merge_read(self, channel: _Channel, value: PlatformValue | None) -> None:
        """Merge what the platform answered."""
        channel.backoff_s = BACKOFF_MIN_S
        channel.fresh_at_s = _now()
        if value is None or value.revision <= channel.seen_revision:
            return
        channel.seen_revision = value.revision
        outcome = await channel.store.offer_published(value.text, value.revision)
        if outcome is Outcome.APPLIED:
            self._activate(channel, "platform")
        elif outcome is Outcome.INVALID:
            change = f"revision {value.revision} of the platform skipped"
            self._audit(channel, change, str(channel.store.error))

    async def _become_ready(self) -> None:
        """Ask peers and platform, then be ready with the highest document."""
        reads = [
            self._tasks.spawn(self._read_at_start(channel))
            for channel in self._channels.values()
        ]
        await self._ask_peers(START_PEERS, START_LIMIT_S)
        self._asked.set()
        for read in reads:
            if read is not None:
                await read
        while not self._has_document():
            await asyncio.sleep(START_STEP_S)
        self._ready.set()

    def _has_document(self) -> bool:
        """Return whether a production or a trial document is in force."""
        return any(self._channels[name].store.revision for name in (PRODUCTION, TRIAL))

    async def _read_at_start(self, channel: _Channel) -> None:
        """Read the platform once, spread over a short time."""
        await asyncio.sleep(self._rng.uniform(0, START_READ_JITTER_S))
        await self._read_once(channel)

    async def _ask_peers(self, n_wanted: int, limit_s: float) -> None:
        """Ask peers until ``n_wanted`` that have a document told of theirs.

        Stops to ask early when all known peers answered, late after ``limit_s``
        seconds. Then waits for the newer documents that they have.
        """
        self._answers.clear()
        asked: set[str] = set()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                self._ask_seeds()
                while not self._has_answers(asked, n_wanted):
                    self._ask_more(asked, n_wanted)
                    await self._wait_for_answers(asked, n_wanted)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_FETCH_LIMIT_S):
                while any(channel.fetch for channel in self._channels.values()):
                    await asyncio.sleep(START_STEP_S)

    async def _wait_for_answers(self, asked: set[str], n_wanted: int) -> None:
        """Wait for answers, for as long as none is to be asked for anew."""
        for _ in range(STEPS_BETWEEN_ASKS):
            await asyncio.sleep(START_STEP_S)
            if self._has_answers(asked, n_wanted):
                return

    def _ask_seeds(self) -> None:
        """Ask the peers in the settings."""
        self._seed_asks = [self._tasks.spawn(self._ask(seed)) for seed in self._seeds]

    def _ask_more(self, asked: set[str], n_wanted: int) -> None:
        """Ask further members that were not asked."""
        others = [
            member
            for member in self._table.usable()
            if member.host not in asked and member.host != self._host
        ]
        for member in self._rng.sample(others, min(n_wanted, len(others))):
            asked.add(member.host)
            self._tasks.spawn(self._ask(member.peers_address))

    async def _ask(self, peers_address: str) -> None:
        """Ask one peer for everything newer than what is in force."""
        result = await self._network.connect(peers_address)
        if result.is_err():
            return
        host = result.ok_value.host
        for environment, channel in self._channels.items():
            have = channel.store.revision
            request = DocumentRequest(environment, have, False)
            await self._network.send(host, request)

    def _has_answers(self, asked: set[str], n_wanted: int) -> bool:
        """Return whether enough peers told which production document they have."""
        answers = self._answers.get(PRODUCTION, {})
        n_with_document = sum(1 for revision in answers.values() if revision)
        if n_with_document >= n_wanted:
            return True
        others = {member.host for member in self._table.usable()} - {self._host}
        if others:
            return others <= answers.keys()
        is_list_known = bool(self._channels[HOSTS].store.revision)
        are_seeds_asked = all(ask is None or ask.done() for ask in self._seed_asks)
        return is_list_known and are_seeds_asked

    def _audit(self, channel: _Channel, change: str, evidence: str) -> None:
        """Record a change of a document."""
        self._on_audit(channel.store.codec.environment, change, evidence)

    def _jittered(self, interval_s: float) -> float:
        """Return an interval with jitter."""
        return interval_s * self._rng.uniform(0.75, 1.25)


def _is_revision(values: Any) -> bool:
    """Return whether a peer's values are an entry of ``revisions``."""
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
