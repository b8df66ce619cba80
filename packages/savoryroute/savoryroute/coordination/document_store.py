"""The active document under one key, and the differences that led to it."""

from __future__ import annotations

import asyncio
import enum
from collections import deque
from collections.abc import Callable
from typing import Any

import attrs
import cbor2
from result import Err, Ok, Result

from ..errors import DocumentError
from ..protocol.frames import DocumentFrame
from ..state.difference import apply_difference, make_difference
from ..state.document import document_from_plain, parse_document, plain_digest
from ..state.host_list import host_list_from_plain, parse_host_list
from ..state.parsing import is_strict_json

__all__ = [
    "CODECS",
    "HOSTS",
    "PRODUCTION",
    "TRIAL",
    "DocumentCodec",
    "DocumentStore",
    "Outcome",
]

HOSTS = "hosts"
PRODUCTION = "production"
TRIAL = "trial"
# Limits on the differences that are kept.
N_DIFFERENCES_MAX = 256
DIFFERENCE_BYTES_MAX = 1024 * 1024
# Limits on the payload of a frame from a peer.
PAYLOAD_BYTES_MAX = 8 * 1024 * 1024
PAYLOAD_DEPTH_MAX = 64


@attrs.frozen
class DocumentCodec:
    """How one kind of document is parsed and checked.

    Attributes:
        environment: Name in frames: ``production``, ``trial`` or ``hosts``.
        key: Key on the platform.
        parse: Parses and checks a text from the platform.
        from_plain: Checks the plain form received from a peer.
    """

    environment: str
    key: str
    parse: Callable[[str, str], Result[Any, DocumentError]]
    from_plain: Callable[[Any, str], Result[Any, DocumentError]]


def _environment_codec(environment: str) -> DocumentCodec:
    """Return the codec of an environment, whose documents have to name it."""

    def check(result: Result[Any, DocumentError], source: str) -> Result:
        if result.is_ok() and result.ok_value.environment != environment:
            found = result.ok_value.environment
            return Err(DocumentError(source, "environment", found, environment))
        return result

    return DocumentCodec(
        environment,
        f"documents/{environment}",
        lambda text, source: check(parse_document(text, source), source),
        lambda plain, source: check(document_from_plain(plain, source), source),
    )


CODECS = (
    _environment_codec(PRODUCTION),
    _environment_codec(TRIAL),
    DocumentCodec(HOSTS, HOSTS, parse_host_list, host_list_from_plain),
)


class Outcome(enum.StrEnum):
    """Outcome of an offered document."""

    APPLIED = "applied"
    OLD = "old"
    CONFLICT = "conflict"
    BASE_UNKNOWN = "base_unknown"
    DIGEST_MISMATCH = "digest_mismatch"
    INVALID = "invalid"


