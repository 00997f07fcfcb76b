"""Queue of audit records to be written."""

from collections import deque
from typing import Final

from banyanswitch.components.audit.const import (
    MAX_BATCH_SPAN_S,
    MAX_PENDING_RECORDS,
    MAX_RECORDS_PER_ITEM,
)
from banyanswitch.components.audit.models import AuditRecord

MAX_DETAIL_CHARACTERS: Final = 500


class PendingRecords:
    """Bounded queue of records; its first batch is unchanged until it is written."""

    def __init__(self) -> None:
        self._records: deque[AuditRecord] = deque()
        self._batch: tuple[AuditRecord, ...] = ()
        self.dropped_records = 0

    def __len__(self) -> int:
        return len(self._records) + len(self._batch)

    def add(self, record: AuditRecord) -> None:
        """Add a record, or drop and count it if the queue is full."""
        if len(self) >= MAX_PENDING_RECORDS:
            self.dropped_records += 1
            return
        self._records.append(record)

    def batch(self) -> tuple[AuditRecord, ...]:
        """Return the next batch; the same records until they are marked as written.

        A write whose response was lost is repeated with the same key and content.
        """
        if not self._batch:
            self._batch = self._take_batch()
        return self._batch

    def mark_written(self) -> None:
        """Remove the current batch from the queue."""
        self._batch = ()

    def _take_batch(self) -> tuple[AuditRecord, ...]:
        taken: list[AuditRecord] = []
        while self._records and len(taken) < MAX_RECORDS_PER_ITEM:
            span_s = self._records[0].at_unix_s - (taken or self._records)[0].at_unix_s
            if span_s > MAX_BATCH_SPAN_S:
                break
            taken.append(self._records.popleft())
        return tuple(taken)
