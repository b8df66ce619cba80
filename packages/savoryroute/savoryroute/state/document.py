"""Environment documents: the only means by which operators control the fleet.

The plain form of a document consists of values of JSON types only.
"""

from __future__ import annotations

import hashlib

import attrs
import cbor2
from result import Err, Ok, Result

from ..errors import DocumentError
from . import document_check
from .parsing import parse_object
from .policies import (
    ClassPolicy,
    EjectionPolicy,
    FailureDomainPolicy,
    QuarantinePolicy,
    RetryPolicy,
    ServicePolicy,
    SpillOverPolicy,
)

__all__ = ["Document", "document_from_plain", "parse_document", "plain_digest"]


@attrs.frozen
class Document:
    """A checked environment document.

    Attributes:
        environment: ``production`` or ``trial``.
        version: Version number that the operators assigned.
        classes: Classes of actions by name.
        services: Services by name.
        failure_domains: Failure domains by name; empty if the document has none.
        retries: Limits on retries.
        ejection: Ejection of failing upstreams.
        quarantine: Quarantine of requests that crash upstreams.
        spill_over: Use of other failure domains.
    """

    environment: str
    version: int
    classes: dict[str, ClassPolicy]
    services: dict[str, ServicePolicy]
    failure_domains: dict[str, FailureDomainPolicy]
    retries: RetryPolicy
    ejection: EjectionPolicy
    quarantine: QuarantinePolicy
    spill_over: SpillOverPolicy

    def to_plain(self) -> dict:
        """Return all members in the form that a document has, including defaults."""
        return {
            "environment": self.environment,
            "version": self.version,
            "classes": _table(self.classes),
            "services": _table(self.services),
            "failure_domains": _table(self.failure_domains),
            "retries": self.retries.to_plain(),
            "ejection": self.ejection.to_plain(),
            "quarantine": self.quarantine.to_plain(),
            "spill_over": self.spill_over.to_plain(),
        }

    def check_host(
        self, service: str, failure_domain: str, source: str
    ) -> Result[None, DocumentError]:
        """Check that the document contains the service and failure domain of a host.

        Args:
            service: Service of the host's upstream.
            failure_domain: Failure domain of the host.
            source: Name of the key from which the document was read.
        """
        for where, name, known in (
            ("services", service, self.services),
            ("failure_domains", failure_domain, self.failure_domains),
        ):
            if known and name not in known:
                allowed = f"a member named {name}, to which this host belongs"
                found = f"only {', '.join(sorted(known))}"
                return Err(DocumentError(source, where, found, allowed))
        return Ok(None)


def parse_document(text: str, source: str) -> Result[Document, DocumentError]:
    """Parse and check the text of an environment document.

    Args:
        text: Strict JSON, or JSON with comments.
        source: Name of the file or key from which the text was read.
    """
    try:
        plain = parse_object(text, source, DocumentError)
    except DocumentError as exc:
        return Err(exc)
    return document_from_plain(plain, source)


def document_from_plain(plain: dict, source: str) -> Result[Document, DocumentError]:
    """Check a parsed document.

    Args:
        plain: Members of the document; not modified.
        source: Name of the file, key or peer that provided the document.
    """
    try:
        return Ok(Document(**document_check.read_members(plain, source)))
    except DocumentError as exc:
        return Err(exc)


def plain_digest(plain: dict) -> bytes:
    """Return the SHA-256 digest of a plain document encoded as canonical CBOR."""
    return hashlib.sha256(cbor2.dumps(plain, canonical=True)).digest()


def _table(policies: dict) -> dict:
    return {name: policies[name].to_plain() for name in sorted(policies)}
