"""Kinds of action that callers send."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from .calls import Plan

__all__ = ["ActionTemplate", "LoadClass", "RetryMode"]


class RetryMode(enum.StrEnum):
    """What a caller does where it got no whole answer."""

    NEVER = "never"
    IMMEDIATE = "hard"
    BACKOFF = "polite"


@attrs.frozen
class ActionTemplate:
    """One kind of action.

    Attributes:
        class_name: Class that the tally counts it under.
        service: Service called.
        path: Path; ``{n}`` is replaced by a running number.
        method: HTTP method.
        idempotent: Whether the action may run more than once.
        plan: Chain below the upstream, and faults asked for.
        timeout_s: Time for one attempt, as told to the entry.
        grace_s: Time that the caller waits beyond it.
        resend: What the caller does without a whole answer.
        resends_failed: Whether an idempotent action is sent again after an answer
            with a status of 500 or above, too.
        maximum_sends: Most attempts, those for a first key included.
        body: Body sent.
        headers: Further headers, such as ``Savoryroute-Cancels``.
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
    """Kinds of action that arrive at one rate, each as likely as the next."""

    rate_per_s: float
    templates: tuple[ActionTemplate, ...]
