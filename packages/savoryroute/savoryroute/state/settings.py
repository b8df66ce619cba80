"""Settings of one daemon."""

from __future__ import annotations

import os
import re

import attrs
from result import Result

from ..errors import SettingsError
from .address import Address
from .checking import ObjectReader
from .settings_file import parse_settings_text, read_settings_file

__all__ = ["Address", "Settings", "parse_settings", "read_settings"]

LOG_LEVELS = ("debug", "info", "warning", "error")
LOG_LEVEL_DEFAULT = "info"
HOST_PATTERN = re.compile(r"[a-z0-9-]{1,63}")
HOST_ALLOWED = "1 to 63 of a-z, 0-9 and -"
KEY_PATTERN = re.compile(r"[!-~]{8,256}")
KEY_ALLOWED = "8 to 256 printable ASCII characters without spaces"
REGION_DEFAULT = "default"


@attrs.frozen
class Settings:
    """Addresses, initial peers and keys of one daemon.

    Attributes:
        host: Name of the host.
        service: Service of the host's upstream.
        failure_domain: Failure domain of the host.
        region: Region of the failure domain.
        callers: Listening address for callers.
        upstream_side: Listening address for the local upstream.
        peers: Listening address for other daemons.
        operators: Listening address for operators.
        upstream: Address of the local upstream.
        platform: Addresses of the platform's configuration service.
        seeds: Addresses of peers to contact if the platform is down.
        fleet_key: Key with which daemons authenticate to each other.
        operator_key: Key with which operators authenticate.
        log_level: Lowest level that is logged.
    """

    host: str
    service: str
    failure_domain: str
    region: str
    callers: Address
    upstream_side: Address
    peers: Address
    operators: Address
    upstream: Address
    platform: tuple[Address, ...]
    seeds: tuple[Address, ...]
    fleet_key: str = attrs.field(repr=False)
    operator_key: str = attrs.field(repr=False)
    log_level: str


def read_settings(path: str | os.PathLike[str]) -> Result[Settings, SettingsError]:
    """Read and check a settings file.

    Args:
        path: Path of the file, JSON with comments.
    """
    return read_settings_file(path, _read_settings)


def parse_settings(text: str, source: str) -> Result[Settings, SettingsError]:
    """Parse and check the text of a settings file.

    Args:
        text: JSON with comments.
        source: Name of the file from which the text was read.
    """
    return parse_settings_text(text, source, _read_settings)


def _read_settings(root: ObjectReader) -> Settings:
    root.allow_only(
        (
            "host",
            "service",
            "failure_domain",
            "region",
            "addresses",
            "upstream",
            "platform",
            "seeds",
            "fleet_key",
            "operator_key",
            "log_level",
        )
    )
    addresses = root.nested_object("addresses")
    ports = ("callers", "upstream_side", "peers", "operators")
    addresses.allow_only(ports)
    return Settings(
        host=root.text("host", HOST_PATTERN, HOST_ALLOWED),
        service=root.name("service"),
        failure_domain=root.name("failure_domain"),
        region=root.name("region", REGION_DEFAULT),
        **{port: addresses.address(port, lowest_port=0) for port in ports},
        upstream=root.address("upstream"),
        platform=root.addresses("platform"),
        seeds=root.addresses("seeds", []),
        fleet_key=root.secret("fleet_key", KEY_PATTERN, KEY_ALLOWED),
        operator_key=root.secret("operator_key", KEY_PATTERN, KEY_ALLOWED),
        log_level=root.choice("log_level", LOG_LEVELS, LOG_LEVEL_DEFAULT),
    )
