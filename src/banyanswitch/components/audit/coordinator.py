"""Collection of audit records and their storage in the table service."""

import asyncio
from dataclasses import replace

import structlog

from banyanswitch.components.audit.codec import batch_key, encode_batch
from banyanswitch.components.audit.const import FLUSH_INTERVAL_S
from banyanswitch.components.audit.models import AuditKind, AuditRecord
from banyanswitch.components.audit.pending import (
    MAX_DETAIL_CHARACTERS,
    PendingRecords,
)
from banyanswitch.components.lease.models import LeaseChanged
from banyanswitch.components.weights.models import OrderIssued
from banyanswitch.core import MessageBus, callback
from banyanswitch.exceptions import PlatformError
from banyanswitch.helpers.wall_clock import WallClock
from banyanswitch.identifiers import InstanceId
from banyanswitch.interfaces import TableStore, Write, WriteClass

LOGGER = structlog.get_logger(__name__)


class AuditCoordinator:
    """Write the audit records of this instance in batches.

    Other components publish ``AuditRecord`` on the bus. Orders to upstreams and
    changes of leases are recorded from their bus messages. Accepted configurations
    are not recorded here: their record is part of the transaction that accepts them.

    Parameters
    ----------
    table : TableStore
        Table service that stores the records.
    bus : MessageBus
        Bus that the records are received from.
    instance : InstanceId
        This instance, recorded as the actor.
    wall_clock : WallClock
        Clock for the times of the records.
    incarnation : str
        Identifier of this process, unique across restarts.
    """

    def __init__(
        self,
        table: TableStore,
        bus: MessageBus,
        instance: InstanceId,
        wall_clock: WallClock,
        incarnation: str,
    ) -> None:
        self._table = table
        self._instance = instance
        self._wall_clock = wall_clock
        self._incarnation = incarnation
        self._sequence = 0
        self._pending = PendingRecords()
        bus.subscribe(AuditRecord, self._add)
        bus.subscribe(OrderIssued, self._add_order)
        bus.subscribe(LeaseChanged, self._add_lease)

    @property
    def waiting_records(self) -> int:
        """Number of records that are not written yet."""
        return len(self._pending)

    async def async_run(self) -> None:
        """Write queued records every ``FLUSH_INTERVAL_S`` until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self.async_flush()

    async def async_flush(self) -> None:
        """Write all queued records; stop at the first write that fails."""
        while batch := self._pending.batch():
            write = Write(batch_key(batch), encode_batch(batch))
            try:
                await self._table.async_transact([write], WriteClass.CONFIGURATION)
            except PlatformError as error:
                LOGGER.warning(
                    "audit_not_written",
                    records=len(self._pending),
                    dropped=self._pending.dropped_records,
                    reason=str(error),
                )
                return
            self._pending.mark_written()

    @callback
    def _add(self, record: AuditRecord) -> None:
        self._sequence += 1
        identity = f"{self._incarnation}-{self._sequence}"
        detail = record.detail[:MAX_DETAIL_CHARACTERS]
        self._pending.add(replace(record, identity=identity, detail=detail))

    @callback
    def _add_order(self, message: OrderIssued) -> None:
        order = message.order
        record = AuditRecord(
            at_unix_s=self._wall_clock.now_unix_s(),
            kind=AuditKind.WEIGHT_ORDER,
            actor=self._instance,
            subject=order.upstream,
            detail=(
                f"load {order.version} for {message.service} "
                f"under fencing token {order.fencing_token}: {message.result.value}"
            ),
            identity="",
        )
        self._add(record)

    @callback
    def _add_lease(self, message: LeaseChanged) -> None:
        detail = "lost"
        if message.fencing_token:
            detail = f"taken with fencing token {message.fencing_token}"
        record = AuditRecord(
            at_unix_s=self._wall_clock.now_unix_s(),
            kind=AuditKind.LEASE,
            actor=self._instance,
            subject=message.duty,
            detail=detail,
            identity="",
        )
        self._add(record)
