"""Templates of the actions that callers send."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from .calls import Plan

__all__ = ["ActionTemplate", "LoadClass", "RetryMode"]


class RetryMode(enum.StrEnum):
    """How a caller retries an action without a complete answer.

    ``IMMEDIATE`` retries at once. ``BACKOFF`` first waits for the ``retry_after_s`` of
    the answer, or for a default delay, plus jitter.
    """

    NEVER = "never"
    IMMEDIATE = "hard"
    BACKOFF = "polite"


@attrs.frozen
class ActionTemplate:
    """Template of one kind of action.

    Attributes:
        class_name: Class under which the tally counts the action.
        service: Service called.
        path: Path; ``{n}`` is replaced by the number of the request.
        method: HTTP method.
        idempotent: Whether the action may run more than once.
        plan: Downstream calls and faults that the request asks for.
        timeout_s: Timeout of one attempt, sent in ``grpc-timeout``.
        grace_s: Time beyond ``timeout_s`` that the caller waits for the answer.
        retry_mode: How the caller retries without a complete answer.
        retries_failed: Whether an idempotent action is also retried after an answer
            with a status of 500 or above.
        max_attempts: Most attempts, including those that only obtain a first key.
        body: Request body.
        headers: Additional headers, such as ``Savoryroute-Cancels``.
    """

    class_name: str
    service: str
    path: str
    method: str = "GET"
    idempotent: bool = True
    plan: Plan = Plan()
    timeout_s: float = 2.0
    grace_s: float = 0.2
    retry_mode: RetryMode = RetryMode.NEVER
    retries_failed: bool = False
    max_attempts: int = 6
    body: bytes = b""
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class LoadClass:
    """Templates that share one arrival rate and are chosen with equal probability."""

    rate_per_s: float
    templates: tuple[ActionTemplate, ...]
