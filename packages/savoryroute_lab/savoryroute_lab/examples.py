"""Writes the example documents and settings.

Usage:
  examples FOLDER
"""

from __future__ import annotations

import json
import pathlib
import sys
from collections.abc import Mapping

import docopt

from .deployment import DEEP_SOUTH, NAIROBI
from .wiring import HostPorts, Wiring

__all__ = ["main", "render", "write_examples"]

LINE_WIDTH = 88
INDENT = "  "
EXAMPLE_PLATFORM_PORT = 7001
EXAMPLE_FIRST_PORT = 7100
EXAMPLE_PORTS_PER_HOST = 10

DOCUMENT_COMMENTS = {
    "environment": '"production" is enforced; "trial" is only evaluated.',
    "version": "Informational; the platform revision decides which document is newer.",
    "failure_domains": "Failure domains and their regions.",
    "classes": "Rank 0 is refused last. Times apply to the whole action.",
    "services": "Limits apply to each upstream. The first matching route is used.",
    "retries": "Retries are limited to a ratio of first attempts, and at every hop.",
    "ejection": "Largest fraction of a service that may be ejected as failing.",
    "quarantine": "A request that crashed this many upstreams is refused for a time.",
    "spill_over": "Whether calls to a full failure domain may go to the others.",
}
SETTINGS_COMMENTS = {
    "host": "Name of this host, as in the platform's list.",
    "addresses": "Addresses to listen on, as IP:port.",
    "upstream": "Address of the upstream on this host.",
    "platform": "Replicas of the configuration service.",
    "seeds": "Peers to contact when the platform is unreachable.",
    "fleet_key": "Secret shared by all daemons; replace it.",
    "operator_key": "Secret for the operators' port; replace it.",
    "log_level": "debug, info, warning or error.",
}


def render(members: Mapping[str, object], comments: Mapping[str, str]) -> str:
    """Return JSON5 with comments above the top-level members."""
    lines = ["{"]
    for name, value in members.items():
        if name in comments:
            lines.append(f"{INDENT}// {comments[name]}")
        lines.append(f"{INDENT}{_name(name)}: {_value(value, 1)},")
    lines.append("}")
    return "\n".join(lines) + "\n"


def write_examples(folder: pathlib.Path) -> list[pathlib.Path]:
    """Write all examples into a folder and return their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    texts = {
        "nairobi-production.json5": _document(NAIROBI.document("production", 1)),
        "deep-south-production.json5": _document(DEEP_SOUTH.document("production", 1)),
        "daemon-settings.json5": _settings(),
    }
    paths = []
    for name, text in texts.items():
        path = folder / name
        path.write_text(text)
        paths.append(path)
    return paths


def _document(members: Mapping[str, object]) -> str:
    return render(members, DOCUMENT_COMMENTS)


def _settings() -> str:
    ports = {
        upstream.host: HostPorts(
            *range(first, first + 6)  # One port for each field of HostPorts.
        )
        for upstream, first in zip(
            NAIROBI.upstreams,
            range(EXAMPLE_FIRST_PORT, 65_536, EXAMPLE_PORTS_PER_HOST),
            strict=False,
        )
    }
    wiring = Wiring(NAIROBI, EXAMPLE_PLATFORM_PORT, EXAMPLE_PLATFORM_PORT + 1, ports)
    return render(wiring.daemon_settings(NAIROBI.upstreams[0]), SETTINGS_COMMENTS)


def _value(value: object, depth: int) -> str:
    flat = _flat(value)
    is_short = len(flat) + len(INDENT) * depth < LINE_WIDTH
    if is_short and not _has_tables(value):
        return flat
    inner = INDENT * (depth + 1)
    if isinstance(value, Mapping):
        parts = [
            f"{inner}{_name(name)}: {_value(member, depth + 1)},"
            for name, member in value.items()
        ]
        return "\n".join(["{", *parts, INDENT * depth + "}"])
    if isinstance(value, list):
        parts = [f"{inner}{_value(member, depth + 1)}," for member in value]
        return "\n".join(["[", *parts, INDENT * depth + "]"])
    return flat


def _has_tables(value: object) -> bool:
    members = value.values() if isinstance(value, Mapping) else value
    if isinstance(value, str) or not isinstance(value, (Mapping, list)):
        return False
    return any(isinstance(member, Mapping) for member in members)


def _flat(value: object) -> str:
    if isinstance(value, Mapping):
        parts = (f"{_name(name)}: {_flat(member)}" for name, member in value.items())
        return "{" + ", ".join(parts) + "}"
    return json.dumps(value)


def _name(name: str) -> str:
    return name if name.isidentifier() else json.dumps(name)


def main() -> int:
    """Write the examples."""
    options = docopt.docopt(__doc__)
    for path in write_examples(pathlib.Path(options["FOLDER"])):
        print(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