class DocumentStore:
    """Holds the highest valid revision seen; an older one never replaces it.

    Only the active document is kept in full. A peer with an older one is sent the
    chain of differences from it, which is bounded in number and bytes.

    Args:
        codec: Kind of the document.
    """

    def __init__(self, codec: DocumentCodec) -> None:
        self._codec = codec
        self._revision = 0
        self._digest = b""
        self._plain: dict[str, Any] | None = None
        self._document: Any = None
        self._differences: deque[DocumentFrame] = deque()
        self._difference_bytes = 0
        self._full_frame: DocumentFrame | None = None
        self._error: DocumentError | None = None

    @property
    def codec(self) -> DocumentCodec:
        """Kind of the document."""
        return self._codec

    @property
    def revision(self) -> int:
        """Active revision, 0 for none."""
        return self._revision

    @property
    def digest(self) -> bytes:
        """SHA-256 of the canonical CBOR of the active document."""
        return self._digest

    @property
    def plain(self) -> dict[str, Any] | None:
        """Plain form of the active document, not to be modified."""
        return self._plain

    @property
    def document(self) -> Any:
        """Active document, or None."""
        return self._document

    @property
    def error(self) -> DocumentError | None:
        """Error of the latest offer with the outcome ``INVALID``."""
        return self._error

    @property
    def history_bytes(self) -> int:
        """Size in bytes of the differences that are kept."""
        return self._difference_bytes

    @property
    def latest_difference(self) -> DocumentFrame | None:
        """Difference that led to the active document, or None if it is not kept."""
        if self._differences and self._differences[-1].revision == self._revision:
            return self._differences[-1]
        return None

    def offer_text(self, text: str, revision: int) -> Outcome:
        """Offer a value read from the platform."""
        if revision <= self._revision:
            return Outcome.OLD
        return self._offer_parsed(self._parse(text, revision), revision)

    async def offer_published(self, text: str, revision: int) -> Outcome:
        """Offer a value read from the platform, without blocking the event loop.

        Text with comments parses slowly, so it is parsed in another thread.
        """
        if revision <= self._revision or is_strict_json(text):
            return self.offer_text(text, revision)
        parsed = await asyncio.to_thread(self._parse, text, revision)
        return self._offer_parsed(parsed, revision)

    def _parse(self, text: str, revision: int) -> Result[Any, DocumentError]:
        """Parse and check a value read from the platform."""
        return self._codec.parse(text, f"{self._codec.key}@{revision}")

    def _offer_parsed(
        self, parsed: Result[Any, DocumentError], revision: int
    ) -> Outcome:
        """Activate a parsed value, unless a newer one became active meanwhile."""
        if revision <= self._revision:
            return Outcome.OLD
        if parsed.is_err():
            self._error = parsed.err_value
            return Outcome.INVALID
        document = parsed.ok_value
        plain = document.to_plain()
        self._activate(document, plain, plain_digest(plain), revision, None)
        return Outcome.APPLIED

    def offer_frame(self, frame: DocumentFrame, source: str) -> Outcome:
        """Offer a full document or a difference received from a peer."""
        if frame.revision <= self._revision:
            is_consistent = (
                frame.revision < self._revision or frame.digest == self._digest
            )
            return Outcome.OLD if is_consistent else Outcome.CONFLICT
        if frame.base_revision not in (0, self._revision):
            return Outcome.BASE_UNKNOWN
        plain = self._plain_of(frame)
        if plain.is_err():
            self._error = plain.err_value
            return Outcome.INVALID
        if _digest_of(plain.ok_value) != frame.digest:
            return Outcome.DIGEST_MISMATCH
        checked = self._codec.from_plain(plain.ok_value, f"{source}@{frame.revision}")
        if checked.is_err():
            self._error = checked.err_value
            return Outcome.INVALID
        difference = frame if frame.base_revision else None
        self._activate(
            checked.ok_value, plain.ok_value, frame.digest, frame.revision, difference
        )
        return Outcome.APPLIED

    def frames_since(self, have_revision: int) -> list[DocumentFrame]:
        """Return the frames that lead from a revision to the active one.

        They are the chain of differences if all of it is kept, else the full document.
        A frame without payload means that there is nothing newer.
        """
        if have_revision >= self._revision:
            return [self._up_to_date_frame()]
        bases = [difference.base_revision for difference in self._differences]
        if have_revision not in bases:
            return [self.full_frame()]
        return list(self._differences)[bases.index(have_revision) :]

    def full_frame(self) -> DocumentFrame:
        """Return a frame with the full active document."""
        if self._plain is None:
            return self._up_to_date_frame()
        if self._full_frame is None:
            self._full_frame = self._frame(0, cbor2.dumps(self._plain))
        return self._full_frame

    def _up_to_date_frame(self) -> DocumentFrame:
        """Return a frame that only states the active revision."""
        return self._frame(self._revision, b"")

    def _frame(self, base_revision: int, payload: bytes) -> DocumentFrame:
        """Return a frame that leads to the active revision."""
        return DocumentFrame(
            self._codec.environment,
            self._revision,
            base_revision,
            self._digest,
            payload,
        )

    def _plain_of(self, frame: DocumentFrame) -> Result[dict, DocumentError]:
        """Return the plain form of the document that a frame leads to."""
        source = self._codec.key
        if len(frame.payload) > PAYLOAD_BYTES_MAX:
            found = f"{len(frame.payload)} bytes"
            return Err(DocumentError(source, "", found, f"{PAYLOAD_BYTES_MAX} bytes"))
        try:
            payload = cbor2.loads(
                frame.payload, max_depth=PAYLOAD_DEPTH_MAX, allow_indefinite=False
            )
        except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
            return Err(DocumentError(source, "", str(error)[:80], "CBOR"))
        if frame.base_revision:
            return apply_difference(self._plain, payload)
        if type(payload) is not dict:
            return Err(DocumentError(source, "", type(payload).__name__, "a map"))
        return Ok(payload)

    def _activate(
        self,
        document: Any,
        plain: dict[str, Any],
        digest: bytes,
        revision: int,
        difference: DocumentFrame | None,
    ) -> None:
        """Make a checked document the active one, and keep the difference to it."""
        old_revision, old_plain = self._revision, self._plain
        self._revision, self._digest = revision, digest
        self._document, self._plain = document, plain
        self._full_frame = None
        if difference is None and old_plain is not None:
            payload = cbor2.dumps(make_difference(old_plain, plain))
            difference = self._frame(old_revision, payload)
        if difference is not None:
            self._keep_difference(difference)

    def _keep_difference(self, difference: DocumentFrame) -> None:
        """Keep a difference, and drop the oldest ones beyond the bounds."""
        self._differences.append(difference)
        self._difference_bytes += len(difference.payload)
        while (
            self._difference_bytes > DIFFERENCE_BYTES_MAX
            or len(self._differences) > N_DIFFERENCES_MAX
        ):
            self._difference_bytes -= len(self._differences.popleft().payload)


def _digest_of(plain: Any) -> bytes:
    """Return the digest of a plain document from a peer, empty if it has none."""
    try:
        return plain_digest(plain)
    except (cbor2.CBOREncodeError, ValueError, RecursionError, TypeError):
        return b""
