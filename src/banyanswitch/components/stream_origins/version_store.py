"""Software versions of the services, stored across restarts."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.stream_origins.const import (
    ADDITION_DELAY_S,
    CHECKPOINT_INTERVAL_S,
    CHECKPOINT_KEY,
    ERA_READ_SPREAD_S,
    REMOVAL_DELAY_S,
    SETTLED_AFTER_S,
    STREAM_LIFETIME_S,
    VERSIONS_INTERVAL_S,
    VERSIONS_TABLE,
)
from banyanswitch.components.stream_origins.software_versions import EntryConfirmation
from banyanswitch.components.stream_origins.version_checkpoint import (
    VersionsByService,
)
from banyanswitch.core import callback
from banyanswitch.exceptions import (
    ConditionFailedError,
    HistoryGoneError,
    PlatformError,
)
from banyanswitch.helpers.decoding import DECODING_ERRORS
from banyanswitch.identifiers import ServiceName
from banyanswitch.interfaces import (
    PeerDirectory,
    StoreEra,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class Checkpoint(Protocol):
    """Checkpoint from which an instance continues that starts."""

    async def async_write(self) -> None:
        """Store that all versions in the entries followed so far are stored."""

    async def async_versions_since(self) -> VersionsByService | None:
        """Return the versions in entries since the checkpoint, if there is one.

        Raises
        ------
        HistoryGoneError
            If they are lost.
        PlatformError
            If they can't be read.
        """


@dataclass(frozen=True, slots=True)
class _LostVersions:
    """Versions in rows of an earlier era of the store.

    Parameters
    ----------
    counts_until_s : float
        Loop time from which on no stream of them can be left.
    """

    versions: frozenset[str]
    counts_until_s: float


class SoftwareVersionStore:
    """Keep the versions that may have begun an unfinished stream in the table service.

    An instance that has just started can't know which versions have left before, and
    one that was cut off or suspended can't know which have come and gone since. It
    reads the stored ones once; after a gap, it does so when the others have stored what
    they saw. A few instances, selected without communication, store a new version when
    they see it, and remove it some time after its last upstream has left. There are a
    few writes for each release, and none for a stream.

    What an instance reads at its start counts from a checkpoint on, which instances
    that know all versions write regularly. Without one that it can continue from, it
    doesn't know the versions until it has followed the entries for as long as a stream
    may last, or until another instance has written a checkpoint.

    Parameters
    ----------
    table : TableStore
        Stores one row per service: a list of versions.
    registry : UpstreamRegistry
        The upstreams.
    routing : RoutingState
        Routes; only services of streams that may be resumed are stored.
    peers : PeerDirectory
        Instances among which those that write are selected.
    generator : random.Random
        Source of the delays, and of the random part of the selection.
    eras : StoreEra
        Era of the table service, which may return from an older copy.
    confirmation : EntryConfirmation
        Reads the entries that this instance lacks, before it removes a version.
    checkpoint : Checkpoint
        Tells what the rows that are read at the start lack.

    Attributes
    ----------
    on_continued : callable
        Called when this instance continues from a checkpoint. The instance that wrote
        it had seen no return of the store for `REWRITE_S`.
    """

    def __init__(
        self,
        *,
        table: TableStore,
        registry: UpstreamRegistry,
        routing: RoutingState,
        peers: PeerDirectory,
        generator: random.Random,
        eras: StoreEra,
        confirmation: EntryConfirmation,
        checkpoint: Checkpoint,
    ) -> None:
        self._checkpoint = checkpoint
        self.on_continued: Callable[[], None] = lambda: None
        self._checkpoint_due_at_s = float("-inf")
        self._before_start: VersionsByService | None = None
        self._lost: dict[ServiceName, _LostVersions] = {}
        self._table = table
        self._registry = registry
        self._routing = routing
        self._selector = WatcherSelector(peers, generator)
        self._generator = generator
        self._eras = eras
        self._confirmation = confirmation
        self._requested_at_s = float("-inf")
        self._era = 0
        self._era_began_at_s = float("-inf")
        self._read_era = 0
        self._is_read = False
        self._is_of_era = False
        self._stored: dict[ServiceName, frozenset[str]] = {}
        self._revisions: dict[ServiceName, int] = {}
        self._due_at_s: dict[ServiceName, float] = {}

    @callback
    def versions(self, service: ServiceName) -> frozenset[str] | None:
        """Return the stored versions of a service; ``None`` until they are known.

        After a gap in the entries, they are not known until they are read again.
        """
        if not self._is_read or self._lacks_gap() or not self._knows_start():
            return None
        return self._stored.get(service, frozenset()) | self._unstored(service)

    def _lacks_gap(self) -> bool:
        """Return whether others may since have stored what this instance missed."""
        return self._requested_at_s < self._gap_settles_at_s()

    def _gap_settles_at_s(self) -> float:
        """Return the loop time at which others have stored what they saw before a gap.

        In a new era of the store they first read what it has kept.
        """
        settles_at_s = self._registry.gap_at_s + SETTLED_AFTER_S
        is_noticed = self._eras.era() <= self._era
        if is_noticed and _now_s() >= self._era_began_at_s + STREAM_LIFETIME_S:
            return settles_at_s
        return settles_at_s + ERA_READ_SPREAD_S + VERSIONS_INTERVAL_S

    def _knows_start(self) -> bool:
        """Return whether the versions that were in use before the start are known."""
        if self._before_start is not None:
            return True
        first_read_at_s = self._registry.first_read_at_s
        return (
            first_read_at_s is not None
            and _now_s() >= first_read_at_s + STREAM_LIFETIME_S
        )

    def _unstored(self, service: ServiceName) -> frozenset[str]:
        """Return versions with streams left that the rows may lack."""
        versions: frozenset[str] = frozenset()
        first_read_at_s = self._registry.first_read_at_s
        if (
            self._before_start is not None
            and first_read_at_s is not None
            and _now_s() < first_read_at_s + STREAM_LIFETIME_S
        ):
            versions |= self._before_start.get(service, frozenset())
        lost = self._lost.get(service)
        if lost is not None and _now_s() < lost.counts_until_s:
            versions |= lost.versions
        return versions

    async def async_run(self) -> None:
        """Read the stored versions once, then store changes until cancelled."""
        while True:
            if self._begins_era():
                self._is_of_era = False
                delay_s = self._generator.uniform(0.0, ERA_READ_SPREAD_S)
                await asyncio.sleep(delay_s)
            now_s = _now_s()
            is_settled = now_s >= self._gap_settles_at_s()
            if not self._is_of_era or (is_settled and self._lacks_gap()):
                if self._knows_start():
                    self._is_of_era = await self._async_read()
                else:
                    self._is_of_era = await self._async_read_start()
                self._is_read = self._is_read or self._is_of_era
            else:
                await self._async_write_changes()
                if now_s >= self._checkpoint_due_at_s:
                    await self._async_check()
            await asyncio.sleep(VERSIONS_INTERVAL_S)

    async def _async_check(self) -> None:
        """Continue from the last checkpoint, or write one if this instance can."""
        if not self._knows_start():
            await self._async_read_start()
            return
        if not self._has_stored_all():
            return
        self._checkpoint_due_at_s = _now_s() + CHECKPOINT_INTERVAL_S
        self._selector.refresh()
        if self._selector.is_watching(CHECKPOINT_KEY):
            await self._checkpoint.async_write()

    async def _async_read_start(self) -> bool:
        """Read what was in use before the start; return whether the rows were read."""
        before_start: VersionsByService | None = None
        is_lost = False
        try:
            before_start = await self._checkpoint.async_versions_since()
        except HistoryGoneError as error:
            is_lost = True
            LOGGER.warning("software_versions_lost", reason=str(error))
        except PlatformError as error:
            LOGGER.info("version_checkpoint_not_read", reason=str(error))
            return False
        era = self._eras.era()
        # What was stored by the time of the checkpoint is in the rows now.
        if not await self._async_read():
            return False
        if self._eras.era() != era:
            return True
        if before_start is None and self._stored and not is_lost:
            is_lost = True
            LOGGER.warning("software_versions_lost", reason="there is no checkpoint")
        if is_lost:
            self._checkpoint_due_at_s = _now_s() + CHECKPOINT_INTERVAL_S
            return True
        # Without any row, no instance has run before.
        self._before_start = before_start or {}
        if before_start is not None:
            self.on_continued()
        return True

    def _has_stored_all(self) -> bool:
        """Return whether the rows have all versions that may have begun a stream."""
        if self._registry.followed_since_s is None or self._lacks_gap():
            return False
        now_s = _now_s()
        if not self._registry.is_settled(now_s):
            return False
        services = self._routing.resumable_services()
        return all(not self._difference(service, now_s)[0] for service in services)

    def _begins_era(self) -> bool:
        """Return whether the store has returned from an older copy of its data."""
        era = self._eras.era()
        has_earlier_era = 0 < self._era < era
        self._era = max(era, self._era)
        if has_earlier_era:
            self._era_began_at_s = _now_s()
        return has_earlier_era

    def _note_read_era(self) -> None:
        """Keep what earlier rows had, if the store may have lost it since."""
        era = self._eras.era()
        if 0 < self._read_era < era:
            counts_until_s = _now_s() + STREAM_LIFETIME_S
            self._lost = {
                service: _LostVersions(
                    versions | self._unstored(service), counts_until_s
                )
                for service, versions in self._stored.items()
            }
        self._read_era = max(era, self._read_era)

    async def _async_read(self) -> bool:
        requested_at_s = _now_s()
        try:
            items = await self._table.async_query(f"{VERSIONS_TABLE}/")
        except PlatformError as error:
            LOGGER.info("software_versions_not_read", reason=str(error))
            return False
        self._requested_at_s = requested_at_s
        self._note_read_era()
        self._stored.clear()
        self._revisions.clear()
        for item in items:
            service = ServiceName(item.key.partition("/")[2])
            try:
                versions = msgspec.json.decode(item.value, type=frozenset[str])
            except DECODING_ERRORS as error:
                LOGGER.warning(
                    "software_versions_unreadable", service=service, reason=str(error)
                )
                versions = frozenset()
            self._stored[service] = versions
            self._revisions[service] = item.revision
        return True

    async def _async_write_changes(self) -> None:
        now_s = _now_s()
        self._selector.refresh()
        due = []
        for service in sorted(self._routing.resumable_services()):
            missing, gone = self._difference(service, now_s)
            if not missing and not gone:
                self._due_at_s.pop(service, None)
                continue
            limit_s = ADDITION_DELAY_S if missing else REMOVAL_DELAY_S
            delay_s = self._generator.uniform(0.0, limit_s)
            due_at_s = self._due_at_s.setdefault(service, now_s + delay_s)
            if now_s >= due_at_s and self._selector.is_watching(_key(service)):
                del self._due_at_s[service]
                due.append(service)
        # The rows are read first, since another instance may have written them.
        if due and await self._async_read():
            for service in due:
                await self._async_write(service)

    def _difference(
        self, service: ServiceName, now_s: float
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Return the versions to add to the row of a service, and those to remove."""
        since_s = now_s - STREAM_LIFETIME_S
        stored = self._stored.get(service, frozenset())
        known = self._registry.software_versions(service, since_s)
        known |= self._unstored(service)
        followed_since_s = self._registry.followed_since_s
        is_complete = followed_since_s is not None and followed_since_s <= since_s
        return known - stored, stored - known if is_complete else frozenset()

    async def _async_write(self, service: ServiceName) -> None:
        now_s = _now_s()
        missing, gone = self._difference(service, now_s)
        if gone and await self._confirmation.async_confirm():
            missing, gone = self._difference(service, now_s)
        elif gone:
            # A version that this instance doesn't know yet must not be removed.
            gone = frozenset()
        if not missing and not gone:
            return
        versions = (self._stored.get(service, frozenset()) | missing) - gone
        revision = self._revisions.get(service, 0)
        content = msgspec.json.encode(sorted(versions))
        write = Write(_key(service), content, revision)
        try:
            (revision,) = await self._table.async_transact([write], WriteClass.LEASE)
        except ConditionFailedError:
            # Another instance was faster; the next comparison reads its row.
            return
        except PlatformError as error:
            LOGGER.info(
                "software_versions_not_written", service=service, reason=str(error)
            )
            return
        self._stored[service] = versions
        self._revisions[service] = revision
        LOGGER.info(
            "software_versions_written", service=service, versions=sorted(versions)
        )


def _key(service: ServiceName) -> str:
    return f"{VERSIONS_TABLE}/{service}"


def _now_s() -> float:
    return asyncio.get_running_loop().time()
