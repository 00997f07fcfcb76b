"""Deletion of objects and deltas that are no longer needed."""

import asyncio

import structlog

from banyanswitch.components.configuration.codec import (
    decode_delta,
    decode_superseded,
)
from banyanswitch.components.configuration.const import (
    CLEANUP_BATCH_ITEMS,
    CLEANUP_INTERVAL_S,
    CLEANUP_LEASE,
    DELTA_PREFIX,
    SUPERSEDED_GRACE_S,
    SUPERSEDED_PREFIX,
)
from banyanswitch.components.configuration.repository import ConfigurationRepository
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.interfaces import (
    ConfigurationView,
    LeaseManager,
    ObjectStore,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)


class ConfigurationCleanup:
    """Delete superseded objects and old deltas; only the lease holder does this.

    Objects are deleted at the earliest one hour after the head stopped referring to
    them. Deltas are the history of changes. They are kept as long as audit records,
    and as long as a starting instance may need them, that is until a snapshot
    includes them.
    """

    def __init__(
        self,
        table: TableStore,
        objects: ObjectStore,
        leases: LeaseManager,
        configuration: ConfigurationView,
        wall_clock: WallClock,
    ) -> None:
        self._table = table
        self._objects = objects
        self._leases = leases
        self._configuration = configuration
        self._wall_clock = wall_clock
        self._repository = ConfigurationRepository(table, objects)

    async def async_run(self) -> None:
        """Clean up periodically until cancelled."""
        self._leases.campaign(CLEANUP_LEASE)
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            try:
                await self.async_clean()
            except PlatformError as error:
                LOGGER.warning("configuration_cleanup_failed", reason=str(error))

    async def async_clean(self) -> None:
        """Delete one batch of expired items; the next run continues."""
        if self._configuration.revision == 0 or not self._is_holder():
            return
        await self._async_delete_objects()
        await self._async_delete_deltas()

    async def _async_delete_objects(self) -> None:
        due_unix_s = self._wall_clock.now_unix_s() - SUPERSEDED_GRACE_S
        items = await self._table.async_query(
            SUPERSEDED_PREFIX, limit=CLEANUP_BATCH_ITEMS
        )
        for item in items:
            superseded = decode_superseded(item.value)
            if superseded.superseded_at_unix_s > due_unix_s or not self._is_holder():
                return
            for name in superseded.names:
                await self._objects.async_delete_object(name)
            await self._async_delete_items([item.key])

    async def _async_delete_deltas(self) -> None:
        accepted = await self._repository.async_head()
        if accepted.head is None:
            return
        retention_s = self._configuration.retention().audit_s
        due_unix_s = self._wall_clock.now_unix_s() - retention_s
        items = await self._table.async_query(DELTA_PREFIX, limit=CLEANUP_BATCH_ITEMS)
        deltas = [(item.key, decode_delta(item.value)) for item in items]
        keys = [
            key
            for key, delta in deltas
            if delta.revision <= accepted.head.snapshot_revision
            and delta.accepted_at_unix_s <= due_unix_s
        ]
        if keys and self._is_holder():
            await self._async_delete_items(keys)

    async def _async_delete_items(self, keys: list[str]) -> None:
        writes = [Write(key, None) for key in keys]
        await self._table.async_transact(writes, WriteClass.CONFIGURATION)

    def _is_holder(self) -> bool:
        return self._leases.held(CLEANUP_LEASE) is not None
