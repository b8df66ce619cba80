"""Answer bodies that a caller can check for completeness and for their request."""

from __future__ import annotations

import hashlib
import json

import attrs
from result import Err, Ok, Result

__all__ = ["Answer", "encode_answer", "verify_answer"]


@attrs.frozen
class Answer:
    """Content of an upstream's answer.

    Attributes:
        request_id: Logical request that the answer belongs to.
        service: Service that answered.
        host: Host that answered.
        payload: Bytes covered by the length and the digest in the header line.
    """

    request_id: str
    service: str
    host: str
    payload: bytes


def encode_answer(answer: Answer) -> bytes:
    """Return a JSON header line with length and digest, followed by the payload."""
    header = {
        "request": answer.request_id,
        "service": answer.service,
        "host": answer.host,
        "length": len(answer.payload),
        "sha256": _digest(answer),
    }
    return json.dumps(header).encode() + b"\n" + answer.payload


def verify_answer(body: bytes, request_id: str) -> Result[Answer, str]:
    """Check that a body is complete and belongs to the request.

    Returns:
        The answer, or one sentence that describes the error.
    """
    header_line, _, payload = body.partition(b"\n")
    try:
        header = json.loads(header_line)
        answer = Answer(header["request"], header["service"], header["host"], payload)
        length, digest = header["length"], header["sha256"]
    except (ValueError, KeyError, TypeError):
        return Err("the body does not start with a valid JSON header line")
    if len(payload) != length:
        return Err(f"the payload has {len(payload)} bytes instead of {length}")
    if _digest(answer) != digest:
        return Err("the SHA-256 digest does not match the payload")
    if answer.request_id != request_id:
        return Err(f"the answer belongs to request {answer.request_id}")
    return Ok(answer)


def _digest(answer: Answer) -> str:
    return hashlib.sha256(answer.request_id.encode() + answer.payload).hexdigest()
