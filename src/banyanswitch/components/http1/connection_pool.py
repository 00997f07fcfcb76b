"""Pool of persistent connections to upstreams."""

import asyncio

import structlog

from banyanswitch.components.http1.const import (
    CONNECT_TIMEOUT_S,
    DEFAULT_MAX_IDLE_S,
    KEEP_ALIVE_MARGIN_S,
)
from banyanswitch.components.http1.models import Headers, header_value
from banyanswitch.components.http1.upstream_connection import UpstreamConnection
from banyanswitch.core import callback
from banyanswitch.exceptions import UpstreamNotSentError
from banyanswitch.helpers.addresses import split_address

LOGGER = structlog.get_logger(__name__)


class ConnectionPool:
    """Pool of connections by address.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit for a new connection, in seconds.
    """

    def __init__(self, connect_timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self._idle_limits_s: dict[str, float] = {}
        self.opened_count = 0

    @callback
    def open_count(self, address: str) -> int:
        """Return the number of connections to an address, in use or idle."""
        return self._open_counts.get(address, 0)

    @callback
    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address may be usable."""
        return any(c.is_usable for c in self._idle.get(address, ()))

    async def async_acquire(
        self, address: str, *, max_idle_s: float = DEFAULT_MAX_IDLE_S
    ) -> UpstreamConnection:
        """Return an idle connection if one is usable, otherwise a new one.

        Parameters
        ----------
        max_idle_s : float
            Maximum time that a reused connection may have been idle, in seconds.

        Raises
        ------
        UpstreamNotSentError
            If no connection could be made.
        """
        idle = self._take_idle(address, max_idle_s)
        if idle is not None:
            return idle
        return await self.async_open(address)

    async def async_open(self, address: str) -> UpstreamConnection:
        """Return a new connection.

        Raises
        ------
        UpstreamNotSentError
            If no connection could be made.
        """
        loop = asyncio.get_running_loop()
        self._change_open_count(address, 1)
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    UpstreamConnection, host, port
                )
        except (OSError, TimeoutError, ValueError) as error:
            self._change_open_count(address, -1)
            raise UpstreamNotSentError(
                f"can't connect to {address}",
                has_timed_out=isinstance(error, TimeoutError),
            ) from error
        except BaseException:
            self._change_open_count(address, -1)
            raise
        self.opened_count += 1
        return connection

    @callback
    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool; close it if it can't be reused."""
        if not connection.is_usable:
            self.discard(address, connection)
            return
        self._idle.setdefault(address, []).append(connection)

    @callback
    def discard(self, address: str, connection: UpstreamConnection) -> None:
        """Close a connection."""
        connection.close()
        self._change_open_count(address, -1)

    @callback
    def note_keep_alive(self, address: str, headers: Headers) -> None:
        """Record the idle limit that an upstream announced in ``Keep-Alive``."""
        value = header_value(headers, b"keep-alive")
        if value is None:
            return
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                limit_s = max(0.0, int(seconds) - KEEP_ALIVE_MARGIN_S)
                self._idle_limits_s[address] = limit_s

    @callback
    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            self.discard(address, connection)

    @callback
    def sweep(self, now_s: float) -> None:
        """Close idle connections that have expired or can't be reused."""
        for address, connections in tuple(self._idle.items()):
            limit_s = self._idle_limits_s.get(address, DEFAULT_MAX_IDLE_S)
            kept = []
            for connection in connections:
                if connection.is_usable and now_s - connection.used_at_s <= limit_s:
                    kept.append(connection)
                else:
                    self._discard_idle(address, connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    @callback
    def close_all(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    def _take_idle(self, address: str, max_idle_s: float) -> UpstreamConnection | None:
        now_s = asyncio.get_running_loop().time()
        limit_s = min(max_idle_s, self._idle_limits_s.get(address, max_idle_s))
        connections = self._idle.get(address, [])
        while connections:
            connection = connections.pop()
            is_fresh = now_s - connection.used_at_s <= limit_s
            if connection.is_usable and is_fresh:
                return connection
            self._discard_idle(address, connection)
        return None

    def _discard_idle(self, address: str, connection: UpstreamConnection) -> None:
        if connection.failure is not None:
            LOGGER.info(
                "idle_connection_failed", address=address, reason=connection.failure
            )
        self.discard(address, connection)

    def _change_open_count(self, address: str, change: int) -> None:
        count = self._open_counts.get(address, 0) + change
        if count > 0:
            self._open_counts[address] = count
        else:
            self._open_counts.pop(address, None)
