"""Settings of a daemon that gets its routes and instances from a platform."""

from __future__ import annotations

import os
import re

import attrs
from result import Result

from ..errors import SettingsError
from .address import Address
from .checking import ObjectReader
from .settings_file import parse_settings_text, read_settings_file

__all__ = ["MeshSettings", "parse_mesh_settings", "read_mesh_settings"]

NAME_PATTERN = re.compile(r"[!-~]{1,200}")
NAME_ALLOWED = "1 to 200 printable ASCII characters without spaces"
SECONDS_MAX = 3600.0
SLACK_MAX = 1e6
RATIO_MAX = 10.0
# The process alone takes up about a third of the least memory.
MEMORY_MB_MIN = 64.0
MEMORY_MB_MAX = 1e6
MB = 1_000_000


@attrs.frozen
class MeshSettings:
    """Addresses and limits of one daemon.

    Attributes:
        host: Name of the host.
        service: Service of the host's upstream.
        failure_domain: Failure domain of the host.
        callers: Listening address for callers and for calls of the local upstream.
        links: Listening address for other daemons; all hosts use the same port.
        readiness: Listening address for readiness checks.
        metrics: Listening address for scrapes of metrics.
        upstream: Address of the local upstream.
        platform: Address of the platform's store.
        seeds: Addresses of daemons that provide routes and instances if the store
            does not answer.
        retry_ratio: Retries that the fleet may make per request.
        retry_slack: Retries that the fleet may make in addition to these.
        grace_s: Time in seconds from a stop signal until the process is killed.
        memory_bytes: Memory above which the process is killed.
        revocation_s: Time in seconds after which no host may accept a revoked key, None
            if revocation has no such bound.
        quota_window_s: Length in seconds of the windows in which quotas are bounded,
            None if there are no quotas.
        quota_overage: Fraction by which a quota may be exceeded in a window.
        quota_slack: Requests by which it may be exceeded besides.
        switched_off: Names of mechanisms that are switched off.
    """

    host: str
    service: str
    failure_domain: str
    callers: Address
    links: Address
    readiness: Address
    metrics: Address
    upstream: Address
    platform: Address
    seeds: tuple[Address, ...]
    retry_ratio: float
    retry_slack: float
    grace_s: float
    memory_bytes: int
    revocation_s: float | None = None
    quota_window_s: float | None = None
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    switched_off: tuple[str, ...] = ()


def read_mesh_settings(
    path: str | os.PathLike[str],
) -> Result[MeshSettings, SettingsError]:
    """Read and check a settings file, JSON with comments."""
    return read_settings_file(path, _read_settings)


def parse_mesh_settings(text: str, source: str) -> Result[MeshSettings, SettingsError]:
    """Parse and check the text of a settings file.

    Args:
        text: JSON with comments.
        source: Name of the file from which the text was read.
    """
    return parse_settings_text(text, source, _read_settings)


def _read_settings(root: ObjectReader) -> MeshSettings:
    known = attrs.fields_dict(MeshSettings).keys() | {
        "metrics_port",
        "ip",
        "memory_mb",
        "strict_revocation",
    }
    root.allow_only(known)
    ip = root.address_ip("ip")
    is_bounded = root.boolean("strict_revocation", False)
    return MeshSettings(
        host=root.text("host", NAME_PATTERN, NAME_ALLOWED),
        service=root.text("service", NAME_PATTERN, NAME_ALLOWED),
        failure_domain=root.text("failure_domain", NAME_PATTERN, NAME_ALLOWED),
        callers=root.address("callers"),
        links=root.address("links"),
        readiness=root.address("readiness"),
        metrics=Address(ip, root.integer("metrics_port", 0, 65535)),
        upstream=root.address("upstream"),
        platform=root.address("platform"),
        seeds=root.addresses("seeds", []),
        retry_ratio=root.number("retry_ratio", 0.0, RATIO_MAX),
        retry_slack=root.number("retry_slack", 0.0, SLACK_MAX),
        grace_s=root.seconds("grace_s", 0.0, SECONDS_MAX),
        memory_bytes=int(root.number("memory_mb", MEMORY_MB_MIN, MEMORY_MB_MAX) * MB),
        revocation_s=_optional_seconds(root, "revocation_s") if is_bounded else None,
        quota_window_s=_optional_seconds(root, "quota_window_s"),
        quota_overage=root.number("quota_overage", 0.0, RATIO_MAX, 0.0),
        quota_slack=root.number("quota_slack", 0.0, SLACK_MAX, 0.0),
        switched_off=tuple(root.texts("switched_off", [])),
    )


def _optional_seconds(root: ObjectReader, name: str) -> float | None:
    """Return a duration in seconds, None if the member is missing."""
    return root.seconds(name, 0.0, SECONDS_MAX) if name in root else None
