"""Connection pool whose connections are slow to make and answer in memory."""

import asyncio
from collections.abc import Callable

from banyanswitch.components.http1.connection_pool import ConnectionPool
from banyanswitch.components.http1.const import DEFAULT_MAX_IDLE_S
from banyanswitch.components.http1.upstream_connection import UpstreamConnection


def encode_response(status: int, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s" % (status, len(body), body)


class FakeTransport(asyncio.Transport):
    """Transport that records what is sent and passes the response on."""

    def __init__(self, pool: "FakePool", connection: UpstreamConnection) -> None:
        super().__init__()
        self._pool = pool
        self._connection = connection
        self._is_closed = False

    def write(self, data: bytes) -> None:
        loop = asyncio.get_running_loop()
        self._pool.sent.append((loop.time(), data))
        response = self._pool.respond(data)
        if response is not None:
            loop.call_soon(self._connection.data_received, response)

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self._is_closed

    def abort(self) -> None:
        self._is_closed = True

    def resume_reading(self) -> None: ...


class FakePool(ConnectionPool):
    """Makes a new connection for each request.

    Parameters
    ----------
    respond : callable
        Returns the response to a request; ``None`` is no response.

    Attributes
    ----------
    connect_s : float
        Time that making a connection takes, in seconds.
    connecting : int
        Number of connections that are being made.
    sent : list
        Loop time and bytes of each request sent.
    """

    def __init__(self, respond: Callable[[bytes], bytes | None]) -> None:
        super().__init__()
        self.respond = respond
        self.connect_s = 0.0
        self.connecting = 0
        self.sent: list[tuple[float, bytes]] = []

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        return await self.async_open(address)

    async def async_open(self, address: str) -> UpstreamConnection:
        self.connecting += 1
        try:
            await asyncio.sleep(self.connect_s)
        finally:
            self.connecting -= 1
        connection = UpstreamConnection()
        connection.connection_made(FakeTransport(self, connection))
        return connection
