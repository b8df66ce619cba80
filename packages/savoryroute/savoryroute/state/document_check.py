"""Checks, defaults and value ranges of the members of an environment document."""

from __future__ import annotations

import re

from ..errors import DocumentError
from .checking import ObjectReader
from .policies import (
    MS_PER_S,
    ClassPolicy,
    EjectionPolicy,
    FailureDomainPolicy,
    LimitPolicy,
    QuarantinePolicy,
    RetryPolicy,
    Route,
    ServicePolicy,
    SpillOverPolicy,
)

__all__ = ["ENVIRONMENTS", "LIMIT_KINDS", "read_members"]

ROOT_MEMBERS = (
    "environment",
    "version",
    "classes",
    "services",
    "failure_domains",
    "retries",
    "ejection",
    "quarantine",
    "spill_over",
)
ENVIRONMENTS = ("production", "trial")
LIMIT_KINDS = ("aimd", "fixed", "gradient")
METHODS = ("DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT")
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
PATH_PATTERN = re.compile(r"/[!-~]{0,255}")
PATH_ALLOWED = "a path that begins with /, at most 256 printable ASCII characters"
PATH_FORBIDDEN = re.compile(r"[?#%]|/\.{1,2}(/|$)|//")

VERSION_MAX = 2**53 - 1
RANK_MAX = 7
RANK_DEFAULT = 4
DURATION_MS_MAX = 3_600_000
QUEUE_TIMEOUT_MS_DEFAULT = 1000
TIMEOUT_MS_DEFAULT = 10_000
ALLOWANCE_MAX = 4096
ALLOWANCE_DEFAULT = 64
SLOTS_MAX = 100_000
SLOTS_DEFAULT = 64
CONNECTIONS_MAX = 1_000_000
CONNECTIONS_DEFAULT = 512
LIMIT_MINIMUM_DEFAULT = 4
QUEUE_LENGTH_MAX = 1_000_000
QUEUE_SLOTS_RATIO = 2
SHED_STATUS_MIN = 400
SHED_STATUS_MAX = 599
SHED_STATUSES_DEFAULT = (503,)
BODY_BYTES_MAX = 8 * 1024 * 1024
REQUEST_BYTES_DEFAULT = 1024 * 1024
ANSWER_BYTES_DEFAULT = 4 * 1024 * 1024
BUDGET_RATIO_DEFAULT = 0.1
BUDGET_MINIMUM_PER_S_DEFAULT = 1.0
BUDGET_MINIMUM_PER_S_MAX = 1000.0
ATTEMPTS_PER_HOP_MAX = 10
ATTEMPTS_PER_HOP_DEFAULT = 3
EJECTED_FRACTION_DEFAULT = 0.34
DURATION_S_MAX = 3600.0
DURATION_S_MIN = 0.1
EJECTION_BASE_S_DEFAULT = 2.0
QUARANTINE_CRASHES_MAX = 10
QUARANTINE_CRASHES_DEFAULT = 2
QUARANTINE_S_DEFAULT = 60.0
REGION_DEFAULT = "default"


def read_members(plain: dict, source: str) -> dict:
    """Return the members of a document as arguments of ``Document``.

    Args:
        plain: Parsed document; not modified.
        source: Name of the file, key or peer that provided the document.

    Raises:
        DocumentError: A member is missing or unknown, or its value is not allowed.
    """
    root = ObjectReader(plain, source, DocumentError)
    root.allow_only(ROOT_MEMBERS)
    classes = _read_classes(root)
    return {
        "environment": root.choice("environment", ENVIRONMENTS),
        "version": root.integer("version", 1, VERSION_MAX),
        "classes": classes,
        "services": _read_services(root, classes),
        "failure_domains": _read_failure_domains(root),
        "retries": _read_retries(root.nested_object("retries", {})),
        "ejection": _read_ejection(root.nested_object("ejection", {})),
        "quarantine": _read_quarantine(root.nested_object("quarantine", {})),
        "spill_over": _read_spill_over(root.nested_object("spill_over", {})),
    }


def _read_classes(root: ObjectReader) -> dict[str, ClassPolicy]:
    classes = {
        name: _read_class(name, reader)
        for name, reader in root.named_objects("classes")
    }
    if not classes:
        root.fail("classes", {}, "at least one class")
    return classes


def _read_class(name: str, reader: ObjectReader) -> ClassPolicy:
    reader.allow_only(("rank", "patience_ms", "timeout_ms", "allowance"))
    timeout_ms = reader.integer("timeout_ms", 1, DURATION_MS_MAX, TIMEOUT_MS_DEFAULT)
    queue_timeout_ms = reader.integer(
        "patience_ms", 1, timeout_ms, min(QUEUE_TIMEOUT_MS_DEFAULT, timeout_ms)
    )
    return ClassPolicy(
        name=name,
        rank=reader.integer("rank", 0, RANK_MAX, RANK_DEFAULT),
        queue_timeout_s=queue_timeout_ms / MS_PER_S,
        timeout_s=timeout_ms / MS_PER_S,
        allowance=reader.integer("allowance", 1, ALLOWANCE_MAX, ALLOWANCE_DEFAULT),
    )


