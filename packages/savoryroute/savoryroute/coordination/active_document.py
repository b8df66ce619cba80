"""The active document of a daemon, and the settings that a new one changes."""

from __future__ import annotations

from ..state.audit import AuditKind, AuditTrail
from ..state.document import Document
from ..state.policies import EjectionPolicy, LimitPolicy
from ..state.quarantine import Quarantine
from .admission import AdmissionGate
from .document_store import PRODUCTION, TRIAL
from .limits import make_limit
from .shadow import ShadowGate

__all__ = ["ActiveDocument"]

# Maximum request body of services that the active document does not name.
BODY_BYTES_DEFAULT = 1024 * 1024
# Limit and queue length while no request is refused for load.
UNLIMITED = 1_000_000


class ActiveDocument:
    """Holds the active document and applies it to the gate and the quarantine.

    The production document is enforced. While there is none, the trial document
    routes requests, but no request is refused for load.

    Args:
        host: Name of this host.
        service: Service of the local upstream.
        gate: Admission gate, configured from the document.
        quarantine: Quarantine, configured from the document.
        shadow: Shadow evaluation of the trial document.
        audit: Audit trail of changes of the limit.
    """

    def __init__(
        self,
        host: str,
        service: str,
        gate: AdmissionGate,
        quarantine: Quarantine,
        shadow: ShadowGate,
        audit: AuditTrail,
    ) -> None:
        self._host = host
        self._service = service
        self._gate = gate
        self._quarantine = quarantine
        self._shadow = shadow
        self._audit = audit
        self._document: Document | None = None
        self._revision = 0
        self._is_enforced = False
        self._gate_policy: tuple[LimitPolicy, int, int, bool] | None = None

    @property
    def document(self) -> Document | None:
        """Active document, or None."""
        return self._document

    @property
    def revision(self) -> int:
        """Platform revision of the active document, 0 for none."""
        return self._revision

    @property
    def is_enforced(self) -> bool:
        """Whether requests may be refused for load."""
        return self._is_enforced

    @property
    def ejection(self) -> EjectionPolicy | None:
        """Ejection policy, or None without a document."""
        return None if self._document is None else self._document.ejection

    def body_limit(self, service: str) -> int:
        """Return the maximum request body of a service in bytes."""
        document = self._document
        if document is None or service not in document.services:
            return BODY_BYTES_DEFAULT
        return document.services[service].request_bytes

    def apply(
        self, environment: str, document: Document, revision: int, plain: dict
    ) -> None:
        """Apply a new document of an environment.

        Args:
            environment: ``production`` or ``trial``; others are ignored.
            document: The document.
            revision: Platform revision of the document.
            plain: Plain form of the document, unused.
        """
        if environment not in (PRODUCTION, TRIAL):
            return
        if environment == TRIAL:
            self._shadow.set_document(document)
        if environment == PRODUCTION or not self._is_enforced:
            self._activate(environment, document, revision)

    def start_cold(self) -> None:
        """Start the limit afresh, for an upstream that has just started."""
        self._gate_policy = None
        self._set_up_gate()

    def _activate(self, environment: str, document: Document, revision: int) -> None:
        """Make this the active document."""
        self._document = document
        self._revision = revision
        self._is_enforced = environment == PRODUCTION
        self._quarantine.set_policy(
            document.quarantine.crashes, document.quarantine.duration_s
        )
        self._set_up_gate()

    def _set_up_gate(self) -> None:
        """Reconfigure the gate if the policy of the local service changed."""
        document = self._document
        policy = None if document is None else document.services.get(self._service)
        if policy is None:
            return
        wanted = (policy.limit, policy.slots, policy.queue_length, self._is_enforced)
        if wanted == self._gate_policy:
            return
        self._gate_policy = wanted
        change = "no limit: the trial document is not enforced"
        limit = make_limit("fixed", 1, UNLIMITED, UNLIMITED)
        queue_length = UNLIMITED
        if self._is_enforced:
            change = f"{policy.limit.kind} limit, at most {policy.slots}"
            limit = make_limit(
                policy.limit.kind, policy.limit.minimum, policy.slots, policy.slots
            )
            queue_length = policy.queue_length
        self._gate.reconfigure(limit, queue_length)
        evidence = f"revision {self._revision}"
        self._audit.record(AuditKind.LIMIT, self._host, change, evidence)
