"""Listener that answers callers' connections."""

import asyncio
from collections.abc import Callable

from banyanswitch.components.http1.caller_connection import (
    CallerConnection,
    RequestHandler,
)
from banyanswitch.components.http1.const import LISTEN_BACKLOG, SWEEP_INTERVAL_S
from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.core import callback


class CallerServer:
    """Accept connections and end them in an orderly way.

    Parameters
    ----------
    handler : RequestHandler
        Answers each request.
    limits : callable
        Returns the limits in force.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request being read or answered."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def port(self) -> int:
        """Port that is listened on; 0 before the start."""
        if self._server is None or not self._server.sockets:
            return 0
        return int(self._server.sockets[0].getsockname()[1])

    async def async_start(self, host: str, port: int) -> None:
        """Listen on an address."""
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
        """Accept no further connections."""
        if self._server is not None:
            self._server.close()

    @callback
    def announce_close(self) -> None:
        """Say with each further answer that its connection closes after it."""
        self._is_draining = True
        for connection in self._connections:
            connection.closes_after_answer = True

    @callback
    def close_idle(self) -> None:
        """Close each connection as soon as nothing is being answered on it."""
        for connection in tuple(self._connections):
            connection.close_when_idle()

    @callback
    def abort_all(self) -> None:
        """Reset the connections that are left."""
        for connection in tuple(self._connections):
            connection.abort()

    def _make_connection(self) -> CallerConnection:
        connection = CallerConnection(
            self._handler, self._limits, self._connections.discard
        )
        connection.closes_after_answer = self._is_draining
        self._connections.add(connection)
        return connection
