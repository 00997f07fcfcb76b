"""Server of callers' connections."""

import asyncio
from collections.abc import Callable, Iterable

import structlog

from banyanswitch.components.http1.caller_connection import (
    CallerConnection,
    RequestHandler,
)
from banyanswitch.components.http1.connection_cap import to_give_way
from banyanswitch.components.http1.const import (
    DEFAULT_MAX_HELD_BYTES,
    FULL_LOG_INTERVAL_S,
    LISTEN_BACKLOG,
    SWEEP_INTERVAL_S,
)
from banyanswitch.components.http1.memory_guard import MemoryGuard
from banyanswitch.components.http1.models import ConnectionLimits
from banyanswitch.core import callback
from banyanswitch.decisions.memory_account import MemoryPolicy

LOGGER = structlog.get_logger(__name__)

LOGGER = structlog.get_logger(__name__)


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
    max_connections : int, optional
        Number of connections from which on idle ones give way to new ones.
    """

    def __init__(
        self,
        handler: RequestHandler,
        limits: Callable[[], ConnectionLimits] = ConnectionLimits,
        guard: MemoryGuard | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._guard = guard or MemoryGuard(
            MemoryPolicy(limit_bytes=DEFAULT_MAX_HELD_BYTES)
        )
        self._max_connections = max_connections
        self._connections: set[CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._is_draining = False
        self._logged_full_at_s = float("-inf")

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Number of connections with a request in progress."""
        return sum(connection.is_busy for connection in self._connections)

    @property
    def unsent_count(self) -> int:
        """Number of connections whose callers have not acknowledged all bytes."""
        return sum(connection.unsent_bytes > 0 for connection in self._connections)

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
    def end_requests(self) -> None:
        """Cancel the requests in progress; abort those that are still being received.

        A handler that is cancelled while its caller waits responds with an error, or
        aborts the connection if a part of the response was sent.
        """
        busy = [found for found in self._connections if found.is_busy]
        self._abort([found for found in busy if not found.cancel_request()])

    @callback
    def abort_all(self) -> None:
        """Abort the remaining connections."""
        self._abort(list(self._connections))

    def _abort(self, connections: Iterable[CallerConnection]) -> None:
        for connection in connections:
            is_busy, left_bytes = connection.is_busy, connection.unsent_bytes
            if is_busy or left_bytes:
                LOGGER.warning(
                    "response_cut",
                    request=connection.request_id,
                    unsent_bytes=left_bytes,
                    is_answered=not is_busy,
                )
            connection.abort()

    def _make_connection(self) -> CallerConnection:
        connection = CallerConnection(
            self._handler, self._limits, self._connections.discard, self._guard
        )
        connection.closes_after_response = self._is_draining
        limit = self._max_connections
        if limit is not None and len(self._connections) >= limit:
            connection.is_refused = not self._make_room()
        self._connections.add(connection)
        return connection

    def _make_room(self) -> bool:
        """Close connections for a new one; return whether any could be closed."""
        now_s = asyncio.get_running_loop().time()
        idle, stalled = to_give_way(self._connections, now_s)
        for connection in idle:
            connection.close()
        for connection in stalled:
            connection.close_under_pressure()
        # They are discarded now, since each closes only after this call.
        self._connections.difference_update(idle, stalled)
        has_room = bool(idle or stalled)
        for _ in (*idle, *stalled):
            self._guard.count_closed("descriptors")
        if not has_room:
            self._guard.count_closed("descriptors_refused")
        self._log_full(now_s)
        return has_room

    def _log_full(self, now_s: float) -> None:
        if now_s - self._logged_full_at_s < FULL_LOG_INTERVAL_S:
            return
        self._logged_full_at_s = now_s
        LOGGER.warning("connections_full", limit=self._max_connections, port=self.port)
