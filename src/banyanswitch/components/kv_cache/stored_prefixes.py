"""Announcement of stored prefixes to the instances that serve a workspace."""

import asyncio
from collections import defaultdict

import structlog

from banyanswitch.components.kv_cache.const import (
    ANNOUNCE_INTERVAL_S,
    INSTANCES_PER_WORKSPACE,
    MAX_ANNOUNCED_PREFIXES,
)
from banyanswitch.components.kv_cache.models import PrefixesStored
from banyanswitch.core import callback
from banyanswitch.decisions.address_choice import EntryView, choose_entries
from banyanswitch.decisions.cache_view import CacheView, StoredPrefix
from banyanswitch.exceptions import PeerError
from banyanswitch.identifiers import PrefixHash, WorkspaceId
from banyanswitch.interfaces import Peer, PeerDirectory, PeerTransport

LOGGER = structlog.get_logger(__name__)


class StoredPrefixAnnouncer:
    """Announce stored prefixes to the other instances that serve their workspace.

    Callers of a workspace use only a few instances, so the number of messages does
    not grow with the number of instances. An announcement is a hint: an import reads
    the manifest and checks the workspace it belongs to.
    """

    def __init__(
        self,
        directory: PeerDirectory,
        transport: PeerTransport,
        cache_view: CacheView,
    ) -> None:
        self._directory = directory
        self._transport = transport
        self._cache_view = cache_view
        self._pending: dict[WorkspaceId, list[StoredPrefix]] = defaultdict(list)
        transport.subscribe(PrefixesStored, self._on_stored)

    @callback
    def add(self, workspace: WorkspaceId, stored: StoredPrefix) -> None:
        """Queue a prefix for the next announcement."""
        self._pending[workspace].append(stored)

    async def async_run(self) -> None:
        """Send announcements until cancelled."""
        while True:
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)
            await self.async_flush()

    async def async_flush(self) -> None:
        """Send the queued announcements, in one message to each serving instance.

        Prefixes above ``MAX_ANNOUNCED_PREFIXES`` in a message are dropped, and a
        message that fails is not repeated.
        """
        by_address: dict[str, list[StoredPrefix]] = defaultdict(list)
        for workspace, prefixes in self._pending.items():
            for peer in self._serving_peers(workspace):
                by_address[peer.peer_address] += prefixes
        self._pending.clear()
        for address, prefixes in by_address.items():
            message = PrefixesStored(tuple(prefixes[:MAX_ANNOUNCED_PREFIXES]))
            try:
                await self._transport.async_send(address, message)
            except PeerError as error:
                LOGGER.debug("stored_prefixes_not_sent", reason=str(error))

    def _serving_peers(self, workspace: WorkspaceId) -> list[Peer]:
        peers = self._directory.peers()
        entries = [
            EntryView(peer.instance, peer.failure_domain, peer.is_leaving)
            for peer in peers
        ]
        chosen = choose_entries(workspace, entries, INSTANCES_PER_WORKSPACE)
        this_instance = self._directory.this_instance().instance
        return [
            peer
            for peer in peers
            if peer.instance in chosen and peer.instance != this_instance
        ]

    @callback
    def _on_stored(self, message: PrefixesStored) -> None:
        for stored in message.prefixes:
            self._cache_view.add_stored(PrefixHash(stored.manifest), stored)
