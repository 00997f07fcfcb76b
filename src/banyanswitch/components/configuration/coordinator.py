"""Replication of the configuration between instances."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, cast

import structlog

from banyanswitch.components.configuration.bucket_sync import BucketSync
from banyanswitch.components.configuration.const import (
    ANNOUNCE_FANOUT,
    ANNOUNCE_INTERVAL_S,
    MAX_MESSAGE_BYTES,
    MAX_QUEUED_MESSAGES,
    REQUEST_TIMEOUT_S,
)
from banyanswitch.components.configuration.content_updater import ContentUpdater
from banyanswitch.components.configuration.models import (
    Bucket,
    BucketsDelivered,
    BucketsRequested,
    Delta,
    DeltasDelivered,
    DeltasRequested,
    ManifestDelivered,
    RevisionAnnounced,
)
from banyanswitch.components.configuration.packed_records import (
    BucketError,
)
from banyanswitch.components.configuration.repository import Content
from banyanswitch.core import callback
from banyanswitch.exceptions import PeerError
from banyanswitch.interfaces import (
    PeerDirectory,
    PeerTransport,
)

LOGGER = structlog.get_logger(__name__)

Message = (
    RevisionAnnounced
    | DeltasRequested
    | DeltasDelivered
    | ManifestDelivered
    | BucketsRequested
    | BucketsDelivered
)
_MESSAGE_TYPES: Final = (
    RevisionAnnounced,
    DeltasRequested,
    DeltasDelivered,
    ManifestDelivered,
    BucketsRequested,
    BucketsDelivered,
)


class ConfigurationCoordinator:
    """Exchange the active content with the other instances.

    An instance that activates a new revision announces it to a few peers, which
    request the content that they lack. Each instance also announces its revision
    periodically to one peer, so a lost message only delays replication. Content is
    activated only if it matches the digest of its revision, and only if that
    revision is later than the active one.

    Parameters
    ----------
    updater : ContentUpdater
        Holds the active content and replaces it.
    directory : PeerDirectory
        Live instances.
    transport : PeerTransport
        Sends and receives the messages.
    generator : random.Random
        Chooses peers and varies the announcement interval.
    """

    def __init__(
        self,
        updater: ContentUpdater,
        directory: PeerDirectory,
        transport: PeerTransport,
        generator: random.Random,
    ) -> None:
        self._updater = updater
        self._directory = directory
        self._transport = transport
        self._random = generator
        self._sync: BucketSync | None = None
        self._sources: dict[str, int] = {}
        self._request_deadline_s = 0.0
        self._messages: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        for message_type in _MESSAGE_TYPES:
            handler = cast(Callable[[object], None], self._enqueue)
            transport.subscribe(message_type, handler)

    @property
    def content(self) -> Content:
        """Active content."""
        return self._updater.content

    async def async_run_messages(self) -> None:
        """Handle messages from other instances sequentially, until cancelled."""
        while True:
            await self._async_handle(await self._messages.get())

    async def async_run_announcements(self) -> None:
        """Announce the active revision to one random peer at each interval.

        Also repeats the request for a later revision if no response was received.
        """
        while True:
            await self._async_announce(fanout=1)
            await self._async_request_if_behind()
            interval_s = ANNOUNCE_INTERVAL_S * self._random.uniform(0.75, 1.25)
            await asyncio.sleep(interval_s)

    async def async_apply_deltas(self, deltas: tuple[Delta, ...]) -> None:
        """Activate consecutive deltas and announce the revision to some peers."""
        if self._updater.apply_deltas(deltas):
            await self._async_announce(ANNOUNCE_FANOUT)

    async def async_apply_content(self, content: Content) -> None:
        """Activate a complete content and announce the revision to some peers."""
        if self._updater.apply_content(content):
            await self._async_announce(ANNOUNCE_FANOUT)

    @callback
    def _enqueue(self, message: Message) -> None:
        if self._messages.full():
            LOGGER.warning("configuration_message_dropped", kind=type(message).__name__)
            return
        self._messages.put_nowait(message)

    async def _async_handle(self, message: Message) -> None:
        match message:
            case RevisionAnnounced():
                await self._async_on_announced(message)
            case DeltasRequested():
                await self._async_on_deltas_requested(message)
            case DeltasDelivered():
                await self._async_on_deltas(message)
            case ManifestDelivered():
                await self._async_on_manifest(message)
            case BucketsRequested():
                await self._async_on_buckets_requested(message)
            case BucketsDelivered():
                await self._async_on_buckets(message)

    async def _async_on_announced(self, message: RevisionAnnounced) -> None:
        if message.revision < self.content.revision:
            await self._async_send(message.peer_address, self._announcement())
            return
        if message.revision == 0:
            return
        if not self._updater.is_consistent(message.revision, message.digest):
            return
        if message.revision == self.content.revision:
            return
        self._sources[message.peer_address] = message.revision
        await self._async_request_if_behind()

    async def _async_request_if_behind(self) -> None:
        revision = self.content.revision
        sources = [peer for peer, known in self._sources.items() if known > revision]
        self._sources = {peer: self._sources[peer] for peer in sources}
        if not sources or self._now_s() < self._request_deadline_s:
            return
        self._request_deadline_s = self._now_s() + REQUEST_TIMEOUT_S
        source = self._random.choice(sources)
        request = DeltasRequested(
            self._own_address(), revision, self.content.records.digest
        )
        await self._async_send(source, request)

    async def _async_on_deltas_requested(self, message: DeltasRequested) -> None:
        if message.revision >= self.content.revision:
            return
        deltas = self._updater.deltas_after(message.revision, message.digest)
        if deltas:
            await self._async_send(message.peer_address, DeltasDelivered(deltas))
            return
        manifest = self.content.records.manifest
        response = ManifestDelivered(
            self._own_address(), self.content.revision, manifest
        )
        await self._async_send(message.peer_address, response)

    async def _async_on_deltas(self, message: DeltasDelivered) -> None:
        self._request_deadline_s = 0.0
        await self.async_apply_deltas(message.deltas)
        await self._async_request_if_behind()

    async def _async_on_manifest(self, message: ManifestDelivered) -> None:
        if message.revision <= self.content.revision:
            return
        received = self._sync.received if self._sync else None
        try:
            sync = BucketSync(
                message.revision, message.manifest, self.content.records, received
            )
        except BucketError:
            LOGGER.warning("configuration_manifest_refused", revision=message.revision)
            return
        if not self._updater.is_consistent(sync.revision, sync.digest):
            return
        self._sync = sync
        await self._async_continue_sync(message.peer_address)

    async def _async_on_buckets_requested(self, message: BucketsRequested) -> None:
        buckets: list[Bucket] = []
        size_bytes = 0
        known = self.content.records.bucket_indexes()
        for index in message.indexes:
            if index not in known:
                continue
            content = self.content.records.packed_bucket(index)
            size_bytes += len(content)
            if buckets and size_bytes > MAX_MESSAGE_BYTES:
                break
            buckets.append(Bucket(index, content))
        response = BucketsDelivered(self._own_address(), tuple(buckets))
        await self._async_send(message.peer_address, response)

    async def _async_on_buckets(self, message: BucketsDelivered) -> None:
        if self._sync is None:
            return
        added = self._sync.add_all(message.buckets)
        if added == 0:
            # No bucket was both missing and valid, for example because the peer has
            # activated other content. Request deltas or a new manifest.
            self._request_deadline_s = 0.0
            await self._async_request_if_behind()
            return
        await self._async_continue_sync(message.peer_address)

    async def _async_continue_sync(self, peer_address: str) -> None:
        sync = self._sync
        if sync is None:
            return
        if not sync.is_complete:
            self._request_deadline_s = self._now_s() + REQUEST_TIMEOUT_S
            request = BucketsRequested(self._own_address(), sync.next_indexes())
            await self._async_send(peer_address, request)
            return
        self._sync = None
        self._request_deadline_s = 0.0
        records = sync.assemble(self.content.records)
        if records.digest != sync.digest:
            LOGGER.warning("configuration_content_refused", revision=sync.revision)
            return
        await self.async_apply_content(Content(sync.revision, records))
        await self._async_request_if_behind()

    async def _async_announce(self, fanout: int) -> None:
        own_address = self._own_address()
        others = [
            peer.peer_address
            for peer in self._directory.peers()
            if peer.peer_address != own_address
        ]
        chosen = self._random.sample(others, min(fanout, len(others)))
        for peer_address in chosen:
            await self._async_send(peer_address, self._announcement())

    def _announcement(self) -> RevisionAnnounced:
        this_instance = self._directory.this_instance()
        return RevisionAnnounced(
            this_instance.instance,
            this_instance.peer_address,
            self.content.revision,
            self.content.records.digest,
        )

    async def _async_send(self, peer_address: str, message: Message) -> None:
        try:
            await self._transport.async_send(peer_address, message)
        except PeerError as error:
            LOGGER.debug("configuration_message_not_sent", reason=str(error))

    def _own_address(self) -> str:
        return self._directory.this_instance().peer_address

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
