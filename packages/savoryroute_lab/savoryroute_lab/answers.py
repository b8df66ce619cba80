"""Bodies that let a caller verify that an answer is whole and its own."""

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
        payload: Bytes that the stated length and digest cover.
    """

    request_id: str
    service: str
    host: str
    payload: bytes


def encode_answer(answer: Answer) -> bytes:
    """Return a line of JSON with length and digest, followed by the payload."""
    head = {
        "request": answer.request_id,
        "service": answer.service,
        "host": answer.host,
        "length": len(answer.payload),
        "sha256": _digest(answer),
    }
    return json.dumps(head).encode() + b"\n" + answer.payload


def verify_answer(body: bytes, request_id: str) -> Result[Answer, str]:
    """Check that a body is whole and answers the request named.

    Returns:
        The answer, or one sentence that says what is wrong.
    """
    line, _, payload = body.partition(b"\n")
    try:
        head = json.loads(line)
        answer = Answer(head["request"], head["service"], head["host"], payload)
        length, digest = head["length"], head["sha256"]
    except (ValueError, KeyError, TypeError):
        return Err("the body has no head line")
    if len(payload) != length:
        return Err(f"{len(payload)} of {length} bytes arrived")
    if _digest(answer) != digest:
        return Err("the digest differs")
    if answer.request_id != request_id:
        return Err(f"the answer is for {answer.request_id}")
    return Ok(answer)


def _digest(answer: Answer) -> str:
    return hashlib.sha256(answer.request_id.encode() + answer.payload).hexdigest()
