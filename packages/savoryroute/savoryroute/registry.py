"""Registries of classes and functions, filled by decorators."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from .errors import RegistryError

__all__ = ["Registry"]

T = TypeVar("T")
K = TypeVar("K", bound=object)


class Registry(Generic[T]):
    """Mapping from a key to a class or function, filled by ``register``."""

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[object, T] = {}

    def register(self, key: object) -> Callable[[T], T]:
        """Return a decorator that registers its target under ``key``.

        Raises:
            RegistryError: The decorator finds the key already registered.
        """

        def decorate(target: T) -> T:
            if key in self._entries:
                raise RegistryError(f"{self._kind} {key!r} is registered twice")
            self._entries[key] = target
            return target

        return decorate

    def get(self, key: object) -> T:
        """Return the entry under ``key``.

        Raises:
            RegistryError: No entry is registered under the key.
        """
        try:
            return self._entries[key]
        except KeyError:
            known = ", ".join(sorted(map(str, self._entries)))
            raise RegistryError(
                f"unknown {self._kind} {key!r}; known: {known}"
            ) from None

    def __contains__(self, key: object) -> bool:
        return key in self._entries

    def __iter__(self) -> Iterator[object]:
        return iter(self._entries)
