"""HTTP client of the platform; its errors tell whether a call may have had effect."""

import asyncio

import aiohttp

from banyanswitch.components.http1.const import MAX_TABLE_BODY_BYTES
from banyanswitch.components.http1.library_limits import (
    LimitedConnector,
    async_read_limited,
)
from banyanswitch.components.table_service.circuit_breaker import CircuitBreaker
from banyanswitch.components.table_service.const import (
    DEFAULT_RETRY_AFTER_S,
    MAX_CONNECTIONS,
)
from banyanswitch.components.table_service.models import PlatformResponse
from banyanswitch.const import HEADER_CALLER, HEADER_RETRY_AFTER
from banyanswitch.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    WriteBudgetExceededError,
)
from banyanswitch.identifiers import InstanceId

STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
FIRST_SERVER_ERROR_STATUS = 500


def new_platform_session() -> aiohttp.ClientSession:
    """Return a session for the clients of the platform's services."""
    connector = LimitedConnector(limit=0, limit_per_host=MAX_CONNECTIONS)
    return aiohttp.ClientSession(connector=connector)


class PlatformClient:
    """HTTP client of one service of the platform.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the component; the client does not close it.
    base_url : str
        URL of the service.
    caller : InstanceId
        Name of this instance, sent with each request.
    timeout_s : float
        Total time limit of one call, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        caller: InstanceId,
        timeout_s: float,
    ) -> None:
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._headers = {HEADER_CALLER: caller}
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._read_breaker = CircuitBreaker(f"reading from {self._base_url}")
        self._write_breaker = CircuitBreaker(f"writing to {self._base_url}")

    async def async_read(
        self, method: str, path: str, body: bytes | None = None
    ) -> PlatformResponse:
        """Make a call that has no side effects.

        Raises
        ------
        PlatformUnavailableError
            If the service can't be reached, does not respond in time, throttles the
            call or responds with a server error.
        """
        try:
            return await self._async_call(method, path, body, self._read_breaker)
        except PlatformOutcomeUnknownError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_write(
        self, method: str, path: str, body: bytes
    ) -> PlatformResponse:
        """Make a call that has side effects.

        Raises
        ------
        WriteBudgetExceededError
            If the service throttles the call; it had no effect.
        PlatformUnavailableError
            If the service did not accept the call; it had no effect.
        PlatformOutcomeUnknownError
            If the call may have taken effect.
        """
        return await self._async_call(method, path, body, self._write_breaker)

    async def _async_call(
        self, method: str, path: str, body: bytes | None, breaker: CircuitBreaker
    ) -> PlatformResponse:
        loop = asyncio.get_running_loop()
        breaker.check(loop.time())
        try:
            response = await self._async_request(method, path, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            breaker.record_failure(loop.time())
            raise PlatformUnavailableError(str(error)) from error
        except (aiohttp.ClientError, aiohttp.EofStream, TimeoutError) as error:
            breaker.record_failure(loop.time())
            reason = f"no answer to {method} {path}: {error!r}"
            raise PlatformOutcomeUnknownError(reason) from error
        if response.status == STATUS_TOO_MANY_REQUESTS:
            breaker.record_success()
            raise WriteBudgetExceededError(
                response.retry_after_s or DEFAULT_RETRY_AFTER_S
            )
        if response.status >= FIRST_SERVER_ERROR_STATUS:
            breaker.record_failure(loop.time())
            raise _error_of_status(method, path, response)
        breaker.record_success()
        return response

    async def _async_request(
        self, method: str, path: str, body: bytes | None
    ) -> PlatformResponse:
        async with self._session.request(
            method,
            self._base_url + path,
            data=body,
            headers=self._headers,
            timeout=self._timeout,
            allow_redirects=False,
        ) as response:
            content = await async_read_limited(response, MAX_TABLE_BODY_BYTES)
            retry_after_s = _retry_after_s(response.headers.get(HEADER_RETRY_AFTER))
            return PlatformResponse(response.status, content, retry_after_s)


def _error_of_status(
    method: str, path: str, response: PlatformResponse
) -> PlatformUnavailableError | PlatformOutcomeUnknownError:
    reason = f"{method} {path} was answered with status {response.status}"
    if response.status == STATUS_UNAVAILABLE:
        return PlatformUnavailableError(reason, response.retry_after_s)
    return PlatformOutcomeUnknownError(reason)


def _retry_after_s(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value))
    except ValueError:
        return None
