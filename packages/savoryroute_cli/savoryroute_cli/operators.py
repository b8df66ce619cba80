"""HTTP client for the operators' port of daemons."""

from __future__ import annotations

import aiohttp
import attrs
import yarl
from result import Err, Ok, Result

from savoryroute.state.address import Address

from .exit_code import ExitCode

__all__ = ["FetchError", "OperatorsClient"]

TIMEOUT_S = 5.0
HTTP_OK = 200


@attrs.frozen
class FetchError:
    """Failure to get a usable answer from a daemon.

    Attributes:
        exit_code: Exit code for the command.
        detail: Explanation for humans, one sentence.
    """

    exit_code: ExitCode
    detail: str


class OperatorsClient:
    """Client for the operators' ports, used as an asynchronous context manager.

    Args:
        operator_key: Key sent as a bearer token; no key is sent if it is empty.
    """

    def __init__(self, operator_key: str) -> None:
        self._headers = {}
        if operator_key:
            self._headers["Authorization"] = f"Bearer {operator_key}"
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> OperatorsClient:
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self._session = aiohttp.ClientSession(headers=self._headers, timeout=timeout)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._session.close()

    async def fetch(self, address: Address, path: str) -> Result[dict, FetchError]:
        """Request a path and return the JSON object in the answer.

        Args:
            address: Operators' address of a daemon.
            path: Path and query, percent-encoded.
        """
        url = yarl.URL(f"http://{address}{path}", encoded=True)
        try:
            async with self._session.get(url, allow_redirects=False) as answer:
                if answer.status != HTTP_OK:
                    detail = f"{address}: status {answer.status} {answer.reason}"
                    return Err(FetchError(ExitCode.REFUSED, detail))
                return _expect_object(address, await answer.json(content_type=None))
        except (TimeoutError, aiohttp.ClientError, OSError) as exc:
            detail = f"{address}: {exc or type(exc).__name__}"
            return Err(FetchError(ExitCode.UNREACHABLE, detail))
        except ValueError:
            detail = f"{address}: the answer is not JSON"
            return Err(FetchError(ExitCode.REFUSED, detail))


def _expect_object(address: Address, value: object) -> Result[dict, FetchError]:
    if not isinstance(value, dict):
        detail = f"{address}: the answer is not a JSON object"
        return Err(FetchError(ExitCode.REFUSED, detail))
    return Ok(value)
