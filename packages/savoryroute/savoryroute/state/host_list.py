"""The platform's list of hosts, which lags behind the state of the fleet."""

from __future__ import annotations

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from ..errors import DocumentError

__all__ = ["HostList", "ListedHost", "host_list_from_plain", "parse_host_list"]

N_HOSTS_MAX = 20_000
TEXT_MAX = 256
_TEXT_FIELDS = ("service", "failure_domain", "region", "peers")
_STATUSES = ("live", "leaving")


@attrs.frozen
class ListedHost:
    """One entry of the list.

    Attributes:
        host: Name of the host.
        service: Service of the host's upstream.
        failure_domain: Failure domain of the host.
        region: Region of the host.
        peers_address: ``ip:port`` on which its daemon accepts connections of peers.
        is_leaving: Whether the list marks the host as leaving.
    """

    host: str
    service: str
    failure_domain: str
    region: str
    peers_address: str
    is_leaving: bool


@attrs.frozen
class HostList:
    """Complete list of hosts by name."""

    hosts: dict[str, ListedHost]

    def to_plain(self) -> dict[str, Any]:
        """Return the form that is used for digests and differences."""
        return {"hosts": {name: _entry(host) for name, host in self.hosts.items()}}


def parse_host_list(text: str, source: str) -> Result[HostList, DocumentError]:
    """Parse and check the JSON text of the platform's host list."""
    try:
        value = json.loads(text)
    except (ValueError, RecursionError) as error:
        return Err(DocumentError(source, "", str(error)[:80], "JSON"))
    entries = value.get("hosts") if isinstance(value, dict) else None
    if not isinstance(entries, list):
        return Err(DocumentError(source, "hosts", type(entries).__name__, "a list"))
    by_name = {}
    for index, entry in enumerate(entries):
        name = entry.get("host") if isinstance(entry, dict) else None
        if not isinstance(name, str) or name in by_name:
            where = f"hosts[{index}].host"
            return Err(DocumentError(source, where, f"{name!r:.40}", "a unique name"))
        by_name[name] = {key: entry[key] for key in entry if key != "host"}
    return host_list_from_plain({"hosts": by_name}, source)


def host_list_from_plain(plain: Any, source: str) -> Result[HostList, DocumentError]:
    """Check a plain host list received from a peer, see ``HostList.to_plain``."""
    entries = plain.get("hosts") if isinstance(plain, dict) else None
    if not isinstance(entries, dict) or len(entries) > N_HOSTS_MAX:
        return Err(
            DocumentError(source, "hosts", "no map or too many hosts", "a map of hosts")
        )
    hosts = {}
    for name, entry in entries.items():
        where = f"hosts.{name!r:.40}"
        if not _is_text(name) or not isinstance(entry, dict):
            return Err(
                DocumentError(
                    source, where, "a malformed entry", "a host name and a map"
                )
            )
        for field in _TEXT_FIELDS:
            if not _is_text(entry.get(field)):
                found = f"{entry.get(field)!r:.40}"
                return Err(
                    DocumentError(source, f"{where}.{field}", found, "a non-empty text")
                )
        if entry.get("status") not in _STATUSES:
            found = f"{entry.get('status')!r:.40}"
            allowed = "live or leaving"
            return Err(DocumentError(source, f"{where}.status", found, allowed))
        hosts[name] = _listed(name, entry)
    return Ok(HostList(hosts))


def _is_text(value: Any) -> bool:
    """Return whether a value is a string of 1 to ``TEXT_MAX`` characters."""
    return isinstance(value, str) and 0 < len(value) <= TEXT_MAX


def _listed(name: str, entry: dict[str, Any]) -> ListedHost:
    """Return the typed form of a checked entry."""
    return ListedHost(
        host=name,
        service=entry["service"],
        failure_domain=entry["failure_domain"],
        region=entry["region"],
        peers_address=entry["peers"],
        is_leaving=entry["status"] == "leaving",
    )


def _entry(host: ListedHost) -> dict[str, str]:
    """Return the plain form of one entry."""
    return {
        "service": host.service,
        "failure_domain": host.failure_domain,
        "region": host.region,
        "peers": host.peers_address,
        "status": "leaving" if host.is_leaving else "live",
    }
