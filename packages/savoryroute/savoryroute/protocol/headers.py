"""Names and formats of the HTTP headers that the daemon reads and writes."""

from __future__ import annotations

import re
import secrets

__all__ = [
    "CANCELS",
    "CLASS",
    "GRPC_TIMEOUT",
    "HOP_BY_HOP",
    "IDEMPOTENCY_KEY",
    "LOAD_METRICS",
    "TRACEPARENT",
    "TRACESTATE",
    "VERDICT",
    "end_to_end",
    "format_timeout",
    "hop_of_tracestate",
    "new_traceparent",
    "parse_timeout",
    "parse_utilization",
    "trace_id_of",
]

CANCELS = "Savoryroute-Cancels"
CLASS = "Savoryroute-Class"
GRPC_TIMEOUT = "grpc-timeout"
IDEMPOTENCY_KEY = "Idempotency-Key"
LOAD_METRICS = "endpoint-load-metrics"
TRACEPARENT = "traceparent"
TRACESTATE = "tracestate"
VERDICT = "Savoryroute-Verdict"

# Headers of one connection (RFC 9110, section 7.6.1) and those set anew on each hop.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_SET_BY_DAEMON = frozenset(
    {
        "date",
        "host",
        "server",
        "savoryroute-cancels",
        "savoryroute-class",
        "savoryroute-verdict",
        "grpc-timeout",
        "idempotency-key",
        "traceparent",
        "tracestate",
    }
)
_DROPPED = HOP_BY_HOP | _SET_BY_DAEMON

_TIMEOUT = re.compile(r"(\d{1,8})([HMSmun])")
_UNIT_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
_TRACEPARENT = re.compile(r"00-([0-9a-f]{32})-[0-9a-f]{16}-[0-9a-f]{2}")
_HOP = re.compile(r"(?:^|,)\s*savoryroute=([0-9a-f]{1,32})\s*(?:,|$)")
_UTILIZATION = re.compile(r"cpu_utilization=([0-9]*\.?[0-9]+)")


def parse_timeout(text: str) -> float | None:
    """Return the seconds in a ``grpc-timeout`` value, or None if it is invalid."""
    match = _TIMEOUT.fullmatch(text.strip())
    if match is None:
        return None
    return int(match[1]) * _UNIT_S[match[2]]


def format_timeout(seconds: float) -> str:
    """Return a ``grpc-timeout`` value in milliseconds, at least 1."""
    return f"{max(1, int(seconds * 1000))}m"


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a ``traceparent`` value; empty if it is invalid."""
    match = _TRACEPARENT.fullmatch(traceparent.strip())
    return match[1] if match else ""


def new_traceparent() -> str:
    """Return a ``traceparent`` value for a new trace."""
    digits = secrets.token_hex(24)
    return f"00-{digits[:32]}-{digits[32:]}-01"


def hop_of_tracestate(tracestate: str) -> str:
    """Return the hop identity in a ``tracestate`` value, or an empty string."""
    match = _HOP.search(tracestate)
    return match[1] if match else ""


def parse_utilization(load_metrics: str) -> float | None:
    """Return the utilization in an ORCA text report, or None.

    Source: Open Request Cost Aggregation, ``endpoint-load-metrics`` header.
    """
    match = _UTILIZATION.search(load_metrics)
    return float(match[1]) if match else None


def end_to_end(items) -> tuple[str, ...]:
    """Return the end-to-end headers as flat name, value pairs."""
    kept = []
    for name, value in items:
        if name.lower() not in _DROPPED:
            kept.append(name)
            kept.append(value)
    return tuple(kept)
