"""Setup of the membership of entry processes."""

import random
from typing import cast

import aiohttp

from banyanswitch.components.http1.library_limits import LimitedConnector
from banyanswitch.components.membership.const import DOMAIN
from banyanswitch.components.membership.coordinator import MembershipCoordinator
from banyanswitch.components.membership.list_watcher import ListWatcher
from banyanswitch.components.membership.models import (
    Member,
    MemberState,
    PeersChanged,
)
from banyanswitch.components.membership.platform_list import HttpInstanceList
from banyanswitch.components.peers.const import DOMAIN as PEERS_DOMAIN
from banyanswitch.components.peers.transport import NngPeerTransport
from banyanswitch.const import HEADER_CALLER
from banyanswitch.core import REGISTRY, Kernel
from banyanswitch.interfaces import PeerDirectory
from banyanswitch.settings import EntrySettings


async def async_setup(kernel: Kernel) -> None:
    """Join the other instances and provide the ``PeerDirectory``."""
    settings = cast(EntrySettings, kernel.settings)
    transport = kernel.require(NngPeerTransport)
    seed = settings.random_seed or None
    coordinator = MembershipCoordinator(
        transport=transport,
        this_member=_this_member(settings, transport),
        seeds=[a for a in settings.peer_seeds.split(",") if a],
        heartbeat_s=settings.heartbeat_s,
        generator=random.Random(seed),
        on_change=lambda: kernel.bus.publish(PeersChanged()),
        on_new_incarnation=transport.raise_incarnation,
    )
    kernel.provide(PeerDirectory, coordinator)
    kernel.provide(MembershipCoordinator, coordinator)
    kernel.on_stop(DOMAIN, coordinator.async_announce_departure)
    kernel.create_task(coordinator.async_run(), DOMAIN)
    if settings.instance_list_url:
        _watch_list(kernel, settings, coordinator)


def _this_member(settings: EntrySettings, transport: NngPeerTransport) -> Member:
    return Member(
        instance=settings.instance,
        failure_domain=settings.failure_domain,
        peer_address=transport.address,
        http_url=settings.public_url or f"http://{settings.host}:{settings.port}",
        incarnation=transport.incarnation,
        revision=0,
        state=MemberState.ALIVE,
        is_leaving=False,
        service_mask=0,
    )


def _watch_list(
    kernel: Kernel, settings: EntrySettings, coordinator: MembershipCoordinator
) -> None:
    session = aiohttp.ClientSession(
        connector=LimitedConnector(), headers={HEADER_CALLER: settings.instance}
    )
    instance_list = HttpInstanceList(session, settings.instance_list_url)
    watcher = ListWatcher(
        coordinator, instance_list, random.Random(settings.random_seed or None)
    )
    kernel.on_stop("instance_list", session.close)
    kernel.create_task(watcher.async_run(), "instance_list")


REGISTRY.register(DOMAIN, async_setup, depends_on=(PEERS_DOMAIN,))
