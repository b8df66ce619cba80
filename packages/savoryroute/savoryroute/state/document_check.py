"""Checks, defaults and ranges of the members of an environment document."""

from __future__ import annotations

import re

from ..errors import DocumentError
from .checking import Members
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
        plain: Parsed document; not changed.
        source: Name of the file, key or peer that the document came from.

    Raises:
        DocumentError: A member is missing, unknown or not allowed.
    """
    root = Members(plain, source, DocumentError)
    root.only(ROOT_MEMBERS)
    classes = _read_classes(root)
    return {
        "environment": root.choice("environment", ENVIRONMENTS),
        "version": root.integer("version", 1, VERSION_MAX),
        "classes": classes,
        "services": _read_services(root, classes),
        "failure_domains": _read_failure_domains(root),
        "retries": _read_retries(root.members("retries", {})),
        "ejection": _read_ejection(root.members("ejection", {})),
        "quarantine": _read_quarantine(root.members("quarantine", {})),
        "spill_over": _read_spill_over(root.members("spill_over", {})),
    }


def _read_classes(root: Members) -> dict[str, ClassPolicy]:
    classes = {
        name: _read_class(name, members)
        for name, members in root.named_members("classes")
    }
    if not classes:
        root.fail("classes", {}, "at least one class")
    return classes


def _read_class(name: str, members: Members) -> ClassPolicy:
    members.only(("rank", "patience_ms", "timeout_ms", "allowance"))
    timeout_ms = members.integer("timeout_ms", 1, DURATION_MS_MAX, TIMEOUT_MS_DEFAULT)
    queue_timeout_ms = members.integer(
        "patience_ms", 1, timeout_ms, min(QUEUE_TIMEOUT_MS_DEFAULT, timeout_ms)
    )
    return ClassPolicy(
        name=name,
        rank=members.integer("rank", 0, RANK_MAX, RANK_DEFAULT),
        queue_timeout_s=queue_timeout_ms / MS_PER_S,
        timeout_s=timeout_ms / MS_PER_S,
        allowance=members.integer("allowance", 1, ALLOWANCE_MAX, ALLOWANCE_DEFAULT),
    )


def _read_services(
    root: Members, classes: dict[str, ClassPolicy]
) -> dict[str, ServicePolicy]:
    services = {
        name: _read_service(name, members, classes)
        for name, members in root.named_members("services")
    }
    if not services:
        root.fail("services", {}, "at least one service")
    return services


def _read_service(
    name: str, members: Members, classes: dict[str, ClassPolicy]
) -> ServicePolicy:
    members.only(
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
    slots = members.integer("slots", 1, SLOTS_MAX, SLOTS_DEFAULT)
    shed_statuses = members.integers(
        "shed_statuses", SHED_STATUS_MIN, SHED_STATUS_MAX, list(SHED_STATUSES_DEFAULT)
    )
    routes = members.listed_members("routes", [])
    return ServicePolicy(
        name=name,
        slots=slots,
        connections=members.integer(
            "connections", 1, CONNECTIONS_MAX, CONNECTIONS_DEFAULT
        ),
        limit=_read_limit(members.members("limit", {}), slots),
        queue_length=members.integer(
            "queue_length", 0, QUEUE_LENGTH_MAX, QUEUE_SLOTS_RATIO * slots
        ),
        shed_statuses=frozenset(shed_statuses),
        request_bytes=members.integer(
            "request_bytes", 0, BODY_BYTES_MAX, REQUEST_BYTES_DEFAULT
        ),
        answer_bytes=members.integer(
            "answer_bytes", 0, BODY_BYTES_MAX, ANSWER_BYTES_DEFAULT
        ),
        routes=tuple(_read_route(route, classes) for route in routes),
    )


def _read_limit(members: Members, slots: int) -> LimitPolicy:
    members.only(("kind", "minimum"))
    return LimitPolicy(
        kind=members.choice("kind", LIMIT_KINDS, "gradient"),
        minimum=members.integer("minimum", 1, slots, min(LIMIT_MINIMUM_DEFAULT, slots)),
    )


def _read_route(members: Members, classes: dict[str, ClassPolicy]) -> Route:
    members.only(("method", "path", "class", "idempotent"))
    method = members.choice("method", METHODS, "GET")
    path = members.text("path", PATH_PATTERN, PATH_ALLOWED, "/")
    if PATH_FORBIDDEN.search(path):
        members.fail("path", path, "no query, %, empty segment or dot segment")
    return Route(
        method=method,
        path=path,
        class_name=members.choice("class", classes),
        is_idempotent=members.flag("idempotent", method in SAFE_METHODS),
    )


def _read_failure_domains(root: Members) -> dict[str, FailureDomainPolicy]:
    domains = {}
    for name, members in root.named_members("failure_domains", {}):
        members.only(("region",))
        region = members.name("region", REGION_DEFAULT)
        domains[name] = FailureDomainPolicy(name, region)
    return domains


def _read_retries(members: Members) -> RetryPolicy:
    members.only(("budget_ratio", "budget_minimum_per_s", "attempts_per_hop"))
    return RetryPolicy(
        budget_ratio=members.number("budget_ratio", 0, 1, BUDGET_RATIO_DEFAULT),
        budget_minimum_per_s=members.number(
            "budget_minimum_per_s",
            0,
            BUDGET_MINIMUM_PER_S_MAX,
            BUDGET_MINIMUM_PER_S_DEFAULT,
        ),
        attempts_per_hop=members.integer(
            "attempts_per_hop", 1, ATTEMPTS_PER_HOP_MAX, ATTEMPTS_PER_HOP_DEFAULT
        ),
    )


def _read_ejection(members: Members) -> EjectionPolicy:
    members.only(("maximum_fraction", "base_s"))
    return EjectionPolicy(
        maximum_fraction=members.number(
            "maximum_fraction", 0, 1, EJECTED_FRACTION_DEFAULT
        ),
        base_s=members.number(
            "base_s", DURATION_S_MIN, DURATION_S_MAX, EJECTION_BASE_S_DEFAULT
        ),
    )


def _read_quarantine(members: Members) -> QuarantinePolicy:
    members.only(("crashes", "duration_s"))
    return QuarantinePolicy(
        crashes=members.integer(
            "crashes", 1, QUARANTINE_CRASHES_MAX, QUARANTINE_CRASHES_DEFAULT
        ),
        duration_s=members.number(
            "duration_s", DURATION_S_MIN, DURATION_S_MAX, QUARANTINE_S_DEFAULT
        ),
    )


def _read_spill_over(members: Members) -> SpillOverPolicy:
    members.only(("enabled",))
    return SpillOverPolicy(is_enabled=members.flag("enabled", True))
