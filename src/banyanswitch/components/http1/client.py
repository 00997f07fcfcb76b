"""Small calls with whole answers, over kept connections."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.models import Header, Headers, encode_head
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.core import callback
from banyanswitch.exceptions import UpstreamBrokenError


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One whole answer."""

    status: int
    headers: Headers
    body: bytes


class HttpClient:
    """Make calls and read their whole answers.

    Parameters
    ----------
    pool : ConnectionPool
        Connections of this client alone.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    async def async_call(
        self,
        method: str,
        address: str,
        target: str,
        *,
        timeout_s: float,
        body: bytes | None = None,
        headers: Iterable[Header] = (),
    ) -> HttpResponse:
        """Make one call; it is never repeated here.

        Raises
        ------
        UpstreamNotSentError
            If no connection could be made.
        UpstreamBrokenError
            If the call was sent and no whole answer came in time.
        """
        loop = asyncio.get_running_loop()
        ends_at_s = loop.time() + timeout_s
        connection = await self._pool.async_acquire(address)
        is_released = False
        try:
            async with asyncio.timeout_at(ends_at_s):
                connection.send(_encode(method, address, target, body, headers))
                answer = await _async_answer(connection)
            self._pool.release(address, connection)
            is_released = True
            return answer
        except TimeoutError as error:
            reason = f"no answer to {method} {target} within {timeout_s:.1f} s"
            raise UpstreamBrokenError(reason) from error
        finally:
            if not is_released:
                self._pool.discard(address, connection)

    @callback
    def sweep(self, now_s: float) -> None:
        """Close kept connections that are no longer used."""
        self._pool.sweep(now_s)

    @callback
    def close(self) -> None:
        """Close all kept connections."""
        self._pool.close_all()


async def _async_answer(connection: UpstreamConnection) -> HttpResponse:
    head = await connection.async_head()
    parts = []
    while (part := await connection.async_part()) is not None:
        parts.append(part)
    return HttpResponse(head.status, head.headers, b"".join(parts))


def _encode(
    method: str,
    address: str,
    target: str,
    body: bytes | None,
    headers: Iterable[Header],
) -> bytes:
    sent: list[Header] = [(b"Host", address.encode()), *headers]
    if body is not None:
        sent.append((b"Content-Type", b"application/json"))
        sent.append((b"Content-Length", b"%d" % len(body)))
    first_line = f"{method} {target} HTTP/1.1".encode()
    return encode_head(first_line, sent) + (body or b"")