def _read_services(
    root: ObjectReader, classes: dict[str, ClassPolicy]
) -> dict[str, ServicePolicy]:
    services = {
        name: _read_service(name, reader, classes)
        for name, reader in root.named_objects("services")
    }
    if not services:
        root.fail("services", {}, "at least one service")
    return services


def _read_service(
    name: str, reader: ObjectReader, classes: dict[str, ClassPolicy]
) -> ServicePolicy:
    reader.allow_only(
        (
            "slots",
            "connections",
            "limit",
            "queue_length",
            "shed_statuses",
            "request_bytes",
            "answer_bytes",
            "routes",
        )
    )
    slots = reader.integer("slots", 1, SLOTS_MAX, SLOTS_DEFAULT)
    shed_statuses = reader.integers(
        "shed_statuses", SHED_STATUS_MIN, SHED_STATUS_MAX, list(SHED_STATUSES_DEFAULT)
    )
    routes = reader.listed_objects("routes", [])
    return ServicePolicy(
        name=name,
        slots=slots,
        connections=reader.integer(
            "connections", 1, CONNECTIONS_MAX, CONNECTIONS_DEFAULT
        ),
        limit=_read_limit(reader.nested_object("limit", {}), slots),
        queue_length=reader.integer(
            "queue_length", 0, QUEUE_LENGTH_MAX, QUEUE_SLOTS_RATIO * slots
        ),
        shed_statuses=frozenset(shed_statuses),
        request_bytes=reader.integer(
            "request_bytes", 0, BODY_BYTES_MAX, REQUEST_BYTES_DEFAULT
        ),
        answer_bytes=reader.integer(
            "answer_bytes", 0, BODY_BYTES_MAX, ANSWER_BYTES_DEFAULT
        ),
        routes=tuple(_read_route(route, classes) for route in routes),
    )


def _read_limit(reader: ObjectReader, slots: int) -> LimitPolicy:
    reader.allow_only(("kind", "minimum"))
    return LimitPolicy(
        kind=reader.choice("kind", LIMIT_KINDS, "gradient"),
        minimum=reader.integer("minimum", 1, slots, min(LIMIT_MINIMUM_DEFAULT, slots)),
    )


def _read_route(reader: ObjectReader, classes: dict[str, ClassPolicy]) -> Route:
    reader.allow_only(("method", "path", "class", "idempotent"))
    method = reader.choice("method", METHODS, "GET")
    path = reader.text("path", PATH_PATTERN, PATH_ALLOWED, "/")
    if PATH_FORBIDDEN.search(path):
        reader.fail(
            "path",
            path,
            "a path without query, fragment, %, empty segments and dot segments",
        )
    return Route(
        method=method,
        path=path,
        class_name=reader.choice("class", classes),
        is_idempotent=reader.boolean("idempotent", method in SAFE_METHODS),
    )


def _read_failure_domains(root: ObjectReader) -> dict[str, FailureDomainPolicy]:
    domains = {}
    for name, reader in root.named_objects("failure_domains", {}):
        reader.allow_only(("region",))
        region = reader.name("region", REGION_DEFAULT)
        domains[name] = FailureDomainPolicy(name, region)
    return domains


def _read_retries(reader: ObjectReader) -> RetryPolicy:
    reader.allow_only(("budget_ratio", "budget_minimum_per_s", "attempts_per_hop"))
    return RetryPolicy(
        budget_ratio=reader.number("budget_ratio", 0, 1, BUDGET_RATIO_DEFAULT),
        budget_minimum_per_s=reader.number(
            "budget_minimum_per_s",
            0,
            BUDGET_MINIMUM_PER_S_MAX,
            BUDGET_MINIMUM_PER_S_DEFAULT,
        ),
        attempts_per_hop=reader.integer(
            "attempts_per_hop", 1, ATTEMPTS_PER_HOP_MAX, ATTEMPTS_PER_HOP_DEFAULT
        ),
    )


def _read_ejection(reader: ObjectReader) -> EjectionPolicy:
    reader.allow_only(("maximum_fraction", "base_s"))
    return EjectionPolicy(
        maximum_fraction=reader.number(
            "maximum_fraction", 0, 1, EJECTED_FRACTION_DEFAULT
        ),
        base_s=reader.number(
            "base_s", DURATION_S_MIN, DURATION_S_MAX, EJECTION_BASE_S_DEFAULT
        ),
    )


def _read_quarantine(reader: ObjectReader) -> QuarantinePolicy:
    reader.allow_only(("crashes", "duration_s"))
    return QuarantinePolicy(
        crashes=reader.integer(
            "crashes", 1, QUARANTINE_CRASHES_MAX, QUARANTINE_CRASHES_DEFAULT
        ),
        duration_s=reader.number(
            "duration_s", DURATION_S_MIN, DURATION_S_MAX, QUARANTINE_S_DEFAULT
        ),
    )


def _read_spill_over(reader: ObjectReader) -> SpillOverPolicy:
    reader.allow_only(("enabled",))
    return SpillOverPolicy(is_enabled=reader.boolean("enabled", True))
