"""Spread of the configuration from instance to instance."""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Final, cast

import structlog

from banyanswitch.components.configuration.bucket_sync import BucketSync
from banyanswitch.components.configuration.const import (
    ANNOUNCE_FANOUT,
    ANNOUNCE_INTERVAL_S,
    MAX_KNOWN_DIGESTS,
    MAX_MESSAGE_BYTES,
    MAX_QUEUED_MESSAGES,
    REQUEST_TIMEOUT_S,
)
from banyanswitch.components.configuration.delta_log import DeltaLog
from banyanswitch.components.configuration.errors import ContentError
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
from banyanswitch.components.configuration.view import HeldConfiguration
from banyanswitch.core import MessageBus, callback
from banyanswitch.exceptions import PeerError
from banyanswitch.interfaces import (
    ConfigurationChanged,
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
    """Owns the content in force and exchanges it with the other instances.

    An instance that learns of a new revision announces it to a few peers, which
    ask for what they lack. Each instance also announces its revision regularly to
    one peer, so that a lost message delays a revision and no more. Content is
    taken over only if it matches the digest of its revision, and only if that
    revision is later than the one in force.

    Parameters
    ----------
    held : HeldConfiguration
        Content in force.
    directory : PeerDirectory
        Instances that are believed alive.
    transport : PeerTransport
        Carries the messages.
    bus : MessageBus
        Gets ``ConfigurationChanged``.
    generator : random.Random
        Chooses peers.
    """

    def __init__(
        self,
        held: HeldConfiguration,
        directory: PeerDirectory,
        transport: PeerTransport,
        bus: MessageBus,
        generator: random.Random,
    ) -> None:
        self._held = held
        self._directory = directory
        self._transport = transport
        self._bus = bus
        self._random = generator
        self._log = DeltaLog()
        self._sync: BucketSync | None = None
        self._known_digests: OrderedDict[int, bytes] = OrderedDict()
        self._known_revision = 0
        self._sources: dict[str, int] = {}
        self._request_ends_at_s = 0.0
        self._messages: asyncio.Queue[Message] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        for message_type in _MESSAGE_TYPES:
            handler = cast(Callable[[object], None], self._enqueue)
            transport.subscribe(message_type, handler)

    @property
    def content(self) -> Content:
        """Content in force."""
        return Content(self._held.revision, self._held.records)

    @property
    def known_revision(self) -> int:
        """Latest revision that this instance has heard of."""
        return max(self._known_revision, self._held.revision)

    async def async_run_messages(self) -> None:
        """Handle messages of other instances, one after the other."""
        while True:
            await self._async_handle(await self._messages.get())

    async def async_run_announcements(self) -> None:
        """Announce the revision in force to one peer after the other."""
        while True:
            await self._async_announce(fanout=1)
            await self._async_request_if_behind()
            interval_s = ANNOUNCE_INTERVAL_S * self._random.uniform(0.75, 1.25)
            await asyncio.sleep(interval_s)

    async def async_take_deltas(self, deltas: tuple[Delta, ...]) -> None:
        """Put consecutive deltas in force and tell some peers."""
        if self._apply_deltas(deltas):
            await self._async_announce(ANNOUNCE_FANOUT)

    async def async_take_content(self, content: Content) -> None:
        """Put a whole content in force and tell some peers."""
        if not self._is_digest_known(content.revision, content.records.digest):
            return
        if self._replace(content):
            self._log.clear()
            await self._async_announce(ANNOUNCE_FANOUT)

    @callback
    def learn_digest(self, revision: int, digest: bytes) -> None:
        """Note the digest that the platform names for a revision."""
        self._known_digests[revision] = digest
        self._trim_digests()

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
        if message.revision < self._held.revision:
            await self._async_send(message.peer_address, self._announcement())
            return
        if message.revision == 0:
            return
        if not self._is_digest_known(message.revision, message.digest):
            return
        if message.revision == self._held.revision:
            return
        self._known_revision = max(self._known_revision, message.revision)
        self._sources[message.peer_address] = message.revision
        await self._async_request_if_behind()

    async def _async_request_if_behind(self) -> None:
        revision = self._held.revision
        sources = [peer for peer, known in self._sources.items() if known > revision]
        self._sources = {peer: self._sources[peer] for peer in sources}
        if not sources or self._now_s() < self._request_ends_at_s:
            return
        self._request_ends_at_s = self._now_s() + REQUEST_TIMEOUT_S
        source = self._random.choice(sources)
        request = DeltasRequested(
            self._own_address(), revision, self._held.records.digest
        )
        await self._async_send(source, request)

    async def _async_on_deltas_requested(self, message: DeltasRequested) -> None:
        if message.revision >= self._held.revision:
            return
        deltas = self._log.after(message.revision, message.digest)
        if deltas:
            await self._async_send(message.peer_address, DeltasDelivered(deltas))
            return
        manifest = self._held.records.manifest
        answer = ManifestDelivered(self._own_address(), self._held.revision, manifest)
        await self._async_send(message.peer_address, answer)

    async def _async_on_deltas(self, message: DeltasDelivered) -> None:
        self._request_ends_at_s = 0.0
        await self.async_take_deltas(message.deltas)
        await self._async_request_if_behind()

    async def _async_on_manifest(self, message: ManifestDelivered) -> None:
        if message.revision <= self._held.revision:
            return
        received = self._sync.received if self._sync else None
        try:
            sync = BucketSync(
                message.revision, message.manifest, self._held.records, received
            )
        except BucketError:
            LOGGER.warning("configuration_manifest_refused", revision=message.revision)
            return
        if not self._is_digest_known(sync.revision, sync.digest):
            return
        self._sync = sync
        await self._async_continue_sync(message.peer_address)

    async def _async_on_buckets_requested(self, message: BucketsRequested) -> None:
        buckets: list[Bucket] = []
        size_bytes = 0
        for index in message.indexes:
            content = self._held.records.packed_bucket(index)
            size_bytes += len(content)
            if buckets and size_bytes > MAX_MESSAGE_BYTES:
                break
            buckets.append(Bucket(index, content))
        answer = BucketsDelivered(self._own_address(), tuple(buckets))
        await self._async_send(message.peer_address, answer)

    async def _async_on_buckets(self, message: BucketsDelivered) -> None:
        if self._sync is None:
            return
        added = self._sync.add_all(message.buckets)
        if added == 0:
            # The peer has moved on to another content: ask for its manifest.
            self._request_ends_at_s = 0.0
            await self._async_request_if_behind()
            return
        await self._async_continue_sync(message.peer_address)

    async def _async_continue_sync(self, peer_address: str) -> None:
        sync = self._sync
        if sync is None:
            return
        if not sync.is_complete:
            self._request_ends_at_s = self._now_s() + REQUEST_TIMEOUT_S
            request = BucketsRequested(self._own_address(), sync.next_indexes())
            await self._async_send(peer_address, request)
            return
        self._sync = None
        self._request_ends_at_s = 0.0
        records = sync.assemble(self._held.records)
        if records.digest != sync.digest:
            LOGGER.warning("configuration_content_refused", revision=sync.revision)
            return
        await self.async_take_content(Content(sync.revision, records))
        await self._async_request_if_behind()

    def _apply_deltas(self, deltas: tuple[Delta, ...]) -> bool:
        content = self.content
        applied: list[Delta] = []
        for delta in deltas:
            if delta.revision <= content.revision:
                continue
            following = content.after(delta)
            if following is None or not self._is_digest_known(
                delta.revision, delta.digest
            ):
                LOGGER.warning("configuration_delta_refused", revision=delta.revision)
                break
            content = following
            applied.append(delta)
        if not self._replace(content):
            return False
        for delta in applied:
            self._log.append(delta)
        return True

    def _replace(self, content: Content) -> bool:
        try:
            is_replaced = self._held.replace(content.revision, content.records)
        except ContentError as error:
            LOGGER.error(
                "configuration_not_usable",
                revision=content.revision,
                reason=str(error),
            )
            return False
        if not is_replaced:
            return False
        LOGGER.info("configuration_in_force", revision=content.revision)
        self._bus.publish(ConfigurationChanged(content.revision))
        return True

    def _is_digest_known(self, revision: int, digest: bytes) -> bool:
        """Return whether a digest is the one known for a revision, if any is."""
        if revision == self._held.revision:
            known = self._held.records.digest
        else:
            known = self._known_digests.setdefault(revision, digest)
            self._trim_digests()
        if known != digest:
            LOGGER.error("configuration_digest_differs", revision=revision)
        return known == digest

    def _trim_digests(self) -> None:
        while len(self._known_digests) > MAX_KNOWN_DIGESTS:
            self._known_digests.popitem(last=False)

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
            self._held.revision,
            self._held.records.digest,
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
