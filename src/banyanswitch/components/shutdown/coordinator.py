"""Graceful shutdown: announce leaving, wait for addresses to expire, then drain."""

import asyncio

import structlog

from banyanswitch.components.gateway.server import CallerServer
from banyanswitch.components.membership import MembershipCoordinator
from banyanswitch.core import Kernel, callback
from banyanswitch.interfaces import ShutdownStarted
from banyanswitch.settings import EntrySettings

LOGGER = structlog.get_logger(__name__)
PROPAGATION_HEARTBEATS = 3.0
"""Time in which the leaving state reaches all peers, in heartbeats."""


class ShutdownCoordinator:
    """Shut down gracefully: let requests in progress finish within a timeout.

    Parameters
    ----------
    kernel : Kernel
        Source of the bus and the membership.
    server : CallerServer
        Tracks the requests in progress.
    settings : EntrySettings
        Time to live of addresses, heartbeat interval and drain timeout.
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
        """Request the shutdown; further calls have no effect."""
        self._requested.set()

    async def async_run(self) -> None:
        """Wait for the shutdown request, announce it and drain the requests.

        Callers may use the addresses that they hold until these expire, and peers that
        have not yet received the leaving state still return them. The instance
        therefore continues to serve until then. After that, it refuses new requests,
        also on open connections, and returns when none is in progress or after
        ``drain_timeout_s``. The process then ends, and the open connections end with
        it.
        """
        await self._requested.wait()
        LOGGER.info("stop_requested", in_progress=self._server.request_tracker.count)
        self._membership.begin_leaving()
        self._kernel.bus.publish(ShutdownStarted())
        propagation_s = PROPAGATION_HEARTBEATS * self._settings.heartbeat_s
        await asyncio.sleep(self._settings.address_ttl_s + propagation_s)
        await self._server.async_refuse_new()
        is_idle = await self._server.async_drain(self._settings.drain_timeout_s)
        LOGGER.info(
            "stop_drained",
            is_idle=is_idle,
            in_progress=self._server.request_tracker.count,
        )
