"""Server of callers' connections."""

import asyncio
from collections.abc import Callable

from banyanswitch.components.http1.caller_connection import (
    CallerConnection,
    RequestHandler,
)
from banyanswitch.components.http1.const import (
    DEFAULT_MAX_HELD_BYTES,
    LISTEN_BACKLOG,
    SWEEP_INTERVAL_S,
)
from banyanswitch.components.http1.memory_guard import MemoryGuard
from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.core import callback
from banyanswitch.decisions.memory_account import MemoryPolicy


class CallerServer:
    """Accept connections and close them gracefully.

    Parameters
    ----------
    handler : RequestHandler
        Responds to each request.
    limits : callable
        Returns the current limits.
    guard : MemoryGuard, optional
        Keeps the bytes of all connections of the process within a limit; by default,
        the server has one of its own.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        guard: MemoryGuard | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._guard = guard or MemoryGuard(
            MemoryPolicy(limit_bytes=DEFAULT_MAX_HELD_BYTES)
        )
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def port(self) -> int:
        """Port that the server listens on; 0 while it doesn't listen."""
        if self._server is None or not self._server.sockets:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    async def async_start(self, host: str, port: int) -> None:
        """Start to listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_connection,
            host,
            port,
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )

    async def async_sweep(self) -> None:
        """Close idle and slow connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for connection in tuple(self._connections):
                connection.sweep(loop.time())

    @callback
    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._server is not None:
            self._server.close()

    @callback
    def announce_close(self) -> None:
        """Send ``Connection: close`` with each further response."""
        self._is_draining = True
        for connection in self._connections:
            connection.closes_after_response = True

    @callback
    def close_idle(self) -> None:
        """Close idle connections now, and the others after their current response."""
        for connection in tuple(self._connections):
            connection.close_when_idle()

    @callback
    def abort_all(self) -> None:
        """Abort the remaining connections."""
        for connection in tuple(self._connections):
            connection.abort()

    def _make_connection(self) -> CallerConnection:
        connection = CallerConnection(
            self._handler, self._limits, self._connections.discard, self._guard
        )
        connection.closes_after_response = self._is_draining
        self._connections.add(connection)
        return connection
