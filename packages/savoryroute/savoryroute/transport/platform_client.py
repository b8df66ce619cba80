"""Clients that read and watch values of the platform's configuration service."""

from __future__ import annotations

import abc
import asyncio
from collections import Counter

import aiohttp
import attrs
from result import Err, Ok, Result

from ..errors import PlatformError
from .bounded_read import read_body

__all__ = ["HttpPlatform", "MemoryPlatform", "PlatformReader", "PlatformValue"]

READ_TIMEOUT_S = 2.0
# Time after the end of a watch's wait in which its answer must arrive.
WATCH_MARGIN_S = 2.0
VALUE_BYTES_MAX = 1024 * 1024


@attrs.frozen
class PlatformValue:
    """A value and the revision at which it was written.

    Attributes:
        text: The value.
        revision: Number that grows with each write of any key.
    """

    text: str
    revision: int


class PlatformReader(abc.ABC):
    """Access of one host to the platform. Each call counts as one read."""

    @abc.abstractmethod
    async def read(self, key: str) -> Result[PlatformValue | None, PlatformError]:
        """Return the value of ``key``, or None if it has none."""

    @abc.abstractmethod
    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> Result[PlatformValue | None, PlatformError]:
        """Wait for a revision of ``key`` above ``after_revision``.

        Returns:
            The value, None if there was none within ``wait_s`` seconds, or why the
            platform did not answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class HttpPlatform(PlatformReader):
    """Platform over HTTP; the first of several addresses that answers is used."""

    def __init__(self, addresses: list[str], host: str) -> None:
        self._addresses = list(addresses)
        self._host = host
        self._session: aiohttp.ClientSession | None = None

    async def read(self, key: str) -> Result[PlatformValue | None, PlatformError]:
        """Return the value of ``key``, or None if it has none."""
        return await self._get(key, {}, READ_TIMEOUT_S)

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> Result[PlatformValue | None, PlatformError]:
        """Wait for a revision of ``key`` above ``after_revision``."""
        query = {"after": str(after_revision), "wait_s": f"{wait_s:g}"}
        return await self._get(key, query, wait_s + WATCH_MARGIN_S)

    async def close(self) -> None:
        """Close the HTTP session."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def _get(
        self, key: str, query: dict[str, str], timeout_s: float
    ) -> Result[PlatformValue | None, PlatformError]:
        """Try each address in turn; one that fails moves to the end of the list."""
        result: Result[PlatformValue | None, PlatformError]
        result = Err(PlatformError("no address of the platform is configured"))
        for address in list(self._addresses):
            result = await self._get_from(address, key, query, timeout_s)
            if result.is_ok():
                return result
            self._addresses.remove(address)
            self._addresses.append(address)
        return result

    async def _get_from(
        self, address: str, key: str, query: dict[str, str], timeout_s: float
    ) -> Result[PlatformValue | None, PlatformError]:
        """Send the request to one address."""
        url = f"http://{address}/v1/values/{key}"
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self._open_session().get(
                url, params=query, timeout=timeout
            ) as response:
                return await _value_of(response)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Err(PlatformError(f"{address}: {type(error).__name__}: {error}"))

    def _open_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, which is opened at its first use."""
        if self._session is None:
            headers = {"User-Agent": f"savoryroute/{self._host}"}
            self._session = aiohttp.ClientSession(headers=headers)
        return self._session


async def _value_of(
    response: aiohttp.ClientResponse,
) -> Result[PlatformValue | None, PlatformError]:
    """Return the value in a response."""
    if response.status in (304, 404):
        return Ok(None)
    if response.status != 200:
        return Err(PlatformError(f"unexpected status {response.status}"))
    revision = int(response.headers.get("X-Revision", "-1"))
    if revision < 0:
        return Err(PlatformError("the answer has no valid revision"))
    body = await read_body(response, VALUE_BYTES_MAX)
    if body is None:
        return Err(PlatformError(f"the value is longer than {VALUE_BYTES_MAX} bytes"))
    return Ok(PlatformValue(body.decode(), revision))


class MemoryPlatform:
    """In-memory platform for tests, with outages, stale reads and read counts."""

    def __init__(self) -> None:
        self._history: dict[str, list[PlatformValue]] = {}
        self._revision = 0
        self._is_down = False
        self._is_silent = False
        self._cut_off_hosts: set[str] = set()
        self._stale: dict[str, int] = {}
        self._n_reads: Counter[str] = Counter()
        self._changed = asyncio.Event()

    @property
    def n_reads(self) -> Counter[str]:
        """Number of reads and watches so far, by host."""
        return self._n_reads

    @property
    def revision(self) -> int:
        """Revision of the latest write."""
        return self._revision

    def reader(self, host: str) -> PlatformReader:
        """Return the platform's client for one host."""
        return _MemoryReader(self, host)

    def publish(self, key: str, text: str) -> int:
        """Write a value and return its revision."""
        self._revision += 1
        value = PlatformValue(text, self._revision)
        self._history.setdefault(key, []).append(value)
        self._notify()
        return self._revision

    def set_down(self, is_down: bool) -> None:
        """Start or end an outage for all hosts."""
        self._is_down = is_down
        self._notify()

    def set_silent(self, is_silent: bool) -> None:
        """Start or end an outage in which calls, pending ones too, get no answer."""
        self._is_silent = is_silent
        self._notify()

    def set_cut(self, host: str, is_cut: bool) -> None:
        """Disconnect one host from the platform, or reconnect it."""
        if is_cut:
            self._cut_off_hosts.add(host)
        else:
            self._cut_off_hosts.discard(host)
        self._notify()

    def set_stale(self, host: str, revision: int | None) -> None:
        """Hide from one host what is newer than ``revision``; None ends this."""
        if revision is None:
            self._stale.pop(host, None)
        else:
            self._stale[host] = revision
        self._notify()

    def count(self, host: str) -> None:
        """Count one read or watch of a host."""
        self._n_reads[host] += 1

    @property
    def is_silent(self) -> bool:
        """Whether calls get no answer."""
        return self._is_silent

    def is_reachable(self, host: str) -> bool:
        """Return whether the platform answers a host."""
        return not self._is_down and host not in self._cut_off_hosts

    def visible(self, host: str, key: str) -> PlatformValue | None:
        """Return the value that a host sees, or None."""
        bound = self._stale.get(host, self._revision)
        for value in reversed(self._history.get(key, [])):
            if value.revision <= bound:
                return value
        return None

    async def wait_for_change(self) -> None:
        """Return after the next write or change of reachability."""
        await self._changed.wait()

    def _notify(self) -> None:
        """Wake all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()


class _LostCallError(Exception):
    """The platform never answers this call."""


class _MemoryReader(PlatformReader):
    """Access of one host to a ``MemoryPlatform``."""

    def __init__(self, platform: MemoryPlatform, host: str) -> None:
        self._platform = platform
        self._host = host

    async def read(self, key: str) -> Result[PlatformValue | None, PlatformError]:
        """Return the value that this host sees, or None."""
        self._platform.count(self._host)
        await asyncio.sleep(0.001)
        if self._platform.is_silent:
            await asyncio.sleep(READ_TIMEOUT_S)
            return Err(PlatformError("no answer"))
        if not self._platform.is_reachable(self._host):
            return Err(PlatformError("unreachable"))
        return Ok(self._platform.visible(self._host, key))

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> Result[PlatformValue | None, PlatformError]:
        """Wait for a newer value that this host sees."""
        self._platform.count(self._host)
        started_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(wait_s):
                return await self._next(key, after_revision)
        except _LostCallError:
            elapsed_s = asyncio.get_running_loop().time() - started_s
            await asyncio.sleep(wait_s + WATCH_MARGIN_S - elapsed_s)
            return Err(PlatformError("no answer"))
        except TimeoutError:
            return Ok(None)

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def _next(
        self, key: str, after_revision: int
    ) -> Result[PlatformValue | None, PlatformError]:
        """Return the next newer value, or an error if the platform is unreachable."""
        while True:
            await asyncio.sleep(0.001)
            if self._platform.is_silent:
                raise _LostCallError
            if not self._platform.is_reachable(self._host):
                return Err(PlatformError("unreachable"))
            value = self._platform.visible(self._host, key)
            if value is not None and value.revision > after_revision:
                return Ok(value)
            await self._platform.wait_for_change()
