"""Mechanisms that an operator can switch off in the settings of a daemon.

Each of them decides how load is served; without it a plain variant decides. What is
promised to callers does not depend on any of them: bounds of attempts, at most one run,
planned stops, revoked keys and quotas have no switch.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import attrs

from ..registry import Registry

__all__ = ["ALL_ON", "MECHANISMS", "Switches", "switchable", "unknown_mechanisms"]

T = TypeVar("T")

# What happens without each mechanism, by its name.
MECHANISMS: Registry[str] = Registry("mechanism")


def switchable(name: str, without: str) -> Callable[[T], T]:
    """Return a decorator for the code of a mechanism that has a switch.

    Args:
        name: Name of the mechanism in the settings.
        without: What happens when it is switched off, for operators.

    Raises:
        RegistryError: The name is registered already.
    """

    def decorate(target: T) -> T:
        MECHANISMS.register(name)(without)
        return target

    return decorate


@attrs.frozen
class Switches:
    """Which mechanisms are switched off.

    Attributes:
        off: Names of the mechanisms.
    """

    off: frozenset[str] = frozenset()

    def has(self, name: str) -> bool:
        """Return whether a mechanism is on.

        Raises:
            RegistryError: There is no mechanism of this name.
        """
        MECHANISMS.get(name)
        return name not in self.off

    def pick(self, name: str, usual: T, plain: T) -> T:
        """Return the usual value if a mechanism is on, else the plain one."""
        return usual if self.has(name) else plain


ALL_ON = Switches()


def unknown_mechanisms(names: Iterable[str]) -> list[str]:
    """Return those of the names that no mechanism has, in order."""
    return [name for name in names if name not in MECHANISMS]
