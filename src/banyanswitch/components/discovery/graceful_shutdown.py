"""Graceful shutdown that moves callers away before connections are closed."""

import asyncio
from collections.abc import Callable, Sequence

import structlog

from banyanswitch.components.discovery.const import (
    ACCEPT_SHARE,
    DRAIN_POLL_INTERVAL_S,
    DRAIN_SHARE,
    SEND_SHARE,
)
from banyanswitch.components.http1.caller_server import CallerServer
from banyanswitch.core import callback

LOGGER = structlog.get_logger(__name__)


class GracefulShutdown:
    """Stop this instance within its grace period.

    Parameters
    ----------
    servers : sequence of CallerServer
        Servers of the connections of callers, and of instances that pass on requests.
    grace_s : float
        Time until the process is killed, in seconds.
    on_leaving : sequence of callable
        Handlers that are each called once when the stop is requested.

    Attributes
    ----------
    requested : asyncio.Event
        Set when the stop is requested.
    is_leaving : bool
        Whether the stop has been requested.
    is_refusing : bool
        Whether new requests are refused, after `ACCEPT_SHARE` of the grace period.
    """

    def __init__(
        self,
        servers: Sequence[CallerServer],
        grace_s: float,
        on_leaving: Sequence[Callable[[], None]],
    ) -> None:
        self._servers = tuple(servers)
        self.grace_s = grace_s
        self._on_leaving = tuple(on_leaving)
        self.requested = asyncio.Event()
        self.is_leaving = False
        self.is_refusing = False

    @callback
    def request(self) -> None:
        """Begin the shutdown; further calls have no effect."""
        if not self.is_leaving:
            self.is_leaving = True
            LOGGER.info("stop_requested", grace_s=self.grace_s)
            for handler in self._on_leaving:
                handler()
            for server in self._servers:
                server.announce_close()
        self.requested.set()

    async def async_wait_stopped(self) -> None:
        """Wait for the stop request, drain the requests, and abort those that remain.

        A response is drained when its caller has acknowledged all of it or has left.
        The process may exit afterwards.
        """
        await self.requested.wait()
        loop = asyncio.get_running_loop()
        began_at_s = loop.time()
        await asyncio.sleep(ACCEPT_SHARE * self.grace_s)
        self.is_refusing = True
        for server in self._servers:
            server.stop_listening()
            server.close_idle()
        await _async_wait_zero(
            lambda: self._busy_count() + self._unsent_count(),
            began_at_s + DRAIN_SHARE * self.grace_s,
        )
        unfinished = self._busy_count()
        for server in self._servers:
            server.abort_busy()
        await _async_wait_zero(
            self._unsent_count, began_at_s + SEND_SHARE * self.grace_s
        )
        LOGGER.info(
            "stopped",
            after_s=round(loop.time() - began_at_s, 3),
            unfinished=unfinished,
            unsent=self._unsent_count(),
        )
        for server in self._servers:
            server.abort_all()

    def _busy_count(self) -> int:
        return sum(server.busy_count for server in self._servers)

    def _unsent_count(self) -> int:
        return sum(server.unsent_count for server in self._servers)


async def _async_wait_zero(count: Callable[[], int], ends_at_s: float) -> None:
    """Wait until a count is zero, at most until a loop time."""
    loop = asyncio.get_running_loop()
    while True:
        if not count() or loop.time() >= ends_at_s:
            return
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
