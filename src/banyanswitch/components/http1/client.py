"""Client for small requests and responses over persistent connections."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from banyanswitch.components.http1.body import async_read_body
from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import MAX_BUFFERED_BODY_BYTES
from banyanswitch.components.http1.models import Header, Headers, encode_head
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.core import callback
from banyanswitch.exceptions import (
    IdentityMismatchError,
    UpstreamBrokenError,
    UpstreamNotSentError,
)

FIRST_ERROR_STATUS = 400


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Complete response."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """Send requests and read complete responses.

    Parameters
    ----------
    pool : ConnectionPool
        Connections used only by this client.
    max_body_bytes : int
        Maximum size of a response's body, in bytes.
    """

    def __init__(
        self, pool: ConnectionPool, *, max_body_bytes: int = MAX_BUFFERED_BODY_BYTES
    ) -> None:
        self._pool = pool
        self._max_body_bytes = max_body_bytes

    async def async_call(
        self,
        method: str,
        address: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Iterable[Header] = (),
        send_by_s: Callable[[], float] | None = None,
        uses_own_connection: bool = False,
        is_own: Callable[[HttpResponse], bool] | None = None,
    ) -> HttpResponse:
        """Send one request without retries and return the response.

        An upstream may answer the call before on a connection once more where this
        response is expected. Unless `is_own` can tell them apart, the call needs a
        connection of its own. After an error, the connection carries no further call:
        a second copy would say of the next call that it was refused.

        Parameters
        ----------
        timeout_s : float
            Time limit of the whole call, including a new connection, in seconds.
        send_by_s : callable, optional
            Returns the loop time until which the request may be sent. It is called
            when the connection is made, since a permission to send may have been
            withdrawn meanwhile.
        uses_own_connection : bool
            Whether the call uses a connection that carries no other one.
        is_own : callable, optional
            Returns whether a response may be the one to this call.

        Raises
        ------
        UpstreamNotSentError
            If no connection could be made in time; no byte was sent.
        UpstreamBrokenError
            If no complete response was received in time, or the connection failed;
            the request may have been sent.
        IdentityMismatchError
            If the response is not the own one; the connection is closed.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        connection = await self._async_connect(
            address, deadline_s, is_new=uses_own_connection
        )
        is_released = False
        try:
            limit_s = deadline_s if send_by_s is None else min(deadline_s, send_by_s())
            if loop.time() > limit_s:
                reason = f"too late to send {method} {target} to {address}"
                raise UpstreamNotSentError(reason)
            async with asyncio.timeout_at(deadline_s):
                connection.send(_encode_request(method, address, target, body, headers))
                response = await self._async_read_response(connection)
            if is_own is not None and not is_own(response):
                reason = f"response to {method} {target} belongs to another call"
                raise IdentityMismatchError(reason)
            if not uses_own_connection and response.status < FIRST_ERROR_STATUS:
                self._pool.release(address, connection)
                is_released = True
            return response
        except TimeoutError as error:
            # The other open connections may have gone silent as well.
            self._pool.close_idle(address)
            reason = f"no response to {method} {target} within {timeout_s:.1f} s"
            raise UpstreamBrokenError(reason) from error
        finally:
            if not is_released:
                self._pool.discard(address, connection)

    @callback
    def sweep(self, now_s: float) -> None:
        """Close idle connections that have expired or can't be reused."""
        self._pool.sweep(now_s)

    @callback
    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close_all()

    async def _async_read_response(
        self, connection: UpstreamConnection
    ) -> HttpResponse:
        head = await connection.async_head()
        body = await async_read_body(connection.async_part, self._max_body_bytes)
        return HttpResponse(head.status, head.headers, body)

    async def _async_connect(
        self, address: str, deadline_s: float, *, is_new: bool
    ) -> UpstreamConnection:
        try:
            async with asyncio.timeout_at(deadline_s):
                if is_new:
                    return await self._pool.async_open(address)
                return await self._pool.async_acquire(address)
        except TimeoutError as error:
            raise UpstreamNotSentError(f"can't connect to {address} in time") from error


def _encode_request(
    method: str,
    address: str,
    target: str,
    body: bytes | None,
    headers: Iterable[Header],
) -> bytes:
    all_headers: list[Header] = [(b"Host", address.encode()), *headers]
    if body is not None:
        all_headers.append((b"Content-Type", b"application/json"))
        all_headers.append((b"Content-Length", b"%d" % len(body)))
    start_line = f"{method} {target} HTTP/1.1".encode()
    return encode_head(start_line, all_headers) + (body or b"")
