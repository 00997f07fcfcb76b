"""HTTP client of upstreams that checks the identity of each response."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

from banyanswitch.components.http1.library_limits import (
    LimitedConnector,
    async_read_limited,
    async_send_once,
)
from banyanswitch.components.routing.const import (
    CANCEL_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    HEADER_CACHED_PIECES,
    NOT_RUN_CODES,
    READ_BUFFER_BYTES,
    RESPONSE_HEADERS_TIMEOUT_S,
    UPSTREAM_CONNECTIONS,
)
from banyanswitch.components.routing.models import (
    Attempt,
    CompleteResponse,
    OpenRun,
    StreamTarget,
    UpstreamDeclinedError,
    UpstreamRejectedError,
    UpstreamRequest,
)
from banyanswitch.const import (
    HEADER_RUN_ID,
    HEADER_WEIGHT_VERSION,
    HEADER_WORKSPACE,
)
from banyanswitch.exceptions import (
    IdentityMismatchError,
    UpstreamBrokenError,
    UpstreamNotSentError,
)
from banyanswitch.helpers.run_identity import RunIdentity
from banyanswitch.identifiers import RunId

STATUSES_WITHOUT_BODY = frozenset({204, 304})
SELF_DELIMITING = (b"{", b"[", b'"')
"""First bytes of the JSON documents that can't be valid after a part is missing."""


class DeclineDocument(msgspec.Struct, frozen=True):
    """Body of a response that reports that the request did not run."""

    code: str = ""


class UpstreamClient:
    """Send requests to upstreams."""

    def __init__(self) -> None:
        self._runs = _new_session()
        self._calls = _new_session()

    async def async_close(self) -> None:
        """Close all connections."""
        await self._runs.close()
        await self._calls.close()

    async def async_open_run(
        self, attempt: Attempt, path: str, headers: Mapping[str, str], body: bytes
    ) -> OpenRun:
        """Start a run and return it after the upstream has confirmed its identity.

        Raises
        ------
        UpstreamError
            If the request was not sent, was declined or rejected, failed, or got a
            response of another identity.
        """
        call = UpstreamRequest("POST", attempt.url + path, headers, body)
        response = await self._async_request(
            self._runs, call, RESPONSE_HEADERS_TIMEOUT_S
        )
        try:
            await _async_check_status(response)
            _check_identity(response, attempt.run_id, attempt.identity)
        except BaseException:
            response.close()
            raise
        cached = response.headers.get(HEADER_CACHED_PIECES, "0")
        return OpenRun(attempt, response, int(cached) if cached.isdigit() else 0)

    async def async_resume_run(
        self, target: StreamTarget, offset: int
    ) -> aiohttp.ClientResponse:
        """Resume reading a run from an event offset.

        Raises
        ------
        UpstreamError
            If the upstream no longer has the run or can't be reached, or the response
            has another identity.
        """
        call = UpstreamRequest(
            "GET",
            f"{target.url}/engine/runs/{target.run_id}/stream?from={offset}",
            {
                HEADER_RUN_ID: target.run_id,
                HEADER_WORKSPACE: target.identity.workspace,
            },
        )
        response = await self._async_request(
            self._runs, call, RESPONSE_HEADERS_TIMEOUT_S
        )
        try:
            await _async_check_status(response)
            _check_identity(response, target.run_id, target.identity)
        except BaseException:
            response.close()
            raise
        return response

    async def async_cancel_run(
        self, target: StreamTarget, *, only_if_unread: bool
    ) -> None:
        """Cancel a run at its upstream, on a best-effort basis.

        Parameters
        ----------
        only_if_unread : bool
            Whether the upstream continues the run if its stream is being read.
        """
        url = f"{target.url}/engine/runs/{target.run_id}"
        if only_if_unread:
            url += "?only_if_unread=true"
        try:
            response = await self._async_request(
                self._runs, UpstreamRequest("DELETE", url), CANCEL_TIMEOUT_S
            )
        except (UpstreamNotSentError, UpstreamBrokenError):
            return
        response.release()

    async def async_call_once(
        self,
        attempt: Attempt,
        call: UpstreamRequest,
        timeout_s: float,
    ) -> CompleteResponse:
        """Send a call once and return its complete response.

        Raises
        ------
        UpstreamNotSentError
            If no byte of the call was sent.
        UpstreamDeclinedError
            If the upstream reported that it did not run the call.
        UpstreamError
            If the call may have run.
        """
        response = await self._async_request(self._calls, call, timeout_s)
        try:
            async with asyncio.timeout(timeout_s), response:
                return await _async_read_complete(response, attempt)
        except TimeoutError as error:
            raise UpstreamBrokenError("no whole answer in time") from error

    async def _async_request(
        self,
        session: aiohttp.ClientSession,
        call: UpstreamRequest,
        timeout_s: float,
    ) -> aiohttp.ClientResponse:
        try:
            async with asyncio.timeout(timeout_s):
                return await session.request(
                    call.method,
                    call.url,
                    headers=call.headers,
                    data=call.body,
                    allow_redirects=False,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise UpstreamNotSentError(f"no connection to {call.url}") from error
        except (
            aiohttp.ClientError,
            aiohttp.EofStream,
            TimeoutError,
            OSError,
        ) as error:
            raise UpstreamBrokenError(
                f"no answer from {call.url}: {error!r}"
            ) from error


def _new_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=LimitedConnector(limit=UPSTREAM_CONNECTIONS),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        middlewares=(async_send_once,),
    )


