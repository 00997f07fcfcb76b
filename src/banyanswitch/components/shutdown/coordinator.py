"""Planned stop: leave, wait until no caller comes any more, then end."""

import asyncio

import structlog

from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.components.membership import MembershipCoordinator
from banyanswitch.core import Kernel, callback
from banyanswitch.interfaces import ShutdownStarted
from banyanswitch.settings import EntrySettings

LOGGER = structlog.get_logger(__name__)
SPREAD_HEARTBEATS = 3.0
"""Time in which all peers hear that this instance is leaving, in heartbeats."""


class ShutdownCoordinator:
    """Carry out a planned stop without cutting a request.

    Parameters
    ----------
    kernel : Kernel
        Source of the bus and the clock.
    server : CallerServer
        Knows the requests in progress.
    settings : EntrySettings
        Time for which callers keep addresses, and the longest wait.
    """

    def __init__(
        self, kernel: Kernel, server: CallerServer, settings: EntrySettings
    ) -> None:
        self._kernel = kernel
        self._membership = kernel.require(MembershipCoordinator)
        self._server = server
        self._settings = settings
        self._requested = asyncio.Event()

    @callback
    def request(self) -> None:
        """Begin the stop; further calls change nothing."""
        self._requested.set()

    async def async_run(self) -> None:
        """Return when the stop was requested and no request is in progress.

        Callers may use the addresses that they hold until these have run out, and
        peers that have not heard of the stop yet still give them out, so the
        instance goes on serving for that long.
        """
        await self._requested.wait()
        LOGGER.info("stop_requested", in_progress=self._server.request_tracker.count)
        self._membership.begin_leaving()
        self._kernel.bus.publish(ShutdownStarted())
        spread_s = SPREAD_HEARTBEATS * self._settings.heartbeat_s
        await asyncio.sleep(self._settings.address_ttl_s + spread_s)
        is_idle = await self._server.async_drain(self._settings.drain_timeout_s)
        LOGGER.info(
            "stop_drained",
            is_idle=is_idle,
            in_progress=self._server.request_tracker.count,
        )
