"""Memory used by the parts of a daemon's state at several sizes.

Usage:
  state_bytes
"""

from __future__ import annotations

import gc
import json
import secrets
import time
import tracemalloc
from collections.abc import Callable

import docopt

from savoryroute.coordination.document_store import CODECS, DocumentStore
from savoryroute.coordination.placement import HostRecord
from savoryroute.state.audit import AuditKind, AuditTrail
from savoryroute.state.decisions import DecisionLog
from savoryroute.state.delivery_counter import DeliveryCounter
from savoryroute.state.host_list import parse_host_list
from savoryroute.state.members import MemberTable
from savoryroute.state.quarantine import FINGERPRINT_BYTES, Quarantine

from .memory_fleet import document_text

__all__ = ["main"]

HOST_COUNTS = (100, 300, 1100)
SERVICE_COUNTS = (4, 32, 130)
CALL_COUNTS = (1000, 3000, 9300)
DECISION_COUNTS = (2000, 6000, 20_000)
AUDIT_COUNTS = (1000, 3000, 10_000)
SUSPECT_COUNTS = (256, 1024, 4096)
DIFFERENCE_COUNTS = (16, 64, 256)
CALLS_WINDOW_S = 60.0
SERVICES_IN_FLEET = 130
N_DOMAINS = 6


def _members(n_hosts: int) -> object:
    """Return a member table filled from a list of hosts."""
    entries = [
        {
            "host": f"region-service-{number}",
            "service": f"service-{number % SERVICES_IN_FLEET}",
            "failure_domain": f"domain-{number % N_DOMAINS}",
            "region": "region",
            "peers": f"10.0.{number // 250}.{number % 250 + 1}:7000",
            "status": "live",
        }
        for number in range(n_hosts)
    ]
    table = MemberTable("region-service-0")
    host_list = parse_host_list(json.dumps({"hosts": entries}), "hosts").unwrap()
    table.merge_list(host_list)
    return table


def _host_records(n_hosts: int) -> object:
    """Return the placement records of hosts, by host."""
    return {f"region-service-{number}": HostRecord() for number in range(n_hosts)}


def _document(n_services: int) -> object:
    """Return a store with one document."""
    store = DocumentStore(CODECS[0])
    store.offer_text(document_text(1, n_services=n_services), 1)
    return store


def _differences(n_differences: int) -> object:
    """Return a store of a large document with the differences of past revisions."""
    store = DocumentStore(CODECS[0])
    for number in range(n_differences + 1):
        text = document_text(number + 1, n_services=SERVICES_IN_FLEET)
        store.offer_text(text, number + 1)
    return store


def _deliveries(n_calls: int) -> object:
    """Return a counter with the deliveries of ``n_calls`` actions."""
    counter = DeliveryCounter(CALLS_WINDOW_S, time.monotonic)
    for _ in range(n_calls):
        counter.count_delivery(f"{secrets.token_hex(16)} {secrets.token_hex(16)}", 3)
    return counter


def _decisions(n_decisions: int) -> object:
    """Return a decision log with two decisions for each action."""
    decisions = DecisionLog()
    for _ in range(n_decisions // 2):
        action = secrets.token_hex(16)
        decisions.note(action, "placed", f"region-service-{secrets.randbelow(1100)}")
        decisions.note(action, "admitted", f"after {secrets.randbelow(100) / 10} ms")
    return decisions


def _audit(n_entries: int) -> object:
    """Return an audit trail with changes of members."""
    audit = AuditTrail()
    for number in range(n_entries):
        host = f"region-service-{number}"
        audit.record(AuditKind.MEMBER, host, "alive to suspect", "silence")
    return audit


def _suspects(n_suspects: int) -> object:
    """Return a quarantine with suspects of crashes, 16 for each crash."""
    quarantine = Quarantine(time.monotonic, 2, 60.0)
    for _ in range(n_suspects // 16):
        quarantine.note_crash(secrets.token_bytes(FINGERPRINT_BYTES) for _ in range(16))
    return quarantine


PARTS: dict[str, tuple[Callable[[int], object], tuple[int, ...]]] = {
    "members": (_members, HOST_COUNTS),
    "observations of hosts": (_host_records, HOST_COUNTS),
    "document, by services": (_document, SERVICE_COUNTS),
    "document of 130 services, by steps kept": (_differences, DIFFERENCE_COUNTS),
    "deliveries counted, by calls in 60 s": (_deliveries, CALL_COUNTS),
    "decisions": (_decisions, DECISION_COUNTS),
    "audit trail": (_audit, AUDIT_COUNTS),
    "quarantine, by suspects": (_suspects, SUSPECT_COUNTS),
}


def _traced_bytes(make: Callable[[int], object], size: int) -> int:
    """Return the bytes allocated by one part of a given size."""
    make(size)
    gc.collect()
    tracemalloc.start()
    part = make(size)
    gc.collect()
    n_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del part
    return n_bytes


def main() -> None:
    """Print one line of JSON for each part."""
    docopt.docopt(__doc__)
    for name, (make, sizes) in PARTS.items():
        measured = [_traced_bytes(make, size) for size in sizes]
        slope = (measured[-1] - measured[0]) / (sizes[-1] - sizes[0])
        row = {
            "part": name,
            "sizes": sizes,
            "bytes": measured,
            "bytes_each": round(slope, 1),
        }
        print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
