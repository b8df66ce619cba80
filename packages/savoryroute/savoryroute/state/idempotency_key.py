"""Idempotency keys, each of which names the only host that may run its action."""

from __future__ import annotations

import base64
import re
import secrets

import attrs
from result import Err, Ok, Result

from ..verdict import Reason, Refusal, Verdict

__all__ = ["KEY_LENGTH_MAX", "IdempotencyKey", "mint_key", "parse_key"]

KEY_LENGTH_MAX = 128
NONCE_BYTES = 16

# Only numbers without leading zeros match, so that a key has exactly one spelling.
_KEY = re.compile(
    r"sr1"
    r"\.(?P<host>[A-Za-z0-9](?:[A-Za-z0-9_.-]{0,61}[A-Za-z0-9])?)"
    r"\.(?P<incarnation>0|[1-9][0-9]{0,18})"
    r"\.(?P<minted_ms>0|[1-9][0-9]{0,14})"
    r"\.(?P<nonce>[a-z2-7]{26})",
    re.ASCII,
)


@attrs.frozen
class IdempotencyKey:
    """Identity of one non-idempotent action.

    Attributes:
        host: The only host that may ever run the action.
        incarnation: The only incarnation of that host that may run it.
        minted_ms: Uptime of that incarnation when the key was minted, in
            milliseconds.
        nonce: 128 random bits in base32, lower case.
    """

    host: str
    incarnation: int
    minted_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"sr1.{self.host}.{self.incarnation}.{self.minted_ms}.{self.nonce}"


def mint_key(host: str, incarnation: int, uptime_ms: int) -> str:
    """Return a new key that is owned by ``host`` in ``incarnation``.

    Args:
        host: Name of the owner.
        incarnation: Last known incarnation of the owner.
        uptime_ms: Uptime of the owner in milliseconds. An estimate must not exceed
            the true value: the last reported uptime plus the time since the report
            arrived.
    """
    random = base64.b32encode(secrets.token_bytes(NONCE_BYTES))
    nonce = random.decode("ascii").rstrip("=").lower()
    return str(IdempotencyKey(host, incarnation, max(0, uptime_ms), nonce))


def parse_key(text: str) -> Result[IdempotencyKey, Refusal]:
    """Parse the key in a header value.

    Args:
        text: The bare key, or the key in quotes as an RFC 8941 string.

    Returns:
        The key, or a refusal with reason ``KEY_INVALID``.
    """
    if len(text) > KEY_LENGTH_MAX + 2:
        return Err(_invalid(f"a key has at most {KEY_LENGTH_MAX} characters"))
    match = _KEY.fullmatch(_unquote(text))
    if match is None or len(match[0]) > KEY_LENGTH_MAX:
        return Err(
            _invalid("the key does not have the form of a key minted by a daemon")
        )
    key = IdempotencyKey(
        host=match["host"],
        incarnation=int(match["incarnation"]),
        minted_ms=int(match["minted_ms"]),
        nonce=match["nonce"],
    )
    return Ok(key)


def _unquote(text: str) -> str:
    """Return ``text`` without one pair of enclosing quotes."""
    if len(text) >= 2 and text[0] == '"' and text[-1] == '"':
        return text[1:-1]
    return text


def _invalid(detail: str) -> Refusal:
    """Return the refusal of a text that is not a valid key and so names no action."""
    return Refusal(Verdict.NOT_RUN, Reason.KEY_INVALID, detail)
