"""Exceptions of the package."""

from __future__ import annotations

__all__ = [
    "ConnectionClosedError",
    "DocumentError",
    "FrameError",
    "PlatformError",
    "RegistryError",
    "SavoryrouteError",
    "SettingsError",
]


class SavoryrouteError(Exception):
    """Base of all errors of this package."""


class RegistryError(SavoryrouteError):
    """A key is not in a registry, or is registered twice."""


class FrameError(SavoryrouteError):
    """Bytes from a peer are not a valid frame of the protocol."""


class ConnectionClosedError(SavoryrouteError):
    """A connection was closed, or could not be opened."""


class PlatformError(SavoryrouteError):
    """A read or a watch of the platform's configuration service failed."""


class CheckError(SavoryrouteError):
    """Input text failed a check.

    Attributes:
        source: Name of the file or key that the text came from.
        where: Path of the invalid value, such as ``classes.booking.rank``, or
            ``line 3 column 7`` if the text cannot be parsed.
        found: Description of the invalid value.
        allowed: Description of the valid values.
    """

    def __init__(self, source: str, where: str, found: str, allowed: str) -> None:
        super().__init__(f"{source}: {where}: found {found}; allowed: {allowed}")
        self.source = source
        self.where = where
        self.found = found
        self.allowed = allowed


class SettingsError(CheckError):
    """A settings file failed its check."""


class DocumentError(CheckError):
    """An environment document failed its check."""
