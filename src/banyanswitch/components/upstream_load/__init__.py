"""Load and state of the upstreams."""

from typing import cast

import aiohttp

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.membership import MembershipCoordinator
from banyanswitch.components.membership.const import DOMAIN as MEMBERSHIP_DOMAIN
from banyanswitch.components.peers.const import DOMAIN as PEERS_DOMAIN
from banyanswitch.components.upstream_load.const import DOMAIN
from banyanswitch.components.upstream_load.coordinator import (
    UpstreamLoadCoordinator,
)
from banyanswitch.components.upstream_load.models import UpstreamLoadChanged
from banyanswitch.components.upstream_load.poller import HttpLoadPoller
from banyanswitch.const import HEADER_CALLER
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import (
    ConfigurationView,
    PeerTransport,
    UpstreamDirectory,
)
from banyanswitch.settings import EntrySettings

__all__ = ["DOMAIN", "UpstreamLoadChanged", "async_setup"]


async def async_setup(kernel: Kernel) -> None:
    """Collect load reports and provide them as ``UpstreamDirectory``."""
    settings = cast(EntrySettings, kernel.settings)
    session = aiohttp.ClientSession(
        connector=LimitedConnector(), headers={HEADER_CALLER: settings.instance}
    )
    membership = kernel.require(MembershipCoordinator)
    coordinator = UpstreamLoadCoordinator(
        transport=kernel.require(PeerTransport),
        directory=membership,
        interest=membership,
        configuration=kernel.require(ConfigurationView),
        poller=HttpLoadPoller(session),
        poll_interval_s=settings.load_poll_s,
        on_change=lambda name: kernel.bus.publish(UpstreamLoadChanged(name)),
    )
    kernel.provide(UpstreamDirectory, coordinator)
    kernel.on_stop(DOMAIN, session.close)
    kernel.create_task(coordinator.async_run(), DOMAIN)


REGISTRY.register(
    DOMAIN, async_setup, depends_on=(PEERS_DOMAIN, MEMBERSHIP_DOMAIN, "configuration")
)
