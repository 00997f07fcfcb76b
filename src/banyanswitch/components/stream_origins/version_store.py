"""Software versions of the services, stored across restarts."""

import asyncio
import random

import msgspec
import structlog

from banyanswitch.components.forwarding.routing_state import RoutingState
from banyanswitch.components.forwarding.upstream_registry import UpstreamRegistry
from banyanswitch.components.lease.candidates import WatcherSelector
from banyanswitch.components.stream_origins.const import (
    ADDITION_DELAY_S,
    ERA_READ_SPREAD_S,
    REMOVAL_DELAY_S,
    SETTLED_AFTER_S,
    STREAM_LIFETIME_S,
    VERSIONS_INTERVAL_S,
    VERSIONS_TABLE,
)
from banyanswitch.components.stream_origins.software_versions import EntryConfirmation
from banyanswitch.core import callback
from banyanswitch.exceptions import ConditionFailedError, PlatformError
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


class SoftwareVersionStore:
    """Keep the versions that may have begun an unfinished stream in the table service.

    An instance that has just started can't know which versions have left before, and
    one that was cut off or suspended can't know which have come and gone since. It
    reads the stored ones once; after a gap, it does so when the others have stored what
    they saw. A few instances, selected without communication, store a new version when
    they see it, and remove it some time after its last upstream has left. There are a
    few writes for each release, and none for a stream.

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
    ) -> None:
        self._table = table
        self._registry = registry
        self._routing = routing
        self._selector = WatcherSelector(peers, generator)
        self._generator = generator
        self._eras = eras
        self._confirmation = confirmation
        self._requested_at_s = float("-inf")
        self._era = 0
        self._is_read = False
        self._is_of_era = False
        self._stored: dict[ServiceName, frozenset[str]] = {}
        self._revisions: dict[ServiceName, int] = {}
        self._due_at_s: dict[ServiceName, float] = {}

    @callback
    def versions(self, service: ServiceName) -> frozenset[str] | None:
        """Return the stored versions of a service; ``None`` until they are read.

        After a gap in the entries, they are not known until they are read again.
        """
        if not self._is_read or self._lacks_gap():
            return None
        return self._stored.get(service, frozenset())

    def _lacks_gap(self) -> bool:
        """Return whether others may since have stored what this instance missed."""
        return self._requested_at_s < self._registry.gap_at_s + SETTLED_AFTER_S

    async def async_run(self) -> None:
        """Read the stored versions once, then store changes until cancelled."""
        while True:
            if self._begins_era():
                self._is_of_era = False
                delay_s = self._generator.uniform(0.0, ERA_READ_SPREAD_S)
                await asyncio.sleep(delay_s)
            now_s = asyncio.get_running_loop().time()
            is_settled = now_s >= self._registry.gap_at_s + SETTLED_AFTER_S
            if not self._is_of_era or (is_settled and self._lacks_gap()):
                self._is_of_era = await self._async_read()
                self._is_read = self._is_read or self._is_of_era
            else:
                await self._async_write_changes()
            await asyncio.sleep(VERSIONS_INTERVAL_S)

    def _begins_era(self) -> bool:
        """Return whether the store has returned from an older copy of its data."""
        era = self._eras.era()
        has_earlier_era = 0 < self._era < era
        self._era = max(era, self._era)
        return has_earlier_era

    async def _async_read(self) -> bool:
        requested_at_s = asyncio.get_running_loop().time()
        try:
            items = await self._table.async_query(f"{VERSIONS_TABLE}/")
        except PlatformError as error:
            LOGGER.info("software_versions_not_read", reason=str(error))
            return False
        self._requested_at_s = requested_at_s
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
        now_s = asyncio.get_running_loop().time()
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
        followed_since_s = self._registry.followed_since_s
        is_complete = followed_since_s is not None and followed_since_s <= since_s
        return known - stored, stored - known if is_complete else frozenset()

    async def _async_write(self, service: ServiceName) -> None:
        now_s = asyncio.get_running_loop().time()
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
