"""Documents for tests."""

from __future__ import annotations

import copy

__all__ = ["MINIMAL", "changed", "large_document"]

MINIMAL = {
    "environment": "production",
    "version": 1,
    "classes": {"booking": {"rank": 0}, "price_check": {"rank": 3}},
    "services": {
        "planner": {
            "routes": [
                {"path": "/plans/", "class": "price_check"},
                {"method": "POST", "path": "/orders", "class": "booking"},
            ]
        }
    },
}


def changed(path: str, value: object) -> dict:
    """Return the minimal document with one value set by its dotted path."""
    plain = copy.deepcopy(MINIMAL)
    *parents, last = path.split(".")
    members = plain
    for name in parents:
        members = (
            members[int(name)]
            if isinstance(members, list)
            else members.setdefault(name, {})
        )
    members[last] = value
    return plain


def large_document(n_services: int) -> dict:
    """Return a document with many services."""
    planner = MINIMAL["services"]["planner"]
    services = {f"service-{i}": copy.deepcopy(planner) for i in range(n_services)}
    return copy.deepcopy(MINIMAL) | {"services": services}