async def async_read_response(run: OpenRun, timeout_s: float) -> CompleteResponse:
    """Return the complete response of a run that does not stream.

    Raises
    ------
    UpstreamBrokenError
        If the connection failed, or the response is too long or too late.
    """
    try:
        async with asyncio.timeout(timeout_s), run.response:
            body = await _async_read_body(run.response)
    except TimeoutError as error:
        raise UpstreamBrokenError("no whole answer in time") from error
    content_type = run.response.headers.get("Content-Type", "application/json")
    return CompleteResponse(run.response.status, content_type, body, run.attempt.run_id)


async def _async_read_complete(
    response: aiohttp.ClientResponse, attempt: Attempt
) -> CompleteResponse:
    body = await _async_read_body(response)
    _check_identity(response, attempt.run_id, attempt.identity)
    if response.status >= 400:
        code = _decline_code(body)
        if code in NOT_RUN_CODES:
            raise UpstreamDeclinedError(code)
    content_type = response.headers.get("Content-Type", "application/octet-stream")
    return CompleteResponse(response.status, content_type, body, attempt.run_id)


async def _async_read_body(response: aiohttp.ClientResponse) -> bytes:
    try:
        content = await async_read_limited(response)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        raise UpstreamBrokenError(f"the answer broke off: {error!r}") from error
    if _ends_with_connection(response) and not _is_whole_document(response, content):
        raise UpstreamBrokenError(
            "the answer has neither a length nor chunks, and its end can't be checked"
        )
    return content


def _ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    """Return whether only the end of the connection ends a response.

    The HTTP library reports a reset like an end in order.
    """
    headers = response.headers
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return False
    return "Content-Length" not in headers and "Transfer-Encoding" not in headers


def _is_whole_document(response: aiohttp.ClientResponse, content: bytes) -> bool:
    """Return whether the content is a JSON document that shows its own end."""
    if response.content_type != "application/json":
        return False
    if not content.lstrip().startswith(SELF_DELIMITING):
        return False
    try:
        msgspec.json.decode(content)
    except msgspec.DecodeError:
        return False
    return True


async def _async_check_status(response: aiohttp.ClientResponse) -> None:
    if response.status < 400:
        return
    code = _decline_code(await _async_read_body(response))
    if code in NOT_RUN_CODES:
        raise UpstreamDeclinedError(code)
    if response.status < 500:
        raise UpstreamRejectedError(response.status)
    raise UpstreamBrokenError(f"the upstream answered with status {response.status}")


def _decline_code(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=DeclineDocument).code
    except msgspec.DecodeError:
        return ""


def _check_identity(
    response: aiohttp.ClientResponse, run_id: RunId, identity: RunIdentity
) -> None:
    headers = response.headers
    if headers.get(HEADER_RUN_ID) != run_id:
        raise IdentityMismatchError("the answer is of another run")
    if headers.get(HEADER_WORKSPACE) != identity.workspace:
        raise IdentityMismatchError("the answer is of another workspace")
    if not identity.weight_version:
        return
    if headers.get(HEADER_WEIGHT_VERSION) != identity.weight_version:
        raise IdentityMismatchError("the answer is of another weight version")
