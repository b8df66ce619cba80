"""Entries with values that no upstream can have, as another program writes them."""

from __future__ import annotations

from .stand_ins import entry

__all__ = ["ODD_ENTRIES"]

IP = "127.9.9.9"
PORT = 8080
NESTED = b"[" * 100_000 + b"]" * 100_000

ODD_ENTRIES = {
    "slots beyond floats": entry("planner", IP, PORT, slots=10**400),
    "slots beyond ports": entry("planner", IP, PORT, slots=10**9),
    "slots below one": entry("planner", IP, PORT, slots=0),
    "start beyond frames": entry("planner", IP, PORT, born=10**17),
    "start below zero": entry("planner", IP, PORT, born=-1),
    "report beyond frames": entry("planner", IP, PORT, sequence=10**17),
    "report below zero": entry("planner", IP, PORT, sequence=-1),
    "endless slow start": entry(
        "planner", IP, PORT, **{"cold-remaining": "9" * 400 + "s"}
    ),
    "long slow start": entry("planner", IP, PORT, **{"cold-remaining": "999999999s"}),
    "half a surrogate pair as service": entry("\ud800", IP, PORT),
    "half a surrogate pair as zone": entry("planner", IP, PORT, zone="\udfff"),
    "empty service": entry("", IP, PORT),
    "long zone": entry("planner", IP, PORT, zone="z" * 100_000),
    "port out of range": entry("planner", IP, 99_999),
    "nested value": entry("planner", IP, PORT).replace(b'"v1"', NESTED),
    "number of many digits": entry("planner", IP, PORT).replace(b'"v1"', b"9" * 5_000),
}
