"""Arguments of a command as a typed object."""

from __future__ import annotations

import os
import pathlib

import attrs

from savoryroute.state.address import Address

__all__ = ["Options", "UsageError"]

OPERATOR_KEY_VARIABLE = "SAVORYROUTE_OPERATOR_KEY"
TIMEOUT_MS_MAX = 99_999_999
"""Largest value of the header ``grpc-timeout``, which has eight digits."""


class UsageError(Exception):
    """An argument or a key file is invalid."""


@attrs.frozen
class Options:
    """Arguments and options of one command; those not given are empty.

    Attributes:
        files: Paths of files, in the order of the usage text.
        out: Path of the file to write.
        addresses: Operators' addresses of daemons.
        action: Id of an action.
        logs: Path of a file with log lines of daemons.
        key_file: Path of the file with the operator key.
        is_following: Whether to continue to show new entries.
        url: Where to send a request.
        method: HTTP method of the request.
        data: Body of the request.
        key: Idempotency key of the request.
        timeout_ms: Milliseconds that the whole action may take.
        is_retrying: Whether to retry after a refusal that names a retry time.
    """

    files: tuple[str, ...] = ()
    out: str | None = None
    addresses: tuple[Address, ...] = ()
    action: str = ""
    logs: str | None = None
    key_file: str | None = None
    is_following: bool = False
    url: str = ""
    method: str = "GET"
    data: bytes = b""
    key: str | None = None
    timeout_ms: int | None = None
    is_retrying: bool = False

    @classmethod
    def from_docopt(cls, arguments: dict) -> Options:
        """Return the options that docopt has parsed.

        Raises:
            UsageError: An address or a number is malformed.
        """
        names = ("FILE", "TRIAL", "PRODUCTION", "OLD", "NEW")
        return cls(
            files=tuple(arguments[name] for name in names if arguments[name]),
            out=arguments["--out"],
            addresses=tuple(map(_parse_address, arguments["ADDRESS"])),
            action=arguments["ACTION"] or "",
            logs=arguments["--logs"],
            key_file=arguments["--key-file"],
            is_following=arguments["--follow"],
            url=arguments["URL"] or "",
            method=arguments["--method"].upper(),
            data=(arguments["--data"] or "").encode("utf-8", "surrogateescape"),
            key=arguments["--key"],
            timeout_ms=_parse_timeout(arguments["--timeout"]),
            is_retrying=arguments["--retry"],
        )

    def operator_key(self) -> str:
        """Return the operator key, or an empty string if there is none.

        Raises:
            UsageError: The key file cannot be read.
        """
        if self.key_file is None:
            return os.environ.get(OPERATOR_KEY_VARIABLE, "")
        try:
            return pathlib.Path(self.key_file).read_text().strip()
        except (OSError, UnicodeDecodeError) as exc:
            raise UsageError(f"{self.key_file}: no readable key: {exc}") from None


def _parse_address(text: str) -> Address:
    address = Address.parse(text)
    if address is None or address.port == 0:
        raise UsageError(f"{text}: not an IP address and a port such as 127.0.0.1:7104")
    return address


def _parse_timeout(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdecimal() or not 1 <= int(text[:9]) <= TIMEOUT_MS_MAX:
        raise UsageError(f"--timeout {text}: not 1 to {TIMEOUT_MS_MAX} milliseconds")
    return int(text)
