"""Limits on the requests and responses of the HTTP library (aiohttp)."""

import asyncio
import functools
from typing import Any

import aiohttp
import structlog
from aiohttp.client_proto import ResponseHandler

from banyanswitch.components.http1.const import (
    FINAL_STATUSES,
    INTERIM_STATUSES,
    MAX_BUFFERED_BODY_BYTES,
    MAX_RESPONSE_OVERHEAD_BYTES,
)

LOGGER = structlog.get_logger(__name__)


class LimitedResponseHandler(ResponseHandler):
    """Protocol of the HTTP library with a limit on bytes that are no body.

    The library limits single headers and their number, but neither interim responses
    nor chunk extensions. It takes any number of three digits for a status.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._overhead_bytes = 0
        self._body: Any = None
        self._body_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Begin the response to another request."""
        self._overhead_bytes = 0
        super().set_response_params(**options)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue the head of a response; fail if its status doesn't exist."""
        status = data[0].code
        if status in FINAL_STATUSES or status in INTERIM_STATUSES:
            super().feed_data(data, size)
            return
        self._fail(aiohttp.ClientPayloadError(f"received status {status:03}"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if too many are no body."""
        super().data_received(data)
        body = self._payload
        body_bytes = 0 if body is None else body.total_bytes
        if body is not self._body or body_bytes != self._body_bytes:
            has_content = body_bytes > 0
            self._body, self._body_bytes = body, body_bytes
            if has_content:
                self._overhead_bytes = 0
                return
        self._overhead_bytes += len(data)
        if self._overhead_bytes <= MAX_RESPONSE_OVERHEAD_BYTES:
            return
        reason = (
            "head, interim responses or chunk extensions are longer than the limit of "
            f"{MAX_RESPONSE_OVERHEAD_BYTES} bytes"
        )
        LOGGER.warning("response_too_long", reason=reason)
        error = aiohttp.ClientPayloadError(reason)
        if body is not None:
            body.set_exception(error)
        self._fail(error)

    def _fail(self, error: aiohttp.ClientError) -> None:
        # Closing removes an error that was set before.
        self.close()
        self.set_exception(error)


class LimitedConnector(aiohttp.TCPConnector):
    """Connector whose connections are limited and carry one request each.

    Services may answer a request twice, the second time late, and most answers do not
    name their request. On a kept connection, the late answer is taken for that to the
    next request.
    """

    def __init__(self, **options: Any) -> None:
        super().__init__(force_close=True, **options)
        # The library has no public way to set the protocol of its connections.
        factory = functools.partial(LimitedResponseHandler, loop=self._loop)
        self._factory = factory  # type: ignore[assignment]


async def async_send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Middleware that keeps the library from sending a request again.

    The library repeats GET, PUT, DELETE and other methods whose connection fails, also
    if the connection is new.

    Raises
    ------
    aiohttp.ClientConnectorError
        If no connection was made.
    aiohttp.ClientConnectionError
        If the connection failed after that.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


async def async_read_limited(
    response: aiohttp.ClientResponse, max_bytes: int = MAX_BUFFERED_BODY_BYTES
) -> bytes:
    """Return the whole body of a response.

    Raises
    ------
    aiohttp.ClientPayloadError
        If the body is longer than ``max_bytes``; the connection is closed.
    aiohttp.ClientError
        If the connection fails before its end.
    """
    content = bytearray()
    async for part in response.content.iter_any():
        content += part
        if len(content) > max_bytes:
            response.close()
            raise aiohttp.ClientPayloadError(
                f"the response's body is longer than the limit of {max_bytes} bytes"
            )
    return bytes(content)
