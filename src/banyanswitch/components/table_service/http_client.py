"""HTTP calls to the platform, with their errors sorted by what they prove."""

import asyncio

import aiohttp

from banyanswitch.components.table_service.const import DEFAULT_RETRY_AFTER_S
from banyanswitch.components.table_service.models import PlatformAnswer
from banyanswitch.components.table_service.outage_gate import OutageGate
from banyanswitch.const import HEADER_CALLER, HEADER_RETRY_AFTER
from banyanswitch.exceptions import (
    PlatformOutcomeUnknownError,
    PlatformUnavailableError,
    WriteBudgetExceededError,
)
from banyanswitch.identifiers import InstanceId

STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503
FIRST_ERROR_STATUS = 500


class PlatformClient:
    """Make calls to one service of the platform.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session of the component; not closed here.
    base_url : str
        Where the service listens.
    caller : InstanceId
        Name of this instance.
    timeout_s : float
        Deadline of one call, in seconds.
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
        self._read_gate = OutageGate(f"reading from {self._base_url}")
        self._write_gate = OutageGate(f"writing to {self._base_url}")

    async def async_read(
        self, method: str, path: str, body: bytes | None = None
    ) -> PlatformAnswer:
        """Make a call without effects.

        Raises
        ------
        PlatformUnavailableError
            If no usable answer came.
        """
        try:
            return await self._async_call(method, path, body, self._read_gate)
        except PlatformOutcomeUnknownError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def async_write(self, method: str, path: str, body: bytes) -> PlatformAnswer:
        """Make a call with effects.

        Raises
        ------
        PlatformUnavailableError
            If the service did not take the call.
        PlatformOutcomeUnknownError
            If the call may have had its effect.
        """
        return await self._async_call(method, path, body, self._write_gate)

    async def _async_call(
        self, method: str, path: str, body: bytes | None, gate: OutageGate
    ) -> PlatformAnswer:
        loop = asyncio.get_running_loop()
        gate.check(loop.time())
        try:
            answer = await self._async_exchange(method, path, body)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            gate.record_failure(loop.time())
            raise PlatformUnavailableError(str(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            gate.record_failure(loop.time())
            reason = f"no answer to {method} {path}: {error!r}"
            raise PlatformOutcomeUnknownError(reason) from error
        if answer.status == STATUS_TOO_MANY_REQUESTS:
            gate.record_success()
            raise WriteBudgetExceededError(
                answer.retry_after_s or DEFAULT_RETRY_AFTER_S
            )
        if answer.status >= FIRST_ERROR_STATUS:
            gate.record_failure(loop.time())
            raise _error_of_status(method, path, answer)
        gate.record_success()
        return answer

    async def _async_exchange(
        self, method: str, path: str, body: bytes | None
    ) -> PlatformAnswer:
        async with self._session.request(
            method,
            self._base_url + path,
            data=body,
            headers=self._headers,
            timeout=self._timeout,
            allow_redirects=False,
        ) as response:
            content = await response.read()
            retry_after_s = _retry_after_s(response.headers.get(HEADER_RETRY_AFTER))
            return PlatformAnswer(response.status, content, retry_after_s)


def _error_of_status(
    method: str, path: str, answer: PlatformAnswer
) -> PlatformUnavailableError | PlatformOutcomeUnknownError:
    reason = f"{method} {path} was answered with status {answer.status}"
    if answer.status == STATUS_UNAVAILABLE:
        return PlatformUnavailableError(reason, answer.retry_after_s)
    return PlatformOutcomeUnknownError(reason)


def _retry_after_s(value: str | None) -> float | None:
    if value is None:
        return None
    try:
        return max(0.0, float(value))
    except ValueError:
        return None
