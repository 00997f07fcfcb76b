"""HTTP client that tells calls without effect from calls of unknown effect."""

import asyncio
from dataclasses import dataclass

import aiohttp

from banyanswitch.components.platform.const import (
    CONNECT_SHARE,
    DEFAULT_RETRY_AFTER_S,
    HEADER_CALLER,
    MAX_CONNECTIONS,
)
from banyanswitch.const import HEADER_RETRY_AFTER
from banyanswitch.exceptions import (
    PlatformError,
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
)
from banyanswitch.identifiers import InstanceId

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Answer of a service of the platform."""

    status: int
    body: bytes


class PlatformClient:
    """Calls one service of the platform with a deadline.

    Parameters
    ----------
    base_url : str
        URL of the service, without a slash at the end.
    caller : InstanceId
        This instance, named in each request.
    timeout_s : float
        Deadline of one call.
    """

    def __init__(self, base_url: str, caller: InstanceId, timeout_s: float) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = {HEADER_CALLER: caller}
        self._timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            connect=timeout_s * CONNECT_SHARE,
            sock_connect=timeout_s * CONNECT_SHARE,
        )
        self._session: aiohttp.ClientSession | None = None

    async def async_call(
        self,
        method: str,
        route: str,
        *,
        body: bytes | None = None,
        has_effect: bool,
    ) -> PlatformAnswer:
        """Send one request, at most once.

        Parameters
        ----------
        has_effect : bool
            Whether the request changes something, so that a lost answer leaves
            its outcome unknown.

        Raises
        ------
        PlatformUnavailableError
            If the request had no effect.
        PlatformOutcomeUnknownError
            If it may have had one.
        """
        try:
            return await self._async_send(method, route, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PlatformUnavailableError(
                f"no connection to the platform for {route}", DEFAULT_RETRY_AFTER_S
            ) from error
        except (aiohttp.ClientError, asyncio.TimeoutError, OSError) as error:
            if has_effect:
                raise PlatformOutcomeUnknownError(f"no answer to {route}") from error
            raise PlatformUnavailableError(
                f"no answer to {route}", DEFAULT_RETRY_AFTER_S
            ) from error

    async def async_close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _async_send(
        self, method: str, route: str, body: bytes | None
    ) -> PlatformAnswer:
        session = self._open_session()
        async with session.request(
            method, f"{self._base_url}{route}", data=body
        ) as response:
            content = await response.read()
            retry_after_s = parse_retry_after(response.headers.get(HEADER_RETRY_AFTER))
        if response.status in (STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE):
            raise PlatformUnavailableError(
                f"platform refused {route} with status {response.status}",
                retry_after_s,
            )
        if response.status in (STATUS_OK, STATUS_NOT_FOUND, STATUS_CONFLICT):
            return PlatformAnswer(response.status, content)
        raise PlatformError(f"platform answered {route} with status {response.status}")

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                headers=self._headers,
                timeout=self._timeout,
                connector=aiohttp.TCPConnector(limit=MAX_CONNECTIONS),
            )
        return self._session


def parse_retry_after(value: str | None) -> float:
    """Return the seconds of a ``Retry-After`` header, or a default."""
    if value is None:
        return DEFAULT_RETRY_AFTER_S
    try:
        return max(0.0, float(value))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S
