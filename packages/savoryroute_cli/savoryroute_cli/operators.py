"""Client of the operators' port of daemons."""

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
    """Why a daemon gave no answer that can be used.

    Attributes:
        exit_code: Exit code that this calls for.
        detail: One sentence for a person.
    """

    exit_code: ExitCode
    detail: str


class OperatorsClient:
    """Reader of the operators' ports, used as an asynchronous context manager.

    Args:
        operator_key: Key to show to the daemons; none when empty.
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
        """Read one JSON object.

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
