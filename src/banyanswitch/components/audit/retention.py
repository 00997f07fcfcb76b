"""Deletion of audit records that are past their retention time."""

import asyncio
from typing import Final

import structlog

from banyanswitch.components.audit.codec import time_key
from banyanswitch.components.audit.const import (
    AUDIT_PREFIX,
    MAX_DELETIONS_PER_TRANSACTION,
    RETENTION_INTERVAL_S,
    RETENTION_LEASE,
)
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.interfaces import (
    ConfigurationView,
    LeaseManager,
    TableStore,
    Write,
    WriteClass,
)

LOGGER = structlog.get_logger(__name__)

MAX_TRANSACTIONS_PER_PASS: Final = 100
"""Maximum number of transactions in one pass; a long backlog takes several passes."""


class AuditRetention:
    """Delete expired records on the instance that holds the lease."""

    def __init__(
        self,
        table: TableStore,
        leases: LeaseManager,
        configuration: ConfigurationView,
        wall_clock: WallClock,
    ) -> None:
        self._table = table
        self._leases = leases
        self._configuration = configuration
        self._wall_clock = wall_clock

    async def async_run(self) -> None:
        """Delete expired records every ``RETENTION_INTERVAL_S`` until cancelled."""
        self._leases.campaign(RETENTION_LEASE)
        while True:
            await asyncio.sleep(RETENTION_INTERVAL_S)
            try:
                await self.async_delete_expired()
            except PlatformError as error:
                LOGGER.warning("audit_retention_failed", reason=str(error))

    async def async_delete_expired(self) -> int:
        """Delete expired items and return their number."""
        # Before the first revision, the configured retention time is not known.
        if self._configuration.revision == 0:
            return 0
        retention_s = self._configuration.retention().audit_s
        first_kept_key = time_key(self._wall_clock.now_unix_s() - retention_s)
        deleted = 0
        for _ in range(MAX_TRANSACTIONS_PER_PASS):
            keys = await self._async_expired_keys(first_kept_key)
            if not keys or self._leases.held(RETENTION_LEASE) is None:
                return deleted
            writes = [Write(key, None) for key in keys]
            await self._table.async_transact(writes, WriteClass.CONFIGURATION)
            deleted += len(keys)
        return deleted

    async def _async_expired_keys(self, first_kept_key: str) -> list[str]:
        items = await self._table.async_query(
            AUDIT_PREFIX, limit=MAX_DELETIONS_PER_TRANSACTION
        )
        return [item.key for item in items if item.key < first_kept_key]
